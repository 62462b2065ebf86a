//! Tests of the limits on the rate of requests.

use super::*;

const START: Micros = 1_000_000_000;
const SECOND: Micros = 1_000_000;

/// Returns how many of `requests` that arrive at once on a connection are admitted.
fn admitted(
    limit: &mut RateLimit,
    now: Micros,
    connection: &mut AdmittedRequests,
    requests: usize,
) -> usize {
    let requests = 0..requests;
    requests.filter(|_| limit.admit(now, connection)).count()
}

#[test]
fn burst_of_one_connection_is_admitted_up_to_its_limit() {
    let (mut limit, mut connection) = Default::default();

    assert_eq!(admitted(&mut limit, START, &mut connection, 10_000), 500);
    let later = START + 10 * CONNECTION_INTERVAL;
    assert_eq!(admitted(&mut limit, later, &mut connection, 100), 10);
    let later = START + 60 * SECOND;
    assert_eq!(admitted(&mut limit, later, &mut connection, 10_000), 500);
}

#[test]
fn requests_at_the_limit_are_admitted_without_end() {
    let (mut limit, mut connection) = Default::default();

    for tenth in 0..1_000 {
        let now = START + tenth * SECOND / 10;
        assert_eq!(admitted(&mut limit, now, &mut connection, 100), 100);
    }
}

#[test]
fn connections_that_send_much_are_limited_together() {
    let mut limit = RateLimit::default();
    let mut connections = [AdmittedRequests::default(); 10];
    let mut total = 0;

    for tenth in 0..100 {
        let now = START + tenth * SECOND / 10;
        for connection in &mut connections {
            total += admitted(&mut limit, now, connection, 1_000);
        }
    }

    assert!(total <= 4_000 * 10 + 2_000 + 10 * 500, "{total}");
}

#[test]
fn connection_that_sends_little_is_admitted_while_others_use_up_the_limit() {
    let mut limit = RateLimit::default();
    let mut usual = AdmittedRequests::default();
    let mut connections = [AdmittedRequests::default(); 10];

    for tenth in 0..100 {
        let now = START + tenth * SECOND / 10;
        for connection in &mut connections {
            admitted(&mut limit, now, connection, 1_000);
        }
        assert_eq!(admitted(&mut limit, now, &mut usual, 10), 10);
    }
}

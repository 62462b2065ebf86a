//! Tests of rules 3 to 5: draining hosts, slow start and the spread of tasks over zones.

use super::*;

#[test]
fn draining_host_gets_no_new_tasks() {
    let (program, mut feed, hosts, mut connections) = start_with_hosts(2);
    feed.send_host_state(2, &hosts[0], "draining");
    let mut client = program.client();
    std::thread::sleep(Duration::from_secs(2));
    for id in 1..20 {
        client.request_task(
            id,
            &TaskRequest {
                service: id,
                ..IDEMPOTENT_TASK
            },
        );
        let (at, offer) = next_offer(&mut connections);
        assert_eq!(
            at, 1,
            "the draining host was offered a task after the grace period"
        );
        connections[at].report_ended(&offer, 16, "");
        assert_eq!(client.expect_message().kind, 12);
    }
}

#[test]
fn cold_host_gets_no_more_offers_than_it_tolerates() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let program = Program::start(&single_placer_config(
        &feed,
        vec![host.entry("up", unix_ms())],
    ));
    feed.accept_subscription();
    let mut connection = host.accept();
    let mut client = program.client();
    (1..=12).for_each(|id| {
        client.request_task(
            id,
            &TaskRequest {
                service: id,
                ..IDEMPOTENT_TASK
            },
        )
    });
    let times: Vec<Instant> = (0..5)
        .map(|_| {
            let id = connection.expect_offer();
            let now = Instant::now();
            connection.report_running(&id);
            now
        })
        .collect();
    // The host tolerates three offers per second, so a fourth must come at least a second after the first.
    assert!(
        times
            .windows(4)
            .all(|w| w[3] - w[0] >= Duration::from_secs(1)),
        "{times:?}"
    );
}

#[test]
fn tasks_of_a_service_are_spread_over_zones() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    (1..=3).for_each(|id| client.request_task(id, &IDEMPOTENT_TASK));
    let placed = [connections[0].expect_offer(), connections[0].expect_offer()];
    placed
        .iter()
        .for_each(|id| connections[0].report_running(id));
    assert!(
        connections[0].read_within(QUIET_PERIOD).is_none(),
        "a third task must wait while two run"
    );
    connections[0].report_ended(&placed[0], 16, "");
    connections[0].expect("ack");
    connections[0].expect_offer();
}

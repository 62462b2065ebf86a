//! Tests of `AcceptDelay`: the pauses after failed accepts, and since when an accepted connection may have been
//! waiting.

use super::*;

#[test]
fn failures_delay_all_that_waits_by_as_long_as_they_last() {
    let mut delay = AcceptDelay::default();
    assert_eq!(delay.accepted(50), None);
    delay.failed(100);
    delay.failed(200);
    delay.failed(700);
    assert_eq!(delay.accepted(700), Some(100));
    assert_eq!(delay.accepted(1_700), Some(1_100));
    delay.queue_emptied();
    assert_eq!(delay.accepted(1_800), None);
}

#[test]
fn wait_for_a_descriptor_is_known_of_the_first_connection_only() {
    let mut delay = AcceptDelay::default();
    delay.waits_for_descriptor(100);
    delay.waits_for_descriptor(200);
    assert_eq!(
        (delay.accepted(300), delay.accepted(300)),
        (Some(100), None)
    );
}

#[test]
fn pauses_begin_after_some_failures_in_a_row_and_are_bounded() {
    let mut delay = AcceptDelay::default();
    let pauses: Vec<Duration> = (0..40).map(|now| delay.failed(now)).collect();
    let immediate = IMMEDIATE_RETRIES as usize;
    assert!(pauses[..immediate].iter().all(Duration::is_zero));
    assert_eq!(pauses[immediate], MIN_RETRY_PAUSE);
    assert_eq!(pauses.last(), Some(&MAX_RETRY_PAUSE));
    delay.accepted(50);
    assert!(delay.failed(50).is_zero());
}

//! The order in which timers fire.

use super::*;

#[test]
fn timers_fire_in_the_order_of_their_due_times_and_never_early() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut timers = TimerQueue::default();
    for (millis, name) in [(30, "c"), (10, "a"), (20, "b1"), (20, "b2")] {
        timers.add(at(millis), name);
    }
    assert_eq!(
        timers.wait(start, Duration::from_secs(1)),
        Duration::from_millis(10)
    );
    assert_eq!(timers.pop_due(at(9)), None);
    let mut found = Vec::new();
    while let Some((due, name)) = timers.pop_due(at(25)) {
        assert!(due <= at(25));
        found.push(name);
    }
    assert_eq!(found, ["a", "b1", "b2"]);
    assert_eq!(timers.wait(at(40), Duration::from_secs(1)), Duration::ZERO);
    assert_eq!(
        timers.wait(start, Duration::from_millis(5)),
        Duration::from_millis(5)
    );
}

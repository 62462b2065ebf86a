//! Tests of `TimerWheel`: items are returned in order and never early.

use super::*;

#[test]
fn items_are_returned_in_order_and_never_early() {
    let mut wheel = TimerWheel::new(1_000_000);
    let turn = TICK * SLOTS as Micros;
    for (at, item) in [
        (1_020_000, 'b'),
        (900_000, 'a'),
        (1_020_000 + turn, 'd'),
        (1_030_000, 'c'),
    ] {
        wheel.add(at, item);
    }
    assert_eq!(wheel.due(1_000_000), []);
    assert_eq!(wheel.due(1_005_000), ['a']);
    assert_eq!(wheel.due(1_019_999), []);
    assert_eq!(wheel.due(1_035_000), ['b', 'c']);
    assert_eq!(wheel.due(1_020_000 + turn - 1), []);
    assert_eq!(
        wheel.due(1_000_000 + 3 * turn),
        ['d'],
        "an item is lost after a stall of more than one turn"
    );
}

#[test]
fn items_that_are_not_retained_are_not_returned() {
    let mut wheel = TimerWheel::new(0);
    (0..10).for_each(|item| wheel.add(item * TICK, item));

    wheel.retain(|item| item % 2 == 0);

    assert_eq!(wheel.len(), 5);
    assert_eq!(wheel.due(100 * TICK), [0, 2, 4, 6, 8]);
    assert_eq!(wheel.len(), 0);
}

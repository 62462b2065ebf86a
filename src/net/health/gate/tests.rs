//! Tests of `gate.rs`.

use super::*;
use futures_lite::future;

fn sent(place: &Place) -> Option<Away> {
    future::block_on(future::poll_once(place.away()))
}

#[test]
fn the_one_quiet_longest_makes_room() {
    let gate = Gate::new(2);
    let (first, second) = (gate.enter(100), gate.enter(100));
    gate.stay(&first, 100);
    let third = gate.enter(100);
    assert_eq!(
        (sent(&first), sent(&second), sent(&third)),
        (None, Some(Away::Shed), None)
    );
    gate.leave(&second);
    let fourth = gate.enter(100);
    assert_eq!(
        (sent(&first), sent(&fourth)),
        (Some(Away::Shed), None),
        "one that was sent away frees nothing"
    );
}

#[test]
fn whoever_takes_too_long_is_sent_away() {
    let gate = Gate::new(8);
    let (slow, kept) = (gate.enter(100), gate.enter(100));
    gate.stay(&kept, 200);
    gate.sweep(100);
    assert_eq!(sent(&slow), None);
    gate.sweep(101);
    assert_eq!((sent(&slow), sent(&kept)), (Some(Away::Late), None));
}

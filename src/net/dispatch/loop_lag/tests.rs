//! Tests of `LoopLag`: how long input may have been waiting, with regular ticks and after a stall.

use super::*;

const MILLISECOND: Micros = 1_000;

#[test]
fn no_input_waits_while_ticks_are_regular() {
    let mut lag = LoopLag::new(0);
    for at in (TICK..=100 * TICK).step_by(5_000) {
        lag.tick(at);
    }

    assert_eq!(lag.max_wait(100 * TICK + TICK), 0);
}

#[test]
fn input_read_after_a_stall_may_have_waited_since_its_start() {
    let stall = 800 * MILLISECOND;

    // The input may be read before the first tick after the stall, or after that tick.
    let mut lag = LoopLag::new(0);
    assert_eq!(lag.max_wait(stall), stall);
    lag.tick(stall);
    assert_eq!(lag.max_wait(stall + MILLISECOND), stall + MILLISECOND);
}

#[test]
fn stall_is_forgotten_once_its_input_has_been_read() {
    let mut lag = LoopLag::new(0);
    lag.tick(800 * MILLISECOND);
    let caught_up = 800 * MILLISECOND + CATCH_UP_TIME;
    for at in (800 * MILLISECOND..=caught_up).step_by(5_000) {
        lag.tick(at);
    }

    assert_eq!(lag.max_wait(caught_up), 0);
}

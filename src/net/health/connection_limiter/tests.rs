//! Tests of the connection limiter.

use super::*;
use futures_lite::future;

fn eviction(permit: &ConnectionPermit) -> Option<Eviction> {
    future::block_on(future::poll_once(permit.evicted()))
}

#[test]
fn connection_inactive_longest_is_evicted_at_the_limit() {
    let limiter = ConnectionLimiter::new(2);
    let first = limiter.admit(100);
    let second = limiter.admit(100);
    limiter.extend(&first, 100);

    let third = limiter.admit(100);

    assert_eq!(eviction(&first), None);
    assert_eq!(eviction(&second), Some(Eviction::LimitReached));
    assert_eq!(eviction(&third), None);
}

#[test]
fn release_of_an_evicted_connection_frees_no_permit() {
    let limiter = ConnectionLimiter::new(2);
    let first = limiter.admit(100);
    let second = limiter.admit(100);
    limiter.extend(&first, 100);
    let _third = limiter.admit(100);
    limiter.release(&second);

    let fourth = limiter.admit(100);

    assert_eq!(eviction(&first), Some(Eviction::LimitReached));
    assert_eq!(eviction(&fourth), None);
}

#[test]
fn connection_past_its_deadline_is_evicted() {
    let limiter = ConnectionLimiter::new(8);
    let slow = limiter.admit(100);
    let extended = limiter.admit(100);
    limiter.extend(&extended, 200);

    limiter.evict_overdue(100);
    assert_eq!(eviction(&slow), None);

    limiter.evict_overdue(101);
    assert_eq!(eviction(&slow), Some(Eviction::DeadlinePassed));
    assert_eq!(eviction(&extended), None);
}

//! Tests of how connections are distributed over the placers.

use super::*;
use emulator::load_balancer::AdminState;

#[test]
fn placers_are_added_by_a_passed_check_and_removed_after_failures_or_when_draining() {
    let mut balancer = ZonalLoadBalancer::new(3, 3);
    assert_eq!((balancer.pick(0), balancer.any_up()), (None, false));
    assert!(balancer.apply_health_check(0, HealthCheckResult::Passed));
    assert!(
        !balancer.apply_health_check(0, HealthCheckResult::Passed),
        "the placer was already up"
    );
    assert_eq!(
        (balancer.pick(0), balancer.pick(1), balancer.pick(2)),
        (Some(0), Some(0), Some(0)),
        "no other placer is up"
    );
    balancer.apply_health_check(1, HealthCheckResult::Passed);
    assert_eq!(
        (balancer.pick(0), balancer.pick(1)),
        (Some(0), Some(1)),
        "each zone has its own placer"
    );
    for (failures, picked) in [(1, Some(1)), (2, Some(1)), (3, Some(0))] {
        balancer.apply_health_check(1, HealthCheckResult::Failed);
        assert_eq!(balancer.pick(1), picked, "after {failures} failed checks");
    }
    assert!(balancer.apply_health_check(1, HealthCheckResult::Passed));
    balancer.apply_health_check(1, HealthCheckResult::Draining);
    assert_eq!(
        balancer.pick(1),
        Some(0),
        "a draining placer is removed at once"
    );
}

#[test]
fn agent_weights_and_drains_are_followed() {
    let mut balancer = ZonalLoadBalancer::new(2, 1);
    for placer in 0..2 {
        assert!(balancer.apply_health_check(placer, HealthCheckResult::Passed));
    }
    balancer.apply_report(
        0,
        AgentReport {
            weight: Some(25),
            ..AgentReport::default()
        },
    );
    let picks: Vec<usize> = (0..10).filter_map(|_| balancer.pick(0)).collect();
    assert_eq!(picks.iter().filter(|n| **n == 0).count(), 2);
    balancer.apply_report(
        1,
        AgentReport {
            admin: Some(AdminState::Drain),
            ..AgentReport::default()
        },
    );
    assert_eq!(balancer.pick(0), Some(0));
}

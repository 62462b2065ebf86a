//! Tests of the load balancer and the parser of agent reports.

use super::*;

#[test]
fn picks_follow_the_weights_smoothly() {
    let mut balancer = LoadBalancer::new(3, 2, 3);
    for (server, weight) in [(0, 50), (1, 25), (2, 25)] {
        balancer.apply_report(
            server,
            AgentReport {
                weight: Some(weight),
                ..AgentReport::default()
            },
        );
    }
    let picks: Vec<usize> = (0..8).filter_map(|_| balancer.pick()).collect();
    assert_eq!(picks, [0, 1, 2, 0, 0, 1, 2, 0]);
    balancer.apply_report(
        0,
        AgentReport {
            admin: Some(AdminState::Drain),
            ..AgentReport::default()
        },
    );
    let picks: Vec<usize> = (0..4).filter_map(|_| balancer.pick()).collect();
    assert_eq!(picks.iter().filter(|n| **n == 0).count(), 0);
}

#[test]
fn rise_and_fall_count_consecutive_checks() {
    let mut balancer = LoadBalancer::new(1, 2, 3);
    let checks = [
        (false, true),
        (false, true),
        (true, true),
        (false, true),
        (false, true),
        (false, false),
        (true, false),
        (true, true),
    ];
    for (passed, up) in checks {
        balancer.apply_check(0, CheckResult::from_pass(passed));
        assert_eq!(balancer.servers[0].up, up);
    }
}

#[test]
fn agent_reports_are_parsed_strictly() {
    let good = [
        (
            "up ready 75%\n",
            AgentReport {
                weight: Some(75),
                admin: Some(AdminState::Ready),
                up: Some(true),
                max_connections: None,
            },
        ),
        (
            "DRAIN,10%\r\n",
            AgentReport {
                weight: Some(10),
                admin: Some(AdminState::Drain),
                ..AgentReport::default()
            },
        ),
        (
            "maint # patching, up soon\n",
            AgentReport {
                admin: Some(AdminState::Maintenance),
                ..AgentReport::default()
            },
        ),
        (
            "maxconn:30\tstopped\n",
            AgentReport {
                up: Some(false),
                max_connections: Some(30),
                ..AgentReport::default()
            },
        ),
    ];
    for (line, report) in good {
        assert_eq!(parse_agent_report(line), Ok(report), "{line:?}");
    }
    for bad in [
        "up",
        "up down\n",
        "drain ready\n",
        "10% 20%\n",
        "x%\n",
        "fine\n",
        "up\nup\n",
        "maint up\n",
        "up \u{e9}\n",
    ] {
        assert!(parse_agent_report(bad).is_err(), "{bad:?}");
    }
}

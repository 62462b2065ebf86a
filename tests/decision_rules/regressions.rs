//! One test for each failure that was found in operation or in test runs.

use super::*;

/// Guards against repeated attempts at dead hosts that are still in the endpoint list. They got attempts whenever the
/// other hosts were full (incident i788784).
#[test]
fn ejected_host_returns_only_after_a_health_check_succeeds() {
    let mut placer = TestPlacer::with(settings(), 2);
    let mut attempts_at_dead_host = 0;
    for n in 0..40 {
        for host in sent_hosts(&placer.request(task(n, n as u64))) {
            if host == host_id(0) {
                attempts_at_dead_host += 1;
                placer.end(n, 0, &host, Outcome::ConnectFailed, OutcomeDetail::Unknown);
            } else {
                placer.start(n, 0, &host);
            }
        }
    }
    assert!(
        attempts_at_dead_host <= 2,
        "{attempts_at_dead_host} attempts at the dead host"
    );
    let next_actions = without_times(placer.advance(3 * SECOND));
    assert!(next_actions.contains(&Action::SendHealthCheck { host: host_id(0) }));
    assert!(!sent_hosts(&next_actions).contains(&host_id(0)));
    placer.handle(Event::HealthCheckEnded {
        host: host_id(0),
        outcome: Outcome::Completed,
        elapsed: MS,
        load_report: vec![32.0, 64.0],
    });
    placer.handle(state_change(1, EndpointState::Draining));
    let after: Vec<_> = (50..90)
        .flat_map(|n| sent_hosts(&placer.request(task(n, n as u64))))
        .collect();
    assert!(
        after.contains(&host_id(0)),
        "no attempt at the host after a successful health check"
    );
}

/// Guards against spreading a service over many hosts: the first start of its program on a host costs many times the
/// work of a further start there.
#[test]
fn tasks_of_a_service_stay_together_and_placers_agree_on_the_host() {
    for service in 0..10 {
        let mut preferred_hosts = Vec::new();
        for seed in 0..3 {
            let mut placer = Placer::new(settings(), seed);
            let mut actions = Vec::new();
            placer.handle(0, &complete_list(6), &mut actions);
            for n in 0..3 {
                placer.handle(MS, &Event::TaskRequested(task(n, service)), &mut actions);
            }
            preferred_hosts.extend(sent_hosts(&actions));
        }
        preferred_hosts.dedup();
        assert_eq!(
            preferred_hosts.len(),
            1,
            "service {service}: {preferred_hosts:?}"
        );
    }
}

/// Guards against late starts in a fleet whose hosts come and go. Seven in ten of the attempts at hosts without the
/// program could have gone to a host where the placer already had tasks of the service, and they started late.
#[test]
fn host_that_runs_the_service_comes_before_its_preferred_members() {
    for n in 0..6 {
        let mut placer = TestPlacer::with(settings(), n);
        let half = |n| Endpoint {
            free_cores: 16.0,
            free_memory: 32.0,
            ..endpoint(n, EndpointState::Up)
        };
        placer.handle(Event::EndpointsChanged {
            kind: UpdateKind::Complete,
            endpoints: (0..6).map(half).collect(),
        });
        placer.handle(Event::TaskAdopted(task(100, 1), host_id(n)));
        assert_eq!(sent_hosts(&placer.request(task(1, 1))), [host_id(n)]);
    }
}

/// Guards against attempts that are given up before their deadline while the host starts the task. Such tasks were
/// started twice, which delayed other starts. Found in a fleet whose hosts come and go.
#[test]
fn attempt_waits_until_the_deadline_if_the_acknowledgement_means_running() {
    let mut placer = TestPlacer::with(
        Settings {
            acknowledgement: Acknowledgement::Running,
            ..settings()
        },
        1,
    );
    let slack = settings().response_slack.max(2 * settings().tick);
    let actions = placer.request(task(1, 1));
    let timeout = actions.iter().find_map(|a| match a {
        Action::SendAttempt { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert_eq!(timeout, Some(5 * SECOND - slack));
}

/// Guards against the ejection of healthy hosts because of faulty clients: hosts answer requests that they cannot use
/// with errors and were ejected for it.
#[test]
fn errors_are_blamed_on_the_task_until_another_host_starts_it() {
    let mut placer = TestPlacer::with(settings(), 1);
    placer.handle(complete_list(3));
    for n in 0..10 {
        let actions = placer.request(task(n, 1));
        let first_host = only_sent_host(&actions);
        let again = placer.end(n, 0, &first_host, Outcome::Error, OutcomeDetail::Unknown);
        let second_host = only_sent_host(&again);
        assert_ne!(first_host, second_host);
        let next_actions = placer.end(n, 1, &second_host, Outcome::Error, OutcomeDetail::Unknown);
        assert!(
            sent_hosts(&next_actions).is_empty() && contains_rejection(&next_actions),
            "expected a rejection after errors from two hosts"
        );
    }
    // No host is ejected: a task goes to the preferred host of its service, as with a new placer.
    let mut new_placer = TestPlacer::with(settings(), 1);
    new_placer.handle(complete_list(3));
    assert_eq!(
        sent_hosts(&placer.request(task(50, 1))),
        sent_hosts(&new_placer.request(task(50, 1)))
    );
    // If another host starts the task, the error counts against the first host.
    let before = placer.request(task(60, 1));
    let faulty_host = only_sent_host(&before);
    let second_host =
        only_sent_host(&placer.end(60, 0, &faulty_host, Outcome::Error, OutcomeDetail::Unknown));
    placer.handle(Event::AttemptStarted {
        id: request_id(60),
        attempt: 1,
        host: second_host,
        elapsed: MS,
    });
    assert!(!sent_hosts(&placer.request(task(61, 1))).contains(&faulty_host));
}

/// Guards against the ejection of healthy hosts because of corrupt or lost answers, which occur at any host. Each of
/// them ejected its host for the class, so that services were started on hosts without their programs.
#[test]
fn lost_answer_does_not_eject_a_host_that_has_just_started_another_task() {
    for (has_just_started, is_ejected) in [(true, false), (false, true)] {
        let mut placer = TestPlacer::with(settings(), 1);
        placer.handle(complete_list(3));
        let host = only_sent_host(&placer.request(task(1, 1)));
        assert_eq!(
            sent_hosts(&placer.request(task(2, 1))),
            std::slice::from_ref(&host)
        );
        if has_just_started {
            placer.start(2, 0, &host);
        }
        placer.end(1, 0, &host, Outcome::Timeout, OutcomeDetail::Unknown);
        assert_eq!(
            sent_hosts(&placer.request(task(3, 1))) != [host],
            is_ejected,
            "host has just started another task: {has_just_started}"
        );
    }
}

/// Guards against the use of idle hosts while the others have free capacity: hosts that are used beyond need have a
/// price.
#[test]
fn idle_hosts_stay_idle() {
    let mut placer = TestPlacer::with(settings(), 8);
    let mut used_hosts = std::collections::BTreeSet::new();
    for n in 0..12 {
        for host in sent_hosts(&placer.request(task(n, n as u64))) {
            placer.start(n, 0, &host);
            used_hosts.insert(host);
        }
    }
    assert!(used_hosts.len() <= 3, "{used_hosts:?}");
}

#[test]
fn unexpected_but_legal_events_are_tolerated() {
    let mut placer = TestPlacer::with(settings(), 2);
    placer.handle(Event::TaskCancelled(request_id(99)));
    placer.end(
        98,
        0,
        &host_id(77),
        Outcome::Completed,
        OutcomeDetail::Unknown,
    );
    placer.start(97, 0, &host_id(76));
    placer.handle(Event::TimerFired(TimerToken(1 << 60)));
    placer.handle(Event::HealthCheckEnded {
        host: host_id(75),
        outcome: Outcome::Timeout,
        elapsed: 0,
        load_report: Vec::new(),
    });
    let host = only_sent_host(&placer.request(task(1, 1)));
    placer.end(1, 7, &host, Outcome::Rejected, OutcomeDetail::Unknown);
    placer.start(1, 0, &host);
    placer.end_with(1, 0, &host, Outcome::Reset, OutcomeDetail::Drained, true);
    placer.end_with(1, 0, &host, Outcome::Reset, OutcomeDetail::Drained, true);
    placer.now -= 50 * SECOND;
    only_sent_host(&placer.request(task(2, 2)));
    placer.now += 5_000 * SECOND;
    placer.handle(Event::EndpointsChanged {
        kind: UpdateKind::Complete,
        endpoints: Vec::new(),
    });
    assert!(sent_hosts(&placer.request(task(3, 3))).is_empty());
    let mut full = endpoint(0, EndpointState::Up);
    (full.free_cores, full.free_memory) = (-40.0, 0.0);
    placer.handle(Event::EndpointsChanged {
        kind: UpdateKind::Delta,
        endpoints: vec![full],
    });
    assert!(
        sent_hosts(&without_times(placer.advance(SECOND))).is_empty(),
        "attempt at a host with negative free resources"
    );
}

/// Guards against starts that pile up on a host that cannot keep up and time out one after the other (incident
/// ib29225).
#[test]
fn timeouts_shrink_the_concurrency_window_of_a_host() {
    let mut s = settings();
    s.allows_health_checks = false;
    let mut placer = TestPlacer::with(s, 1);
    let before: usize = (0..40)
        .map(|n| sent_hosts(&placer.request(task(n, n as u64))).len())
        .sum();
    for n in 0..before {
        placer.handle(Event::TaskCancelled(request_id(n)));
        placer.end_with(
            n,
            0,
            &host_id(0),
            Outcome::Timeout,
            OutcomeDetail::Unknown,
            true,
        );
    }
    for n in before..40 {
        placer.handle(Event::TaskCancelled(request_id(n)));
    }
    placer.advance(30 * SECOND);
    let after: usize = (50..90)
        .map(|n| sent_hosts(&placer.request(task(n, n as u64))).len())
        .sum();
    assert!(
        before >= 8 && after >= 1 && after <= before / 2,
        "{before} attempts before the timeouts, {after} after them"
    );
}

/// Guards against heavy tasks that all go to the preferred host of their service and slow down its other tasks.
/// Found in a test run of one deployment.
#[test]
fn heavy_tasks_are_placed_by_load_not_by_affinity() {
    let mut used_hosts = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let mut placer = Placer::new(settings(), seed);
        let mut actions = Vec::new();
        let mut busy: Vec<Endpoint> = (0..4).map(|n| endpoint(n, EndpointState::Up)).collect();
        busy.iter_mut()
            .for_each(|e| (e.free_cores, e.free_memory) = (12.0, 24.0));
        placer.handle(
            0,
            &Event::EndpointsChanged {
                kind: UpdateKind::Complete,
                endpoints: busy,
            },
            &mut actions,
        );
        let mut heavy = task(1, 3);
        (heavy.cores, heavy.memory) = (6.0, 8.0);
        placer.handle(MS, &Event::TaskRequested(heavy), &mut actions);
        used_hosts.extend(sent_hosts(&actions));
    }
    assert!(used_hosts.len() > 1, "{used_hosts:?}");
}

/// Guards against counting returning tasks as new arrivals. With returning tasks alone the arrivals `a` of SCD are 1,
/// and the least loaded host is always drawn. New arrivals raise `a` to the number of placers times their own number,
/// so that the draw is spread over several hosts.
#[test]
fn returning_tasks_do_not_raise_the_arrival_rate() {
    let attempts_at_fuller_host = |is_returning_task: bool| -> usize {
        let mut count = 0;
        for seed in 0..60 {
            let mut placer = Placer::new(settings(), seed);
            let mut actions = Vec::new();
            let mut list: Vec<Endpoint> = (0..2).map(|n| endpoint(n, EndpointState::Up)).collect();
            (list[0].free_cores, list[1].free_cores) = (12.0, 14.0);
            placer.handle(
                0,
                &Event::EndpointsChanged {
                    kind: UpdateKind::Complete,
                    endpoints: list,
                },
                &mut actions,
            );
            let mut heavy = task(1, seed);
            (heavy.cores, heavy.memory, heavy.is_returning) = (8.0, 1.0, is_returning_task);
            placer.handle(MS, &Event::TaskRequested(heavy), &mut actions);
            count += usize::from(sent_hosts(&actions) == vec![host_id(0)]);
        }
        count
    };
    assert_eq!(attempts_at_fuller_host(true), 0);
    let of_new_tasks = attempts_at_fuller_host(false);
    assert!(
        of_new_tasks > 5 && of_new_tasks < 55,
        "{of_new_tasks} of 60 new tasks were sent to the fuller host"
    );
}

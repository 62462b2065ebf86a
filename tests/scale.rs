//! Regression tests of the decision module with many placers, partial failures, stalls and overload.

mod common;

use common::*;
use std::collections::{BTreeMap, BTreeSet};
use task_placer::*;

/// Settings with two identical classes, two tenants and `placers` placers.
fn settings(placers: usize) -> Settings {
    let mut settings = Settings::example();
    settings.placer_count = placers;
    let second = settings.classes[0].clone();
    settings.classes.push(second);
    settings.tenants = vec![
        Tenant {
            service_fraction: 0.5,
            quota_tasks_per_second: 100.0,
            quota_cores: 100.0
        };
        2
    ];
    settings
}

fn task_of(n: usize, service: u64, class: usize, tenant: usize) -> Task {
    Task {
        class: ClassId(class),
        tenant: Some(TenantId(tenant)),
        ..task(n, service)
    }
}

/// Requests `count` tasks of one class and tenant. Each attempt at host 0 ends with an error if `host_0_fails`; all
/// other attempts start and complete. Returns the number of attempts at host 0.
fn run_tasks(
    placer: &mut TestPlacer,
    from: usize,
    count: usize,
    class: usize,
    tenant: usize,
    host_0_fails: bool,
) -> usize {
    let mut attempts_at_host_0 = 0;
    for n in from..from + count {
        for host in sent_hosts(&placer.request(task_of(n, n as u64, class, tenant))) {
            attempts_at_host_0 += usize::from(host == host_id(0));
            if host == host_id(0) && host_0_fails {
                for next in
                    sent_hosts(&placer.end(n, 0, &host, Outcome::Error, OutcomeDetail::Unknown))
                {
                    placer.start(n, 1, &next);
                    placer.end(n, 1, &next, Outcome::Completed, OutcomeDetail::Unknown);
                }
            } else {
                placer.start(n, 0, &host);
                placer.end(n, 0, &host, Outcome::Completed, OutcomeDetail::Unknown);
            }
        }
    }
    attempts_at_host_0
}

/// Regression: a host that failed only one class was ejected for all classes, and a successful health check returned
/// it to service for the failing class too.
#[test]
fn host_that_fails_one_class_is_ejected_for_that_class_only() {
    let mut placer = TestPlacer::with(settings(1), 2);
    let failed = run_tasks(&mut placer, 0, 40, 0, 0, true);
    assert!((1..=2).contains(&failed), "{failed}");
    placer.handle(Event::HealthCheckEnded {
        host: host_id(0),
        outcome: Outcome::Completed,
        elapsed: MS,
        load_report: Vec::new(),
    });
    assert_eq!(
        run_tasks(&mut placer, 100, 40, 0, 1, true),
        0,
        "a successful health check ended the ejection for a class"
    );
    assert!(
        run_tasks(&mut placer, 200, 40, 1, 0, false) > 5,
        "the host got too few attempts of the class that it serves"
    );
    // A second class fails on the host too, so the whole host is ejected.
    run_tasks(&mut placer, 300, 40, 1, 0, true);
    let actions = without_times(placer.advance(5 * SECOND));
    assert!(
        actions.contains(&Action::SendHealthCheck { host: host_id(0) }),
        "{actions:?}"
    );
}

/// Regression: a rejection without a reason, from a host with free capacity, ejected the whole host.
#[test]
fn host_that_rejects_one_tenant_serves_the_other() {
    let mut placer = TestPlacer::with(settings(1), 2);
    let mut rejected = 0;
    for n in 0..40 {
        for host in sent_hosts(&placer.request(task_of(n, n as u64, 0, 0))) {
            if host == host_id(0) {
                rejected += 1;
                placer.end(n, 0, &host, Outcome::Rejected, OutcomeDetail::Unknown);
            } else {
                placer.start(n, 0, &host);
                placer.end(n, 0, &host, Outcome::Completed, OutcomeDetail::Unknown);
            }
        }
    }
    assert_eq!(rejected, 1);
    assert!(run_tasks(&mut placer, 100, 40, 0, 1, false) > 5);
    assert!(run_tasks(&mut placer, 200, 40, 1, 0, false) > 5);
}

/// Tasks that every host rejects are still attempted, and each request gets exactly one final response in time.
#[test]
fn class_rejected_by_all_hosts_gets_one_response_for_each_request() {
    let mut placer = TestPlacer::with(settings(1), 3);
    let (mut responses, mut attempts) = (BTreeMap::new(), 0);
    for n in 0..12 {
        let mut actions = placer.request(task_of(n, 7, 0, 0));
        for attempt in 0.. {
            let Some(host) = sent_hosts(&actions).first().cloned() else {
                break;
            };
            attempts += 1;
            actions = placer.end(n, attempt, &host, Outcome::Rejected, OutcomeDetail::Unknown);
        }
        for action in actions
            .into_iter()
            .chain(without_times(placer.advance(6 * SECOND)))
        {
            if let Action::Reject { id, .. } | Action::Fail { id } = action {
                *responses.entry(id).or_insert(0) += 1;
            }
        }
    }
    assert!(attempts >= 12, "{attempts}");
    assert_eq!(responses.len(), 12);
    assert!(responses.values().all(|n| *n == 1));
}

/// Regression: with more placers than the slow-start budget allows attempts, no placer sent an attempt to the warming
/// host during the whole slow start. The placers must take turns and must not exceed the budget together.
#[test]
fn slow_start_budget_is_shared_by_turns_and_its_sum_is_kept() {
    let placers = 250;
    let mut settings = settings(placers);
    (
        settings.slow_start_attempts,
        settings.collapse_window,
        settings.slow_start,
    ) = (58.0, 3 * SECOND, 14 * SECOND);
    let start = 100 * SECOND;
    let mut sent_at: Vec<Micros> = Vec::new();
    for placer_index in 0..placers {
        settings.placer_index = placer_index;
        let mut placer = TestPlacer::new(settings.clone());
        placer.now = start;
        let mut warming = endpoint(0, EndpointState::Up);
        warming.started_at = start;
        placer.handle(Event::EndpointsChanged {
            kind: UpdateKind::Complete,
            endpoints: vec![warming],
        });
        // Worst case: every placer always has a task to place.
        for n in 0..60 {
            for host in sent_hosts(&placer.request(task(n, n as u64))) {
                sent_at.push(placer.now);
                placer.start(n, 0, &host);
                placer.end(n, 0, &host, Outcome::Completed, OutcomeDetail::Unknown);
            }
            placer.handle(Event::TaskCancelled(request_id(n)));
            placer.advance(SECOND / 5);
        }
    }
    sent_at.sort_unstable();
    assert!(
        sent_at.len() > 60,
        "{} attempts during the slow start",
        sent_at.len()
    );
    for (index, first) in sent_at.iter().enumerate() {
        let within = sent_at[index..]
            .iter()
            .take_while(|later| **later - first <= 3 * SECOND)
            .count();
        assert!(within <= 58, "{within} attempts within 3 s of {first}");
    }
}

/// Regression: a task that was rejected for lack of capacity was sent again at once by every placer, and rejected
/// again.
#[test]
fn tasks_rejected_for_capacity_are_held_back_while_all_hosts_are_full() {
    let mut placer = TestPlacer::new(settings(100));
    let mut endpoints: Vec<Endpoint> = (0..4).map(|n| endpoint(n, EndpointState::Up)).collect();
    endpoints
        .iter_mut()
        .for_each(|endpoint| (endpoint.free_cores, endpoint.free_memory) = (4.0, -14.0));
    placer.handle(Event::EndpointsChanged {
        kind: UpdateKind::Complete,
        endpoints,
    });
    let mut retried = 0;
    let mut rejected = BTreeSet::new();
    for n in 0..30 {
        let actions = placer.request(task(n, n as u64));
        for host in sent_hosts(&actions) {
            retried +=
                sent_hosts(&placer.end(n, 0, &host, Outcome::Rejected, OutcomeDetail::NoMemory))
                    .len();
        }
    }
    assert!(retried <= 3, "{retried} of 30 tasks retried at once");
    let returning = |n: usize| Task {
        is_returning: true,
        ..task(n, n as u64)
    };
    let sent_at_once: usize = (100..130)
        .map(|n| sent_hosts(&placer.request(returning(n))).len())
        .sum();
    assert!(
        sent_at_once <= 3,
        "{sent_at_once} of 30 returning tasks sent at once (iae28a3)"
    );
    for action in without_times(placer.advance(6 * SECOND)) {
        if let Action::Reject { id, .. } = action {
            assert!(rejected.insert(id));
        }
    }
    assert!(rejected.len() > 20, "{}", rejected.len());
}

/// Regression: a placer with rare arrivals counted each as one arrival in every window at every placer. The arrival
/// rate was overestimated, and tasks went to fuller and emptier hosts almost evenly.
#[test]
fn arrival_rate_is_steady_with_few_own_arrivals_and_the_draw_favours_the_emptier_host() {
    let mut attempts_at_fuller = 0;
    for seed in 0..40 {
        let mut placer = Placer::new(settings(200), seed);
        let mut actions = Vec::new();
        let mut endpoints: Vec<Endpoint> = (0..2).map(|n| endpoint(n, EndpointState::Up)).collect();
        (endpoints[0].free_cores, endpoints[1].free_cores) = (8.0, 16.0);
        placer.handle(
            0,
            &Event::EndpointsChanged {
                kind: UpdateKind::Complete,
                endpoints,
            },
            &mut actions,
        );
        for n in 0..8 {
            let now = (1 + n as i64) * 400 * SECOND;
            actions.clear();
            let mut large_task = task(n, n as u64);
            (large_task.cores, large_task.memory) = (9.0, 1.0);
            placer.handle(now, &Event::TaskRequested(large_task), &mut actions);
            for host in sent_hosts(&actions) {
                attempts_at_fuller += usize::from(n >= 4 && host == host_id(0));
                let (id, attempt, elapsed) = (request_id(n), 0, MS);
                let start = Event::AttemptStarted {
                    id: id.clone(),
                    attempt,
                    host: host.clone(),
                    elapsed,
                };
                placer.handle(now, &start, &mut actions);
                let (outcome, detail, load_report) =
                    (Outcome::Completed, OutcomeDetail::Unknown, Vec::new());
                let end = Event::AttemptEnded {
                    id,
                    attempt,
                    host,
                    outcome,
                    detail,
                    done: true,
                    elapsed,
                    load_report,
                };
                placer.handle(now, &end, &mut actions);
            }
        }
    }
    // An estimate of one arrival per window at each of 200 placers would send about half, 80 of 160, to the fuller
    // host.
    assert!(
        attempts_at_fuller < 40,
        "{attempts_at_fuller} of 160 tasks sent to the fuller host"
    );
}

/// Requests that a placer handles together after a stall get at most one attempt each and exactly one final response;
/// those that wait for an attempt are tried earliest deadline first.
#[test]
fn backlog_after_a_stall_gets_one_response_for_each_request() {
    let mut placer = TestPlacer::with(settings(50), 4);
    placer.advance(SECOND);
    placer.now += 2 * SECOND;
    let mut actions = Vec::new();
    for n in 0..30 {
        let mut task = task(n, n as u64 % 5);
        task.time_budget = SECOND + n as i64 * SECOND / 10;
        actions.extend(placer.request(task));
    }
    let sent_at_once: Vec<_> = sent_hosts(&actions);
    actions.extend(without_times(placer.advance(8 * SECOND)));
    assert!(!sent_at_once.is_empty() && sent_at_once.len() <= 30);
    let mut counts = BTreeMap::new();
    for action in &actions {
        match action {
            Action::SendAttempt { id, .. } => *counts.entry((id.clone(), "sent")).or_insert(0) += 1,
            Action::Reject { id, .. } | Action::Fail { id } => {
                *counts.entry((id.clone(), "answered")).or_insert(0) += 1;
            }
            _ => {}
        }
    }
    assert!(counts.values().all(|n| *n == 1), "{counts:?}");
    for n in 0..30 {
        assert!(
            counts.contains_key(&(request_id(n), "answered")),
            "task {n} has no final response"
        );
    }
}

/// Regression: services preferred small and large hosts equally often, which overloaded the small ones.
#[test]
fn affinity_is_proportional_to_host_size() {
    let mut settings = settings(1);
    settings.host_kinds.push(HostKind {
        cores: 96.0,
        memory: 192.0,
    });
    let mut endpoints: Vec<Endpoint> = (0..2).map(|n| endpoint(n, EndpointState::Up)).collect();
    (
        endpoints[1].kind,
        endpoints[1].free_cores,
        endpoints[1].free_memory,
    ) = (KindId(1), 96.0, 192.0);
    // The load is high enough that the working set needs both hosts.
    (endpoints[0].free_cores, endpoints[0].free_memory) = (8.0, 16.0);
    (endpoints[1].free_cores, endpoints[1].free_memory) = (24.0, 48.0);
    let mut sent_to_large = 0;
    for service in 0..200 {
        let mut placer = Placer::new(settings.clone(), service);
        let mut actions = Vec::new();
        placer.handle(
            0,
            &Event::EndpointsChanged {
                kind: UpdateKind::Complete,
                endpoints: endpoints.clone(),
            },
            &mut actions,
        );
        placer.handle(MS, &Event::TaskRequested(task(1, service)), &mut actions);
        sent_to_large += usize::from(sent_hosts(&actions) == vec![host_id(1)]);
    }
    assert!(
        (130..=170).contains(&sent_to_large),
        "{sent_to_large} of 200 tasks sent to the host with three quarters of all cores"
    );
}

/// Regression (ia8ddc2): a task that was preempted before it ran ejected the host for all tasks, just when an
/// overload needed its capacity.
#[test]
fn preemption_before_the_start_does_not_eject_the_host() {
    let mut placer = TestPlacer::with(settings(1), 1);
    let hosts = sent_hosts(&placer.request(task_of(1, 1, 0, 0)));
    placer.end(1, 0, &hosts[0], Outcome::Rejected, OutcomeDetail::Preempted);
    assert_eq!(sent_hosts(&placer.request(task_of(2, 2, 0, 0))), hosts);
}

/// A group of hosts that drain at the same time.
struct Wave {
    number: usize,
    draining: Vec<usize>,
}

impl Wave {
    fn new(number: usize) -> Wave {
        Wave {
            number,
            draining: (number * 3..number * 3 + 3).collect(),
        }
    }

    fn drains(&self, host: &HostId) -> bool {
        self.draining.iter().any(|index| host_id(*index) == *host)
    }

    /// Places 30 tasks. Returns the number of each placed task with its host.
    fn place_tasks(&self, placer: &mut TestPlacer) -> Vec<(usize, HostId)> {
        let mut placed = Vec::new();
        for n in 0..30 {
            let n = self.number * 100 + n;
            for host in sent_hosts(&placer.request(task_of(n, n as u64 % 9, 0, 0))) {
                placer.start(n, 0, &host);
                placed.push((n, host));
            }
        }
        placed
    }

    /// Reports the hosts of the wave as draining, then a new, warming host for each of them.
    fn drain_and_replace(&self, placer: &mut TestPlacer) {
        let draining = self.draining.iter();
        let draining = draining
            .map(|index| endpoint(*index, EndpointState::Draining))
            .collect();
        placer.handle(Event::EndpointsChanged {
            kind: UpdateKind::Delta,
            endpoints: draining,
        });
        let started_at = placer.now;
        let replacement = |index: &usize| Endpoint {
            started_at,
            ..endpoint(index + FIRST_REPLACEMENT, EndpointState::Up)
        };
        let replacements = self.draining.iter().map(replacement).collect();
        placer.handle(Event::EndpointsChanged {
            kind: UpdateKind::Delta,
            endpoints: replacements,
        });
    }

    /// Requests a task again after its draining host has released it. Returns the number of attempts at warming
    /// hosts.
    fn request_again(&self, placer: &mut TestPlacer, n: usize) -> usize {
        let returning = Task {
            is_returning: true,
            ..task_of(n + 50, n as u64 % 9, 0, 0)
        };
        let mut warming_attempts = 0;
        for host in sent_hosts(&placer.request(returning)) {
            assert!(!self.drains(&host), "a draining host got a task");
            let index: usize = host.0[1..]
                .parse()
                .expect("the host id does not end in a number");
            warming_attempts += usize::from(index >= FIRST_REPLACEMENT);
            placer.start(n + 50, 0, &host);
            placer.end(n + 50, 0, &host, Outcome::Completed, OutcomeDetail::Unknown);
        }
        warming_attempts
    }
}

/// The index of the host that replaces host 0.
const FIRST_REPLACEMENT: usize = 20;

/// While hosts drain in waves and warming hosts replace them, released tasks go to the remaining hosts: none to
/// draining hosts, and no more to the warming ones than this placer's part of the slow-start budget. Each task ends
/// once.
#[test]
fn tasks_released_by_draining_hosts_are_placed_within_the_slow_start_budget() {
    let mut placer = TestPlacer::with(
        Settings {
            slow_start_attempts: 60.0,
            ..settings(20)
        },
        8,
    );
    let mut warming_attempts = 0;
    let mut released = 0;
    for wave in [Wave::new(0), Wave::new(1)] {
        let placed = wave.place_tasks(&mut placer);
        assert!(placed.len() >= 25, "{}", placed.len());

        wave.drain_and_replace(&mut placer);

        for (n, host) in placed {
            let is_released = wave.drains(&host);
            let outcome = if is_released {
                Outcome::Reset
            } else {
                Outcome::Completed
            };
            placer.end_with(n, 0, &host, outcome, OutcomeDetail::Drained, true);
            if is_released {
                released += 1;
                warming_attempts += wave.request_again(&mut placer, n);
            }
        }
    }
    assert!(released > 0, "no task ran on a draining host");
    assert!(
        warming_attempts <= 6 * 2,
        "{warming_attempts} attempts at six warming hosts, more than two each"
    );
}

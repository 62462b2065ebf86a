//! Hundreds of placers, failures of a part only, stalls and overload: one test for each failure found.

mod common;

use common::*;
use std::collections::{BTreeMap, BTreeSet};
use task_placer::*;

/// Two classes and two tenants, many placers.
fn settings(placers: usize) -> Settings {
    let mut s = Settings::example();
    s.placer_count = placers;
    let second = s.classes[0].clone();
    s.classes.push(second);
    s.tenants = vec![
        Tenant {
            service_fraction: 0.5,
            quota_tasks_per_second: 100.0,
            quota_cores: 100.0
        };
        2
    ];
    s
}

fn of(n: usize, service: u64, class: usize, tenant: usize) -> Task {
    Task {
        class: ClassId(class),
        tenant: Some(TenantId(tenant)),
        ..task(n, service)
    }
}

/// Offers `count` tasks of one class and tenant, ends each by an error at machine 0 where `bad` and well elsewhere;
/// answers how many went to machine 0.
fn offer(
    placer: &mut TestPlacer,
    from: usize,
    count: usize,
    class: usize,
    tenant: usize,
    bad: bool,
) -> usize {
    let mut there = 0;
    for n in from..from + count {
        for at in sent_hosts(&placer.request(of(n, n as u64, class, tenant))) {
            there += usize::from(at == host_id(0));
            if at == host_id(0) && bad {
                for next in
                    sent_hosts(&placer.end(n, 0, &at, Outcome::Error, OutcomeDetail::Unknown))
                {
                    placer.start(n, 1, &next);
                    placer.end(n, 1, &next, Outcome::Completed, OutcomeDetail::Unknown);
                }
            } else {
                placer.start(n, 0, &at);
                placer.end(n, 0, &at, Outcome::Completed, OutcomeDetail::Unknown);
            }
        }
    }
    there
}

/// A machine that fails one class was shut for all, and by an answered probe open for that class again.
#[test]
fn host_that_fails_one_class_is_ejected_for_that_class_only() {
    let mut placer = TestPlacer::with(settings(1), 2);
    let failed = offer(&mut placer, 0, 40, 0, 0, true);
    assert!((1..=2).contains(&failed), "{failed}");
    placer.handle(Event::HealthCheckEnded {
        host: host_id(0),
        outcome: Outcome::Completed,
        elapsed: MS,
        load_report: Vec::new(),
    });
    assert_eq!(
        offer(&mut placer, 100, 40, 0, 1, true),
        0,
        "a probe tells nothing of a class"
    );
    assert!(
        offer(&mut placer, 200, 40, 1, 0, false) > 5,
        "the other class is served there"
    );
    // A second class fails there too: now it is the machine.
    offer(&mut placer, 300, 40, 1, 0, true);
    let asked = without_times(placer.advance(5 * SECOND));
    assert!(
        asked.contains(&Action::SendHealthCheck { host: host_id(0) }),
        "{asked:?}"
    );
}

/// A refusal that names nothing, from a machine with room in view, shut the whole machine.
#[test]
fn host_that_rejects_one_tenant_serves_the_other() {
    let mut placer = TestPlacer::with(settings(1), 2);
    let mut turned_away = 0;
    for n in 0..40 {
        for at in sent_hosts(&placer.request(of(n, n as u64, 0, 0))) {
            if at == host_id(0) {
                turned_away += 1;
                placer.end(n, 0, &at, Outcome::Rejected, OutcomeDetail::Unknown);
            } else {
                placer.start(n, 0, &at);
                placer.end(n, 0, &at, Outcome::Completed, OutcomeDetail::Unknown);
            }
        }
    }
    assert_eq!(turned_away, 1);
    assert!(offer(&mut placer, 100, 40, 0, 1, false) > 5);
    assert!(offer(&mut placer, 200, 40, 1, 0, false) > 5);
}

/// Turned away everywhere, a tenant's tasks are still tried and each gets one answer in time.
#[test]
fn class_rejected_by_all_hosts_gets_one_response_for_each_request() {
    let mut placer = TestPlacer::with(settings(1), 3);
    let (mut answers, mut tries) = (BTreeMap::new(), 0);
    for n in 0..12 {
        let mut actions = placer.request(of(n, 7, 0, 0));
        for attempt in 0.. {
            let Some(at) = sent_hosts(&actions).first().cloned() else {
                break;
            };
            tries += 1;
            actions = placer.end(n, attempt, &at, Outcome::Rejected, OutcomeDetail::Unknown);
        }
        for a in actions
            .into_iter()
            .chain(without_times(placer.advance(6 * SECOND)))
        {
            if let Action::Reject { id, .. } | Action::Fail { id } = a {
                *answers.entry(id).or_insert(0) += 1;
            }
        }
    }
    assert!(tries >= 12, "{tries}");
    assert_eq!(answers.len(), 12);
    assert!(answers.values().all(|n| *n == 1));
}

/// With more placers than the cold budget has offers, nobody offered anything for the whole cold span.
#[test]
fn slow_start_budget_is_shared_by_turns_and_its_sum_is_kept() {
    let placers = 250;
    let mut s = settings(placers);
    (s.slow_start_attempts, s.collapse_window, s.slow_start) = (58.0, 3 * SECOND, 14 * SECOND);
    let start = 100 * SECOND;
    let mut offers: Vec<Micros> = Vec::new();
    for me in 0..placers {
        s.placer_index = me;
        let mut placer = TestPlacer::new(s.clone());
        placer.now = start;
        let mut cold = endpoint(0, EndpointState::Up);
        cold.started_at = start;
        placer.handle(Event::EndpointsChanged {
            kind: UpdateKind::Complete,
            endpoints: vec![cold],
        });
        // The worst case: every placer always has a task to offer.
        for n in 0..60 {
            for at in sent_hosts(&placer.request(task(n, n as u64))) {
                offers.push(placer.now);
                placer.start(n, 0, &at);
                placer.end(n, 0, &at, Outcome::Completed, OutcomeDetail::Unknown);
            }
            placer.handle(Event::TaskCancelled(request_id(n)));
            placer.advance(SECOND / 5);
        }
    }
    offers.sort_unstable();
    assert!(
        offers.len() > 60,
        "{} offers in the cold span",
        offers.len()
    );
    for (i, t) in offers.iter().enumerate() {
        let within = offers[i..]
            .iter()
            .take_while(|u| **u - t <= 3 * SECOND)
            .count();
        assert!(within <= 58, "{within} offers within 3 s of {t}");
    }
}

/// What was refused for want of room was offered again at once by every placer, and refused again.
#[test]
fn tasks_rejected_for_capacity_are_held_back_while_all_hosts_are_full() {
    let mut placer = TestPlacer::new(settings(100));
    let mut list: Vec<Endpoint> = (0..4).map(|n| endpoint(n, EndpointState::Up)).collect();
    list.iter_mut()
        .for_each(|e| (e.free_cores, e.free_memory) = (4.0, -14.0));
    placer.handle(Event::EndpointsChanged {
        kind: UpdateKind::Complete,
        endpoints: list,
    });
    let mut again = 0;
    let mut answered = BTreeSet::new();
    for n in 0..30 {
        let actions = placer.request(task(n, n as u64));
        for at in sent_hosts(&actions) {
            again += sent_hosts(&placer.end(n, 0, &at, Outcome::Rejected, OutcomeDetail::NoMemory))
                .len();
        }
    }
    assert!(again <= 3, "{again} of 30 offered again at once");
    let back = |n: usize| Task {
        is_returning: true,
        ..task(n, n as u64)
    };
    let returned: usize = (100..130)
        .map(|n| sent_hosts(&placer.request(back(n))).len())
        .sum();
    assert!(
        returned <= 3,
        "{returned} of 30 that came back offered at once (iae28a3)"
    );
    for a in without_times(placer.advance(6 * SECOND)) {
        if let Action::Reject { id, .. } = a {
            assert!(answered.insert(id));
        }
    }
    assert!(answered.len() > 20, "{}", answered.len());
}

/// A placer that sees one arrival now and then counted it as one for each window, times all placers.
#[test]
fn arrival_rate_is_steady_with_few_own_arrivals_and_the_draw_favours_the_emptier_host() {
    let mut fuller = 0;
    for seed in 0..40 {
        let mut placer = Placer::new(settings(200), seed);
        let mut out = Vec::new();
        let mut list: Vec<Endpoint> = (0..2).map(|n| endpoint(n, EndpointState::Up)).collect();
        (list[0].free_cores, list[1].free_cores) = (8.0, 16.0);
        placer.handle(
            0,
            &Event::EndpointsChanged {
                kind: UpdateKind::Complete,
                endpoints: list,
            },
            &mut out,
        );
        for n in 0..8 {
            let now = (1 + n as i64) * 400 * SECOND;
            out.clear();
            let mut heavy = task(n, n as u64);
            (heavy.cores, heavy.memory) = (9.0, 1.0);
            placer.handle(now, &Event::TaskRequested(heavy), &mut out);
            for at in sent_hosts(&out) {
                fuller += usize::from(n >= 4 && at == host_id(0));
                let (id, attempt, elapsed) = (request_id(n), 0, MS);
                let first = Event::AttemptStarted {
                    id: id.clone(),
                    attempt,
                    host: at.clone(),
                    elapsed,
                };
                placer.handle(now, &first, &mut out);
                let (outcome, detail, report) =
                    (Outcome::Completed, OutcomeDetail::Unknown, Vec::new());
                let end = Event::AttemptEnded {
                    id,
                    attempt,
                    host: at,
                    outcome,
                    detail,
                    done: true,
                    elapsed,
                    load_report: report,
                };
                placer.handle(now, &end, &mut out);
            }
        }
    }
    // One arrival a window and 200 placers would share the draw almost evenly: about 80 of 160.
    assert!(fuller < 40, "{fuller} of 160 to the fuller machine");
}

/// A stalled placer finds a backlog: each task gets at most one offer at a time and one answer, the most
/// urgent first where they waited.
#[test]
fn backlog_after_a_stall_gets_one_response_for_each_request() {
    let mut placer = TestPlacer::with(settings(50), 4);
    placer.advance(SECOND);
    placer.now += 2 * SECOND;
    let mut out = Vec::new();
    for n in 0..30 {
        let mut t = task(n, n as u64 % 5);
        t.time_budget = SECOND + n as i64 * SECOND / 10;
        out.extend(placer.request(t));
    }
    let first: Vec<_> = sent_hosts(&out);
    out.extend(without_times(placer.advance(8 * SECOND)));
    assert!(!first.is_empty() && first.len() <= 30);
    let mut seen = BTreeMap::new();
    for a in &out {
        match a {
            Action::SendAttempt { id, .. } => *seen.entry((id.clone(), "sent")).or_insert(0) += 1,
            Action::Reject { id, .. } | Action::Fail { id } => {
                *seen.entry((id.clone(), "answered")).or_insert(0) += 1;
            }
            _ => {}
        }
    }
    assert!(seen.values().all(|n| *n == 1), "{seen:?}");
    for n in 0..30 {
        assert!(
            seen.contains_key(&(request_id(n), "answered")),
            "task {n} has no answer"
        );
    }
}

/// Homes went to small and large machines alike, so that small ones were crowded.
#[test]
fn affinity_is_won_in_proportion_to_host_size() {
    let mut s = settings(1);
    s.host_kinds.push(HostKind {
        cores: 96.0,
        memory: 192.0,
    });
    let mut list: Vec<Endpoint> = (0..2).map(|n| endpoint(n, EndpointState::Up)).collect();
    (list[1].kind, list[1].free_cores, list[1].free_memory) = (KindId(1), 96.0, 192.0);
    // Enough is asked for that both are in the set.
    (list[0].free_cores, list[0].free_memory) = (8.0, 16.0);
    (list[1].free_cores, list[1].free_memory) = (24.0, 48.0);
    let mut large = 0;
    for service in 0..200 {
        let mut placer = Placer::new(s.clone(), service);
        let mut out = Vec::new();
        placer.handle(
            0,
            &Event::EndpointsChanged {
                kind: UpdateKind::Complete,
                endpoints: list.clone(),
            },
            &mut out,
        );
        placer.handle(MS, &Event::TaskRequested(task(1, service)), &mut out);
        large += usize::from(sent_hosts(&out) == vec![host_id(1)]);
    }
    assert!(
        (130..=170).contains(&large),
        "{large} of 200 at the machine of three quarters of the fleet"
    );
}

/// Tasks pushed out before they ran shut the machine for all, in the very overload that needs it (ia8ddc2).
#[test]
fn preemption_before_the_start_is_not_held_against_the_host() {
    let mut placer = TestPlacer::with(settings(1), 1);
    let at = sent_hosts(&placer.request(of(1, 1, 0, 0)));
    placer.end(1, 0, &at[0], Outcome::Rejected, OutcomeDetail::Preempted);
    assert_eq!(sent_hosts(&placer.request(of(2, 2, 0, 0))), at);
}

/// Hosts that drain together, and the tasks that ran on them.
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

    /// Places tasks on hosts; returns each with its host.
    fn place_tasks(&self, placer: &mut TestPlacer) -> Vec<(usize, HostId)> {
        let mut placed = Vec::new();
        for n in 0..30 {
            let n = self.number * 100 + n;
            for host in sent_hosts(&placer.request(of(n, n as u64 % 9, 0, 0))) {
                placer.start(n, 0, &host);
                placed.push((n, host));
            }
        }
        placed
    }

    /// Announces the drains, then the hosts that replace them.
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

    /// Requests a task again that its draining host released. Returns the attempts at warming hosts.
    fn request_again(&self, placer: &mut TestPlacer, n: usize) -> usize {
        let returning = Task {
            is_returning: true,
            ..of(n + 50, n as u64 % 9, 0, 0)
        };
        let mut warming = 0;
        for host in sent_hosts(&placer.request(returning)) {
            assert!(!self.drains(&host), "a draining host got a task");
            let index: usize = host.0[1..].parse().expect("a number");
            warming += usize::from(index >= FIRST_REPLACEMENT);
            placer.start(n + 50, 0, &host);
            placer.end(n + 50, 0, &host, Outcome::Completed, OutcomeDetail::Unknown);
        }
        warming
    }
}

/// The index of the host that replaces host 0.
const FIRST_REPLACEMENT: usize = 20;

/// Hosts drain in waves and warming ones replace them: what comes back goes to hosts that stay, nothing to draining ones,
/// to the replacements no more than this placer's part of the slow-start budget, and each task ends once.
#[test]
fn waves_of_drains_with_warming_replacements_are_survived() {
    let mut placer = TestPlacer::with(
        Settings {
            slow_start_attempts: 60.0,
            ..settings(20)
        },
        8,
    );
    let mut warming_attempts = 0;
    let mut lost = 0;
    for wave in [Wave::new(0), Wave::new(1)] {
        let placed = wave.place_tasks(&mut placer);
        assert!(placed.len() >= 25, "{}", placed.len());

        wave.drain_and_replace(&mut placer);

        for (n, host) in placed {
            let is_lost = wave.drains(&host);
            let outcome = if is_lost {
                Outcome::Reset
            } else {
                Outcome::Completed
            };
            placer.end_with(n, 0, &host, outcome, OutcomeDetail::Drained, true);
            if is_lost {
                lost += 1;
                warming_attempts += wave.request_again(&mut placer, n);
            }
        }
    }
    assert!(lost > 0, "the waves met no task");
    assert!(
        warming_attempts <= 6 * 2,
        "{warming_attempts} attempts at six warming hosts at two each"
    );
}

//! Tests of the state machine of clients.

use super::engine::MAX_TOKENS;
use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

fn settings(policy: RetryPolicy) -> EngineSettings {
    EngineSettings {
        policy,
        min_backoff: SECOND,
        max_backoff: 8 * SECOND,
        retry_budget: 0.1,
        retry_after_compliance: 1.0,
        settle_time: 3 * SECOND,
        rerequest_delay: (50 * MS, 500 * MS),
    }
}

fn clients(policy: RetryPolicy) -> Clients {
    Clients::new(settings(policy), 1, 100)
}

fn wanted(key: u64, non_idempotent: bool) -> WantedTask {
    WantedTask {
        key,
        due: 0,
        ends_at: 60 * SECOND,
        timeout: 6 * SECOND,
        non_idempotent,
    }
}

fn requested_id(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|e| match e {
        Effect::RequestTask { id, .. } => Some(*id),
        _ => None,
    })
}

/// Advances the time in steps of 10 ms until a task is requested, and returns the id of the request.
fn next_request(clients: &mut Clients, now: &mut Micros, until: Micros) -> Option<u64> {
    while *now < until {
        *now += 10 * MS;
        if let Some(id) = requested_id(&clients.tick(*now)) {
            return Some(id);
        }
    }
    None
}

#[test]
fn task_is_requested_placed_and_done_at_its_end() {
    let mut clients = clients(RetryPolicy::Fixed);
    let effects = clients.handle(0, Event::TaskDue(wanted(1, false)));
    assert_eq!(
        effects,
        [Effect::RequestTask {
            key: 1,
            id: 100,
            wait: 6 * SECOND,
            is_retry: false
        }]
    );
    assert_eq!(
        clients.handle(MS, Event::Response(100, Response::Placed)),
        []
    );
    let effects = clients.handle(SECOND, Event::Response(100, Response::Ended));
    assert_eq!(
        effects,
        [
            Effect::AcknowledgeEnd(100),
            Effect::TaskDone(1, Fate::Completed)
        ]
    );
    assert_eq!(
        clients.handle(SECOND, Event::Response(100, Response::Ended)),
        [Effect::AcknowledgeEnd(100)],
        "a repeated notice is acknowledged again"
    );
    assert_eq!(clients.open_count(), 0);
}

#[test]
fn retry_policies_space_retries_as_named() {
    let waits = |policy| {
        let mut clients = clients(policy);
        let mut now = 0;
        let mut id = requested_id(&clients.handle(
            now,
            Event::TaskDue(WantedTask {
                ends_at: 1_000 * SECOND,
                ..wanted(1, false)
            }),
        ));
        let mut waits = Vec::new();
        while let Some(open) = id.filter(|_| waits.len() < 6) {
            let rejected_at = now;
            clients.handle(now, Event::Response(open, Response::Rejected(None)));
            let until = now + 100 * SECOND;
            id = next_request(&mut clients, &mut now, until);
            waits.push((now - rejected_at) / MS);
        }
        waits
    };
    assert_eq!(waits(RetryPolicy::Fixed), [1_000; 6]);
    assert_eq!(
        waits(RetryPolicy::Exponential),
        [1_000, 2_000, 4_000, 8_000, 8_000, 8_000]
    );
    let jitter = waits(RetryPolicy::Jitter);
    assert!(
        jitter.iter().all(|w| (250..=8_010).contains(w)) && jitter.windows(2).any(|w| w[0] != w[1]),
        "{jitter:?}"
    );
}

#[test]
fn retry_after_is_respected_by_compliant_clients_only() {
    for (retry_after_compliance, expected_ms) in [(1.0, 5_000), (0.0, 1_000)] {
        let mut clients = Clients::new(
            EngineSettings {
                retry_after_compliance,
                ..settings(RetryPolicy::Fixed)
            },
            1,
            100,
        );
        clients.handle(0, Event::TaskDue(wanted(1, false)));
        clients.handle(
            0,
            Event::Response(100, Response::Rejected(Some(5 * SECOND))),
        );
        let mut now = 0;
        assert!(next_request(&mut clients, &mut now, 20 * SECOND).is_some());
        assert_eq!(now / MS, expected_ms);
    }
}

#[test]
fn retry_budget_limits_all_retries_together() {
    let mut clients = clients(RetryPolicy::Budget);
    let mut now = 0;
    // Rejects every request at once, for 200 tasks.
    for key in 0..200 {
        let mut effects = clients.handle(now, Event::TaskDue(wanted(key, false)));
        while let Some(id) = requested_id(&effects) {
            effects = clients.handle(now, Event::Response(id, Response::Rejected(None)));
        }
        now += 10 * MS;
        for id in clients
            .tick(now)
            .iter()
            .filter_map(|e| requested_id(std::slice::from_ref(e)))
        {
            clients.handle(now, Event::Response(id, Response::Rejected(None)));
        }
    }
    while let Some(id) = next_request(&mut clients, &mut now, 100 * SECOND) {
        clients.handle(now, Event::Response(id, Response::Rejected(None)));
    }
    let counts = clients.counts();
    assert!(
        counts.retries as f64 <= MAX_TOKENS / 4.0 + 0.1 * counts.first_attempts as f64 + 1.0,
        "{counts:?}"
    );
    assert!(
        counts.retries_over_budget > 0 && clients.open_count() == 0,
        "{counts:?}"
    );
}

#[test]
fn non_idempotent_task_settles_after_an_attempt_that_may_have_run() {
    let cases: [(&str, Event, bool); 4] = [
        (
            "rejected",
            Event::Response(100, Response::Rejected(None)),
            false,
        ),
        ("failed", Event::Response(100, Response::Failed), true),
        ("disconnected", Event::Disconnected(100), true),
        ("unsent", Event::RequestUnsent(100), false),
    ];
    for (name, event, settles) in cases {
        let mut clients = clients(RetryPolicy::Fixed);
        clients.handle(0, Event::TaskDue(wanted(1, true)));
        clients.handle(0, event);
        let mut now = 0;
        next_request(&mut clients, &mut now, 20 * SECOND);
        assert_eq!(now / MS, if settles { 3_000 } else { 1_000 }, "{name}");
    }
    // A host turns out to run the task while it settles.
    let mut clients = clients(RetryPolicy::Fixed);
    clients.handle(0, Event::TaskDue(wanted(1, true)));
    clients.handle(0, Event::Disconnected(100));
    let effects = clients.handle(SECOND, Event::RunningTaskFound { key: 1, id: 100 });
    assert_eq!(effects, [Effect::Reconnect { key: 1, id: 100 }]);
    let mut now = SECOND;
    assert_eq!(
        next_request(&mut clients, &mut now, 10 * SECOND),
        None,
        "not requested again"
    );
    // A second event for a task that is running already has no effect.
    assert_eq!(
        clients.handle(now, Event::RunningTaskFound { key: 1, id: 100 }),
        []
    );
}

#[test]
fn lost_and_migrated_tasks_are_requested_again_and_running_ones_reconnect_after_a_restart() {
    for response in [Response::Lost, Response::Migrated] {
        let mut clients = clients(RetryPolicy::Fixed);
        clients.handle(0, Event::TaskDue(wanted(1, false)));
        clients.handle(0, Event::Response(100, Response::Placed));
        clients.assign_placer(100, 2);
        assert_eq!(clients.handle(MS, Event::PlacerRestarted(1)), []);
        assert_eq!(
            clients.handle(MS, Event::PlacerRestarted(2)),
            [Effect::Reconnect { key: 1, id: 100 }]
        );
        clients.handle(SECOND, Event::Response(100, response));
        let mut now = SECOND;
        assert_eq!(
            next_request(&mut clients, &mut now, 2 * SECOND),
            Some(101),
            "{response:?}"
        );
        assert!(now - SECOND <= 510 * MS);
    }
}

#[test]
fn request_is_cancelled_at_its_timeout_and_the_task_at_its_end() {
    let mut clients = clients(RetryPolicy::Fixed);
    clients.handle(
        0,
        Event::TaskDue(WantedTask {
            ends_at: 10 * SECOND,
            ..wanted(1, false)
        }),
    );
    let effects = clients.tick(6 * SECOND);
    assert_eq!(effects, [Effect::CancelRequest(100)]);
    assert!(requested_id(&clients.tick(7 * SECOND)).is_some());
    clients.handle(
        7 * SECOND,
        Event::Response(101, Response::Rejected(Some(5 * SECOND))),
    );
    assert_eq!(
        clients.tick(12 * SECOND),
        [Effect::TaskDone(1, Fate::ExpiredWaiting)]
    );
    // The client waits a little longer for the notice of a task's end after the task's time is over.
    clients.handle(
        0,
        Event::TaskDue(WantedTask {
            ends_at: 10 * SECOND,
            ..wanted(2, false)
        }),
    );
    clients.handle(0, Event::Response(102, Response::Placed));
    assert_eq!(clients.tick(18 * SECOND), []);
    assert_eq!(
        clients.tick(19 * SECOND),
        [Effect::TaskDone(2, Fate::ExpiredRunning)]
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// For any sequence of events, a task has at most one open attempt; a non-idempotent task is retried only after a
    /// rejection, an unsent request or its settle time; and every task ends.
    #[test]
    fn no_task_is_lost_or_requested_twice_at_once(
        steps in prop::collection::vec((0..12u64, 0..9u8, 0..2_000i64), 1..120),
        policy in 0..4usize,
    ) {
        let mut clients = clients(RetryPolicy::ALL[policy]);
        let mut open: BTreeMap<u64, u64> = BTreeMap::new();
        let (mut now, mut due, mut done) = (0, 0u64, 0u64);
        let mut may_run: BTreeMap<u64, Micros> = BTreeMap::new();
        let take = |effects: Vec<Effect>, open: &mut BTreeMap<u64, u64>, may_run: &BTreeMap<u64, Micros>, now: Micros| {
            let mut ended = 0;
            for effect in effects {
                match effect {
                    Effect::RequestTask { key, id, .. } => {
                        assert!(!open.contains_key(&key), "task requested while another request is open");
                        assert!(may_run.get(&key).is_none_or(|at| now - at >= 3 * SECOND), "task requested before its settle time was over");
                        open.insert(key, id);
                    }
                    Effect::CancelRequest(id) => open.retain(|_, i| *i != id),
                    Effect::TaskDone(key, _) => {
                        open.remove(&key);
                        ended += 1;
                    }
                    _ => {}
                }
            }
            ended
        };
        for (key, what, gap) in steps {
            now += gap * MS;
            done += take(clients.tick(now), &mut open, &may_run, now);
            let id = open.get(&key).copied();
            let event = match (what, id) {
                (0, _) if key >= due => {
                    due += 1;
                    Event::TaskDue(WantedTask { due: now, ends_at: now + 30 * SECOND, ..wanted(due - 1, due.is_multiple_of(2)) })
                }
                (1, Some(id)) => { open.remove(&key); Event::Response(id, Response::Placed) }
                (2, Some(id)) => { open.remove(&key); may_run.remove(&key); Event::Response(id, Response::Rejected(None)) }
                (3, Some(id)) => { open.remove(&key); may_run.insert(key, now); Event::Response(id, Response::Failed) }
                (4, Some(id)) => { open.remove(&key); may_run.insert(key, now); Event::Disconnected(id) }
                (5, Some(id)) => { open.remove(&key); Event::RequestUnsent(id) }
                (6, _) => Event::Response(100 + key, Response::Lost),
                (7, _) => Event::Response(100 + key, Response::Migrated),
                _ => Event::PlacerRestarted(0),
            };
            // Only non-idempotent tasks settle.
            may_run.retain(|key, _| (key + 1).is_multiple_of(2));
            done += take(clients.handle(now, event), &mut open, &may_run, now);
        }
        for _ in 0..20_000 {
            now += 10 * MS;
            done += take(clients.tick(now), &mut open, &BTreeMap::new(), now);
        }
        prop_assert_eq!((clients.open_count(), done), (0, due));
    }
}

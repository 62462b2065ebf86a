//! Tests of the clients' engine.

use super::*;
use proptest::prelude::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

fn settings(policy: Policy) -> Settings {
    Settings {
        policy,
        base: SECOND,
        most: 8 * SECOND,
        budget: 0.1,
        honour: 1.0,
        settle: 3 * SECOND,
        rejoin: (50 * MS, 500 * MS),
    }
}

fn clients(policy: Policy) -> Clients {
    Clients::new(settings(policy), 1, 100)
}

fn wanted(key: u64, once: bool) -> Wanted {
    Wanted {
        key,
        due: 0,
        over: 60 * SECOND,
        limit: 6 * SECOND,
        once,
    }
}

fn asked(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|e| match e {
        Effect::Ask { id, .. } => Some(*id),
        _ => None,
    })
}

/// Ticks by 10 ms until something is asked.
fn next_ask(clients: &mut Clients, now: &mut Micros, until: Micros) -> Option<u64> {
    while *now < until {
        *now += 10 * MS;
        if let Some(id) = asked(&clients.tick(*now)) {
            return Some(id);
        }
    }
    None
}

#[test]
fn a_task_is_asked_for_placed_and_done_when_its_end_is_told() {
    let mut clients = clients(Policy::Fixed);
    let effects = clients.handle(0, Event::Due(wanted(1, false)));
    assert_eq!(
        effects,
        [Effect::Ask {
            key: 1,
            id: 100,
            wait: 6 * SECOND,
            again: false
        }]
    );
    assert_eq!(clients.handle(MS, Event::Word(100, Word::Placed)), []);
    let effects = clients.handle(SECOND, Event::Word(100, Word::Ended));
    assert_eq!(effects, [Effect::Heard(100), Effect::Done(1, Fate::Ran)]);
    assert_eq!(
        clients.handle(SECOND, Event::Word(100, Word::Ended)),
        [Effect::Heard(100)],
        "told again"
    );
    assert_eq!(clients.open(), 0);
}

#[test]
fn policies_space_repeats_as_they_are_named() {
    let waits = |policy| {
        let mut clients = clients(policy);
        let mut now = 0;
        let mut id = asked(&clients.handle(
            now,
            Event::Due(Wanted {
                over: 1_000 * SECOND,
                ..wanted(1, false)
            }),
        ));
        let mut waits = Vec::new();
        while let Some(open) = id.filter(|_| waits.len() < 6) {
            let refused = now;
            clients.handle(now, Event::Word(open, Word::Refused(None)));
            let until = now + 100 * SECOND;
            id = next_ask(&mut clients, &mut now, until);
            waits.push((now - refused) / MS);
        }
        waits
    };
    assert_eq!(waits(Policy::Fixed), [1_000; 6]);
    assert_eq!(
        waits(Policy::Exponential),
        [1_000, 2_000, 4_000, 8_000, 8_000, 8_000]
    );
    let jitter = waits(Policy::Jitter);
    assert!(
        jitter.iter().all(|w| (250..=8_010).contains(w)) && jitter.windows(2).any(|w| w[0] != w[1]),
        "{jitter:?}"
    );
}

#[test]
fn a_refusals_wait_is_honoured_by_those_who_honour() {
    for (honour, least) in [(1.0, 5_000), (0.0, 1_000)] {
        let mut clients = Clients::new(
            Settings {
                honour,
                ..settings(Policy::Fixed)
            },
            1,
            100,
        );
        clients.handle(0, Event::Due(wanted(1, false)));
        clients.handle(0, Event::Word(100, Word::Refused(Some(5 * SECOND))));
        let mut now = 0;
        assert!(next_ask(&mut clients, &mut now, 20 * SECOND).is_some());
        assert_eq!(now / MS, least);
    }
}

#[test]
fn a_budget_bounds_all_repeats_together() {
    let mut clients = clients(Policy::Budget);
    let mut now = 0;
    // Refuses every ask at once, for 200 tasks.
    for key in 0..200 {
        let mut effects = clients.handle(now, Event::Due(wanted(key, false)));
        while let Some(id) = asked(&effects) {
            effects = clients.handle(now, Event::Word(id, Word::Refused(None)));
        }
        now += 10 * MS;
        for id in clients
            .tick(now)
            .iter()
            .filter_map(|e| asked(std::slice::from_ref(e)))
        {
            clients.handle(now, Event::Word(id, Word::Refused(None)));
        }
    }
    while let Some(id) = next_ask(&mut clients, &mut now, 100 * SECOND) {
        clients.handle(now, Event::Word(id, Word::Refused(None)));
    }
    let counts = clients.counts();
    assert!(
        counts.again as f64 <= MOST_TOKENS / 4.0 + 0.1 * counts.first as f64 + 1.0,
        "{counts:?}"
    );
    assert!(counts.unbudgeted > 0 && clients.open() == 0, "{counts:?}");
}

#[test]
fn what_must_not_start_twice_settles_where_an_attempt_may_have_run() {
    let cases: [(&str, Event, bool); 4] = [
        ("refused", Event::Word(100, Word::Refused(None)), false),
        ("failed", Event::Word(100, Word::Failed), true),
        ("broken", Event::Broken(100), true),
        ("unsent", Event::Unsent(100), false),
    ];
    for (name, event, settles) in cases {
        let mut clients = clients(Policy::Fixed);
        clients.handle(0, Event::Due(wanted(1, true)));
        clients.handle(0, event);
        let mut now = 0;
        next_ask(&mut clients, &mut now, 20 * SECOND);
        assert_eq!(now / MS, if settles { 3_000 } else { 1_000 }, "{name}");
    }
    // A host turns out to hold it.
    let mut clients = clients(Policy::Fixed);
    clients.handle(0, Event::Due(wanted(1, true)));
    clients.handle(0, Event::Broken(100));
    let effects = clients.handle(SECOND, Event::Found { key: 1, id: 100 });
    assert_eq!(effects, [Effect::Present { key: 1, id: 100 }]);
    let mut now = SECOND;
    assert_eq!(
        next_ask(&mut clients, &mut now, 10 * SECOND),
        None,
        "not asked for again"
    );
    // One that stands is not found again.
    assert_eq!(clients.handle(now, Event::Found { key: 1, id: 100 }), []);
}

#[test]
fn lost_and_moved_tasks_come_again_soon_and_standing_ones_are_presented_after_a_restart() {
    for word in [Word::Lost, Word::Moved] {
        let mut clients = clients(Policy::Fixed);
        clients.handle(0, Event::Due(wanted(1, false)));
        clients.handle(0, Event::Word(100, Word::Placed));
        clients.sent_to(100, 2);
        assert_eq!(clients.handle(MS, Event::Restarted(1)), []);
        assert_eq!(
            clients.handle(MS, Event::Restarted(2)),
            [Effect::Present { key: 1, id: 100 }]
        );
        clients.handle(SECOND, Event::Word(100, word));
        let mut now = SECOND;
        assert_eq!(
            next_ask(&mut clients, &mut now, 2 * SECOND),
            Some(101),
            "{word:?}"
        );
        assert!(now - SECOND <= 510 * MS);
    }
}

#[test]
fn a_client_gives_up_after_its_limit_and_a_task_after_its_time() {
    let mut clients = clients(Policy::Fixed);
    clients.handle(
        0,
        Event::Due(Wanted {
            over: 10 * SECOND,
            ..wanted(1, false)
        }),
    );
    let effects = clients.tick(6 * SECOND);
    assert_eq!(effects, [Effect::GiveUp(100)]);
    assert!(asked(&clients.tick(7 * SECOND)).is_some());
    clients.handle(
        7 * SECOND,
        Event::Word(101, Word::Refused(Some(5 * SECOND))),
    );
    assert_eq!(
        clients.tick(12 * SECOND),
        [Effect::Done(1, Fate::OverWaiting)]
    );
    // One that stands past its time is waited for a little.
    clients.handle(
        0,
        Event::Due(Wanted {
            over: 10 * SECOND,
            ..wanted(2, false)
        }),
    );
    clients.handle(0, Event::Word(102, Word::Placed));
    assert_eq!(clients.tick(18 * SECOND), []);
    assert_eq!(
        clients.tick(19 * SECOND),
        [Effect::Done(2, Fate::OverStanding)]
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes, every task has at most one open attempt, one that must not start twice is asked
    /// for again only after a refusal, an unsent set-up or its settle time, and every task ends.
    #[test]
    fn no_task_is_lost_and_none_is_asked_for_twice_at_once(
        words in prop::collection::vec((0..12u64, 0..9u8, 0..2_000i64), 1..120),
        policy in 0..4usize,
    ) {
        let mut clients = clients(Policy::ALL[policy]);
        let mut open: BTreeMap<u64, u64> = BTreeMap::new();
        let (mut now, mut due, mut done) = (0, 0u64, 0u64);
        let mut may_run: BTreeMap<u64, Micros> = BTreeMap::new();
        let take = |effects: Vec<Effect>, open: &mut BTreeMap<u64, u64>, may_run: &BTreeMap<u64, Micros>, now: Micros| {
            let mut ended = 0;
            for effect in effects {
                match effect {
                    Effect::Ask { key, id, .. } => {
                        assert!(!open.contains_key(&key), "two at once");
                        assert!(may_run.get(&key).is_none_or(|at| now - at >= 3 * SECOND), "asked again unsettled");
                        open.insert(key, id);
                    }
                    Effect::GiveUp(id) => open.retain(|_, i| *i != id),
                    Effect::Done(key, _) => {
                        open.remove(&key);
                        ended += 1;
                    }
                    _ => {}
                }
            }
            ended
        };
        for (key, what, gap) in words {
            now += gap * MS;
            done += take(clients.tick(now), &mut open, &may_run, now);
            let id = open.get(&key).copied();
            let event = match (what, id) {
                (0, _) if key >= due => {
                    due += 1;
                    Event::Due(Wanted { due: now, over: now + 30 * SECOND, ..wanted(due - 1, due.is_multiple_of(2)) })
                }
                (1, Some(id)) => { open.remove(&key); Event::Word(id, Word::Placed) }
                (2, Some(id)) => { open.remove(&key); may_run.remove(&key); Event::Word(id, Word::Refused(None)) }
                (3, Some(id)) => { open.remove(&key); may_run.insert(key, now); Event::Word(id, Word::Failed) }
                (4, Some(id)) => { open.remove(&key); may_run.insert(key, now); Event::Broken(id) }
                (5, Some(id)) => { open.remove(&key); Event::Unsent(id) }
                (6, _) => Event::Word(100 + key, Word::Lost),
                (7, _) => Event::Word(100 + key, Word::Moved),
                _ => Event::Restarted(0),
            };
            // Only tasks that must not start twice settle.
            may_run.retain(|key, _| (key + 1).is_multiple_of(2));
            done += take(clients.handle(now, event), &mut open, &may_run, now);
        }
        for _ in 0..20_000 {
            now += 10 * MS;
            done += take(clients.tick(now), &mut open, &BTreeMap::new(), now);
        }
        prop_assert_eq!((clients.open(), done), (0, due));
    }
}

//! Tests of the audit.

use super::*;

const ID: u64 = 7;
const SECOND: Micros = 1_000 * MS;

fn rules() -> Rules {
    Rules {
        classes: vec![(false, Some(2)), (true, None)],
        rooms: vec![0, 0, 1],
        ..Rules::default()
    }
}

fn sent(id: u64, class: usize, key: u64) -> Note {
    Note::Sent {
        id,
        key,
        class,
        service: 5,
        placer: 0,
        wait: 6 * SECOND,
        description: 11,
        at: None,
    }
}

fn offered(id: u64, host: usize) -> Note {
    Note::Offered {
        id,
        host,
        description: 11,
    }
}

/// A run of two tasks in which everything is as it should be.
fn good() -> Vec<(Micros, Note)> {
    let mut notes = vec![(0, Note::Placer(0, Life::Started))];
    notes.extend(
        [
            sent(ID, 1, 1),
            offered(ID, 0),
            Note::Said(ID, 0, Said::Down(34)),
            offered(ID, 1),
            Note::Said(ID, 1, Said::Up(22)),
            Note::Told(ID, Told::Placed(22)),
            Note::Said(ID, 1, Said::Down(16)),
            Note::Told(ID, Told::Released(16)),
            sent(8, 0, 2),
            offered(8, 2),
            Note::Stopped(8, 2),
            offered(8, 1),
            Note::Said(8, 1, Said::Up(23)),
            Note::Told(8, Told::Placed(23)),
            Note::Said(8, 1, Said::Down(41)),
            Note::Told(8, Told::Released(41)),
            Note::Listed(0, 0, Listed::Draining),
            sent(9, 0, 3),
            Note::Told(9, Told::Released(42)),
        ]
        .into_iter()
        .enumerate()
        .map(|(n, note)| ((n as Micros + 1) * 100 * MS, note)),
    );
    notes
}

fn broken(notes: &[(Micros, Note)]) -> Vec<Rule> {
    let mut rules: Vec<Rule> = check(notes, &rules(), 60 * SECOND)
        .into_iter()
        .map(|f| f.rule)
        .collect();
    rules.dedup();
    rules
}

#[test]
fn a_run_as_it_should_be_has_no_findings() {
    assert_eq!(check(&good(), &rules(), 60 * SECOND), []);
}

/// Takes out what matches, and puts something in.
fn planted(out: impl Fn(&Note) -> bool, put: Vec<(Micros, Note)>) -> Vec<(Micros, Note)> {
    let mut notes = good();
    notes.retain(|(_, note)| !out(note));
    notes.extend(put);
    notes.sort_by_key(|(at, _)| *at);
    notes
}

#[test]
fn each_planted_violation_is_found_and_only_it() {
    let none = |_: &Note| false;
    let late = 40 * SECOND;
    let cases: Vec<(Rule, Vec<(Micros, Note)>)> = vec![
        (
            Rule::NoAnswer,
            planted(|n| *n == Note::Told(9, Told::Released(42)), vec![]),
        ),
        (
            Rule::NoAnswer,
            planted(
                |n| *n == Note::Told(9, Told::Released(42)),
                vec![(8 * SECOND, Note::GaveUp(9))],
            ),
        ),
        (
            Rule::LateAnswer,
            planted(
                |n| *n == Note::Told(9, Told::Released(42)),
                vec![(1_800 * MS + 6_060 * MS, Note::Told(9, Told::Released(42)))],
            ),
        ),
        (
            Rule::SecondAnswer,
            planted(none, vec![(3 * SECOND, Note::Told(9, Told::Released(42)))]),
        ),
        (
            Rule::SecondAnswer,
            planted(none, vec![(3 * SECOND, Note::Told(ID, Told::Placed(22)))]),
        ),
        (
            Rule::Invented,
            planted(
                none,
                vec![
                    (late, sent(20, 0, 20)),
                    (late + MS, Note::Told(20, Told::Placed(1))),
                ],
            ),
        ),
        (
            Rule::Changed,
            planted(
                |n| *n == offered(8, 1),
                vec![(
                    1_200 * MS,
                    Note::Offered {
                        id: 8,
                        host: 1,
                        description: 12,
                    },
                )],
            ),
        ),
        (
            Rule::Changed,
            planted(
                |n| *n == Note::Told(8, Told::Placed(23)),
                vec![(1_400 * MS, Note::Told(8, Told::Placed(24)))],
            ),
        ),
        // A reset may have run: no second attempt of a task that must not start twice.
        (
            Rule::SentAgain,
            planted(
                |n| *n == Note::Said(ID, 0, Said::Down(34)),
                vec![(300 * MS, Note::Said(ID, 0, Said::Down(41)))],
            ),
        ),
        (
            Rule::SentAgain,
            planted(
                |n| *n == Note::Said(ID, 0, Said::Down(34)),
                vec![(300 * MS, Note::Closed(ID, 0))],
            ),
        ),
        (
            Rule::RanTwice,
            planted(
                none,
                vec![
                    (550 * MS, sent(30, 1, 1)),
                    (560 * MS, offered(30, 2)),
                    (570 * MS, Note::Said(30, 2, Said::Up(9))),
                    (580 * MS, Note::Told(30, Told::Placed(9))),
                    (5 * SECOND, Note::Said(30, 2, Said::Down(16))),
                    (5 * SECOND + MS, Note::Told(30, Told::Released(16))),
                ],
            ),
        ),
        (
            Rule::TwoAtOnce,
            planted(
                |n| *n == Note::Stopped(8, 2),
                vec![(1_300 * MS, Note::Stopped(8, 2))],
            ),
        ),
        (
            Rule::TwoAtOnce,
            planted(|n| *n == Note::Stopped(8, 2), vec![]),
        ),
        (
            Rule::Drain,
            planted(
                none,
                vec![
                    (late, sent(40, 0, 40)),
                    (late, offered(40, 0)),
                    (late + MS, Note::Said(40, 0, Said::Down(34))),
                    (late + 2 * MS, Note::Told(40, Told::Released(42))),
                ],
            ),
        ),
        (
            Rule::Spread,
            planted(
                none,
                (50..53)
                    .flat_map(|id| {
                        let at = late + (id as Micros - 50) * 10 * MS;
                        [
                            (at, sent(id, 0, id)),
                            (at + MS, offered(id, 1)),
                            (at + 2 * MS, Note::Said(id, 1, Said::Up(1))),
                            (at + 3 * MS, Note::Told(id, Told::Placed(1))),
                        ]
                    })
                    .collect(),
            ),
        ),
        (Rule::PushedOver, planted(none, vec![(late, Note::Fell(1))])),
        (
            Rule::EndUntold,
            planted(|n| *n == Note::Told(8, Told::Released(41)), vec![]),
        ),
        (
            Rule::EndUntold,
            planted(
                |n| *n == Note::Told(8, Told::Released(41)),
                vec![(5 * SECOND, Note::Told(8, Told::Released(41)))],
            ),
        ),
        (
            Rule::EndUntold,
            planted(
                |n| {
                    matches!(
                        n,
                        Note::Said(8, _, Said::Down(_)) | Note::Told(8, Told::Released(41))
                    )
                },
                vec![
                    (4 * SECOND, Note::Said(8, 1, Said::Unsent(41))),
                    (13 * SECOND, Note::Told(8, Told::Released(41))),
                ],
            ),
        ),
        (
            Rule::Crash,
            planted(none, vec![(50 * SECOND, Note::Placer(0, Life::Ended(101)))]),
        ),
    ];
    for (rule, notes) in &cases {
        assert_eq!(
            broken(notes),
            [*rule],
            "{:#?}",
            check(notes, &rules(), 60 * SECOND)
        );
    }
    let planted: std::collections::BTreeSet<Rule> = cases.iter().map(|(rule, _)| *rule).collect();
    assert_eq!(
        planted.len(),
        Rule::ALL.len(),
        "every rule has a planted violation"
    );
}

#[test]
fn what_a_placer_can_not_be_blamed_for_is_no_finding() {
    let untold = |n: &Note| *n == Note::Told(9, Told::Released(42));
    for (why, notes) in [
        (
            "killed",
            planted(untold, vec![(1_850 * MS, Note::Placer(0, Life::Killed))]),
        ),
        (
            "stopped",
            planted(
                untold,
                vec![
                    (1_850 * MS, Note::Placer(0, Life::Stopped)),
                    (9 * SECOND, Note::Placer(0, Life::Went)),
                ],
            ),
        ),
        (
            "its connection broke",
            planted(untold, vec![(2 * SECOND, Note::Broken(9))]),
        ),
        (
            "its client gave up early",
            planted(untold, vec![(2 * SECOND, Note::GaveUp(9))]),
        ),
        (
            "told to end",
            planted(
                |_| false,
                vec![
                    (50 * SECOND, Note::Placer(0, Life::Told)),
                    (51 * SECOND, Note::Placer(0, Life::Ended(0))),
                ],
            ),
        ),
        (
            "a copy elsewhere ended, whose start nobody heard",
            planted(
                |_| false,
                vec![
                    (1_050 * MS, Note::Said(8, 2, Said::Up(29))),
                    (1_550 * MS, Note::Said(8, 2, Said::Down(16))),
                ],
            ),
        ),
        (
            "told again",
            planted(
                |_| false,
                vec![(3 * SECOND, Note::Told(8, Told::Released(41)))],
            ),
        ),
    ] {
        assert_eq!(check(&notes, &rules(), 60 * SECOND), [], "{why}");
    }
    // A task that must not start twice may start again once the first is gone.
    let again = planted(
        |_| false,
        vec![
            (late(0), sent(60, 1, 1)),
            (late(1), offered(60, 2)),
            (late(2), Note::Said(60, 2, Said::Up(1))),
            (late(3), Note::Told(60, Told::Placed(1))),
        ],
    );
    assert_eq!(check(&again, &rules(), 60 * SECOND), []);
}

/// A link that is not whole from then to then.
fn bad(placer: usize, peer: Peer, from: Micros, to: Micros) -> [(Micros, Note); 2] {
    [
        (
            from,
            Note::Link {
                placer,
                peer,
                whole: false,
            },
        ),
        (
            to,
            Note::Link {
                placer,
                peer,
                whole: true,
            },
        ),
    ]
}

#[test]
fn what_a_bad_link_held_back_is_no_finding_and_what_another_did_is_one() {
    // By rule: its planted violation, when it shows, and the link that could be the cause.
    type Case = (Rule, Vec<(Micros, Note)>, Micros, Peer);
    let cases: Vec<Case> = vec![
        (
            Rule::NoAnswer,
            planted(|n| *n == Note::Told(9, Told::Released(42)), vec![]),
            2 * SECOND,
            Peer::Clients,
        ),
        (
            Rule::TwoAtOnce,
            planted(|n| *n == Note::Stopped(8, 2), vec![]),
            1_150 * MS,
            Peer::Host(4),
        ),
        (
            Rule::EndUntold,
            planted(|n| *n == Note::Told(8, Told::Released(41)), vec![]),
            1_600 * MS,
            Peer::Host(3),
        ),
        (
            Rule::EndUntold,
            planted(|n| *n == Note::Told(8, Told::Released(41)), vec![]),
            1_600 * MS,
            Peer::Clients,
        ),
        (
            Rule::Drain,
            planted(
                |_| false,
                vec![(late(0), sent(60, 0, 9)), (late(1), offered(60, 0))],
            ),
            5 * SECOND,
            Peer::Feed,
        ),
    ];
    let rules = Rules {
        places: vec![2, 3, 4],
        ..rules()
    };
    for (rule, notes, at, peer) in cases {
        let of = |more: [(Micros, Note); 2]| -> bool {
            let notes: Vec<_> = notes.iter().cloned().chain(more).collect();
            check(&notes, &rules, 60 * SECOND)
                .iter()
                .any(|f| f.rule == rule)
        };
        assert!(
            !of(bad(0, peer, at - 10 * MS, at + 10 * MS)),
            "{rule:?}: {peer:?} held it back"
        );
        assert!(
            of(bad(1, peer, at - 10 * MS, at + 10 * MS)),
            "{rule:?}: a link of another placer"
        );
        assert!(
            of(bad(0, Peer::Host(9), at - 10 * MS, at + 10 * MS)),
            "{rule:?}: another link"
        );
        assert!(of(bad(0, peer, 0, 10 * MS)), "{rule:?}: {peer:?} before");
    }
}

fn late(n: Micros) -> Micros {
    40 * SECOND + n * MS
}

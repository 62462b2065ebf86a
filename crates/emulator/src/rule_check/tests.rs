//! Tests of the rule checker.

use super::rule::MILLISECOND;
use super::*;
use crate::event_log::{ClientNotice, Event, HostReport, ListedState, Peer, ProcessChange};
use std::collections::BTreeSet;

const ID: u64 = 7;
const SECOND: Micros = 1_000 * MILLISECOND;

fn settings() -> RuleSettings {
    RuleSettings {
        classes: vec![
            ClassRules {
                non_idempotent: false,
                max_per_zone: Some(2),
            },
            ClassRules {
                non_idempotent: true,
                max_per_zone: None,
            },
        ],
        host_zones: vec![0, 0, 1],
        ..RuleSettings::default()
    }
}

fn requested(id: u64, class: usize, key: u64) -> Event {
    Event::TaskRequested {
        id,
        key,
        class,
        service: 5,
        placer: 0,
        wait: 6 * SECOND,
        description: 11,
        running_at: None,
    }
}

fn offered(id: u64, host: usize) -> Event {
    Event::OfferReceived {
        id,
        host,
        description: 11,
    }
}

fn notified(id: u64, notice: ClientNotice) -> Event {
    Event::ClientNotified { id, notice }
}

fn reported(id: u64, host: usize, report: HostReport) -> Event {
    Event::HostReported { id, host, report }
}

fn stopped(id: u64, host: usize) -> Event {
    Event::AttemptStopped { id, host }
}

fn placer_changed(change: ProcessChange) -> Event {
    Event::PlacerChanged { placer: 0, change }
}

/// Returns the events of a run of three requests that violates no rule.
fn correct_run() -> Vec<TimedEvent> {
    let mut events = vec![(0, placer_changed(ProcessChange::Started))];
    events.extend(
        [
            requested(ID, 1, 1),
            offered(ID, 0),
            reported(ID, 0, HostReport::Ended(34)),
            offered(ID, 1),
            reported(ID, 1, HostReport::Running(22)),
            notified(ID, ClientNotice::Placed(22)),
            reported(ID, 1, HostReport::Ended(16)),
            notified(ID, ClientNotice::Released(16)),
            requested(8, 0, 2),
            offered(8, 2),
            stopped(8, 2),
            offered(8, 1),
            reported(8, 1, HostReport::Running(23)),
            notified(8, ClientNotice::Placed(23)),
            reported(8, 1, HostReport::Ended(41)),
            notified(8, ClientNotice::Released(41)),
            Event::HostListed {
                placer: 0,
                host: 0,
                state: ListedState::Draining,
            },
            requested(9, 0, 3),
            notified(9, ClientNotice::Released(42)),
        ]
        .into_iter()
        .enumerate()
        .map(|(n, event)| ((n as Micros + 1) * 100 * MILLISECOND, event)),
    );
    events
}

fn violated_rules(events: &[TimedEvent]) -> Vec<Rule> {
    let mut rules: Vec<Rule> = check(events, &settings(), 60 * SECOND)
        .into_iter()
        .map(|finding| finding.rule)
        .collect();
    rules.dedup();
    rules
}

#[test]
fn correct_run_has_no_findings() {
    assert_eq!(check(&correct_run(), &settings(), 60 * SECOND), []);
}

/// Returns the correct run without the events that `remove` selects, and with additional events.
fn altered_run(remove: impl Fn(&Event) -> bool, add: Vec<TimedEvent>) -> Vec<TimedEvent> {
    let mut events = correct_run();
    events.retain(|(_, event)| !remove(event));
    events.extend(add);
    events.sort_by_key(|(at, _)| *at);
    events
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn each_violation_is_found_and_nothing_else() {
    let none = |_: &Event| false;
    let late = 40 * SECOND;
    let cases: Vec<(Rule, Vec<TimedEvent>)> = vec![
        (
            Rule::Answer,
            altered_run(|n| *n == notified(9, ClientNotice::Released(42)), vec![]),
        ),
        (
            Rule::Answer,
            altered_run(
                |n| *n == notified(9, ClientNotice::Released(42)),
                vec![(8 * SECOND, Event::ClientGaveUp { id: 9 })],
            ),
        ),
        (
            Rule::PromptAnswer,
            altered_run(
                |n| *n == notified(9, ClientNotice::Released(42)),
                vec![(
                    1_800 * MILLISECOND + 6_060 * MILLISECOND,
                    notified(9, ClientNotice::Released(42)),
                )],
            ),
        ),
        (
            Rule::SingleAnswer,
            altered_run(
                none,
                vec![(3 * SECOND, notified(9, ClientNotice::Released(42)))],
            ),
        ),
        (
            Rule::SingleAnswer,
            altered_run(
                none,
                vec![(3 * SECOND, notified(ID, ClientNotice::Placed(22)))],
            ),
        ),
        (
            Rule::ConfirmedPlacement,
            altered_run(
                none,
                vec![
                    (late, requested(20, 0, 20)),
                    (late + MILLISECOND, notified(20, ClientNotice::Placed(1))),
                ],
            ),
        ),
        (
            Rule::UnchangedDescription,
            altered_run(
                |n| *n == offered(8, 1),
                vec![(
                    1_200 * MILLISECOND,
                    Event::OfferReceived {
                        id: 8,
                        host: 1,
                        description: 12,
                    },
                )],
            ),
        ),
        (
            Rule::UnchangedDescription,
            altered_run(
                |n| *n == notified(8, ClientNotice::Placed(23)),
                vec![(1_400 * MILLISECOND, notified(8, ClientNotice::Placed(24)))],
            ),
        ),
        // An attempt that ended without a rejection may have started the task: a non-idempotent task must not be
        // retried.
        (
            Rule::SafeRetry,
            altered_run(
                |n| *n == reported(ID, 0, HostReport::Ended(34)),
                vec![(300 * MILLISECOND, reported(ID, 0, HostReport::Ended(41)))],
            ),
        ),
        (
            Rule::SafeRetry,
            altered_run(
                |n| *n == reported(ID, 0, HostReport::Ended(34)),
                vec![(
                    300 * MILLISECOND,
                    Event::OfferConnectionClosed { id: ID, host: 0 },
                )],
            ),
        ),
        (
            Rule::SingleRun,
            altered_run(
                none,
                vec![
                    (550 * MILLISECOND, requested(30, 1, 1)),
                    (560 * MILLISECOND, offered(30, 2)),
                    (570 * MILLISECOND, reported(30, 2, HostReport::Running(9))),
                    (580 * MILLISECOND, notified(30, ClientNotice::Placed(9))),
                    (5 * SECOND, reported(30, 2, HostReport::Ended(16))),
                    (
                        5 * SECOND + MILLISECOND,
                        notified(30, ClientNotice::Released(16)),
                    ),
                ],
            ),
        ),
        (
            Rule::SingleAttempt,
            altered_run(
                |n| *n == stopped(8, 2),
                vec![(1_300 * MILLISECOND, stopped(8, 2))],
            ),
        ),
        (
            Rule::SingleAttempt,
            altered_run(|n| *n == stopped(8, 2), vec![]),
        ),
        (
            Rule::RespectDrain,
            altered_run(
                none,
                vec![
                    (late, requested(40, 0, 40)),
                    (late, offered(40, 0)),
                    (late + MILLISECOND, reported(40, 0, HostReport::Ended(34))),
                    (
                        late + 2 * MILLISECOND,
                        notified(40, ClientNotice::Released(42)),
                    ),
                ],
            ),
        ),
        (
            Rule::ZoneLimit,
            altered_run(
                none,
                (50..53)
                    .flat_map(|id| {
                        let at = late + (id as Micros - 50) * 10 * MILLISECOND;
                        [
                            (at, requested(id, 0, id)),
                            (at + MILLISECOND, offered(id, 1)),
                            (
                                at + 2 * MILLISECOND,
                                reported(id, 1, HostReport::Running(1)),
                            ),
                            (at + 3 * MILLISECOND, notified(id, ClientNotice::Placed(1))),
                        ]
                    })
                    .collect(),
            ),
        ),
        (
            Rule::SlowStart,
            altered_run(none, vec![(late, Event::HostOverloaded { host: 1 })]),
        ),
        (
            Rule::EndNotice,
            altered_run(|n| *n == notified(8, ClientNotice::Released(41)), vec![]),
        ),
        (
            Rule::EndNotice,
            altered_run(
                |n| *n == notified(8, ClientNotice::Released(41)),
                vec![(5 * SECOND, notified(8, ClientNotice::Released(41)))],
            ),
        ),
        (
            Rule::EndNotice,
            altered_run(
                |n| {
                    matches!(
                        n,
                        Event::HostReported {
                            id: 8,
                            report: HostReport::Ended(_),
                            ..
                        } | Event::ClientNotified {
                            id: 8,
                            notice: ClientNotice::Released(41)
                        }
                    )
                },
                vec![
                    (4 * SECOND, reported(8, 1, HostReport::EndedUndelivered(41))),
                    (13 * SECOND, notified(8, ClientNotice::Released(41))),
                ],
            ),
        ),
        (
            Rule::CleanExit,
            altered_run(
                none,
                vec![(50 * SECOND, placer_changed(ProcessChange::Exited(101)))],
            ),
        ),
    ];
    for (rule, events) in &cases {
        assert_eq!(
            violated_rules(events),
            [*rule],
            "{:#?}",
            check(events, &settings(), 60 * SECOND)
        );
    }
    let covered: BTreeSet<Rule> = cases.iter().map(|(rule, _)| *rule).collect();
    assert_eq!(
        covered.len(),
        Rule::ALL.len(),
        "some rules have no violating case"
    );
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn placer_is_excused_for_what_it_could_not_do() {
    let unanswered = |n: &Event| *n == notified(9, ClientNotice::Released(42));
    for (why, events) in [
        (
            "killed",
            altered_run(
                unanswered,
                vec![(1_850 * MILLISECOND, placer_changed(ProcessChange::Killed))],
            ),
        ),
        (
            "paused",
            altered_run(
                unanswered,
                vec![
                    (1_850 * MILLISECOND, placer_changed(ProcessChange::Paused)),
                    (9 * SECOND, placer_changed(ProcessChange::Resumed)),
                ],
            ),
        ),
        (
            "client disconnected",
            altered_run(
                unanswered,
                vec![(2 * SECOND, Event::ClientDisconnected { id: 9 })],
            ),
        ),
        (
            "client gave up early",
            altered_run(
                unanswered,
                vec![(2 * SECOND, Event::ClientGaveUp { id: 9 })],
            ),
        ),
        (
            "termination requested",
            altered_run(
                |_| false,
                vec![
                    (
                        50 * SECOND,
                        placer_changed(ProcessChange::TerminationRequested),
                    ),
                    (51 * SECOND, placer_changed(ProcessChange::Exited(0))),
                ],
            ),
        ),
        (
            "an unconfirmed start elsewhere ended",
            altered_run(
                |_| false,
                vec![
                    (1_050 * MILLISECOND, reported(8, 2, HostReport::Running(29))),
                    (1_550 * MILLISECOND, reported(8, 2, HostReport::Ended(16))),
                ],
            ),
        ),
        (
            "end notice repeated",
            altered_run(
                |_| false,
                vec![(3 * SECOND, notified(8, ClientNotice::Released(41)))],
            ),
        ),
    ] {
        assert_eq!(check(&events, &settings(), 60 * SECOND), [], "{why}");
    }
    // A non-idempotent task may run again once its first run has ended.
    let again = altered_run(
        |_| false,
        vec![
            (late(0), requested(60, 1, 1)),
            (late(1), offered(60, 2)),
            (late(2), reported(60, 2, HostReport::Running(1))),
            (late(3), notified(60, ClientNotice::Placed(1))),
        ],
    );
    assert_eq!(check(&again, &settings(), 60 * SECOND), []);
}

/// Returns the events of a link that is impaired from `from` to `to`.
fn outage(placer: usize, peer: Peer, from: Micros, to: Micros) -> [TimedEvent; 2] {
    [
        (
            from,
            Event::LinkChanged {
                placer,
                peer,
                intact: false,
            },
        ),
        (
            to,
            Event::LinkChanged {
                placer,
                peer,
                intact: true,
            },
        ),
    ]
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn only_an_outage_of_the_link_concerned_excuses_a_violation() {
    // The violated rule, a run that violates it, the time of the violation, and the link that could be its cause.
    type Case = (Rule, Vec<TimedEvent>, Micros, Peer);
    let cases: Vec<Case> = vec![
        (
            Rule::Answer,
            altered_run(|n| *n == notified(9, ClientNotice::Released(42)), vec![]),
            2 * SECOND,
            Peer::Clients,
        ),
        (
            Rule::SingleAttempt,
            altered_run(|n| *n == stopped(8, 2), vec![]),
            1_150 * MILLISECOND,
            Peer::Host(4),
        ),
        (
            Rule::EndNotice,
            altered_run(|n| *n == notified(8, ClientNotice::Released(41)), vec![]),
            1_600 * MILLISECOND,
            Peer::Host(3),
        ),
        (
            Rule::EndNotice,
            altered_run(|n| *n == notified(8, ClientNotice::Released(41)), vec![]),
            1_600 * MILLISECOND,
            Peer::Clients,
        ),
        (
            Rule::RespectDrain,
            altered_run(
                |_| false,
                vec![(late(0), requested(60, 0, 9)), (late(1), offered(60, 0))],
            ),
            5 * SECOND,
            Peer::Feed,
        ),
    ];
    let settings = RuleSettings {
        host_slots: vec![2, 3, 4],
        ..settings()
    };
    for (rule, events, at, peer) in cases {
        let is_found = |more: [TimedEvent; 2]| -> bool {
            let events: Vec<_> = events.iter().cloned().chain(more).collect();
            check(&events, &settings, 60 * SECOND)
                .iter()
                .any(|finding| finding.rule == rule)
        };
        assert!(
            !is_found(outage(
                0,
                peer,
                at - 10 * MILLISECOND,
                at + 10 * MILLISECOND
            )),
            "{rule:?}: found although {peer:?} was impaired"
        );
        assert!(
            is_found(outage(
                1,
                peer,
                at - 10 * MILLISECOND,
                at + 10 * MILLISECOND
            )),
            "{rule:?}: excused by an outage of another placer's link"
        );
        assert!(
            is_found(outage(
                0,
                Peer::Host(9),
                at - 10 * MILLISECOND,
                at + 10 * MILLISECOND
            )),
            "{rule:?}: excused by an outage of another link"
        );
        assert!(
            is_found(outage(0, peer, 0, 10 * MILLISECOND)),
            "{rule:?}: excused by an earlier outage of {peer:?}"
        );
    }
}

fn late(n: Micros) -> Micros {
    40 * SECOND + n * MILLISECOND
}

//! Checks of what clients are notified of: one answer in time, a placement only if a host has confirmed it, and the end
//! of the task.

use super::rule::{Finding, Rule};
use super::run::{Request, Run};
use crate::event_log::{ClientNotice, Event, HostReport, Peer, TimedEvent};
use crate::host_model::Micros;

/// The cause with which a host reports that the placer itself has stopped a task.
const STOPPED_BY_PLACER: u8 = 31;

/// The notices that the client of a request received.
#[derive(Default)]
struct Answers {
    first: Option<(Micros, ClientNotice)>,
    /// Whether the request was answered more than once.
    repeated: bool,
    /// The time when the client first gave up or lost its connection.
    abandoned: Option<Micros>,
}

impl Answers {
    fn of(events: &[&TimedEvent]) -> Answers {
        let mut answers = Answers::default();
        for (at, event) in events {
            match event {
                Event::ClientNotified { notice, .. } => match (answers.first, notice) {
                    (None, _) => answers.first = Some((*at, *notice)),
                    // After a placement, these notices report the end of the task, and may be repeated.
                    (
                        Some((_, ClientNotice::Placed(_))),
                        ClientNotice::Released(_) | ClientNotice::Migrated,
                    ) => {}
                    _ => answers.repeated = true,
                },
                Event::ClientGaveUp { .. } | Event::ClientDisconnected { .. } => {
                    answers.abandoned = answers.abandoned.or(Some(*at));
                }
                _ => {}
            }
        }
        answers
    }
}

/// Checks that a request is answered once and in time, that a placement is one that a host has reported, and that
/// descriptions are unchanged.
pub(super) fn check_answer(run: &Run<'_>, id: u64, findings: &mut Vec<Finding>) {
    let Some(request) = run.request(id) else {
        return;
    };
    let events = run.events_of(id);
    let answers = Answers::of(&events);
    if answers.repeated {
        findings.push(run.finding(Rule::SingleAnswer, id));
    }
    if let Some(rule) = timing_violation(run, &request, &answers) {
        findings.push(run.finding(rule, id));
    }
    let altered = events.iter().any(|(_, event)| {
        matches!(event, Event::OfferReceived { description, .. } if *description != request.description)
    });
    if altered {
        findings.push(run.finding(Rule::UnchangedDescription, id));
    }
    if let Some((at, ClientNotice::Placed(description))) = answers.first {
        let reported: Vec<u64> = running_reports(&events, at + run.settings.time_tolerance);
        if reported.is_empty() {
            findings.push(run.finding(Rule::ConfirmedPlacement, id));
        } else if !reported.contains(&description) {
            findings.push(run.finding(Rule::UnchangedDescription, id));
        }
    }
}

/// Returns the rule that the time of the first answer violates, if any.
fn timing_violation(run: &Run<'_>, request: &Request, answers: &Answers) -> Option<Rule> {
    let settings = run.settings;
    let timeout = request.at + request.wait;
    let deadline = timeout + settings.answer_grace + settings.time_tolerance;
    let excused = run.placer_inactive(request.placer, request.at, deadline)
        || run.link_impaired(request.placer, Peer::Clients, request.at, deadline);
    if excused {
        return None;
    }
    match answers.first {
        Some((at, _)) => (at > deadline).then_some(Rule::PromptAnswer),
        None if run.end > deadline => {
            // A client that gave up at its timeout should have been answered before; one that left earlier need not
            // have been.
            let left_early = answers
                .abandoned
                .is_some_and(|at| at < timeout - settings.time_tolerance);
            (!left_early).then_some(Rule::Answer)
        }
        None => None,
    }
}

/// Returns the fingerprints of the descriptions with which hosts had reported the task as running up to `until`.
fn running_reports(events: &[&TimedEvent], until: Micros) -> Vec<u64> {
    let reports = events.iter().filter_map(|(at, event)| match event {
        Event::HostReported {
            report: HostReport::Running(description),
            ..
        } if *at <= until => Some(*description),
        _ => None,
    });
    reports.collect()
}

/// A task that its client knew to be running, and that has ended.
struct EndedTask {
    /// The time when the client was notified of the placement, or reconnected to the running task.
    placed_at: Micros,
    host: usize,
    ended_at: Micros,
    /// The time within which the client must be notified of the end.
    limit: Micros,
}

/// Checks that the client of a running task is notified of its end in time.
pub(super) fn check_end_notice(run: &Run<'_>, id: u64, findings: &mut Vec<Finding>) {
    let events = run.events_of(id);
    let Some(task) = ended_task(run, &events) else {
        return;
    };
    let deadline = task.ended_at.max(task.placed_at) + task.limit + run.settings.time_tolerance;
    let placer = events.iter().rev().find_map(|(_, event)| match event {
        Event::TaskRequested { placer, .. } => Some(*placer),
        _ => None,
    });
    let excused = placer.is_some_and(|placer| {
        run.link_impaired(placer, Peer::Clients, task.ended_at, deadline)
            || run.host_link_impaired(placer, task.host, task.ended_at, deadline)
            || run.placer_inactive(placer, task.placed_at, deadline)
    });
    let notified = events.iter().any(|(at, event)| {
        let is_end = matches!(
            event,
            Event::ClientNotified {
                notice: ClientNotice::Released(_) | ClientNotice::Migrated,
                ..
            }
        );
        is_end && *at >= task.placed_at && *at <= deadline
    });
    // A client that ended the task itself need not be notified.
    let given_up = events
        .iter()
        .any(|(_, event)| matches!(event, Event::ClientGaveUp { .. }));
    if !notified && !excused && !given_up && run.end > deadline {
        findings.push(run.finding(Rule::EndNotice, id));
    }
}

/// Returns the end of a task on the host that its client knows of, if it has ended there. The end of a start on another
/// host, of which no client was notified, needs no notice.
fn ended_task(run: &Run<'_>, events: &[&TimedEvent]) -> Option<EndedTask> {
    let mut placed: Option<(Micros, Option<usize>)> = None;
    let mut ended = None;
    for (at, event) in events {
        match event {
            Event::ClientNotified {
                notice: ClientNotice::Placed(description),
                ..
            } if placed.is_none() => placed = Some((*at, reporting_host(events, *description))),
            Event::TaskRequested {
                running_at: Some(host),
                ..
            } if placed.is_none() => placed = Some((*at, Some(*host))),
            Event::HostReported { host, report, .. }
                if placed.and_then(|(_, host)| host) == Some(*host) =>
            {
                let limit = match report {
                    HostReport::Ended(STOPPED_BY_PLACER)
                    | HostReport::EndedUndelivered(STOPPED_BY_PLACER) => continue,
                    HostReport::Ended(_) => run.settings.end_notice_limit,
                    HostReport::EndedUndelivered(_) => run.settings.undelivered_end_limit,
                    HostReport::Running(_) | HostReport::ConnectionReset => continue,
                };
                ended = ended.or(Some((*at, limit)));
            }
            _ => {}
        }
    }
    let ((placed_at, host), (ended_at, limit)) = placed.zip(ended)?;
    Some(EndedTask {
        placed_at,
        host: host?,
        ended_at,
        limit,
    })
}

/// Returns the host that reported the task as running with this description.
fn reporting_host(events: &[&TimedEvent], description: u64) -> Option<usize> {
    events.iter().find_map(|(_, event)| match event {
        Event::HostReported {
            host,
            report: HostReport::Running(reported),
            ..
        } if *reported == description => Some(*host),
        _ => None,
    })
}

//! Checks of the attempts to place tasks: one attempt of a request at a time, and no second start of a non-idempotent
//! task.

use super::rule::{Finding, Rule};
use super::run::{Run, is_rejection};
use crate::event_log::{Event, HostReport, TimedEvent};
use crate::host_model::Micros;
use std::collections::{BTreeMap, HashMap};

/// One offer of a task to a host, and how it ended.
struct Attempt {
    host: usize,
    offered_at: Micros,
    end: Option<AttemptEnd>,
}

/// The event that ended an attempt.
struct AttemptEnd {
    at: Micros,
    /// Whether the host rejected the offer, which proves that nothing ran.
    rejected: bool,
}

/// Checks that a request never has two attempts in flight, and that a non-idempotent task is not offered again after an
/// attempt that may have started it.
pub(super) fn check_attempts(run: &Run<'_>, id: u64, findings: &mut Vec<Finding>) {
    let Some(request) = run.request(id) else {
        return;
    };
    let (mut overlapping, mut unsafe_retry) = (false, false);
    for pair in attempts(&run.events_of(id)).windows(2) {
        let [attempt, next] = pair else {
            continue;
        };
        // The withdrawal of the first offer may have been delayed on the impaired link.
        if run.host_link_impaired(
            request.placer,
            attempt.host,
            attempt.offered_at,
            next.offered_at,
        ) {
            continue;
        }
        match &attempt.end {
            Some(end) => {
                overlapping |= next.offered_at + run.settings.time_tolerance < end.at;
                unsafe_retry |=
                    run.non_idempotent(request.class) && !end.rejected && next.offered_at > end.at;
            }
            None => overlapping = true,
        }
    }
    if overlapping {
        findings.push(run.finding(Rule::SingleAttempt, id));
    }
    if unsafe_retry {
        findings.push(run.finding(Rule::SafeRetry, id));
    }
}

fn attempts(events: &[&TimedEvent]) -> Vec<Attempt> {
    let mut attempts: Vec<Attempt> = Vec::new();
    for (at, event) in events {
        let (host, rejected) = match event {
            Event::OfferReceived { host, .. } => {
                attempts.push(Attempt {
                    host: *host,
                    offered_at: *at,
                    end: None,
                });
                continue;
            }
            Event::HostReported { host, report, .. } => match report {
                HostReport::Ended(cause) | HostReport::EndedUndelivered(cause) => {
                    (*host, is_rejection(*cause))
                }
                HostReport::Running(_) | HostReport::ConnectionReset => (*host, false),
            },
            Event::AttemptStopped { host, .. } | Event::OfferConnectionClosed { host, .. } => {
                (*host, false)
            }
            _ => continue,
        };
        let latest = attempts
            .iter_mut()
            .rev()
            .find(|attempt| attempt.host == host);
        if let Some(attempt) = latest
            && attempt.end.is_none()
        {
            attempt.end = Some(AttemptEnd { at: *at, rejected });
        }
    }
    attempts
}

/// An interval in which a task ran on a host.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TaskRun {
    from: Micros,
    to: Micros,
    id: u64,
    host: usize,
}

/// Checks that no non-idempotent task ran twice at the same time, counting all requests with the same idempotency key.
pub(super) fn check_concurrent_runs(run: &Run<'_>, findings: &mut Vec<Finding>) {
    for mut runs in runs_by_key(run).into_values() {
        runs.sort_unstable();
        for pair in runs.windows(2) {
            let [earlier, later] = pair else { continue };
            if later.from < earlier.to {
                let evidence = [earlier.id, later.id]
                    .into_iter()
                    .flat_map(|id| run.events_of(id))
                    .cloned()
                    .collect();
                findings.push(Finding {
                    rule: Rule::SingleRun,
                    id: later.id,
                    evidence,
                });
            }
        }
    }
}

/// Collects the runs of non-idempotent tasks by idempotency key.
struct RunCollector {
    keys: HashMap<u64, u64>,
    /// The start times of the tasks that are still running, by request and host.
    open: HashMap<(u64, usize), Micros>,
    runs: BTreeMap<u64, Vec<TaskRun>>,
}

impl RunCollector {
    fn end(&mut self, id: u64, host: usize, at: Micros) {
        if let Some(from) = self.open.remove(&(id, host))
            && let Some(key) = self.keys.get(&id)
        {
            self.runs.entry(*key).or_default().push(TaskRun {
                from,
                to: at,
                id,
                host,
            });
        }
    }

    fn end_all(&mut self, at: Micros, matches: impl Fn(usize) -> bool) {
        let ended: Vec<(u64, usize)> = self
            .open
            .keys()
            .filter(|(_, host)| matches(*host))
            .copied()
            .collect();
        for (id, host) in ended {
            self.end(id, host, at);
        }
    }
}

fn runs_by_key(run: &Run<'_>) -> BTreeMap<u64, Vec<TaskRun>> {
    let keys = run.events.iter().filter_map(|(_, event)| match event {
        Event::TaskRequested { id, key, class, .. } if run.non_idempotent(*class) => {
            Some((*id, *key))
        }
        _ => None,
    });
    let mut collector = RunCollector {
        keys: keys.collect(),
        open: HashMap::new(),
        runs: BTreeMap::new(),
    };
    for (at, event) in run.events {
        match event {
            Event::HostReported { id, host, report } => match report {
                HostReport::Running(_) => {
                    collector.open.insert((*id, *host), *at);
                }
                HostReport::Ended(_) | HostReport::EndedUndelivered(_) => {
                    collector.end(*id, *host, *at);
                }
                HostReport::ConnectionReset => {}
            },
            Event::AttemptStopped { id, host } => collector.end(*id, *host, *at),
            Event::HostDied { host } => collector.end_all(*at, |other| other == *host),
            _ => {}
        }
    }
    collector.end_all(run.end, |_| true);
    collector.runs
}

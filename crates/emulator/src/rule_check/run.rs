//! The index of a run that the checks use: its events by request, the history of each placer's process, and the outages
//! of links.

use super::rule::{ClassRules, Finding, Rule, RuleSettings};
use crate::event_log::{Event, Peer, ProcessChange, TimedEvent};
use crate::host_model::Micros;
use std::collections::{BTreeMap, HashMap};

/// The history of the consecutive processes of one placer.
#[derive(Default)]
pub(super) struct ProcessHistory {
    pub(super) changes: Vec<(Micros, ProcessChange)>,
}

impl ProcessHistory {
    /// Returns the number of processes that had been started up to `at`.
    pub(super) fn incarnation(&self, at: Micros) -> usize {
        self.changes
            .iter()
            .filter(|(since, change)| *since <= at && *change == ProcessChange::Started)
            .count()
    }

    /// Returns whether there was an instant between `from` and `to` at which no process of the placer could act,
    /// because it was paused, killed or had exited.
    fn was_inactive(&self, from: Micros, to: Micros) -> bool {
        let mut inactive_since = None;
        for (at, change) in &self.changes {
            match change {
                ProcessChange::Paused | ProcessChange::Killed | ProcessChange::Exited(_) => {
                    inactive_since = inactive_since.or(Some(*at));
                }
                ProcessChange::Resumed | ProcessChange::Started => {
                    if inactive_since
                        .take()
                        .is_some_and(|since| since <= to && *at >= from)
                    {
                        return true;
                    }
                }
                ProcessChange::TerminationRequested => {}
            }
        }
        inactive_since.is_some_and(|since| since <= to)
    }
}

/// An interval in which a link was impaired. It has no end if the link is still impaired.
struct Outage {
    from: Micros,
    to: Option<Micros>,
}

/// A request for a new task, as its client sent it.
#[derive(Clone, Copy)]
pub(super) struct Request {
    pub(super) at: Micros,
    pub(super) placer: usize,
    pub(super) class: usize,
    pub(super) service: u64,
    pub(super) wait: Micros,
    /// The fingerprint of the task's description.
    pub(super) description: u64,
}

/// The indexed events of a run, and the settings of the check.
pub(super) struct Run<'a> {
    pub(super) settings: &'a RuleSettings,
    /// The time at which the run ended.
    pub(super) end: Micros,
    /// All events, ordered by time.
    pub(super) events: &'a [TimedEvent],
    pub(super) processes: BTreeMap<usize, ProcessHistory>,
    outages: BTreeMap<(usize, Peer), Vec<Outage>>,
    /// The indices into `events` of the events of each request, by its id.
    by_request: HashMap<u64, Vec<usize>>,
}

impl<'a> Run<'a> {
    /// Indexes events, which must be ordered by time.
    pub(super) fn new(
        events: &'a [TimedEvent],
        settings: &'a RuleSettings,
        end: Micros,
    ) -> Run<'a> {
        let mut run = Run {
            settings,
            end,
            events,
            processes: BTreeMap::new(),
            outages: BTreeMap::new(),
            by_request: HashMap::new(),
        };
        for (n, (at, event)) in events.iter().enumerate() {
            if let Some(id) = event.request_id() {
                run.by_request.entry(id).or_default().push(n);
            }
            match event {
                Event::PlacerChanged { placer, change } => {
                    let history = run.processes.entry(*placer).or_default();
                    history.changes.push((*at, *change));
                }
                Event::LinkChanged {
                    placer,
                    peer,
                    intact,
                } => run.link_changed(*at, *placer, *peer, *intact),
                _ => {}
            }
        }
        run
    }

    fn link_changed(&mut self, at: Micros, placer: usize, peer: Peer, intact: bool) {
        let outages = self.outages.entry((placer, peer)).or_default();
        match outages.last_mut().filter(|outage| outage.to.is_none()) {
            Some(open) if intact => open.to = Some(at),
            None if !intact => outages.push(Outage { from: at, to: None }),
            _ => {}
        }
    }

    /// Returns the ids of all requests in ascending order.
    pub(super) fn request_ids(&self) -> Vec<u64> {
        let mut ids: Vec<u64> = self.by_request.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the events of a request, ordered by time.
    pub(super) fn events_of(&self, id: u64) -> Vec<&'a TimedEvent> {
        let events = self.events;
        self.by_request
            .get(&id)
            .into_iter()
            .flatten()
            .filter_map(|n| events.get(*n))
            .collect()
    }

    /// Returns a finding with all events of the request as evidence.
    pub(super) fn finding(&self, rule: Rule, id: u64) -> Finding {
        let evidence = self.events_of(id).into_iter().cloned().collect();
        Finding { rule, id, evidence }
    }

    /// Returns the request for a new task with this id, or `None` if the request only reconnects to a running task.
    pub(super) fn request(&self, id: u64) -> Option<Request> {
        self.events_of(id)
            .iter()
            .find_map(|(at, event)| match event {
                Event::TaskRequested {
                    placer,
                    class,
                    service,
                    wait,
                    description,
                    running_at: None,
                    ..
                } => Some(Request {
                    at: *at,
                    placer: *placer,
                    class: *class,
                    service: *service,
                    wait: *wait,
                    description: *description,
                }),
                _ => None,
            })
    }

    /// Returns whether a link was impaired at any time between `from` and `to`, so that a message sent on it may have
    /// been delayed. The end of an outage is extended by the time tolerance.
    pub(super) fn link_impaired(
        &self,
        placer: usize,
        peer: Peer,
        from: Micros,
        to: Micros,
    ) -> bool {
        let outages = self.outages.get(&(placer, peer)).into_iter().flatten();
        let mut intervals = outages.map(|outage| {
            let end = outage
                .to
                .map_or(Micros::MAX, |at| at + self.settings.time_tolerance);
            (outage.from, end)
        });
        intervals.any(|(begin, end)| begin <= to && end >= from)
    }

    /// Returns whether the link between a placer and a host was impaired at any time between `from` and `to`.
    pub(super) fn host_link_impaired(
        &self,
        placer: usize,
        host: usize,
        from: Micros,
        to: Micros,
    ) -> bool {
        let slot = self.settings.host_slots.get(host).copied().unwrap_or(host);
        self.link_impaired(placer, Peer::Host(slot), from, to)
    }

    /// Returns whether a placer had no active process at any time between `from` and `to`.
    pub(super) fn placer_inactive(&self, placer: usize, from: Micros, to: Micros) -> bool {
        self.processes
            .get(&placer)
            .is_some_and(|history| history.was_inactive(from, to))
    }

    /// Returns the ordinal number of the process that a placer had at `at`, starting with 1. It is 0 before the first
    /// start.
    pub(super) fn incarnation(&self, placer: usize, at: Micros) -> usize {
        self.processes
            .get(&placer)
            .map_or(0, |history| history.incarnation(at))
    }

    fn class(&self, class: usize) -> Option<&ClassRules> {
        self.settings.classes.get(class)
    }

    /// Returns whether the tasks of a class must not be started twice.
    pub(super) fn non_idempotent(&self, class: usize) -> bool {
        self.class(class).is_some_and(|class| class.non_idempotent)
    }

    /// Returns the maximum number of tasks of one service that a placer may have in a zone, or `None` for no limit.
    pub(super) fn max_per_zone(&self, class: usize) -> Option<u32> {
        self.class(class).and_then(|class| class.max_per_zone)
    }

    /// Returns the zone of a host, or zone 0 if it is not known.
    pub(super) fn zone(&self, host: usize) -> usize {
        self.settings.host_zones.get(host).copied().unwrap_or(0)
    }
}

/// Returns whether a cause means that the host rejected the offer before anything ran.
pub(super) fn is_rejection(cause: u8) -> bool {
    matches!(cause, 34 | 102)
}

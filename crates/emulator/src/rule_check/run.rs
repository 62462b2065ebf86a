//! A run as the checks look at it: its events by request, the history of each placer's process, and when links
//! were impaired.

use super::rule::{ClassRules, Finding, Rule, RuleSettings};
use crate::event_log::{Event, Peer, ProcessChange, TimedEvent};
use crate::host_model::Micros;
use std::collections::{BTreeMap, HashMap};

/// The processes of one placer, one after the other.
#[derive(Default)]
pub(super) struct ProcessHistory {
    pub(super) changes: Vec<(Micros, ProcessChange)>,
}

impl ProcessHistory {
    /// Returns how many processes had been started by then.
    pub(super) fn incarnation(&self, at: Micros) -> usize {
        self.changes
            .iter()
            .filter(|(since, change)| *since <= at && *change == ProcessChange::Started)
            .count()
    }

    /// Whether no process could act at some time of a span, or before it up to the span.
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

/// When a link was impaired, and until when; open if it still is.
struct Outage {
    from: Micros,
    to: Option<Micros>,
}

/// A new request, as its client sent it.
#[derive(Clone, Copy)]
pub(super) struct Request {
    pub(super) at: Micros,
    pub(super) placer: usize,
    pub(super) class: usize,
    pub(super) service: u64,
    pub(super) wait: Micros,
    /// The fingerprint of its description.
    pub(super) description: u64,
}

/// All that is known of a run.
pub(super) struct Run<'a> {
    pub(super) settings: &'a RuleSettings,
    /// When the run ended.
    pub(super) end: Micros,
    /// In the order of their times.
    pub(super) events: &'a [TimedEvent],
    pub(super) processes: BTreeMap<usize, ProcessHistory>,
    outages: BTreeMap<(usize, Peer), Vec<Outage>>,
    /// Indices into the events, by request.
    by_request: HashMap<u64, Vec<usize>>,
}

impl<'a> Run<'a> {
    /// Indexes events that are in the order of their times.
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

    /// Returns the ids of all requests, in order.
    pub(super) fn request_ids(&self) -> Vec<u64> {
        let mut ids: Vec<u64> = self.by_request.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the events of a request.
    pub(super) fn events_of(&self, id: u64) -> Vec<&'a TimedEvent> {
        let events = self.events;
        self.by_request
            .get(&id)
            .into_iter()
            .flatten()
            .filter_map(|n| events.get(*n))
            .collect()
    }

    /// Returns a violation that all events of a request show.
    pub(super) fn finding(&self, rule: Rule, id: u64) -> Finding {
        let evidence = self.events_of(id).into_iter().cloned().collect();
        Finding { rule, id, evidence }
    }

    /// Returns a request for a new task; none for one that only reconnects.
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

    /// Whether a link was impaired at a time in a span: what was sent on it may have come only later.
    pub(super) fn link_impaired(
        &self,
        placer: usize,
        peer: Peer,
        from: Micros,
        to: Micros,
    ) -> bool {
        let outages = self.outages.get(&(placer, peer)).into_iter().flatten();
        let mut spans = outages.map(|outage| {
            let end = outage
                .to
                .map_or(Micros::MAX, |at| at + self.settings.time_tolerance);
            (outage.from, end)
        });
        spans.any(|(begin, end)| begin <= to && end >= from)
    }

    /// The same for the link of a placer to a host.
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

    /// Whether a placer had no active process at a time in a span.
    pub(super) fn placer_inactive(&self, placer: usize, from: Micros, to: Micros) -> bool {
        self.processes
            .get(&placer)
            .is_some_and(|history| history.was_inactive(from, to))
    }

    /// Returns which process of a placer was there at a time.
    pub(super) fn incarnation(&self, placer: usize, at: Micros) -> usize {
        self.processes
            .get(&placer)
            .map_or(0, |history| history.incarnation(at))
    }

    fn class(&self, class: usize) -> Option<&ClassRules> {
        self.settings.classes.get(class)
    }

    /// Whether the tasks of a class must not be started twice.
    pub(super) fn non_idempotent(&self, class: usize) -> bool {
        self.class(class).is_some_and(|class| class.non_idempotent)
    }

    /// Returns how many tasks of one service a placer may have in a zone, if limited.
    pub(super) fn max_per_zone(&self, class: usize) -> Option<u32> {
        self.class(class).and_then(|class| class.max_per_zone)
    }

    /// Returns the zone of a host.
    pub(super) fn zone(&self, host: usize) -> usize {
        self.settings.host_zones.get(host).copied().unwrap_or(0)
    }
}

/// Whether a cause says that the host rejected the offer before anything ran.
pub(super) fn is_rejection(cause: u8) -> bool {
    matches!(cause, 34 | 102)
}

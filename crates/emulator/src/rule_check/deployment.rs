//! Checks of rules that concern the deployment as a whole: clean exits, slow starts, drains, and the limit of a service
//! in a zone.

use super::rule::{Finding, MILLISECOND, Rule};
use super::run::Run;
use crate::event_log::{
    ClientNotice, Event, HostReport, ListedState, Peer, ProcessChange, TimedEvent,
};
use crate::host_model::Micros;
use std::collections::{BTreeMap, HashMap};

/// How long the task of a reconnecting client does not count towards the limit of a zone, since the placer may not have
/// learned of it yet.
const RECONNECTION_GRACE: Micros = 200 * MILLISECOND;

/// Checks that placers exit only on request, and with exit code 0.
pub(super) fn check_exits(run: &Run<'_>, findings: &mut Vec<Finding>) {
    for history in run.processes.values() {
        let mut requested = false;
        for (at, change) in &history.changes {
            match change {
                ProcessChange::TerminationRequested => requested = true,
                ProcessChange::Started => requested = false,
                ProcessChange::Exited(code) if !requested || *code != 0 => {
                    let change = *change;
                    let event = Event::PlacerChanged { placer: 0, change };
                    findings.push(Finding {
                        rule: Rule::CleanExit,
                        id: 0,
                        evidence: vec![(*at, event)],
                    });
                }
                _ => {}
            }
        }
    }
}

/// Checks that no host was overloaded during its slow start.
pub(super) fn check_slow_starts(run: &Run<'_>, findings: &mut Vec<Finding>) {
    let overloads = run
        .events
        .iter()
        .filter(|(_, event)| matches!(event, Event::HostOverloaded { .. }));
    findings.extend(overloads.map(|event| Finding {
        rule: Rule::SlowStart,
        id: 0,
        evidence: vec![event.clone()],
    }));
}

/// Checks that no offer is sent to a host that the placer knows to be draining or removed.
pub(super) fn check_drains(run: &Run<'_>, findings: &mut Vec<Finding>) {
    // By placer and host: the time since which the placer has known that the host is draining or removed.
    let mut known_since: HashMap<(usize, usize), Micros> = HashMap::new();
    for (at, event) in run.events {
        match event {
            Event::HostListed {
                placer,
                host,
                state: ListedState::Up,
            } => {
                known_since.remove(&(*placer, *host));
            }
            Event::HostListed { placer, host, .. } => {
                known_since.entry((*placer, *host)).or_insert(*at);
            }
            Event::PlacerChanged {
                placer,
                change: ProcessChange::Started,
            } => known_since.retain(|(other, _), _| other != placer),
            Event::OfferReceived { id, host, .. } => {
                let Some(request) = run.request(*id) else {
                    continue;
                };
                let placer = request.placer;
                let Some(since) = known_since.get(&(placer, *host)).copied() else {
                    continue;
                };
                let grace = run.settings.drain_grace + run.settings.time_tolerance;
                let excused = run.host_link_impaired(placer, *host, since, *at)
                    || run.link_impaired(placer, Peer::Feed, since, *at);
                if at - since > grace && !excused {
                    let listed = Event::HostListed {
                        placer,
                        host: *host,
                        state: ListedState::Draining,
                    };
                    findings.push(Finding {
                        rule: Rule::RespectDrain,
                        id: *id,
                        evidence: vec![(since, listed), (*at, event.clone())],
                    });
                }
            }
            _ => {}
        }
    }
}

/// The key by which the tasks of a service in a zone are counted.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct ZoneGroup {
    placer: usize,
    /// The ordinal number of the placer's process.
    incarnation: usize,
    service: u64,
    zone: usize,
}

/// The open attempts and running tasks of each group.
#[derive(Default)]
struct ZoneCounts {
    /// The ids of the requests in each group, with the time from which each of them counts.
    members: HashMap<ZoneGroup, BTreeMap<u64, Micros>>,
    groups_of: HashMap<u64, Vec<ZoneGroup>>,
}

impl ZoneCounts {
    fn add(&mut self, group: ZoneGroup, id: u64, counts_from: Micros) {
        self.members
            .entry(group)
            .or_default()
            .insert(id, counts_from);
        self.groups_of.entry(id).or_default().push(group);
    }

    fn remove(&mut self, id: u64) {
        for group in self.groups_of.remove(&id).into_iter().flatten() {
            if let Some(members) = self.members.get_mut(&group) {
                members.remove(&id);
            }
        }
    }

    /// Returns the number of other requests of a group that count at a time.
    fn count_others(&self, group: ZoneGroup, id: u64, at: Micros) -> usize {
        let members = self.members.get(&group).into_iter().flatten();
        members
            .filter(|(other, since)| **other != id && **since <= at)
            .count()
    }

    fn ids(&self, group: ZoneGroup) -> Vec<u64> {
        let members = self.members.get(&group);
        members.map_or_else(Vec::new, |members| members.keys().copied().collect())
    }
}

/// Checks that no placer has more attempts and tasks of a service in a zone than its limit allows.
pub(super) fn check_zone_limits(run: &Run<'_>, findings: &mut Vec<Finding>) {
    let mut counts = ZoneCounts::default();
    for (at, event) in run.events {
        match event {
            Event::TaskRequested {
                id,
                placer,
                class,
                service,
                running_at: Some(host),
                ..
            } if run.max_per_zone(*class).is_some() => {
                let group = ZoneGroup {
                    placer: *placer,
                    incarnation: run.incarnation(*placer, *at),
                    service: *service,
                    zone: run.zone(*host),
                };
                counts.add(group, *id, *at + RECONNECTION_GRACE);
            }
            Event::OfferReceived { id, host, .. } => {
                let Some(request) = run.request(*id) else {
                    continue;
                };
                let Some(limit) = run.max_per_zone(request.class) else {
                    continue;
                };
                let group = ZoneGroup {
                    placer: request.placer,
                    incarnation: run.incarnation(request.placer, *at),
                    service: request.service,
                    zone: run.zone(*host),
                };
                if counts.count_others(group, *id, *at) >= limit as usize {
                    let mut evidence = first_offers(run, &counts.ids(group));
                    evidence.push((*at, event.clone()));
                    findings.push(Finding {
                        rule: Rule::ZoneLimit,
                        id: *id,
                        evidence,
                    });
                }
                counts.add(group, *id, *at);
            }
            Event::HostReported {
                id,
                report:
                    HostReport::Ended(_) | HostReport::EndedUndelivered(_) | HostReport::ConnectionReset,
                ..
            }
            | Event::AttemptStopped { id, .. }
            | Event::OfferConnectionClosed { id, .. }
            | Event::ClientNotified {
                id,
                notice: ClientNotice::Released(_) | ClientNotice::Migrated,
            } => counts.remove(*id),
            _ => {}
        }
    }
}

/// Returns the first offer of each request.
fn first_offers(run: &Run<'_>, ids: &[u64]) -> Vec<TimedEvent> {
    let offers = ids.iter().filter_map(|id| {
        run.events_of(*id)
            .into_iter()
            .find(|(_, event)| matches!(event, Event::OfferReceived { .. }))
    });
    offers.cloned().collect()
}

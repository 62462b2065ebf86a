//! Measures the load that a fleet of placers puts on its hosts, counted over all placers from the events of a run.
//!
//! Behaviour that is reasonable for one placer may overload the hosts when all placers do the same. This
//! module counts offers that hosts reject or drop, retries of clients, connections, and offers to faulty hosts. At the
//! same load, these counts must not grow with the number of placers.

use crate::load_profile::Micros;
use crate::plan::{FaultKind, Plan};
use emulator::event_log::{Event, HostReport, TimedEvent};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

const SECOND: Micros = 1_000_000;

/// Counts of one second of a run, over all placers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ImpactSecond {
    /// Offers that reached hosts.
    pub offers: u32,
    /// Offers that hosts rejected.
    pub rejected_offers: u32,
    /// Offers that were withdrawn or lost before their tasks ran.
    pub abandoned_offers: u32,
    /// Requests for tasks that had been requested before.
    pub retries: u32,
    /// Connections opened to hosts.
    pub connections: u32,
    /// Tasks that started and whose offers reached their hosts within this second.
    pub starts: u32,
    /// Total time that the tasks counted in `starts` waited at hosts, from offer to start, in milliseconds.
    pub host_wait_ms: u32,
    /// Total time that the tasks counted in `starts` waited at placers, from request to offer, in milliseconds.
    pub placer_wait_ms: u32,
    /// Offers for requests that were retries.
    pub retry_offers: u32,
}

/// The load that all placers together put on the hosts during a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OverloadImpact {
    /// Number of tasks that were requested.
    pub tasks: u64,
    /// One entry for each second, from the start of the plan.
    pub seconds: Vec<ImpactSecond>,
    /// Number of offers by host slot and second.
    pub offers_by_slot: Vec<Vec<u32>>,
    /// Number of connections opened by host slot and second.
    pub connections_by_slot: Vec<Vec<u32>>,
    /// Maximum number of offers within a second to one host while the plan made it faulty.
    pub max_offers_to_faulty_host: u32,
    /// Total number of offers to hosts while the plan made them faulty.
    pub offers_to_faulty_hosts: u64,
}

impl OverloadImpact {
    /// Returns the mean number of offers per task.
    pub fn offers_per_task(&self) -> f64 {
        self.total(|second| second.offers) as f64 / self.tasks.max(1) as f64
    }

    /// Returns the sum of a metric over all seconds of the run.
    pub fn total(&self, metric: fn(&ImpactSecond) -> u32) -> u64 {
        self.seconds
            .iter()
            .map(|second| u64::from(metric(second)))
            .sum()
    }

    /// Returns the highest value of a metric in any second.
    pub fn max_per_second(&self, metric: fn(&ImpactSecond) -> u32) -> u32 {
        self.seconds.iter().map(metric).max().unwrap_or(0)
    }

    /// Returns the ratio of the highest value of a metric to its mean, over the seconds in which it is not zero. Returns
    /// 0 if it is always zero.
    pub fn peak_to_mean_ratio(&self, metric: fn(&ImpactSecond) -> u32) -> f64 {
        let values: Vec<u32> = self
            .seconds
            .iter()
            .map(metric)
            .filter(|value| *value > 0)
            .collect();
        let mean = values.iter().sum::<u32>() as f64 / values.len().max(1) as f64;
        if mean > 0.0 {
            f64::from(values.iter().copied().max().unwrap_or(0)) / mean
        } else {
            0.0
        }
    }

    /// Measures the impact from the events of a run between two times; `slot` returns the slot that a host occupies.
    pub fn measure(
        plan: &Plan,
        events: &[TimedEvent],
        start: Micros,
        end: Micros,
        slot: impl Fn(usize) -> Option<usize>,
    ) -> OverloadImpact {
        let mut measurement = Measurement::new(plan, start, end);
        for (at, event) in events.iter().filter(|(at, _)| *at >= start) {
            measurement.add(*at, event, &slot);
        }
        measurement.finish()
    }
}

/// A request of a client to a placer.
#[derive(Clone, Copy)]
struct Request {
    at: Micros,
    is_retry: bool,
}

/// Accumulates the impact of a run from its events.
struct Measurement<'a> {
    plan: &'a Plan,
    start: Micros,
    impact: OverloadImpact,
    /// Keys of all tasks that have been requested so far.
    tasks: HashSet<u64>,
    requests: HashMap<u64, Request>,
    /// Times at which offers without a result yet reached their hosts, by request and host.
    open_offers: HashMap<(u64, usize), Micros>,
    /// Number of offers to faulty hosts, by slot and second.
    faulty_offers: BTreeMap<(usize, usize), u32>,
}

impl<'a> Measurement<'a> {
    fn new(plan: &'a Plan, start: Micros, end: Micros) -> Measurement<'a> {
        let length = ((end - start).max(0) / SECOND) as usize + 1;
        let by_slot = vec![vec![0; length]; plan.hosts.count];
        Measurement {
            plan,
            start,
            impact: OverloadImpact {
                seconds: vec![ImpactSecond::default(); length],
                offers_by_slot: by_slot.clone(),
                connections_by_slot: by_slot,
                ..OverloadImpact::default()
            },
            tasks: HashSet::new(),
            requests: HashMap::new(),
            open_offers: HashMap::new(),
            faulty_offers: BTreeMap::new(),
        }
    }

    fn add(&mut self, at: Micros, event: &Event, slot: &impl Fn(usize) -> Option<usize>) {
        let second = ((at - self.start) / SECOND) as usize;
        let Some(sums) = self.impact.seconds.get_mut(second) else {
            return;
        };
        match event {
            Event::TaskRequested {
                id,
                key,
                running_at: None,
                ..
            } => {
                let is_retry = !self.tasks.insert(*key);
                sums.retries += u32::from(is_retry);
                self.requests.insert(*id, Request { at, is_retry });
            }
            Event::OfferReceived { id, host, .. } => {
                sums.offers += 1;
                self.open_offers.insert((*id, *host), at);
                let request = self.requests.get(id);
                sums.retry_offers += u32::from(request.is_some_and(|request| request.is_retry));
                if let Some(slot) = slot(*host) {
                    self.add_offer_to_slot(slot, second, at);
                }
            }
            Event::HostReported { id, host, report } => match report {
                HostReport::Running(_) => self.add_start(at, *id, *host),
                HostReport::Ended(_) | HostReport::EndedUndelivered(_) => {
                    let was_open = self.open_offers.remove(&(*id, *host)).is_some();
                    sums.rejected_offers += u32::from(was_open);
                }
                HostReport::ConnectionReset => {
                    let was_open = self.open_offers.remove(&(*id, *host)).is_some();
                    sums.abandoned_offers += u32::from(was_open);
                }
            },
            Event::AttemptStopped { id, host } | Event::OfferConnectionClosed { id, host } => {
                let was_open = self.open_offers.remove(&(*id, *host)).is_some();
                sums.abandoned_offers += u32::from(was_open);
            }
            Event::HostConnected { host } => {
                sums.connections += 1;
                if let Some(slot) = slot(*host) {
                    increment(&mut self.impact.connections_by_slot, slot, second);
                }
            }
            _ => {}
        }
    }

    fn add_offer_to_slot(&mut self, slot: usize, second: usize, at: Micros) {
        increment(&mut self.impact.offers_by_slot, slot, second);
        if is_faulty(self.plan, slot, at - self.start) {
            self.impact.offers_to_faulty_hosts += 1;
            *self.faulty_offers.entry((slot, second)).or_default() += 1;
        }
    }

    /// Adds the start of a task to the second in which it was offered to its host.
    fn add_start(&mut self, at: Micros, id: u64, host: usize) {
        let Some(offered_at) = self.open_offers.remove(&(id, host)) else {
            return;
        };
        let request = self.requests.get(&id);
        let requested_at = request.map_or(offered_at, |request| request.at);
        let second = ((offered_at - self.start) / SECOND) as usize;
        if let Some(sums) = self.impact.seconds.get_mut(second) {
            let millis = |span: Micros| u32::try_from(span / 1_000).unwrap_or(0);
            sums.starts += 1;
            sums.host_wait_ms += millis(at - offered_at);
            sums.placer_wait_ms += millis(offered_at - requested_at);
        }
    }

    fn finish(self) -> OverloadImpact {
        OverloadImpact {
            tasks: self.tasks.len() as u64,
            max_offers_to_faulty_host: self.faulty_offers.values().copied().max().unwrap_or(0),
            ..self.impact
        }
    }
}

fn increment(by_slot: &mut [Vec<u32>], slot: usize, second: usize) {
    let count = by_slot
        .get_mut(slot)
        .and_then(|seconds| seconds.get_mut(second));
    if let Some(count) = count {
        *count += 1;
    }
}

/// Returns whether the plan makes the host in a slot faulty at this time in a way that loses offers. `at` counts from
/// the start of the plan.
fn is_faulty(plan: &Plan, slot: usize, at: Micros) -> bool {
    let micros = |duration: Duration| Micros::try_from(duration.as_micros());
    plan.faults.iter().any(|fault| {
        let is_lossy = matches!(
            fault.kind,
            FaultKind::HostSilent
                | FaultKind::HostRefuse
                | FaultKind::HostResetBefore
                | FaultKind::HostResetAfter
                | FaultKind::HostSpoilt
        );
        let from = micros(fault.start).unwrap_or(Micros::MAX);
        let until = from.saturating_add(micros(fault.duration).unwrap_or(0));
        is_lossy && fault.targets().contains(&slot) && (from..until).contains(&at)
    })
}

#[cfg(test)]
mod tests;

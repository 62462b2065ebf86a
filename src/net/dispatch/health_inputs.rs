//! Supplies the health engine with events and gauges. This module never assesses health itself, and has no part in
//! placing tasks.

use super::{Dispatch, MILLISECOND};
use crate::net::conn;
use crate::net::hosts::HostLink;
use std::collections::BTreeMap;
use task_placer::health::{Event, Gauges, ZoneReachability};
use task_placer::{EndpointState, Micros, ZoneId};

/// How long a host counts as full after it rejected an attempt for lack of capacity.
const FULL_HOST_RETENTION: Micros = 15_000 * MILLISECOND;

/// Summarizes the hosts in service, according to the endpoint list and the connections to them.
#[derive(Default)]
struct HostSummary {
    zones: BTreeMap<ZoneId, ZoneReachability>,
    listed: u32,
    /// The number of hosts with enough free resources for a mean task.
    with_capacity: u32,
    /// The number of hosts that recently rejected an attempt for lack of capacity.
    full: u32,
}

impl Dispatch {
    /// Notifies the health engine of an event, if the health engine is enabled.
    pub fn record_health_event(&mut self, now: Micros, event: Event) {
        if let Some(reporter) = &mut self.health_reporter {
            reporter.notify(now, event);
        }
    }

    /// Passes the current gauges to the health engine, and runs the actions that a drain requires.
    pub(super) fn update_health(&mut self, now: Micros) {
        if self.health_reporter.is_none() {
            return;
        }
        let gauges = self.gauges(now);
        let pending_work = self.pending_work();
        if let Some(reporter) = &mut self.health_reporter {
            reporter.notify(now, Event::GaugesSampled(gauges));
            let actions = reporter.advance_drain(now, pending_work);
            self.run_drain_actions(now, actions);
        }
    }

    fn gauges(&self, now: Micros) -> Gauges {
        let summary = self.summarize_hosts(now);
        let ages = self
            .requests
            .values()
            .filter(|request| request.awaits_response())
            .map(|request| (now - request.arrived_at) as f64 / request.latency_objective as f64);
        let has_mean_task = self.facade.mean_task().is_some();
        let connection_limit = self.clients.connection_limit(self.active_host_count());
        Gauges {
            oldest_request: ages.fold(0.0, f64::max),
            zones: summary.zones.into_values().collect(),
            hosts_with_capacity: (has_mean_task && summary.listed > 0)
                .then(|| f64::from(summary.with_capacity) / f64::from(summary.listed)),
            full_hosts: f64::from(summary.full) / f64::from(summary.listed.max(1)),
            descriptors: self.clients.live_connections() as f64 / connection_limit as f64,
            queues: conn::queued_fraction(),
        }
    }

    fn summarize_hosts(&self, now: Micros) -> HostSummary {
        let mean_task = self.facade.mean_task();
        let mut summary = HostSummary::default();
        let in_service = |link: &&HostLink| link.state == EndpointState::Up;
        for link in self.hosts.values().filter(in_service) {
            let is_unreachable = link.unreachable_since.is_some();
            let zone = summary.zones.entry(link.zone).or_default();
            zone.listed += 1;
            zone.refused += u32::from(is_unreachable && link.was_refused);
            zone.silent += u32::from(is_unreachable && !link.was_refused);
            summary.listed += 1;
            let fits = mean_task.is_none_or(|task| task.fits_in(link.free_resources));
            summary.with_capacity += u32::from(fits);
            let is_full = |rejected_at| now - rejected_at < FULL_HOST_RETENTION;
            summary.full += u32::from(link.rejected_full_at.is_some_and(is_full));
        }
        summary
    }
}

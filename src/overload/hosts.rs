//! The hosts of the endpoint list with their concurrency limits, and the limits that the decision module knows.
//!
//! Each change of a host goes through [`HostTable::refresh`], which emits a [`Limit`] if it differs from the one
//! that the module was last notified of, and schedules the host's next look.

mod suspect;

use super::concurrency_limit::{self, ConcurrencyLimit};
use super::health_check_schedule::HealthCheckSchedule;
use super::host::{Host, HostLimit, Totals};
use super::report::HostReport;
use super::requests::InFlightAttempt;
use super::retry_budget::FailureDomain;
use crate::state::hash::hash_host;
use crate::{Endpoint, EndpointState, HostId, Limit, Micros, Outcome, OutcomeDetail, UpdateKind};
use std::collections::{BTreeMap, BTreeSet};

/// All hosts.
#[derive(Debug, Clone)]
pub(super) struct HostTable {
    hosts: BTreeMap<HostId, Host>,
    refreshes: BTreeSet<(Micros, HostId)>,
    limit_settings: concurrency_limit::Settings,
    limits_are_enabled: bool,
    schedule: Option<HealthCheckSchedule>,
    slot_length: Micros,
    placer_count: usize,
    /// The shortest latency objective of any class.
    latency_objective: Micros,
    /// The wall clock at time 0.
    wall_clock_offset: Micros,
    totals: Totals,
    notified_total: Option<u32>,
    total_is_reached: bool,
}

/// What the hosts are limited by.
pub(super) struct HostTableConfig {
    pub limits: Option<concurrency_limit::Settings>,
    pub schedule: Option<HealthCheckSchedule>,
    pub slot_length: Micros,
    pub placer_count: usize,
    pub latency_objective: Micros,
    pub wall_clock_offset: Micros,
}

impl HostTable {
    pub fn new(config: HostTableConfig) -> HostTable {
        HostTable {
            hosts: BTreeMap::new(),
            refreshes: BTreeSet::new(),
            limits_are_enabled: config.limits.is_some(),
            limit_settings: config.limits.unwrap_or_default(),
            schedule: config.schedule,
            slot_length: config.slot_length,
            placer_count: config.placer_count,
            latency_objective: config.latency_objective,
            wall_clock_offset: config.wall_clock_offset,
            totals: Totals::default(),
            notified_total: None,
            total_is_reached: false,
        }
    }

    pub fn get_mut(&mut self, id: &HostId) -> Option<&mut Host> {
        self.hosts.get_mut(id)
    }

    /// The failure domains of a host; of an unknown one only the host itself.
    pub fn failure_domains(&self, id: &HostId) -> Vec<FailureDomain> {
        let mut domains = vec![FailureDomain::Host(id.clone())];
        if let Some(host) = self.hosts.get(id) {
            domains.push(FailureDomain::Cell(host.cell));
            domains.push(FailureDomain::Zone(host.zone));
        }
        domains
    }

    // ---- Endpoint list ----

    pub fn update(
        &mut self,
        now: Micros,
        kind: UpdateKind,
        endpoints: &[Endpoint],
        limits: &mut Vec<Limit>,
    ) {
        match kind {
            UpdateKind::Failed => return,
            UpdateKind::Delta => {}
            UpdateKind::Complete | UpdateKind::Cached => self.remove_missing(endpoints),
        }
        for endpoint in endpoints {
            if endpoint.state == EndpointState::Removed {
                self.remove(&endpoint.host);
                continue;
            }
            self.update_endpoint(endpoint);
            self.refresh(now, &endpoint.host, limits);
        }
    }

    fn remove_missing(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<&HostId> = endpoints.iter().map(|endpoint| &endpoint.host).collect();
        let missing: Vec<HostId> = self
            .hosts
            .keys()
            .filter(|host| !listed.contains(host))
            .cloned()
            .collect();
        for host in &missing {
            self.remove(host);
        }
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint) {
        let fresh_limit = || {
            ConcurrencyLimit::new(
                &self.limit_settings,
                self.placer_count,
                self.latency_objective,
            )
        };
        let host = self
            .hosts
            .entry(endpoint.host.clone())
            .or_insert_with(|| Host {
                hash: hash_host(&endpoint.host),
                cell: endpoint.cell,
                zone: endpoint.zone,
                started_at: endpoint.started_at,
                is_up: true,
                limit: fresh_limit(),
                slot_is_used: false,
                failed_checks: 0,
                notified: None,
                refresh_at: None,
                counted: Totals::default(),
            });
        if host.started_at != endpoint.started_at {
            // Another incarnation: nothing learned about the one before holds.
            host.limit = fresh_limit();
        }
        host.cell = endpoint.cell;
        host.zone = endpoint.zone;
        host.started_at = endpoint.started_at;
        host.is_up = endpoint.state == EndpointState::Up;
    }

    fn remove(&mut self, id: &HostId) {
        let Some(host) = self.hosts.remove(id) else {
            return;
        };
        self.totals.windows -= host.counted.windows;
        self.totals.in_flight = self.totals.in_flight.saturating_sub(host.counted.in_flight);
        if let Some(refresh_at) = host.refresh_at {
            self.refreshes.remove(&(refresh_at, id.clone()));
        }
    }

    // ---- Limits ----

    /// Emits the limit of a host if it has changed, and schedules the next refresh.
    pub fn refresh(&mut self, now: Micros, id: &HostId, limits: &mut Vec<Limit>) {
        self.recount(id);
        let Some(HostLimit {
            max_in_flight,
            health_check,
            refresh_at,
        }) = self.host_limit(now, id)
        else {
            return;
        };
        self.schedule_refresh(id, refresh_at);
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let was_notified = host.notified.is_some();
        if host.notified != Some(max_in_flight) && (max_in_flight.is_some() || was_notified) {
            host.notified = Some(max_in_flight);
            limits.push(Limit::HostConcurrency {
                host: id.clone(),
                max_in_flight,
                health_check,
            });
        }
    }

    /// Updates a host's part of the totals.
    fn recount(&mut self, id: &HostId) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let is_usable = host.is_up && !host.limit.is_suspect();
        let counted = Totals {
            windows: if is_usable { host.limit.window() } else { 0.0 },
            in_flight: host.limit.in_flight(),
        };
        self.totals.windows += counted.windows - host.counted.windows;
        self.totals.in_flight =
            (self.totals.in_flight + counted.in_flight).saturating_sub(host.counted.in_flight);
        host.counted = counted;
    }

    fn host_limit(&mut self, now: Micros, id: &HostId) -> Option<HostLimit> {
        let host = self.hosts.get_mut(id)?;
        if let Some(schedule) = &self.schedule
            && host.limit.is_suspect()
        {
            let slot = schedule.slot_with_backoff(
                host.hash,
                self.wall_clock_offset + now,
                host.failed_checks,
            );
            return Some(host.limit_while_suspect(
                now,
                slot,
                self.slot_length,
                self.wall_clock_offset,
            ));
        }
        Some(if self.limits_are_enabled {
            HostLimit {
                max_in_flight: Some(host.limit.max_in_flight(now)),
                health_check: false,
                refresh_at: host.limit.next_change(now),
            }
        } else {
            HostLimit {
                max_in_flight: None,
                health_check: false,
                refresh_at: None,
            }
        })
    }

    fn schedule_refresh(&mut self, id: &HostId, refresh_at: Option<Micros>) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if host.refresh_at == refresh_at {
            return;
        }
        if let Some(earlier) = host.refresh_at {
            self.refreshes.remove(&(earlier, id.clone()));
        }
        if let Some(refresh_at) = refresh_at {
            self.refreshes.insert((refresh_at, id.clone()));
        }
        host.refresh_at = refresh_at;
    }

    /// Refreshes the hosts that are due.
    pub fn refresh_due(&mut self, now: Micros, limits: &mut Vec<Limit>) {
        while let Some((due_at, id)) = self.refreshes.first().cloned() {
            if due_at > now {
                return;
            }
            self.refreshes.remove(&(due_at, id.clone()));
            if let Some(host) = self.hosts.get_mut(&id) {
                host.refresh_at = None;
            }
            self.refresh(now, &id, limits);
            // What is due at the same time again waits for the next tick.
            if self.refreshes.contains(&(due_at, id)) {
                return;
            }
        }
    }

    /// Emits the limit on all attempts in flight if it has changed: the sum of all windows, and at least one.
    ///
    /// Protects against a burst in which every placer has a fraction of a window free at every host, and each
    /// would send an attempt there at once.
    pub fn refresh_total(&mut self, limits: &mut Vec<Limit>) {
        if !self.limits_are_enabled {
            return;
        }
        let max_in_flight = (self.totals.windows.ceil() as u32).max(1);
        let is_reached = self.totals.in_flight >= max_in_flight;
        let has_capacity_again = self.total_is_reached && !is_reached;
        if self.notified_total != Some(max_in_flight) || has_capacity_again {
            self.notified_total = Some(max_in_flight);
            limits.push(Limit::TotalConcurrency {
                max_in_flight,
                has_capacity_again,
            });
        }
        self.total_is_reached = is_reached;
    }

    // ---- Attempts ----

    /// Records that an attempt started its task; the host is no longer suspect.
    pub fn attempt_started(
        &mut self,
        id: &HostId,
        now: Micros,
        delay: Micros,
        latency_objective: Micros,
    ) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.limit
                .attempt_started(&self.limit_settings, now, delay, latency_objective);
            host.slot_is_used = false;
            host.failed_checks = 0;
        }
    }

    /// Records that an attempt ended without a start, and returns whether its host became suspect.
    pub fn attempt_ended(
        &mut self,
        attempt: &InFlightAttempt,
        now: Micros,
        outcome: Outcome,
        detail: OutcomeDetail,
    ) -> bool {
        let Some(host) = self.hosts.get_mut(&attempt.host) else {
            return false;
        };
        let was_suspect = host.limit.is_suspect();
        host.record_outcome(now, attempt.sent_at, outcome, detail);
        if was_suspect && host.limit.is_suspect() {
            host.failed_checks = host.failed_checks.saturating_add(1);
        }
        !was_suspect && host.limit.is_suspect()
    }

    /// The state of each host that is up.
    pub fn report(&self, now: Micros) -> Vec<HostReport> {
        let up = self.hosts.iter().filter(|(_, host)| host.is_up);
        up.map(|(id, host)| {
            let is_suspect = self.schedule.is_some() && host.limit.is_suspect();
            let next_slot_in = is_suspect.then(|| self.time_until_slot(now, id).unwrap_or(0));
            HostReport {
                host: id.clone(),
                window: host.limit.window(),
                in_flight: host.limit.in_flight(),
                mean_delay: host.limit.mean_delay(),
                is_suspect,
                next_slot_in,
            }
        })
        .collect()
    }
}

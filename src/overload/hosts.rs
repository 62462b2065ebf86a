//! The hosts of the endpoint list with their concurrency limits, and the limits last sent to the decision module.
//!
//! After each change of a host, [`HostTable::refresh`] emits a [`Limit`] if it differs from the one that the
//! decision module was last notified of, and schedules the next refresh of the host.

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

/// All hosts of the endpoint list, with the settings of their limits.
#[derive(Debug, Clone)]
pub(super) struct HostTable {
    hosts: BTreeMap<HostId, Host>,
    /// The times at which the limits of hosts must be computed again, earliest first.
    refreshes: BTreeSet<(Micros, HostId)>,
    limit_settings: concurrency_limit::Settings,
    limits_are_enabled: bool,
    schedule: Option<HealthCheckSchedule>,
    slot_length: Micros,
    placer_count: usize,
    /// The shortest latency objective of any class, in microseconds.
    latency_objective: Micros,
    /// The wall-clock time, in microseconds, at time 0 of the events.
    wall_clock_offset: Micros,
    /// The sums over all hosts. The window of a host that is down or suspect counts as 0.
    totals: Totals,
    /// The limit on all attempts in flight that the decision module was last notified of.
    notified_total: Option<u32>,
    total_is_reached: bool,
}

/// The settings of a [`HostTable`].
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

    /// Returns the failure domains of a host: the host itself, its cell and its zone, or only the host itself if it is
    /// not in the endpoint list.
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
                contribution: Totals::default(),
            });
        if host.started_at != endpoint.started_at {
            // The host was restarted, so what was learned about the host before does not apply any more.
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
        self.totals.windows -= host.contribution.windows;
        self.totals.in_flight = self
            .totals
            .in_flight
            .saturating_sub(host.contribution.in_flight);
        if let Some(refresh_at) = host.refresh_at {
            self.refreshes.remove(&(refresh_at, id.clone()));
        }
    }

    // ---- Limits ----

    /// Computes the limit of a host, emits it if it has changed, and schedules when it is computed next.
    pub fn refresh(&mut self, now: Micros, id: &HostId, limits: &mut Vec<Limit>) {
        self.update_totals(id);
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

    /// Replaces a host's contribution to the sums of windows and of attempts in flight over all hosts.
    fn update_totals(&mut self, id: &HostId) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let is_usable = host.is_up && !host.limit.is_suspect();
        let contribution = Totals {
            windows: if is_usable { host.limit.window() } else { 0.0 },
            in_flight: host.limit.in_flight(),
        };
        self.totals.windows += contribution.windows - host.contribution.windows;
        self.totals.in_flight = (self.totals.in_flight + contribution.in_flight)
            .saturating_sub(host.contribution.in_flight);
        host.contribution = contribution;
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

    /// Computes the limits of the hosts whose scheduled refresh is due, and emits those that have changed.
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
            // A host whose next refresh is due at the same time again waits for the next tick, because otherwise this
            // loop might not end.
            if self.refreshes.contains(&(due_at, id)) {
                return;
            }
        }
    }

    /// Emits the limit on all attempts in flight if it has changed, or if there is capacity again after the limit
    /// was reached. The limit is the sum of all windows, and at least one.
    ///
    /// Protects against a burst: if every placer had a fraction of a window free at every host, each of them would
    /// send attempts to all these hosts at once.
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

    /// Records that an attempt started its task. Its host is then no longer suspect.
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

    /// Records that an attempt ended without starting its task. Returns whether this made its host suspect.
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

    /// Returns the state of each host that is up.
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

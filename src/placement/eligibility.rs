//! Which hosts may get a task: hard rules, then preferences.

use super::concurrency_window::has_window;
use super::placer::Placer;
use crate::state::health_book::Scope;
use crate::state::hosts::{Host, HostIndex};
use crate::state::tasks::{TaskRecord, UncertainAttempt};
use crate::types::{EndpointState, Idempotency, KeyScope, Resources, SpreadDomain, TaskClass};
use std::collections::BTreeSet;

/// A host gets no tasks beyond this fullness, unless it is the last resort.
pub(super) const MAX_FULLNESS: f64 = 1.25;
/// A preferred member that is fuller than the working set's mean by this factor is joined by the service's next one.
const CROWDED_FACTOR: f64 = 1.35;
/// A task of more than this many mean tasks is heavy: SCD's load, kept in mean tasks, does not foresee it.
const HEAVY_TASK_SIZE: f64 = 4.0;
/// A retry with an idempotency key is sent within this fraction of the time that hosts remember the key.
const KEY_WINDOW_DIVISOR: i64 = 2;
/// The mean task is never zero here.
const MIN_MEAN: f64 = 1e-9;

/// The hosts that a task may go to while hosts that are ejected for these scopes are avoided.
struct Candidates<'a> {
    placer: &'a Placer,
    record: &'a TaskRecord,
    avoided_scopes: &'a [Scope],
}

impl Candidates<'_> {
    fn host(&self, index: HostIndex) -> &Host {
        &self.placer.hosts.hosts[index]
    }

    /// Whether the task may go to a host.
    fn contain(&self, index: HostIndex) -> bool {
        self.is_healthy(index)
            && self.has_capacity(index)
            && self.placer.is_permitted(self.record, index)
    }

    fn is_healthy(&self, index: HostIndex) -> bool {
        let mut scopes = self.avoided_scopes.iter();
        !scopes.any(|scope| self.placer.is_ejected(index, *scope))
    }

    fn has_capacity(&self, index: HostIndex) -> bool {
        let host = self.host(index);
        has_window(host) && self.fullness_with_task(index) <= MAX_FULLNESS
    }

    /// Whether a host stays close to the mean fullness of the working set.
    fn is_uncrowded(&self, index: HostIndex) -> bool {
        self.fullness_with_task(index) <= self.placer.working_set.mean_fullness() * CROWDED_FACTOR
    }

    fn fullness_with_task(&self, index: HostIndex) -> f64 {
        self.placer
            .fullness_with(self.host(index), self.record.requested())
    }

    /// Candidates on which own tasks of the service run already.
    fn with_service(&self) -> Vec<HostIndex> {
        let hosts = self.placer.tasks.hosts_of_service(self.record.task.service);
        hosts
            .map(|(index, _)| index)
            .filter(|index| self.contain(*index))
            .collect()
    }

    /// Candidates among the members that the service prefers, best first.
    fn with_affinity(&self) -> Vec<HostIndex> {
        let hosts = self
            .placer
            .working_set
            .affinity
            .get(&self.record.task.service);
        let hosts = hosts.into_iter().flatten().copied();
        hosts.filter(|index| self.contain(*index)).collect()
    }

    /// The preferred members up to the first that is not crowded, and the members on which the service runs.
    fn affinity_circle(
        &self,
        preferred: &[HostIndex],
        with_service: Vec<HostIndex>,
    ) -> Vec<HostIndex> {
        let first_uncrowded = preferred.iter().position(|index| self.is_uncrowded(*index));
        let count = first_uncrowded.map_or(preferred.len(), |position| position + 1);
        let members = with_service.into_iter().filter(|index| {
            self.placer
                .working_set
                .contains(*index, &self.host(*index).id)
        });
        let circle: BTreeSet<HostIndex> =
            preferred[..count].iter().copied().chain(members).collect();
        circle.into_iter().collect()
    }

    /// The first circle of candidates that is not empty.
    fn first_circle(&self) -> Vec<HostIndex> {
        if !self.placer.is_heavy(self.record.requested()) {
            let with_service = self.with_service();
            if with_service.iter().any(|index| self.is_uncrowded(*index)) {
                return with_service;
            }
            let preferred = self.with_affinity();
            if !preferred.is_empty() {
                return self.affinity_circle(&preferred, with_service);
            }
        }
        let working_set = &self.placer.working_set;
        let members: Vec<HostIndex> = working_set
            .members()
            .filter(|index| self.contain(*index))
            .collect();
        if !members.is_empty() {
            return members;
        }
        working_set
            .hosts_up()
            .filter(|index| self.contain(*index))
            .collect()
    }
}

impl Placer {
    /// The hosts among which SCD draws: those that the hard rules permit, narrowed to the first circle that is not empty.
    ///
    /// 1. Hosts with capacity on which own tasks of the service run, so that its program is there already (a start
    ///    then costs a small part of a first start), while one of them is not crowded.
    /// 2. Members of the working set where the program should be: with own tasks of the service, or preferred by it.
    ///    As many are preferred, by rank, as it takes to reach one that is not crowded.
    /// 3. Members of the working set with capacity.
    /// 4. Any healthy host with capacity.
    /// 5. The same including hosts that are ejected for the class or tenant only.
    /// 6. Ejected hosts, if all are: an ejection is a guess and may be relaxed, a hard rule never.
    ///
    /// If none is found, the task waits.
    pub(super) fn eligible_hosts(&self, record: &TaskRecord) -> Vec<HostIndex> {
        let class = record.task.class;
        let scopes = [
            Scope::Host,
            Scope::Class(class),
            Scope::ClassOfTenant(class, record.task.tenant),
        ];
        for avoided_scopes in [&scopes[..], &scopes[..1]] {
            let candidates = Candidates {
                placer: self,
                record,
                avoided_scopes,
            };
            let circle = candidates.first_circle();
            if !circle.is_empty() {
                return circle;
            }
        }
        self.last_resort(record)
    }

    /// The permitted hosts if all hosts are ejected, otherwise none.
    fn last_resort(&self, record: &TaskRecord) -> Vec<HostIndex> {
        let mut hosts_up = self.working_set.hosts_up();
        if !hosts_up.all(|index| self.is_ejected(index, Scope::Host)) {
            return Vec::new();
        }
        let allows_attempt =
            |index: HostIndex| self.hosts.hosts[index].has_attempt_capacity(f64::INFINITY);
        let hosts_up = self.working_set.hosts_up();
        hosts_up
            .filter(|index| self.is_permitted(record, *index) && allows_attempt(*index))
            .collect()
    }

    /// Whether a task goes by load alone: one such task turns a host from uncrowded to crowded.
    fn is_heavy(&self, requested: Resources) -> bool {
        let mean = self.mean_task().map(|amount| amount.max(MIN_MEAN));
        let size = requested / mean;
        size.cores + size.memory > 2.0 * HEAVY_TASK_SIZE
    }

    /// Whether a host accepts the task, was not tried for it, and the hard rules permit it. Never relaxed.
    fn is_permitted(&self, record: &TaskRecord, index: HostIndex) -> bool {
        let host = &self.hosts.hosts[index];
        self.fits(host, record.requested())
            && !record.tried_hosts.contains(&index)
            && self.satisfies_hard_rules(record, host)
    }

    /// The hard rules: in service, the right kind, no second run, spread, slow start.
    fn satisfies_hard_rules(&self, record: &TaskRecord, host: &Host) -> bool {
        let class = &self.settings.classes[record.task.class.0];
        host.state == EndpointState::Up
            && class.host_kind.is_none_or(|kind| kind == host.kind)
            && self.recognises_key(record, class, host)
            && self.keeps_spread(record, class, host)
            && self.slow_start_allows(host)
    }

    /// Whether a retry of a task with an idempotency key is recognised by the host. True for all other tasks.
    fn recognises_key(&self, record: &TaskRecord, class: &TaskClass, host: &Host) -> bool {
        let Idempotency::IdempotencyKey { scope } = class.idempotency else {
            return true;
        };
        let Some(UncertainAttempt {
            host: first,
            sent_at,
        }) = record.first_uncertain_attempt
        else {
            return true;
        };
        let Some(first) = first.map(|first| &self.hosts.hosts[first]) else {
            return false;
        };
        let is_in_scope = match scope {
            KeyScope::All => true,
            KeyScope::Zone => first.zone == host.zone,
            KeyScope::Cell => first.cell == host.cell,
        };
        // Early enough for an attempt that waits for a connection.
        let latest_connect = class.idempotency_window - self.settings.connect_timeout;
        let max_age = (class.idempotency_window / KEY_WINDOW_DIVISOR).min(latest_connect);
        is_in_scope && self.now - sent_at < max_age
    }

    /// Whether the service stays within its limit for the host's failure domain.
    fn keeps_spread(&self, record: &TaskRecord, class: &TaskClass, host: &Host) -> bool {
        let shares_domain = |other: &Host| match class.spread_domain {
            SpreadDomain::None => false,
            SpreadDomain::Host => other.id == host.id,
            SpreadDomain::Cell => other.cell == host.cell,
            SpreadDomain::Zone => other.zone == host.zone,
        };
        if class.spread_domain == SpreadDomain::None {
            return true;
        }
        let in_domain: usize = self
            .tasks
            .hosts_of_service(record.task.service)
            .filter(|(index, _)| shares_domain(&self.hosts.hosts[*index]))
            .map(|(_, count)| count)
            .sum();
        in_domain < class.max_per_domain
    }
}

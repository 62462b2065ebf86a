//! Eligible hosts of a task: those that the hard rules permit, narrowed down by preferences. The hard rules, which are
//! never relaxed, concern the host's state and kind, idempotency, spread and slow start.

use super::concurrency_window::window_allows_attempt;
use super::placer::Placer;
use crate::state::health_book::Scope;
use crate::state::hosts::{Host, HostIndex};
use crate::state::tasks::{TaskRecord, UncertainAttempt};
use crate::types::{EndpointState, Idempotency, KeyScope, Resources, SpreadDomain, TaskClass};
use std::collections::BTreeSet;

/// Fullness beyond which a host gets no tasks, unless all hosts are ejected.
pub(super) const MAX_FULLNESS: f64 = 1.25;
/// A host is crowded if its fullness with the task exceeds the working set's mean fullness times this factor. If a
/// preferred member is crowded, the next member in the service's ranking is eligible too.
const CROWDED_FACTOR: f64 = 1.35;
/// A task is heavy if its size exceeds this multiple of the size of a mean task, averaged over cores and memory.
/// Stochastic coordination (SCD) counts every task as one mean task and so does not account for the size of a heavy
/// one.
const HEAVY_TASK_SIZE: f64 = 4.0;
/// A retry with an idempotency key is sent only within the time that hosts remember the key, divided by this.
const KEY_WINDOW_DIVISOR: i64 = 2;
/// Lower bound of the mean cores and memory of a task, which avoids a division by zero.
const MIN_MEAN: f64 = 1e-9;

/// The hosts that may get a task, without those that are ejected for one of `avoided_scopes`.
struct Candidates<'a> {
    placer: &'a Placer,
    record: &'a TaskRecord,
    avoided_scopes: &'a [Scope],
}

impl Candidates<'_> {
    fn host(&self, index: HostIndex) -> &Host {
        &self.placer.hosts.hosts[index]
    }

    /// Returns whether the task may go to a host: the host is healthy and has capacity, the task was not tried on it
    /// before, and the hard rules permit it.
    fn is_candidate(&self, index: HostIndex) -> bool {
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
        window_allows_attempt(host) && self.fullness_with_task(index) <= MAX_FULLNESS
    }

    /// Returns whether the fullness of a host stays close to the mean fullness of the working set if it gets the task.
    fn is_uncrowded(&self, index: HostIndex) -> bool {
        self.fullness_with_task(index) <= self.placer.working_set.mean_fullness() * CROWDED_FACTOR
    }

    fn fullness_with_task(&self, index: HostIndex) -> f64 {
        self.placer
            .fullness_with(self.host(index), self.record.requested())
    }

    /// Returns the candidate hosts on which this placer already has tasks of the same service.
    fn with_service(&self) -> Vec<HostIndex> {
        let hosts = self.placer.tasks.hosts_of_service(self.record.task.service);
        hosts
            .map(|(index, _)| index)
            .filter(|index| self.is_candidate(*index))
            .collect()
    }

    /// Returns the candidate hosts among the working-set members that the service prefers, best first.
    fn with_affinity(&self) -> Vec<HostIndex> {
        let hosts = self
            .placer
            .working_set
            .affinity
            .get(&self.record.task.service);
        let hosts = hosts.into_iter().flatten().copied();
        hosts.filter(|index| self.is_candidate(*index)).collect()
    }

    /// Returns the working-set members that the service prefers, up to the first one that is not crowded, together with
    /// the members on which the service runs.
    fn affinity_tier(
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
        let tier: BTreeSet<HostIndex> = preferred[..count].iter().copied().chain(members).collect();
        tier.into_iter().collect()
    }

    /// Returns the candidate hosts of the first tier that has any, or no hosts if all tiers are empty.
    fn first_nonempty_tier(&self) -> Vec<HostIndex> {
        if !self.placer.is_heavy(self.record.requested()) {
            let with_service = self.with_service();
            if with_service.iter().any(|index| self.is_uncrowded(*index)) {
                return with_service;
            }
            let preferred = self.with_affinity();
            if !preferred.is_empty() {
                return self.affinity_tier(&preferred, with_service);
            }
        }
        let working_set = &self.placer.working_set;
        let members: Vec<HostIndex> = working_set
            .members()
            .filter(|index| self.is_candidate(*index))
            .collect();
        if !members.is_empty() {
            return members;
        }
        working_set
            .hosts_up()
            .filter(|index| self.is_candidate(*index))
            .collect()
    }
}

impl Placer {
    /// Returns the hosts among which SCD draws: those that the hard rules permit, narrowed to the first tier that is
    /// not empty. The tiers are:
    ///
    /// 1. Hosts with capacity on which this placer has tasks of the same service, if at least one of them is not
    ///    crowded. The program is there already, so that a start costs a small part of a first start.
    /// 2. Members of the working set on which the program is expected: those with tasks of the service from this
    ///    placer, and those that the service prefers, in the order of its ranking up to the first one that is not
    ///    crowded.
    /// 3. Members of the working set with capacity.
    /// 4. Any healthy host with capacity.
    /// 5. The hosts of tiers 1 to 4, including hosts that are ejected only for the class or tenant.
    /// 6. Ejected hosts, if all hosts are ejected. An ejection is a guess and may be relaxed, but a hard rule is never
    ///    relaxed.
    ///
    /// Tiers 1 and 2 are skipped for heavy tasks. If no host is found, the task waits.
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
            let tier = candidates.first_nonempty_tier();
            if !tier.is_empty() {
                return tier;
            }
        }
        self.last_resort(record)
    }

    /// Returns the hosts that the hard rules permit and that are below their limit of attempts in flight if all hosts
    /// are ejected, otherwise none.
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

    /// Returns whether a task is so large that its host is chosen by load alone. A single task of this size can make a
    /// host crowded.
    fn is_heavy(&self, requested: Resources) -> bool {
        let mean = self.mean_task().map(|amount| amount.max(MIN_MEAN));
        let size = requested / mean;
        size.cores + size.memory > 2.0 * HEAVY_TASK_SIZE
    }

    /// Returns whether a host accepts the task, was not tried for it before, and satisfies the hard rules. These
    /// conditions are never relaxed.
    fn is_permitted(&self, record: &TaskRecord, index: HostIndex) -> bool {
        let host = &self.hosts.hosts[index];
        self.fits(host, record.requested())
            && !record.tried_hosts.contains(&index)
            && self.satisfies_hard_rules(record, host)
    }

    /// Returns whether a host satisfies the hard rules: it is in service, is of the required kind, recognises the
    /// idempotency key of a retry, and keeps the limits of spread and slow start.
    fn satisfies_hard_rules(&self, record: &TaskRecord, host: &Host) -> bool {
        let class = &self.settings.classes[record.task.class.0];
        host.state == EndpointState::Up
            && class.host_kind.is_none_or(|kind| kind == host.kind)
            && self.recognises_key(record, class, host)
            && self.stays_within_spread_limit(record, class, host)
            && self.slow_start_allows(host)
    }

    /// Returns whether the host still recognises the idempotency key of a retry. True for tasks without a key and for
    /// tasks that cannot have run yet.
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
        // The attempt may wait for a connection and must still arrive before the hosts forget the key.
        let latest_connect = class.idempotency_window - self.settings.connect_timeout;
        let max_age = (class.idempotency_window / KEY_WINDOW_DIVISOR).min(latest_connect);
        is_in_scope && self.now - sent_at < max_age
    }

    /// Returns whether the service stays within its limit of tasks for the host's failure domain.
    fn stays_within_spread_limit(
        &self,
        record: &TaskRecord,
        class: &TaskClass,
        host: &Host,
    ) -> bool {
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

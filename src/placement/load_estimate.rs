//! How full hosts are: from what tasks request there and the part of it that they use.

use super::placer::Placer;
use super::usage_assumption::ASSUMED_USAGE_RATIO;
use crate::state::hosts::Host;
use crate::types::{KindId, ResourceKind, Resources};

/// The weight of the assumed usage ratio, in mean tasks.
const ASSUMPTION_WEIGHT: f64 = 10.0;
/// Bounds of the learned ratio of used to requested resources.
const MIN_USAGE_RATIO: f64 = 0.05;
const MAX_USAGE_RATIO: f64 = 2.0;
/// A host counts as full when its memory in use reaches this fraction: tasks grow after they start, and attempts stop at
/// [`MAX_FULLNESS`](super::eligibility::MAX_FULLNESS) times as much, just before service slows and hosts evict.
const FULL_MEMORY: f64 = 0.75;
/// The fraction of the resources a host accepts that counts as full: what is known of it is late.
const FULL_REQUESTED: f64 = 0.95;
/// Sizes are never zero, so that no setting leads to a division by zero.
const MIN_SIZE: f64 = 1e-9;

impl Placer {
    /// Cores and memory of a host kind.
    pub(super) fn host_size(&self, kind: KindId) -> Resources {
        match self.settings.host_kinds.get(kind.0) {
            Some(kind) => Resources {
                cores: kind.cores.max(MIN_SIZE),
                memory: kind.memory.max(MIN_SIZE),
            },
            None => Resources {
                cores: 1.0,
                memory: 1.0,
            },
        }
    }

    /// The most resources that tasks may request on a host.
    pub(super) fn accepted_resources(&self, host: &Host) -> Resources {
        let overcommit = Resources {
            cores: self.settings.core_overcommit,
            memory: self.settings.memory_overcommit,
        };
        self.host_size(host.kind) * overcommit
    }

    /// Cores and memory that a mean task requests.
    pub(super) fn mean_task(&self) -> Resources {
        Resources {
            cores: self.settings.mean_cores,
            memory: self.settings.mean_memory,
        }
    }

    /// Size of a host: its cores over those of the mean task. SCD calls it mu.
    pub(super) fn size_in_tasks(&self, host: &Host) -> f64 {
        self.host_size(host.kind).cores / self.settings.mean_cores.max(MIN_SIZE)
    }

    /// Used as a fraction of requested resources, learned from usage reports.
    pub(super) fn usage_ratio(&self) -> Resources {
        Resources {
            cores: self.usage_ratio_of(ResourceKind::Cores),
            memory: self.usage_ratio_of(ResourceKind::Memory),
        }
    }

    fn usage_ratio_of(&self, kind: ResourceKind) -> f64 {
        let weight = ASSUMPTION_WEIGHT * self.mean_task().get(kind).max(f64::MIN_POSITIVE);
        let used = self.tasks.measured_use.get(kind) + ASSUMED_USAGE_RATIO.get(kind) * weight;
        let requested = self.tasks.measured_request.get(kind) + weight;
        (used / requested).clamp(MIN_USAGE_RATIO, MAX_USAGE_RATIO)
    }

    /// Utilization of the cores up to which every class gets full service.
    pub(super) fn full_service_utilization(&self) -> f64 {
        let classes = self.settings.classes.iter();
        classes
            .map(|class| class.full_service_utilization)
            .fold(1.0, f64::min)
    }

    /// Fullness of a host if tasks requested this much more: from 1 on its tasks suffer.
    pub(super) fn fullness_with(&self, host: &Host, more: Resources) -> f64 {
        self.fullness_at(host, host.requested() + more, self.usage_ratio())
    }

    /// Fullness of a host at these requested resources and this ratio of used to requested resources: that of its
    /// tightest limit.
    pub(super) fn fullness_at(
        &self,
        host: &Host,
        requested: Resources,
        usage_ratio: Resources,
    ) -> f64 {
        let size = self.host_size(host.kind);
        let accepted = self.accepted_resources(host);
        [
            requested.cores * usage_ratio.cores / (size.cores * self.full_service_utilization()),
            requested.memory * usage_ratio.memory / (size.memory * FULL_MEMORY),
            requested.cores / (accepted.cores * FULL_REQUESTED),
            requested.memory / (accepted.memory * FULL_REQUESTED),
        ]
        .into_iter()
        .fold(0.0, f64::max)
    }

    /// Whether a host accepts tasks that request this much more.
    pub(super) fn fits(&self, host: &Host, requested: Resources) -> bool {
        (host.requested() + requested).fits_in(self.accepted_resources(host))
    }

    /// Load of a host in mean tasks: its fullness in terms of cores. SCD calls it q.
    pub(super) fn load_in_tasks(&self, host: &Host) -> f64 {
        let fullness = self.fullness_with(host, Resources::default());
        fullness * self.size_in_tasks(host) * self.full_service_utilization()
            / self.usage_ratio().cores
    }
}

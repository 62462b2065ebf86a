//! Estimates how full hosts are, from the resources that tasks request there and the fraction of these that they use.

use super::placer::Placer;
use super::usage_assumption::ASSUMED_USAGE_RATIO;
use crate::state::hosts::Host;
use crate::types::{KindId, ResourceKind, Resources};

/// Weight of the assumed usage ratio against the usage that hosts report, as the number of reported tasks of mean size
/// that would count as much.
const ASSUMPTION_WEIGHT: f64 = 10.0;
/// Lower bound of the learned ratio of used to requested resources.
const MIN_USAGE_RATIO: f64 = 0.05;
/// Upper bound of the learned ratio of used to requested resources.
const MAX_USAGE_RATIO: f64 = 2.0;
/// A host counts as full when this fraction of its memory is in use.
///
/// The memory of tasks grows after their start. Attempts stop at
/// [`MAX_FULLNESS`](super::eligibility::MAX_FULLNESS) times this fraction, just before service slows down and hosts
/// evict tasks.
const FULL_MEMORY: f64 = 0.75;
/// A host counts as full when tasks request this fraction of the resources that it accepts. The fraction is below 1
/// because the load that this placer knows is out of date.
const FULL_REQUESTED: f64 = 0.95;
/// Lower bound of sizes, so that no setting leads to a division by zero.
const MIN_SIZE: f64 = 1e-9;

impl Placer {
    /// Returns the cores and memory of a host kind, or 1 of each if the kind is unknown.
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

    /// Returns the most resources that tasks may request on a host.
    pub(super) fn accepted_resources(&self, host: &Host) -> Resources {
        let overcommit = Resources {
            cores: self.settings.core_overcommit,
            memory: self.settings.memory_overcommit,
        };
        self.host_size(host.kind) * overcommit
    }

    /// Returns the cores and memory that a mean task requests.
    pub(super) fn mean_task(&self) -> Resources {
        Resources {
            cores: self.settings.mean_cores,
            memory: self.settings.mean_memory,
        }
    }

    /// Returns the size of a host: its cores divided by the mean cores that a task requests. This is mu in the notation
    /// of stochastic coordination (SCD).
    pub(super) fn size_in_tasks(&self, host: &Host) -> f64 {
        self.host_size(host.kind).cores / self.settings.mean_cores.max(MIN_SIZE)
    }

    /// Returns the ratio of used to requested resources as learned from usage reports.
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

    /// Returns the utilization of the cores up to which every class gets full service.
    pub(super) fn full_service_utilization(&self) -> f64 {
        let classes = self.settings.classes.iter();
        classes
            .map(|class| class.full_service_utilization)
            .fold(1.0, f64::min)
    }

    /// Returns the fullness that a host would have if its tasks requested `more` in addition. From a fullness of 1 on,
    /// the host's tasks are impaired.
    pub(super) fn fullness_with(&self, host: &Host, more: Resources) -> f64 {
        self.fullness_at(host, host.requested() + more, self.usage_ratio())
    }

    /// Returns the fullness of a host for the given requested resources and ratio of used to requested resources.
    /// Fullness is the largest ratio of load to limit over used and requested cores and memory.
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

    /// Returns whether a host accepts tasks that together request `requested` in addition to its present tasks.
    pub(super) fn fits(&self, host: &Host, requested: Resources) -> bool {
        (host.requested() + requested).fits_in(self.accepted_resources(host))
    }

    /// Returns the load of a host, as a number of tasks of mean size: its fullness converted to cores. This is q in the
    /// notation of stochastic coordination (SCD).
    pub(super) fn load_in_tasks(&self, host: &Host) -> f64 {
        let fullness = self.fullness_with(host, Resources::default());
        fullness * self.size_in_tasks(host) * self.full_service_utilization()
            / self.usage_ratio().cores
    }
}

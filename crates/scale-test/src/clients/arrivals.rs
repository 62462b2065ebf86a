//! When tasks are due and what they are: a Poisson process, and the same for the same settings.

use crate::deployment::Class;
use crate::identity::{PlacerId, TaskIndex, WorkerId};
use crate::settings::Settings;
use crate::wire::description::TaskShape;
use crate::workers::RunningTask;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use std::time::Duration;

/// Sets the draws of what stands at the start apart from those of what arrives.
const RUNNING_TASKS_STREAM: u64 = 0x7374_616e_6469_6e67;
/// The shortest lifetime: a worker tells an answer and an end apart.
const MIN_LIFETIME: Duration = Duration::from_millis(1);

/// A task that is due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// When, from the start of all arrivals.
    pub due: Duration,
    /// Its class.
    pub class: Class,
    /// Its tenant.
    pub tenant: u32,
    /// Its service.
    pub service: u32,
    /// What it is at its worker.
    pub shape: TaskShape,
    /// A number for the choice of its placer among those in service.
    pub lot: u32,
}

/// The arrivals of a run, one after the other.
#[derive(Debug, Clone)]
pub struct Arrivals {
    draws: ChaCha8Rng,
    at: Duration,
    rate: f64,
    urgent_share: f64,
    once_share: f64,
    tenants: u32,
    services: u32,
    cores: f64,
    memory: f64,
    lifetime: Duration,
}

impl Arrivals {
    /// As the settings say.
    pub fn new(settings: &Settings) -> Arrivals {
        Arrivals {
            draws: ChaCha8Rng::seed_from_u64(settings.seed),
            at: Duration::ZERO,
            rate: settings.rate,
            urgent_share: settings.urgent_share,
            once_share: settings.once_share,
            tenants: settings.tenants.max(1),
            services: settings.services.max(1),
            cores: settings.task_cores,
            memory: settings.task_memory,
            lifetime: settings.life,
        }
    }

    /// What a task of this class is at its worker, with a lifetime of its own.
    fn shape(&mut self, class: Class) -> TaskShape {
        let part: f64 = Exp1.sample(&mut self.draws);
        let lifetime = self.lifetime.mul_f64(part).max(MIN_LIFETIME);
        TaskShape {
            cores: self.cores,
            memory: self.memory,
            lifetime,
            once: class.is_non_idempotent(),
        }
    }

    fn class(&mut self) -> Class {
        let drawn: f64 = self.draws.random();
        if drawn < self.urgent_share {
            Class::Urgent
        } else if drawn < self.urgent_share + self.once_share {
            Class::Once
        } else {
            Class::Standard
        }
    }

    fn tenant_and_service(&mut self) -> (u32, u32) {
        (
            self.draws.random_range(0..self.tenants),
            self.draws.random_range(0..self.services),
        )
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        if self.rate <= 0.0 {
            return None;
        }
        let gap: f64 = Exp1.sample(&mut self.draws);
        self.at = self
            .at
            .checked_add(Duration::try_from_secs_f64(gap / self.rate).ok()?)?;
        let class = self.class();
        let (tenant, service) = self.tenant_and_service();
        let shape = self.shape(class);
        Some(Arrival {
            due: self.at,
            class,
            tenant,
            service,
            shape,
            lot: self.draws.random(),
        })
    }
}

/// The tasks that stand at the start: dealt out to the workers in turn, and to the placers in turn round by
/// round. What is left of an exponential lifetime is exponential, too.
pub fn running_tasks(settings: &Settings) -> Vec<RunningTask> {
    let seed = settings.seed ^ RUNNING_TASKS_STREAM;
    let mut arrivals = Arrivals {
        draws: ChaCha8Rng::seed_from_u64(seed),
        ..Arrivals::new(settings)
    };
    let (workers, placers) = (settings.workers.max(1), u32::from(settings.placers.max(1)));
    let task = |index: u32| {
        let placer = (index / workers + index) % placers;
        RunningTask {
            task: TaskIndex(index),
            worker: WorkerId(index % workers),
            placer: PlacerId(u16::try_from(placer).unwrap_or(0)),
            shape: arrivals.shape(Class::Standard),
        }
    };
    (0..settings.running_tasks).map(task).collect()
}

impl Arrivals {
    /// The tenant and the service of a task that stands at the start.
    pub fn of_running_tasks(&self, task: TaskIndex) -> (u32, u32) {
        (task.0 % self.tenants, task.0 % self.services)
    }
}

#[cfg(test)]
mod tests;

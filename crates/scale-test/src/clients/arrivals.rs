//! The arrivals of tasks: a Poisson process that is fully determined by the settings, including their seed.

use crate::deployment::Class;
use crate::identity::{PlacerId, TaskIndex, WorkerId};
use crate::settings::Settings;
use crate::wire::description::TaskShape;
use crate::workers::RunningTask;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use std::time::Duration;

/// XORed with the seed, so that the tasks that run at the start draw other random numbers than the arrivals.
const RUNNING_TASKS_STREAM: u64 = 0x7374_616e_6469_6e67;
/// The minimum lifetime of a task, which keeps its answer and its end at different times.
const MIN_LIFETIME: Duration = Duration::from_millis(1);

/// The arrival of one task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// The time of arrival, relative to the start of the arrival window.
    pub due: Duration,
    /// The class of the task.
    pub class: Class,
    /// The index of the task's tenant.
    pub tenant: u32,
    /// The index of the task's service.
    pub service: u32,
    /// The resources and the lifetime of the task.
    pub shape: TaskShape,
    /// A random number that selects the placer among those in service.
    pub placer_choice: u32,
}

/// An iterator over the arrivals of a run. It is endless, unless the rate is zero.
#[derive(Debug, Clone)]
pub struct Arrivals {
    random: ChaCha8Rng,
    next_due: Duration,
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
    /// Returns the arrivals that the settings describe.
    pub fn new(settings: &Settings) -> Arrivals {
        Arrivals {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            next_due: Duration::ZERO,
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

    /// Returns the shape of a task of this class, with a random lifetime.
    fn shape(&mut self, class: Class) -> TaskShape {
        let factor: f64 = Exp1.sample(&mut self.random);
        let lifetime = self.lifetime.mul_f64(factor).max(MIN_LIFETIME);
        TaskShape {
            cores: self.cores,
            memory: self.memory,
            lifetime,
            non_idempotent: class.is_non_idempotent(),
        }
    }

    /// Draws the class of a task.
    fn class(&mut self) -> Class {
        let drawn: f64 = self.random.random();
        if drawn < self.urgent_share {
            Class::Urgent
        } else if drawn < self.urgent_share + self.once_share {
            Class::Once
        } else {
            Class::Standard
        }
    }

    /// Draws the tenant and the service of a task.
    fn tenant_and_service(&mut self) -> (u32, u32) {
        (
            self.random.random_range(0..self.tenants),
            self.random.random_range(0..self.services),
        )
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        if self.rate <= 0.0 {
            return None;
        }
        let gap: f64 = Exp1.sample(&mut self.random);
        self.next_due = self
            .next_due
            .checked_add(Duration::try_from_secs_f64(gap / self.rate).ok()?)?;
        let class = self.class();
        let (tenant, service) = self.tenant_and_service();
        let shape = self.shape(class);
        Some(Arrival {
            due: self.next_due,
            class,
            tenant,
            service,
            shape,
            placer_choice: self.random.random(),
        })
    }
}

/// Returns the tasks that run at the start. They are assigned to workers in turn and to placers in turn, and the
/// assignment to placers shifts by one after each round over the workers. Their remaining lifetimes are drawn like
/// those of new tasks, because the remainder of an exponentially distributed lifetime has the same distribution.
pub fn running_tasks(settings: &Settings) -> Vec<RunningTask> {
    let seed = settings.seed ^ RUNNING_TASKS_STREAM;
    let mut arrivals = Arrivals {
        random: ChaCha8Rng::seed_from_u64(seed),
        ..Arrivals::new(settings)
    };
    let workers = settings.workers.max(1);
    let placers = u32::from(settings.placers.max(1));
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
    /// Returns the tenant and the service of a task that runs at the start.
    pub fn tenant_and_service_of(&self, task: TaskIndex) -> (u32, u32) {
        (task.0 % self.tenants, task.0 % self.services)
    }
}

#[cfg(test)]
mod tests;

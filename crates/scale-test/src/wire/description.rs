//! Formats of the task description, which a client writes for the worker, and of the worker's answer.
//!
//! Placers forward both without reading them, so the formats are private to this program.

use crate::identity::WorkerId;
use std::time::Duration;

/// The resources and the lifetime of a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskShape {
    /// Cores that the task uses.
    pub cores: f64,
    /// Memory that the task uses.
    pub memory: f64,
    /// The time from the task's start to its end.
    pub lifetime: Duration,
    /// Whether the task must not start twice.
    pub non_idempotent: bool,
}

impl TaskShape {
    /// Formats the shape as a task description.
    pub fn write(&self) -> String {
        let TaskShape {
            cores,
            memory,
            lifetime,
            non_idempotent,
        } = self;
        format!(
            "cores={cores} memory={memory} life-us={} once={non_idempotent}",
            lifetime.as_micros()
        )
    }

    /// Parses the shape from a task description. Returns `None` if a field is missing or invalid.
    pub fn read(text: &str) -> Option<TaskShape> {
        let number = |value: &str| {
            value
                .parse::<f64>()
                .ok()
                .filter(|number| number.is_finite() && *number >= 0.0)
        };
        Some(TaskShape {
            cores: number(field(text, "cores")?)?,
            memory: number(field(text, "memory")?)?,
            lifetime: Duration::from_micros(field(text, "life-us")?.parse().ok()?),
            non_idempotent: field(text, "once")?.parse().ok()?,
        })
    }
}

/// Formats the answer of a worker. It holds the worker's name, which the client reports to a restarted placer so that
/// the placer adopts the running task.
pub fn write_answer(worker: WorkerId) -> String {
    format!("worker={worker}")
}

/// Parses the worker from its answer. Returns `None` if the answer names no worker.
pub fn read_answer(text: &str) -> Option<WorkerId> {
    field(text, "worker").and_then(WorkerId::from_name)
}

fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let pairs = text.split(' ').filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find(|(found, _)| *found == name)
        .map(|(_, value)| value)
}

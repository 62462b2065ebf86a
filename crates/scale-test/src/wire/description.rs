//! What a client writes for the worker, and what a worker answers: figures that placers pass on unread.

use crate::identity::WorkerId;
use std::time::Duration;

/// What a task is at its worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskShape {
    /// Cores it holds.
    pub cores: f64,
    /// Memory it holds.
    pub memory: f64,
    /// How long it stands.
    pub lifetime: Duration,
    /// Whether it must not start twice.
    pub once: bool,
}

impl TaskShape {
    /// As a description.
    pub fn write(&self) -> String {
        let TaskShape {
            cores,
            memory,
            lifetime,
            once,
        } = self;
        format!(
            "cores={cores} memory={memory} life-us={} once={once}",
            lifetime.as_micros()
        )
    }

    /// Out of a description.
    pub fn read(text: &str) -> Option<TaskShape> {
        let figure = |value: &str| {
            value
                .parse::<f64>()
                .ok()
                .filter(|v| v.is_finite() && *v >= 0.0)
        };
        Some(TaskShape {
            cores: figure(field(text, "cores")?)?,
            memory: figure(field(text, "memory")?)?,
            lifetime: Duration::from_micros(field(text, "life-us")?.parse().ok()?),
            once: field(text, "once")?.parse().ok()?,
        })
    }
}

/// What a worker answers: its name, for a placer that starts again.
pub fn write_answer(worker: WorkerId) -> String {
    format!("worker={worker}")
}

/// The worker that answered.
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

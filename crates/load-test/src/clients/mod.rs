//! The behaviour of clients: a pure state machine. Events and the time go in, effects come out; it opens no
//! connection and keeps no clock.
//!
//! ```text
//!            due                   placed                  its time is over
//!  (none) ─────────▶ ┌───────────┐ ──────────▶ ┌─────────┐ ─────────────────▶ done
//!                    │ requested │             │ running │ ◀─┐ reconnect, to a
//!         ┌────────▶ └─┬─┬─┬─────┘             └─┬───┬───┘ ──┘ restarted placer
//!         │            │ │ │ no answer           │   │ lost, migrated
//!         │   rejected │ │ └───────────┐         │   │
//!         │     failed │ │ no start is │         │   │
//!         │            │ │ possible    │ one may │   │
//!         │            ▼ ▼             ▼ run     ▼   ▼
//!         │       ┌─────────┐     ┌──────────┐
//!         └───────┤ backoff │◀────┤ settling │
//!         retry   └─────────┘     └──────────┘
//! ```
//!
//! A task keeps its idempotency key through all its attempts; each attempt has an id of its own. A non-idempotent
//! task settles first where an attempt may have run: for that long, a host that turns out to run it has its client
//! reconnect to a placer; otherwise it is requested again. A placer's own response that such a task failed means
//! that an attempt may have run.

mod engine;
#[cfg(test)]
mod tests;

use crate::load_profile::Micros;
pub use engine::Clients;
use serde::{Deserialize, Serialize};

/// How clients space their retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryPolicy {
    /// The same backoff each time.
    Fixed,
    /// Twice as long each time.
    Exponential,
    /// A random time up to twice as long each time (full jitter).
    Jitter,
    /// Like `Jitter`, with all retries together within a budget relative to first attempts.
    Budget,
}

impl RetryPolicy {
    /// All policies.
    pub const ALL: [RetryPolicy; 4] = [
        RetryPolicy::Fixed,
        RetryPolicy::Exponential,
        RetryPolicy::Jitter,
        RetryPolicy::Budget,
    ];

    /// Returns its name in plans.
    pub fn as_str(self) -> &'static str {
        match self {
            RetryPolicy::Fixed => "fixed",
            RetryPolicy::Exponential => "exponential",
            RetryPolicy::Jitter => "jitter",
            RetryPolicy::Budget => "budget",
        }
    }
}

/// The settings of all clients.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// How retries are spaced.
    pub policy: RetryPolicy,
    /// Minimum backoff.
    pub min_backoff: Micros,
    /// Maximum backoff.
    pub max_backoff: Micros,
    /// Retries per first attempt under [`RetryPolicy::Budget`].
    pub retry_budget: f64,
    /// Fraction of clients that respect Retry-After.
    pub retry_after_compliance: f64,
    /// How long a non-idempotent task settles.
    pub settle_time: Micros,
    /// How long the client of a lost or migrated task waits before it requests it again: minimum and maximum.
    pub reconnect_delay: (Micros, Micros),
}

/// A task that a client wants.
#[derive(Debug, Clone, PartialEq)]
pub struct WantedTask {
    /// Its idempotency key.
    pub key: u64,
    /// When it was due.
    pub due: Micros,
    /// When it is not wanted any more.
    pub ends_at: Micros,
    /// How long its client waits for an answer.
    pub timeout: Micros,
    /// Whether it must not be started twice.
    pub non_idempotent: bool,
}

/// What a client learns of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Response {
    /// The task runs.
    Placed,
    /// It was rejected without effect; the client may be asked to wait so long (Retry-After).
    Rejected(Option<Micros>),
    /// It failed.
    Failed,
    /// The running task was complete.
    Ended,
    /// The running task was lost, stopped or evicted.
    Lost,
    /// The task migrates: its client is to request it again.
    Migrated,
}

/// An event for the clients.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A task is due.
    TaskDue(WantedTask),
    /// A response to the attempt with this id.
    Response(u64, Response),
    /// The request with this id was never sent.
    RequestUnsent(u64),
    /// The connection of the request with this id ended.
    Disconnected(u64),
    /// A placer has restarted and knows of no tasks.
    PlacerRestarted(usize),
    /// A host runs a task whose client does not know it, as the event log shows.
    RunningTaskFound {
        /// The key of the task.
        key: u64,
        /// The id of the attempt that started it.
        id: u64,
    },
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Request a task under a new id.
    RequestTask {
        /// The key of the task.
        key: u64,
        /// The new id.
        id: u64,
        /// How long to wait for the answer.
        wait: Micros,
        /// Whether it is a retry.
        is_retry: bool,
    },
    /// Cancel the request with this id.
    CancelRequest(u64),
    /// Reconnect to a running task through a placer.
    Reconnect {
        /// The key of the task.
        key: u64,
        /// Its id.
        id: u64,
    },
    /// Acknowledge the end of the task with this id.
    AcknowledgeEnd(u64),
    /// The task with this key is done.
    TaskDone(u64, Fate),
}

/// How a task ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    /// It ran to its end.
    Completed,
    /// Its time was over while it ran.
    ExpiredRunning,
    /// Its time was over before it ran, or before it ran again.
    ExpiredWaiting,
    /// The retry budget was exhausted.
    OverBudget,
}

impl Fate {
    /// Returns its name in results, a fixed format.
    pub fn as_str(self) -> &'static str {
        match self {
            Fate::Completed => "ran",
            Fate::ExpiredRunning => "over-standing",
            Fate::ExpiredWaiting => "over-waiting",
            Fate::OverBudget => "unbudgeted",
        }
    }
}

/// Counts of what clients did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// First attempts.
    pub first_attempts: u64,
    /// Retries.
    pub retries: u64,
    /// Failed attempts.
    pub failed_attempts: u64,
    /// Retries that the budget did not allow.
    pub retries_over_budget: u64,
    /// Reconnections to running tasks.
    pub reconnections: u64,
}

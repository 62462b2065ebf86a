//! The behaviour of clients as a pure state machine. Events and the current time go in, effects come out; it opens no
//! connections and reads no clock.
//!
//! | State | Event | Next state |
//! |---|---|---|
//! | (none) | the task is due | requested |
//! | requested | placed | running |
//! | requested | rejected or never sent | backoff |
//! | requested | failed, disconnected or timed out, idempotent | backoff |
//! | requested | failed, disconnected or timed out, non-idempotent | settling |
//! | requested | the retry budget allows no retry | done |
//! | requested | the task is complete | done |
//! | backoff | the backoff is over | requested |
//! | settling | the settle time is over | requested |
//! | settling | a host runs the task | running, after a reconnection to a placer |
//! | running | its placer restarted | running, after a reconnection to the placer |
//! | running | lost or migrated | backoff |
//! | running | ended, or its time is over | done |
//! | backoff, settling | due for a request, but its time is over | done |
//!
//! A task keeps its idempotency key through all its attempts; each attempt has an id of its own. A non-idempotent
//! task settles after an attempt that may have started it: if a host turns out to run the task within the settle time,
//! its client reconnects to a placer; otherwise the client requests it again. A placer's own response that such a task
//! failed also means that an attempt may have started it.

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
    /// The minimum backoff before each retry.
    Fixed,
    /// A backoff that doubles with each consecutive failure.
    Exponential,
    /// A random backoff whose upper bound doubles with each consecutive failure (full jitter).
    Jitter,
    /// Like `Jitter`, with a limit on the retries of all clients in proportion to their first attempts.
    Budget,
}

impl RetryPolicy {
    /// All policies, in the order in which they are compared.
    pub const ALL: [RetryPolicy; 4] = [
        RetryPolicy::Fixed,
        RetryPolicy::Exponential,
        RetryPolicy::Jitter,
        RetryPolicy::Budget,
    ];

    /// Returns the policy's name in plans.
    pub fn as_str(self) -> &'static str {
        match self {
            RetryPolicy::Fixed => "fixed",
            RetryPolicy::Exponential => "exponential",
            RetryPolicy::Jitter => "jitter",
            RetryPolicy::Budget => "budget",
        }
    }
}

/// Settings that all clients share.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Policy that spaces retries.
    pub policy: RetryPolicy,
    /// Minimum backoff before a retry.
    pub min_backoff: Micros,
    /// Maximum backoff before a retry.
    pub max_backoff: Micros,
    /// Retries per first attempt under [`RetryPolicy::Budget`].
    pub retry_budget: f64,
    /// Fraction of clients that respect Retry-After.
    pub retry_after_compliance: f64,
    /// How long a non-idempotent task settles after an attempt that may have started it.
    pub settle_time: Micros,
    /// Minimum and maximum time that the client of a lost or migrated task waits before it requests the task again.
    pub rerequest_delay: (Micros, Micros),
}

/// A task that a client wants.
#[derive(Debug, Clone, PartialEq)]
pub struct WantedTask {
    /// Idempotency key of the task.
    pub key: u64,
    /// When the task was due.
    pub due: Micros,
    /// When the client no longer wants the task.
    pub ends_at: Micros,
    /// How long the client waits for an answer to an attempt.
    pub timeout: Micros,
    /// Whether the task must not be started twice.
    pub non_idempotent: bool,
}

/// What a client learns about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Response {
    /// The task runs.
    Placed,
    /// The attempt was rejected without effect. The placer may ask the client to wait for this time (Retry-After).
    Rejected(Option<Micros>),
    /// The attempt failed and may have started the task.
    Failed,
    /// The running task is complete.
    Ended,
    /// The running task was lost, stopped or evicted.
    Lost,
    /// The task migrates, and its client must request it again.
    Migrated,
}

/// An event that the clients handle.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A task is due.
    TaskDue(WantedTask),
    /// A placer responded to the attempt with this id.
    Response(u64, Response),
    /// The request with this id was never sent.
    RequestUnsent(u64),
    /// The connection of the request with this id ended.
    Disconnected(u64),
    /// The placer with this index has restarted and knows no running tasks.
    PlacerRestarted(usize),
    /// The event log shows that a host runs a task, which its client does not know.
    RunningTaskFound {
        /// The key of the task.
        key: u64,
        /// The id of the attempt that started it.
        id: u64,
    },
}

/// An action that the caller carries out for the clients.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Request a task under a new id.
    RequestTask {
        /// The key of the task.
        key: u64,
        /// The new id.
        id: u64,
        /// How long the client waits for the answer.
        wait: Micros,
        /// Whether the attempt is a retry.
        is_retry: bool,
    },
    /// Cancel the request with this id.
    CancelRequest(u64),
    /// Reconnect to a running task through a placer.
    Reconnect {
        /// The key of the task.
        key: u64,
        /// The id of the attempt that started it.
        id: u64,
    },
    /// Acknowledge the end of the task with this id.
    AcknowledgeEnd(u64),
    /// The task with this key is done, and ended like this for its client.
    TaskDone(u64, Fate),
}

/// How a task ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    /// The task ran to its end.
    Completed,
    /// The task was running when its time was over, and no notice of its end arrived.
    ExpiredRunning,
    /// The time of the task was over before it started, or before it started again.
    ExpiredWaiting,
    /// The retry budget was exhausted.
    OverBudget,
}

impl Fate {
    /// Returns the name in results, which is a fixed format.
    pub fn as_str(self) -> &'static str {
        match self {
            Fate::Completed => "ran",
            Fate::ExpiredRunning => "over-standing",
            Fate::ExpiredWaiting => "over-waiting",
            Fate::OverBudget => "unbudgeted",
        }
    }
}

/// Numbers of attempts and reconnections that clients made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of first attempts.
    pub first_attempts: u64,
    /// Number of retries.
    pub retries: u64,
    /// Number of failed attempts.
    pub failed_attempts: u64,
    /// Number of retries that the retry budget did not allow.
    pub retries_over_budget: u64,
    /// Number of reconnections to running tasks.
    pub reconnections: u64,
}

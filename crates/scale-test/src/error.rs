//! The errors that end a run without a result.

use crate::budget::BudgetError;
use crate::identity::PlacerId;
use crate::settings::SettingsError;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Why a run has no result.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The run needs more than the machine has for it.
    #[error(transparent)]
    Budget(#[from] BudgetError),
    /// The program of a placer could not be started.
    #[error("placer program {program}: {source}")]
    Program {
        /// The program.
        program: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// A placer exited by itself.
    #[error("placer {placer} ended by itself ({status}); the end of its log:\n{log}")]
    PlacerEnded {
        /// The placer.
        placer: PlacerId,
        /// The exit status.
        status: String,
        /// The last lines of its log.
        log: String,
    },
    /// A placer passed no health check in time.
    #[error("placer {placer} passed no test within {}; the end of its log:\n{log}", humantime::format_duration(*.limit))]
    NotReady {
        /// The placer.
        placer: PlacerId,
        /// The time limit.
        limit: Duration,
        /// The last lines of its log.
        log: String,
    },
    /// A thread of hollow peers ended early.
    #[error("the thread of {peers} has ended: {source}")]
    Peers {
        /// The kind of peers.
        peers: &'static str,
        /// The error of the system.
        source: io::Error,
    },
    /// A signal or the watcher stopped the run.
    #[error("ended by a signal")]
    Interrupted,
    /// An operation of the system failed.
    #[error("{operation}: {source}")]
    System {
        /// The operation.
        operation: &'static str,
        /// The error of the system.
        source: io::Error,
    },
}

impl RunError {
    /// Returns whether the run was rejected before anything started: it is invalid, or needs too much.
    pub fn is_rejection(&self) -> bool {
        matches!(self, RunError::Settings(_) | RunError::Budget(_))
    }

    /// Returns a function that wraps the error of an operation.
    pub fn system(operation: &'static str) -> impl FnOnce(io::Error) -> RunError {
        move |source| RunError::System { operation, source }
    }
}

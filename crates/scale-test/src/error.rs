//! The errors that end a run without a result.

use crate::budget::BudgetError;
use crate::identity::PlacerId;
use crate::settings::SettingsError;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// The reason why a run ended without a result.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The run needs more resources than the machine has available.
    #[error(transparent)]
    Budget(#[from] BudgetError),
    /// The placer's program could not be started.
    #[error("placer program {program}: {source}")]
    Program {
        /// The path of the program.
        program: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// A placer process exited although the run had not stopped it.
    #[error("placer {placer} exited unexpectedly ({status}); last lines of its log:\n{log}")]
    PlacerEnded {
        /// The index of the placer.
        placer: PlacerId,
        /// The exit status of the process.
        status: String,
        /// The last lines of its log.
        log: String,
    },
    /// A placer did not pass a health check within the time limit after its start.
    #[error("placer {placer} passed no health check within {}; last lines of its log:\n{log}", humantime::format_duration(*.limit))]
    NotReady {
        /// The index of the placer.
        placer: PlacerId,
        /// The time limit.
        limit: Duration,
        /// The last lines of its log.
        log: String,
    },
    /// A thread that simulates peers ended before the run stopped it.
    #[error("simulation thread for {peers} ended: {source}")]
    Peers {
        /// The kind of peers that the thread simulates, such as workers.
        peers: &'static str,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// A signal or the watcher stopped the run.
    #[error("interrupted by a signal")]
    Interrupted,
    /// A system operation failed.
    #[error("{operation}: {source}")]
    System {
        /// A description of the operation.
        operation: &'static str,
        /// The underlying I/O error.
        source: io::Error,
    },
}

impl RunError {
    /// Returns whether the run was rejected before anything started, because its settings are invalid or it needs more
    /// resources than the machine has.
    pub fn is_rejection(&self) -> bool {
        matches!(self, RunError::Settings(_) | RunError::Budget(_))
    }

    /// Returns a function that converts the I/O error of a system operation, for use with `map_err`.
    pub fn system(operation: &'static str) -> impl FnOnce(io::Error) -> RunError {
        move |source| RunError::System { operation, source }
    }
}

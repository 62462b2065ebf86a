//! What goes wrong in a run.

use crate::budget::BudgetError;
use crate::identity::PlacerId;
use crate::settings::SettingsError;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Why there is no result.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings can't be meant.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The run needs more than the machine has for it.
    #[error(transparent)]
    Budget(#[from] BudgetError),
    /// A placer's program could not be started.
    #[error("placer program {program}: {source}")]
    Program {
        /// The program.
        program: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A placer ended by itself.
    #[error("placer {placer} ended by itself ({status}); the end of its log:\n{log}")]
    PlacerEnded {
        /// Which.
        placer: PlacerId,
        /// How.
        status: String,
        /// The last lines of its log.
        log: String,
    },
    /// A placer passed no test in time.
    #[error("placer {placer} passed no test within {}; the end of its log:\n{log}", humantime::format_duration(*.limit))]
    NotReady {
        /// Which.
        placer: PlacerId,
        /// How long it had.
        limit: Duration,
        /// The last lines of its log.
        log: String,
    },
    /// A thread of hollow peers ended.
    #[error("the thread of {peers} has ended: {source}")]
    Peers {
        /// Whose.
        peers: &'static str,
        /// Why.
        source: io::Error,
    },
    /// The run was ended from outside.
    #[error("ended by a signal")]
    Interrupted,
    /// The system refused something.
    #[error("{what}: {source}")]
    System {
        /// What was wanted.
        what: &'static str,
        /// Why it was not given.
        source: io::Error,
    },
}

impl RunError {
    /// Whether the run was refused before anything started: it can't be meant, or needs too much.
    pub fn is_refusal(&self) -> bool {
        matches!(self, RunError::Settings(_) | RunError::Budget(_))
    }

    /// Names what the system refused.
    pub fn system(what: &'static str) -> impl FnOnce(io::Error) -> RunError {
        move |source| RunError::System { what, source }
    }
}

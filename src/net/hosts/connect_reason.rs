//! The reasons for connections to hosts, and counters of the connections established for each reason.

use simd_json::OwnedValue;
use std::fmt;

/// Why a connection to a host was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ConnectReason {
    /// The host may be needed soon, and connections have no price.
    #[default]
    Prewarm,
    /// Tasks run at the host, which reports their ends on a connection only.
    RunningTasks,
    /// The host must be notified that a task was released.
    Release,
    /// Another connection broke, or was silent: ends of tasks may have been lost, and the host repeats them on a new
    /// one.
    RepeatedEnds,
    /// The established connection is silent or stalled, a release on it is unconfirmed, or another host of the cell has
    /// failed.
    Suspicion,
    /// An attempt is waiting to be sent.
    Attempt,
}

impl ConnectReason {
    const ALL: [ConnectReason; 6] = [
        ConnectReason::Prewarm,
        ConnectReason::RunningTasks,
        ConnectReason::Release,
        ConnectReason::RepeatedEnds,
        ConnectReason::Suspicion,
        ConnectReason::Attempt,
    ];

    /// Returns the name of the reason in the log and the metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ConnectReason::Prewarm => "prewarm",
            ConnectReason::RunningTasks => "running-tasks",
            ConnectReason::Release => "release",
            ConnectReason::RepeatedEnds => "repeated-ends",
            ConnectReason::Suspicion => "suspicion",
            ConnectReason::Attempt => "attempt",
        }
    }
}

impl fmt::Display for ConnectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The number of connections to hosts that have been established since this process started, by reason.
#[derive(Debug, Clone, Default)]
pub struct ConnectCounters([u64; ConnectReason::ALL.len()]);

impl ConnectCounters {
    /// Counts an established connection.
    pub fn record(&mut self, reason: ConnectReason) {
        self.0[reason as usize] += 1;
    }

    /// Returns the counters as reported in the metrics.
    pub fn to_json(&self) -> OwnedValue {
        let fields = ConnectReason::ALL.into_iter().zip(self.0);
        let fields = fields.map(|(reason, count)| (reason.as_str().to_owned(), count.into()));
        OwnedValue::from(fields.collect::<simd_json::owned::Object>())
    }
}

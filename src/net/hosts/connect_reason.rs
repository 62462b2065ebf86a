//! Why connections to hosts are made, and how often each reason has made one.

use simd_json::OwnedValue;
use std::fmt;

/// Why a connection to a host was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ConnectReason {
    /// The host may be needed soon.
    #[default]
    Prewarm,
    /// Tasks run at the host, and it may have ends to report.
    RunningTasks,
    /// The host must be notified that a task was released.
    Release,
    /// Another connection broke, or was silent: the host repeats on a new one what may have been lost.
    RepeatedEnds,
    /// Nothing arrives on the connection that is up, or the hosts beside this one have failed.
    Suspicion,
    /// An attempt is waiting.
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

    /// Returns its name in the log and among the metrics.
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

/// The connections to hosts that have come up since the start of this process, by the reason of each.
#[derive(Debug, Clone, Default)]
pub struct ConnectCounters([u64; ConnectReason::ALL.len()]);

impl ConnectCounters {
    /// Counts a connection that has come up.
    pub fn record(&mut self, reason: ConnectReason) {
        self.0[reason as usize] += 1;
    }

    /// Returns the counters as the metrics report them.
    pub fn to_json(&self) -> OwnedValue {
        let fields = ConnectReason::ALL.into_iter().zip(self.0);
        let fields = fields.map(|(reason, count)| (reason.as_str().to_owned(), count.into()));
        OwnedValue::from(fields.collect::<simd_json::owned::Object>())
    }
}

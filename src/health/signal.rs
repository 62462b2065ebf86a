//! Health signals: what each one measures, and how far it may lower the weight.

use std::fmt;

/// What is measured. The code is the same in logs, answers to load balancers and the operator's file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// `loop-late`: the fraction of time by which the event loop was late.
    LoopLate,
    /// `ask-age`: the age of the oldest pending request, as a fraction of its latency objective.
    RequestAge,
    /// `out-of-aim`: the fraction of responses that did not start a task within its latency objective.
    ObjectiveMissed,
    /// `offer-timeout`: the fraction of attempts that timed out.
    AttemptTimeout,
    /// `unreached`: the fraction of hosts that this placer cannot reach, in the zone where it is lowest.
    Unreachable,
    /// `feed-age`: seconds since the latest update from service discovery.
    DiscoveryAge,
    /// `descriptors`: file descriptors in use, as a fraction of their budget.
    Descriptors,
    /// `queues`: bytes queued for slow peers, as a fraction of their budget.
    Queues,
    /// `turned-away`: the fraction of client connections that were rejected.
    ConnectionsRejected,
    /// `slow-start`: not measured, but the time since the start, or since the return from a drain.
    SlowStart,
}

/// The number of signals that are measured.
pub const MEASURED_SIGNALS: usize = 9;

impl Signal {
    /// All signals in the order of reports. [`Signal::SlowStart`], the one not measured, comes last.
    pub const ALL: [Signal; MEASURED_SIGNALS + 1] = [
        Signal::LoopLate,
        Signal::RequestAge,
        Signal::ObjectiveMissed,
        Signal::AttemptTimeout,
        Signal::Unreachable,
        Signal::DiscoveryAge,
        Signal::Descriptors,
        Signal::Queues,
        Signal::ConnectionsRejected,
        Signal::SlowStart,
    ];

    /// Returns the code that logs, answers and the operator's file use.
    pub fn as_str(self) -> &'static str {
        match self {
            Signal::LoopLate => "loop-late",
            Signal::RequestAge => "ask-age",
            Signal::ObjectiveMissed => "out-of-aim",
            Signal::AttemptTimeout => "offer-timeout",
            Signal::Unreachable => "unreached",
            Signal::DiscoveryAge => "feed-age",
            Signal::Descriptors => "descriptors",
            Signal::Queues => "queues",
            Signal::ConnectionsRejected => "turned-away",
            Signal::SlowStart => "slow-start",
        }
    }

    /// Returns whether full or faulty hosts raise the signal as well as a fault of this placer. Such a signal
    /// counts only as far as the fleet does not explain it.
    pub fn may_be_caused_by_fleet(self) -> bool {
        matches!(
            self,
            Signal::RequestAge | Signal::ObjectiveMissed | Signal::AttemptTimeout
        )
    }
}

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Maps a measured value to a severity from 0 to 1, and a severity to a maximum weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SeverityRamp {
    /// Values up to this are healthy.
    pub healthy_up_to: f64,
    /// Values from this on have severity 1.
    pub worst_from: f64,
    /// The severity just beyond `healthy_up_to`, for signals that must show at once.
    pub initial_severity: f64,
    /// The fraction of the weight that severity 1 takes away.
    pub max_weight_loss: f64,
}

impl SeverityRamp {
    /// Returns the severity of a value. A NaN has severity 1: it does not prove health.
    pub fn severity(&self, value: f64) -> f64 {
        if value <= self.healthy_up_to {
            return 0.0;
        }
        if value.is_nan() || value >= self.worst_from {
            return 1.0;
        }
        let slope = 1.0 - self.initial_severity;
        let range = self.worst_from - self.healthy_up_to;
        self.initial_severity + slope * (value - self.healthy_up_to) / range
    }

    /// Returns the maximum weight, up to 100, at a severity.
    pub fn max_weight(&self, severity: f64) -> f64 {
        100.0 * (1.0 - self.max_weight_loss * severity.clamp(0.0, 1.0))
    }
}

/// A signal as of the latest update of the weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SignalReading {
    /// Which signal.
    pub signal: Signal,
    /// The measured value, in the signal's unit.
    pub value: f64,
    /// Its severity, 0 to 1.
    pub severity: f64,
    /// The part of the severity that is attributed to this placer.
    pub own_severity: f64,
    /// The maximum weight that it leaves.
    pub max_weight: f64,
}

#[cfg(test)]
mod tests;

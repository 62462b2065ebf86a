//! Health signals: what each one measures, and how much it may lower the weight.

use std::fmt;

/// A signal that may lower the weight. The code given first for each variant names the signal in logs, in answers to
/// load balancers and in the operator's file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// `loop-late`: the fraction of time in which the event loop was late.
    LoopLate,
    /// `ask-age`: the age of the oldest pending request, as a fraction of the latency objective of its class.
    RequestAge,
    /// `out-of-aim`: the fraction of responses that did not start a task within its latency objective.
    ObjectiveMissed,
    /// `offer-timeout`: the fraction of attempts that timed out.
    AttemptTimeout,
    /// `unreached`: the fraction of unreachable hosts that is attributed to this placer; see
    /// [`Unreachable::own`](super::Unreachable::own).
    Unreachable,
    /// `feed-age`: seconds since the latest update from service discovery.
    DiscoveryAge,
    /// `descriptors`: file descriptors in use, as a fraction of their budget.
    Descriptors,
    /// `queues`: bytes queued for slow peers, as a fraction of their budget.
    Queues,
    /// `turned-away`: the fraction of client connections that were rejected.
    ConnectionsRejected,
    /// `slow-start`: the remaining fraction of the slow start, which is computed from the time since the process
    /// started or returned to service, not measured.
    SlowStart,
}

/// The number of signals that are measured: all but [`Signal::SlowStart`].
pub const MEASURED_SIGNALS: usize = 9;

impl Signal {
    /// All signals in the order in which reports list them. [`Signal::SlowStart`], the only one that is not measured,
    /// comes last.
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

    /// Returns the code used in logs, in answers to load balancers and operators, and in the operator's file.
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

    /// Returns whether full or faulty hosts can raise the signal as a fault of this placer can. The severity of such
    /// a signal is reduced by the degree to which the fleet explains it.
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
    /// The highest value with severity 0.
    pub healthy_up_to: f64,
    /// The lowest value with severity 1.
    pub worst_from: f64,
    /// The severity just above `healthy_up_to`, for signals that must lower the weight as soon as they appear.
    pub initial_severity: f64,
    /// The fraction of the full weight that is lost at severity 1.
    pub max_weight_loss: f64,
}

impl SeverityRamp {
    /// Returns the severity of a value. NaN has severity 1, since it does not show that the placer is healthy.
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

    /// Returns the maximum weight, up to 100, that is permitted at a severity. Severities are clamped to 0..=1.
    pub fn max_weight(&self, severity: f64) -> f64 {
        100.0 * (1.0 - self.max_weight_loss * severity.clamp(0.0, 1.0))
    }
}

/// The value of a signal and its effect, as of the latest update of the weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SignalReading {
    /// The signal that was read.
    pub signal: Signal,
    /// The measured value, in the signal's unit.
    pub value: f64,
    /// The severity of the value, 0 to 1.
    pub severity: f64,
    /// The part of the severity that is attributed to this placer.
    pub own_severity: f64,
    /// The maximum weight that `own_severity` permits.
    pub max_weight: f64,
}

#[cfg(test)]
mod tests;

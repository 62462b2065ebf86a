//! Settings of the health monitor. `docs/design/health.md` gives the reason for each default value.

use super::signal::{MEASURED_SIGNALS, SeverityRamp};
use super::weight::WeightPolicy;
use crate::Micros;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;

/// Settings of the health monitor.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The longest interval between two iterations of the event loop that does not count as lateness.
    pub max_loop_interval: Micros,
    /// The time in which the slow start raises the weight limit from its initial value to the full weight.
    pub slow_start: Micros,
    /// The length of the sliding window over responses and client connections.
    pub window: Micros,
    /// The length of the sliding window over the lateness of the event loop.
    pub loop_window: Micros,
    /// The severity ramp of each measured signal, in the order of [`Signal::ALL`](super::Signal::ALL).
    pub ramps: [SeverityRamp; MEASURED_SIGNALS],
    /// The limits on how the weight falls and rises.
    pub weight: WeightPolicy,
}

impl Default for Settings {
    fn default() -> Settings {
        let ramp = |healthy_up_to, worst_from, initial_severity, max_weight_loss| SeverityRamp {
            healthy_up_to,
            worst_from,
            initial_severity,
            max_weight_loss,
        };
        Settings {
            max_loop_interval: 20 * MILLISECOND,
            slow_start: 10 * SECOND,
            window: 5 * SECOND,
            loop_window: 2 * SECOND,
            ramps: [
                ramp(0.05, 0.5, 0.0, 0.95), // LoopLate
                ramp(1.0, 4.0, 0.0, 0.8),   // RequestAge
                ramp(0.1, 0.6, 0.0, 0.8),   // ObjectiveMissed
                ramp(0.1, 0.5, 0.0, 0.8),   // AttemptTimeout
                ramp(0.1, 0.6, 0.0, 0.9),   // Unreachable
                ramp(2.0, 30.0, 0.25, 0.6), // DiscoveryAge
                ramp(0.8, 1.0, 0.0, 0.7),   // Descriptors
                ramp(0.5, 1.0, 0.0, 0.7),   // Queues
                ramp(0.0, 0.5, 0.1, 0.7),   // ConnectionsRejected
            ],
            weight: WeightPolicy::default(),
        }
    }
}

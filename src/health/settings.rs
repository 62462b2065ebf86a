//! Settings of the health monitor. Every value has its reason in `docs/design/health.md`.

use super::signal::{MEASURED_SIGNALS, SeverityRamp};
use super::weight::WeightPolicy;
use crate::Micros;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;

/// Settings of the health monitor.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Iterations of the event loop that are longer apart than this are late.
    pub max_loop_interval: Micros,
    /// How long a placer takes from its start to full weight.
    pub slow_start: Micros,
    /// How long past responses and connections count.
    pub window: Micros,
    /// How long lateness of the event loop counts.
    pub loop_window: Micros,
    /// The ramp of each measured signal, in the order of [`Signal::ALL`](super::Signal::ALL).
    pub ramps: [SeverityRamp; MEASURED_SIGNALS],
    /// How the weight moves.
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
                ramp(0.05, 0.5, 0.0, 0.95),
                ramp(1.0, 4.0, 0.0, 0.8),
                ramp(0.1, 0.6, 0.0, 0.8),
                ramp(0.1, 0.5, 0.0, 0.8),
                ramp(0.1, 0.6, 0.0, 0.9),
                ramp(2.0, 30.0, 0.25, 0.6),
                ramp(0.8, 1.0, 0.0, 0.7),
                ramp(0.5, 1.0, 0.0, 0.7),
                ramp(0.0, 0.5, 0.1, 0.7),
            ],
            weight: WeightPolicy::default(),
        }
    }
}

//! Reads the signals: maps each measured value to a severity, and the severity to the maximum weight it permits.

use super::{
    FULL_WEIGHT, HealthMonitor, INITIAL_WEIGHT, MEASURED_SIGNALS, MIN_CONNECTIONS, MIN_RESPONSES,
    SECOND, Signal, SignalReading, Unreachable,
};
use crate::Micros;

impl HealthMonitor {
    /// Updates the reading of every signal, and the degree to which faults are attributed to the fleet instead of this
    /// placer.
    pub(super) fn read_signals(&mut self, now: Micros) {
        let measured = self.measure(now);
        let severity_of = |signal: Signal| {
            let measured = measured.iter().zip(&self.settings.ramps);
            let mut found = measured.filter(|((measured, _), _)| *measured == signal);
            found
                .next()
                .map_or(0.0, |((_, value), ramp)| ramp.severity(*value))
        };
        self.explained_by_fleet = self.fleet.explains(
            now,
            severity_of(Signal::LoopLate),
            severity_of(Signal::DiscoveryAge),
        );
        let unexplained = 1.0 - self.explained_by_fleet;
        self.readings.clear();
        for ((signal, value), ramp) in measured.into_iter().zip(&self.settings.ramps) {
            let severity = ramp.severity(value);
            let own_severity = if signal.may_be_caused_by_fleet() {
                severity * unexplained
            } else {
                severity
            };
            self.readings.push(SignalReading {
                signal,
                value,
                severity,
                own_severity,
                max_weight: ramp.max_weight(own_severity),
            });
        }
        self.readings.push(self.read_slow_start(now));
    }

    /// Returns the value of each measured signal, in the order of [`Signal::ALL`].
    fn measure(&self, now: Micros) -> [(Signal, f64); MEASURED_SIGNALS] {
        let lateness = self.loop_lateness.sums(now).part;
        let loop_late = (lateness / self.loop_lateness.length() as f64).min(1.0);
        let objective_missed = self.missed_objectives.fraction(now, MIN_RESPONSES);
        let connections_rejected = self.rejected_connections.fraction(now, MIN_CONNECTIONS);
        let discovery_age = (now - self.discovery_updated).max(0) as f64 / SECOND as f64;
        [
            (Signal::LoopLate, loop_late),
            (Signal::RequestAge, self.gauges.oldest_request),
            (Signal::ObjectiveMissed, objective_missed.unwrap_or(0.0)),
            (
                Signal::AttemptTimeout,
                self.fleet.timeout_fraction(now).unwrap_or(0.0),
            ),
            (Signal::Unreachable, Unreachable::of(&self.gauges.zones).own),
            (Signal::DiscoveryAge, discovery_age),
            (Signal::Descriptors, self.gauges.descriptors),
            (Signal::Queues, self.gauges.queues),
            (
                Signal::ConnectionsRejected,
                connections_rejected.unwrap_or(0.0),
            ),
        ]
    }

    /// Returns the reading of the slow-start signal. During the slow start the weight limit rises linearly from
    /// `INITIAL_WEIGHT` to `FULL_WEIGHT`.
    fn read_slow_start(&self, now: Micros) -> SignalReading {
        let elapsed = (now - self.slow_start_began) as f64;
        let progress = elapsed / self.settings.slow_start.max(1) as f64;
        let remaining = (1.0 - progress).clamp(0.0, 1.0);
        SignalReading {
            signal: Signal::SlowStart,
            value: remaining,
            severity: remaining,
            own_severity: remaining,
            max_weight: INITIAL_WEIGHT + (FULL_WEIGHT - INITIAL_WEIGHT) * (1.0 - remaining),
        }
    }
}

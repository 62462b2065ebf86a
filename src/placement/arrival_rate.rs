//! How many tasks arrive at all placers together, estimated from this placer's own arrivals.

use super::placer::Placer;

/// The rate is read from one shortest latency objective, extended until it holds this many own arrivals.
const MIN_ARRIVALS: usize = 6;

impl Placer {
    /// Tasks that arrive at all placers within one shortest latency objective, in mean tasks.
    ///
    /// Assumes that every placer sees as many as this one.
    pub(super) fn arrivals_at_all_placers(&mut self) -> f64 {
        let own = self
            .arrivals
            .in_window(self.now, self.shortest_objective, MIN_ARRIVALS);
        own * self.settings.placer_count.max(1) as f64
    }
}

//! Estimates how many tasks arrive at all placers together from the arrivals at this placer.

use super::placer::Placer;

/// The arrivals at this placer are counted over one shortest latency objective, or over a longer time if it takes
/// longer until this many tasks have arrived.
const MIN_ARRIVALS: usize = 6;

impl Placer {
    /// Returns the estimated size of all tasks that arrive at all placers within one shortest latency objective, as a
    /// multiple of the size of a mean task.
    ///
    /// Assumes that as many tasks arrive at every other placer as at this one.
    pub(super) fn arrivals_at_all_placers(&mut self) -> f64 {
        let own_arrivals = self
            .arrivals
            .in_window(self.now, self.shortest_objective, MIN_ARRIVALS);
        own_arrivals * self.settings.placer_count.max(1) as f64
    }
}

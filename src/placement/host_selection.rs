//! Draws the host of a task among the eligible hosts by stochastic coordination (SCD).

use super::placer::Placer;
use super::scd::{HostLoad, scd_probabilities};
use crate::state::hosts::{Host, HostIndex};

impl Placer {
    /// Draws one of the eligible hosts. Returns `None` if there are none.
    ///
    /// If the eligible hosts are only a part of the working set, they are assumed to get only that part of the expected
    /// arrivals.
    pub(super) fn draw_host(&mut self, eligible: &[HostIndex]) -> Option<HostIndex> {
        let loads = self.host_loads(eligible);
        let size: f64 = loads.iter().map(|load| load.size).sum();
        let fraction_of_working_set =
            (size / self.working_set.size().max(f64::MIN_POSITIVE)).min(1.0);
        let arrivals = self.arrivals_at_all_placers() * fraction_of_working_set;
        let probabilities = scd_probabilities(&loads, arrivals.max(1.0));
        let mut remaining = self.random_fraction();
        let mut drawn = None;
        for (index, probability) in eligible.iter().zip(probabilities) {
            if probability > 0.0 {
                drawn = Some(*index);
                if remaining < probability {
                    break;
                }
                remaining -= probability;
            }
        }
        drawn
    }

    /// Returns the loads and sizes of the eligible hosts. A host whose load is unknown is given the mean load per size
    /// of the others.
    fn host_loads(&self, eligible: &[HostIndex]) -> Vec<HostLoad> {
        let hosts = || eligible.iter().map(|index| &self.hosts.hosts[*index]);
        let known: Vec<f64> = hosts()
            .filter(|host| host.load_known_as_of.is_some())
            .map(|host| self.load_in_tasks(host) / self.size_in_tasks(host))
            .collect();
        let mean_load = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let host_load = |host: &Host| {
            let size = self.size_in_tasks(host);
            let load = match host.load_known_as_of {
                Some(_) => self.load_in_tasks(host),
                None => mean_load * size,
            };
            HostLoad { load, size }
        };
        hosts().map(host_load).collect()
    }
}

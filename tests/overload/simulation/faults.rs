//! The faults of a scenario and the recovery from them.

use super::scenario::Fault;
use super::{AttemptId, SimEvent, Simulation, hosts};
use emulator::host_model::{EndReason, HostModel, TaskUpdate, Warmth};

impl Simulation {
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::SilenceHosts(hosts) => self.for_each(hosts, |simulation, host| {
                simulation.set_silent(host, true);
            }),
            Fault::ResumeHosts(hosts) => self.for_each(hosts, |simulation, host| {
                simulation.set_silent(host, false);
            }),
            Fault::CutLinks { placers, hosts } => self.cut_links.extend(links(&placers, &hosts)),
            Fault::RestoreLinks { placers, hosts } => {
                for link in links(&placers, &hosts) {
                    self.cut_links.remove(&link);
                }
            }
            Fault::KillHosts(hosts) => {
                self.for_each(hosts, Simulation::kill_host);
                self.send_endpoints();
            }
            Fault::ReplaceHosts(hosts) => {
                self.for_each(hosts, Simulation::replace_host);
                self.send_endpoints();
            }
            Fault::KillPlacers(placers) => self.for_each(placers, Simulation::kill_placer),
            Fault::StartPlacers(placers) => self.for_each(placers, Simulation::start_placer),
            Fault::StallPlacers(placers) => self.for_each(placers, |simulation, placer| {
                simulation.placers[placer].is_stalled = true;
            }),
            Fault::ResumePlacers(placers) => self.for_each(placers, |simulation, placer| {
                simulation.placers[placer].is_stalled = false;
                simulation.deliver_held(placer);
            }),
        }
    }

    fn for_each(&mut self, indices: Vec<usize>, mut apply: impl FnMut(&mut Simulation, usize)) {
        for index in indices {
            apply(self, index);
        }
    }

    fn set_silent(&mut self, host: usize, is_silent: bool) {
        self.hosts[host].is_silent = is_silent;
        let unsent = std::mem::take(&mut self.hosts[host].unsent);
        self.report_updates(host, unsent);
    }

    /// Kills a host. Running and queued tasks end with its connections.
    fn kill_host(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        host.is_dead = true;
        host.model = HostModel::new(hosts::spec(), now, Warmth::Warm);
        let attempts: Vec<AttemptId> = std::mem::take(&mut host.attempts).into_values().collect();
        for attempt in attempts {
            self.send(SimEvent::HostReport {
                attempt,
                host: index,
                update: TaskUpdate::Ended(EndReason::HostLost),
            });
        }
    }

    /// Starts a cold host in place of a killed one.
    fn replace_host(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        host.is_dead = false;
        host.incarnation += 1;
        host.started_at = now;
        host.model = HostModel::new(hosts::spec(), now, Warmth::Cold);
    }

    /// Kills a placer. Its attempts in flight end with its connections, and running tasks continue.
    fn kill_placer(&mut self, placer: usize) {
        self.placers[placer].facade = None;
        let requests = std::mem::take(&mut self.placers[placer].requests);
        for (ticket, request) in requests {
            if let Some(in_flight) = request.in_flight {
                self.send(SimEvent::AttemptStopped {
                    host: in_flight.host,
                    attempt: AttemptId { placer, ticket },
                });
            }
        }
    }
}

fn links(placers: &[usize], hosts: &[usize]) -> Vec<(usize, usize)> {
    let pairs = placers
        .iter()
        .flat_map(|placer| hosts.iter().map(move |host| (*placer, *host)));
    pairs.collect()
}

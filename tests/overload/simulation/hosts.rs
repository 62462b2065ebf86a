//! The simulated hosts: the emulator's host model behind links that can be cut.

use super::{AttemptId, CLIENT_TIMEOUT, MILLISECOND, SECOND, START, SimEvent, Simulation};
use emulator::host_model::{
    HostModel, HostSpec, Offer, Resources, StopOutcome, TaskUpdate, Warmth,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use task_placer::settings::Names;
use task_placer::{
    Acknowledgement, CellId, Endpoint, EndpointState, HostId, HostKind, KindId, Micros, Settings,
    TaskClass, ZoneId,
};

pub const LATENCY_OBJECTIVE: Micros = SECOND;
pub const TASK_CORES: f64 = 0.5;
pub const TASK_MEMORY: f64 = 0.5;
pub const TASK_RUN_TIME: Micros = 8 * SECOND;
/// The number of tasks that one host can start per second.
pub const STARTS_PER_SECOND: f64 = 2.0 / 0.060;
const HOST_CORES: f64 = 200.0;
const HOST_MEMORY: f64 = 400.0;
/// The difference between the numbers in the ids of successive incarnations of a host. It must be larger than the
/// number of hosts.
const INCARNATION_STEP: usize = 100;

pub struct SimulatedHost {
    pub model: HostModel,
    pub incarnation: usize,
    pub is_dead: bool,
    pub started_at: Micros,
    pub is_silent: bool,
    /// Reports that the host has not sent because it is silent.
    pub unsent: Vec<(u64, TaskUpdate)>,
    /// The attempts and running tasks at the host, by the id that the host uses.
    pub attempts: BTreeMap<u64, AttemptId>,
    next_tick: Option<Micros>,
}

impl SimulatedHost {
    /// Returns a host that has been up long enough to be warm.
    pub fn warm(now: Micros) -> SimulatedHost {
        SimulatedHost {
            model: HostModel::new(spec(), now, Warmth::Warm),
            incarnation: 0,
            is_dead: false,
            started_at: 0,
            is_silent: false,
            unsent: Vec::new(),
            attempts: BTreeMap::new(),
            next_tick: None,
        }
    }
}

pub fn spec() -> HostSpec {
    HostSpec {
        cores: HOST_CORES,
        memory: HOST_MEMORY,
        admission_time: 8 * MILLISECOND,
        max_queued_offers: 16,
        max_concurrent_starts: 2,
        warm_start: 60 * MILLISECOND,
        cold_start_factor: 1.0,
        max_cached_programs: 8,
        preempts: true,
        slow_start: 17 * SECOND,
        slow_start_floor: 0.22,
        overload_factor: 4.0,
        always_tolerated_offers: 22,
        drain_interval: 500 * MILLISECOND,
    }
}

/// Returns the settings of one placer for the simulated hosts.
pub fn settings(placer_index: usize, placer_count: usize) -> Settings {
    let example = Settings::example();
    Settings {
        placer_index,
        placer_count,
        zone: None,
        host_kinds: vec![HostKind {
            cores: HOST_CORES,
            memory: HOST_MEMORY,
        }],
        classes: vec![TaskClass {
            latency_objective: LATENCY_OBJECTIVE,
            deadline: CLIENT_TIMEOUT,
            full_service_utilization: 1.0,
            service_falloff: 0.5,
            ..example.classes[0].clone()
        }],
        max_attempts: 4,
        allows_health_checks: false,
        requires_subscription: true,
        max_time_unsubscribed: 10 * SECOND,
        load_report: Vec::new(),
        acknowledgement: Acknowledgement::Running,
        core_overcommit: 1.0,
        memory_overcommit: 1.0,
        preempts: true,
        mean_cores: TASK_CORES,
        mean_memory: TASK_MEMORY,
        ..example
    }
}

pub fn names() -> Names {
    Names {
        classes: vec!["pagina".to_string()],
        tenants: Vec::new(),
        kinds: vec!["node".to_string()],
        zones: Vec::new(),
    }
}

/// Returns the index and the incarnation of the host with the id `host`.
pub fn parse_host_id(host: &HostId) -> (usize, usize) {
    let number = host.0[1..]
        .parse::<usize>()
        .expect("a host id should be a letter followed by a number");
    (number % INCARNATION_STEP, number / INCARNATION_STEP)
}

impl Simulation {
    pub(super) fn host_id(&self, host: usize) -> HostId {
        let number = host + INCARNATION_STEP * self.hosts[host].incarnation;
        HostId(Arc::from(format!("s{number:03}")))
    }

    /// Returns the endpoint list with the current state of all hosts.
    pub(super) fn endpoints(&self) -> Vec<Endpoint> {
        (0..self.hosts.len())
            .map(|host| self.endpoint(host))
            .collect()
    }

    fn endpoint(&self, index: usize) -> Endpoint {
        let host = &self.hosts[index];
        let Resources {
            cores: free_cores,
            memory: free_memory,
        } = host.model.free();
        let cell = index / self.scenario.hosts_per_cell.max(1);
        Endpoint {
            host: self.host_id(index),
            zone: ZoneId(cell / self.scenario.cells_per_zone.max(1)),
            cell: CellId(cell as u64),
            kind: KindId(0),
            state: if host.is_dead {
                EndpointState::Removed
            } else {
                EndpointState::Up
            },
            started_at: host.started_at,
            free_cores,
            free_memory,
        }
    }

    pub(super) fn link_is_cut(&self, placer: usize, host: usize) -> bool {
        self.cut_links.contains(&(placer, host))
    }

    pub(super) fn attempt_arrives(&mut self, host: usize, attempt: AttemptId, offer: Offer) {
        let is_cut = self.link_is_cut(attempt.placer, host);
        if self.hosts[host].is_silent || is_cut {
            let quarter = (self.now - START) / (SECOND / 4);
            let count = self.summary.futile_attempts.entry((host, quarter));
            *count.or_default() += 1;
        }
        if is_cut {
            return;
        }
        self.hosts[host].attempts.insert(attempt.encode(), attempt);
        self.hosts[host].model.offer(self.now, offer);
        let updates = self.hosts[host].model.tick(self.now);
        self.report_updates(host, updates);
    }

    pub(super) fn stop_attempt(&mut self, host: usize, attempt: AttemptId) {
        if self.link_is_cut(attempt.placer, host) {
            return;
        }
        let id = attempt.encode();
        if self.hosts[host].model.stop(id) == StopOutcome::Running {
            self.hosts[host].attempts.remove(&id);
        }
    }

    pub(super) fn tick_host(&mut self, host: usize) {
        self.hosts[host].next_tick = None;
        let updates = self.hosts[host].model.tick(self.now);
        self.report_updates(host, updates);
    }

    /// Sends a host's reports to the placers, and schedules its next tick.
    pub(super) fn report_updates(&mut self, host: usize, updates: Vec<(u64, TaskUpdate)>) {
        if self.hosts[host].is_silent {
            self.hosts[host].unsent.extend(updates);
        } else {
            for (id, update) in updates {
                self.report_update(host, id, update);
            }
        }
        self.schedule_tick(host);
    }

    fn report_update(&mut self, host: usize, id: u64, update: TaskUpdate) {
        let Some(attempt) = self.hosts[host].attempts.get(&id).copied() else {
            return;
        };
        if matches!(update, TaskUpdate::Ended(_)) {
            self.hosts[host].attempts.remove(&id);
        }
        if !self.link_is_cut(attempt.placer, host) {
            self.send(SimEvent::HostReport {
                attempt,
                host,
                update,
            });
        }
    }

    fn schedule_tick(&mut self, host: usize) {
        let Some(due) = self.hosts[host].model.next_due() else {
            return;
        };
        if self.hosts[host].next_tick.is_none_or(|tick| due < tick) {
            self.hosts[host].next_tick = Some(due);
            self.schedule(due.max(self.now), SimEvent::HostTick { host });
        }
    }
}

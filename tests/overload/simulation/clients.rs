//! The simulated clients. Each requests the start of one task, and retries with a growing backoff.

use super::placers::OpenRequest;
use super::{
    AttemptId, CLIENT_TIMEOUT, MILLISECOND, Response, SECOND, START, SimEvent, Simulation, hosts,
};
use rand_chacha::rand_core::RngCore;
use task_placer::Micros;
use task_placer::facade::{PlacementRequest, Ticket};

/// How long a client keeps retrying, from the first request of its task.
const TASK_LIFETIME: Micros = 8 * SECOND;
/// The part of the client's timeout that is reserved for the network.
const CLIENT_SLACK: Micros = 15 * MILLISECOND;
const INITIAL_BACKOFF: Micros = 1_500 * MILLISECOND;
const MAX_BACKOFF: Micros = 8 * SECOND;
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
const SERVICES: Micros = 200;

pub struct ClientTask {
    requested_at: Micros,
    key: u64,
    pub service: u64,
    requests: u32,
    failures: u32,
    honours_retry_after: bool,
    pending: Option<AttemptId>,
}

impl Simulation {
    /// Adds a task, and schedules the next one according to the load.
    pub(super) fn new_task(&mut self) {
        let elapsed = self.now - START;
        let gap = self.random_gap(elapsed);
        if elapsed + gap < self.scenario.duration {
            self.schedule(self.now + gap, SimEvent::NewTask);
        }
        let service = 1 + self.random_below(SERVICES) as u64;
        let honours_retry_after = self.random_fraction() < self.scenario.retry_after_compliance;
        self.tasks.push(ClientTask {
            requested_at: self.now,
            key: self.rng.next_u64(),
            service,
            requests: 0,
            failures: 0,
            honours_retry_after,
            pending: None,
        });
        self.summary.tasks += 1;
        self.second(self.now).requested += 1;
        self.request(self.tasks.len() - 1);
    }

    /// Returns a random time between two tasks, for the load at the time `elapsed` of the scenario.
    fn random_gap(&mut self, elapsed: Micros) -> Micros {
        let load = self.scenario.load.iter().rev();
        let mut current = load.filter(|(from, _)| *from <= elapsed);
        let times = current.next().map_or(0.0, |(_, times)| *times);
        let capacity = hosts::STARTS_PER_SECOND * self.scenario.host_count as f64;
        let rate = (times * capacity).max(0.1);
        (-(1.0 - self.random_fraction()).ln() / rate * 1e6) as Micros
    }

    /// Sends the request of a task to a placer that is not killed. A stalled placer ignores the request.
    pub(super) fn request(&mut self, task: usize) {
        let Some(placer) = self.choose_placer() else {
            return self.retry_later(task, 0);
        };
        let client = &mut self.tasks[task];
        client.requests += 1;
        let placement_request = PlacementRequest {
            class: "pagina".into(),
            tenant: None,
            service: client.service,
            key: client.key,
            cores: hosts::TASK_CORES,
            memory: hosts::TASK_MEMORY,
            time_budget: CLIENT_TIMEOUT - CLIENT_SLACK,
            is_retry: client.requests > 1,
        };
        let ticket = self.placers[placer].next_ticket();
        let request = AttemptId { placer, ticket };
        self.tasks[task].pending = Some(request);
        self.schedule(
            self.now + CLIENT_TIMEOUT,
            SimEvent::ClientTimeout { task, request },
        );
        if self.placers[placer].is_stalled {
            return;
        }
        self.placers[placer]
            .requests
            .insert(ticket, OpenRequest::new(task));
        let Some(facade) = &mut self.placers[placer].facade else {
            return;
        };
        let decisions = facade
            .place(self.now, Ticket(ticket), &placement_request)
            .expect("the placement request should be valid");
        self.apply_decisions(placer, decisions);
    }

    fn choose_placer(&mut self) -> Option<usize> {
        let running: Vec<usize> = (0..self.placers.len())
            .filter(|placer| self.placers[*placer].facade.is_some())
            .collect();
        let first = *running.first()?;
        let any = self.random_below(running.len() as Micros) as usize;
        Some(
            if self.random_fraction() < self.scenario.first_placer_fraction {
                first
            } else {
                running[any]
            },
        )
    }

    pub(super) fn response_arrives(&mut self, task: usize, request: AttemptId, response: Response) {
        let client = &mut self.tasks[task];
        if client.pending != Some(request) {
            return;
        }
        client.pending = None;
        match response {
            Response::Started => {
                let requested_at = client.requested_at;
                if self.now - requested_at <= hosts::LATENCY_OBJECTIVE {
                    self.second(requested_at).started_within_objective += 1;
                }
            }
            Response::Rejected { retry_after } => self.retry_later(task, retry_after),
        }
    }

    pub(super) fn client_timeout(&mut self, task: usize, request: AttemptId) {
        if self.tasks[task].pending != Some(request) {
            return;
        }
        self.tasks[task].pending = None;
        // A killed or stalled placer sends no response, which is not an error of the code under test.
        let placer = &self.placers[request.placer];
        let is_working = placer.facade.is_some() && !placer.is_stalled;
        if is_working && placer.requests.contains_key(&request.ticket) {
            self.summary.unanswered += 1;
        }
        self.retry_later(task, 0);
    }

    /// Schedules the next request of a task, if its client still retries at that time.
    fn retry_later(&mut self, task: usize, retry_after: Micros) {
        let client = &mut self.tasks[task];
        client.failures += 1;
        let doublings = client.failures.min(MAX_BACKOFF_DOUBLINGS);
        let max_backoff = (INITIAL_BACKOFF << doublings).min(MAX_BACKOFF);
        let wanted_until = client.requested_at + TASK_LIFETIME;
        let min_wait = if client.honours_retry_after {
            retry_after
        } else {
            0
        };
        let wait = self.random_below(max_backoff).max(min_wait);
        if self.now + wait < wanted_until {
            self.schedule(self.now + wait, SimEvent::Retry { task });
        }
    }
}

//! The simulated placers: real facades whose decisions are turned into messages.

use super::hosts::{TASK_CORES, TASK_MEMORY, TASK_RUN_TIME, names, parse_host_id, settings};
use super::{AttemptId, Response, SimEvent, Simulation, TICK};
use emulator::host_model::{EndReason, Offer, TaskUpdate};
use std::collections::{BTreeMap, VecDeque};
use task_placer::facade::{Decision, Facade, PlacementEvent, Ticket};
use task_placer::{HostId, Micros, Outcome, OutcomeDetail};

/// The protocol's cause code for a rejection by a host.
const CAUSE_REJECTED: u8 = 34;

#[derive(Default)]
pub struct SimulatedPlacer {
    /// The placer's facade, or `None` while the placer is killed.
    pub facade: Option<Facade>,
    pub is_stalled: bool,
    /// Events that arrived while the placer was stalled.
    held_events: Vec<SimEvent>,
    incarnation: u64,
    ticket_count: u64,
    pub requests: BTreeMap<u64, OpenRequest>,
}

impl SimulatedPlacer {
    /// Returns a ticket that no incarnation of this placer has used.
    pub fn next_ticket(&mut self) -> u64 {
        self.ticket_count += 1;
        self.ticket_count | (self.incarnation << 32)
    }
}

/// A request whose task has not ended.
pub struct OpenRequest {
    task: usize,
    attempts: u32,
    pub in_flight: Option<InFlight>,
    /// The index of the host where the task runs, or `None` if it does not run.
    running_at: Option<usize>,
}

#[derive(Clone, Copy)]
pub struct InFlight {
    pub host: usize,
    sent_at: Micros,
}

impl OpenRequest {
    pub fn new(task: usize) -> OpenRequest {
        OpenRequest {
            task,
            attempts: 0,
            in_flight: None,
            running_at: None,
        }
    }
}

impl Simulation {
    /// Starts a placer that has no state except the endpoint list.
    pub(super) fn start_placer(&mut self, placer: usize) {
        let seed = self
            .scenario
            .seed
            .wrapping_mul(0x9e37_79b9)
            .wrapping_add(placer as u64 * 1_000 + self.placers[placer].incarnation);
        let mut facade = Facade::with_overload_control(
            settings(placer, self.scenario.placer_count),
            names(),
            seed,
            self.scenario.features.clone(),
            0,
        );
        facade.report(self.now, PlacementEvent::DiscoveryUp);
        facade.report(self.now, PlacementEvent::EndpointsCached(self.endpoints()));
        let started = &mut self.placers[placer];
        started.facade = Some(facade);
        started.is_stalled = false;
        started.incarnation += 1;
        started.requests.clear();
    }

    pub(super) fn tick_placer(&mut self, placer: usize) {
        self.schedule(self.now + TICK, SimEvent::PlacerTick { placer });
        if self.placers[placer].is_stalled {
            return;
        }
        if let Some(facade) = &mut self.placers[placer].facade {
            let decisions = facade.tick(self.now);
            self.apply_decisions(placer, decisions);
        }
    }

    /// Delivers an event to a placer, or holds it until the placer is no longer stalled.
    pub(super) fn deliver_or_hold(&mut self, placer: usize, event: SimEvent) {
        if self.placers[placer].is_stalled {
            self.placers[placer].held_events.push(event);
        } else {
            self.deliver(placer, event);
        }
    }

    /// Delivers the events that were held while a placer was stalled.
    pub(super) fn deliver_held(&mut self, placer: usize) {
        for event in std::mem::take(&mut self.placers[placer].held_events) {
            self.deliver(placer, event);
        }
    }

    fn deliver(&mut self, placer: usize, event: SimEvent) {
        let placement_event = match event {
            SimEvent::EndpointsArrive { endpoints, .. } => Some(PlacementEvent::EndpointsChanged {
                is_complete: false,
                endpoints,
            }),
            SimEvent::AttemptTimeout { attempt, number } => self.time_out(attempt, number),
            SimEvent::HostReport {
                attempt,
                host,
                update,
            } => self.host_reported(attempt, host, update),
            _ => None,
        };
        if let (Some(event), Some(facade)) = (placement_event, &mut self.placers[placer].facade) {
            let decisions = facade.report(self.now, event);
            self.apply_decisions(placer, decisions);
        }
    }

    /// Applies decisions, and those that the facade makes in response to their effects.
    pub(super) fn apply_decisions(&mut self, placer: usize, decisions: Vec<Decision>) {
        let mut queue = VecDeque::from(decisions);
        while let Some(decision) = queue.pop_front() {
            let event = self.apply_decision(placer, decision);
            if let (Some(event), Some(facade)) = (event, &mut self.placers[placer].facade) {
                queue.extend(facade.report(self.now, event));
            }
        }
    }

    fn apply_decision(&mut self, placer: usize, decision: Decision) -> Option<PlacementEvent> {
        match decision {
            Decision::SendAttempt {
                ticket,
                host,
                timeout,
            } => self.send_attempt(placer, ticket, host, timeout),
            Decision::Reject {
                ticket,
                retry_after,
            } => self.respond_rejected(placer, ticket, retry_after),
            Decision::Fail { ticket } => self.respond_rejected(placer, ticket, 0),
            Decision::CancelAttempt { ticket, .. } => {
                let attempt = AttemptId {
                    placer,
                    ticket: ticket.0,
                };
                self.give_up(attempt, Outcome::Cancelled)
            }
            Decision::Migrate { .. } | Decision::Log(_) => None,
        }
    }

    fn send_attempt(
        &mut self,
        placer: usize,
        ticket: Ticket,
        host_id: HostId,
        timeout: Micros,
    ) -> Option<PlacementEvent> {
        let (host, incarnation) = parse_host_id(&host_id);
        let request = self.placers[placer].requests.get_mut(&ticket.0)?;
        let number = request.attempts;
        request.attempts += 1;
        assert!(
            request.in_flight.is_none(),
            "request has two attempts in flight"
        );
        self.summary.attempts += 1;
        if self.hosts[host].is_dead || self.hosts[host].incarnation != incarnation {
            return Some(PlacementEvent::AttemptEnded {
                ticket,
                attempt: number,
                host: host_id,
                outcome: Outcome::ConnectFailed,
                detail: OutcomeDetail::Unknown,
                elapsed: 0,
            });
        }
        request.in_flight = Some(InFlight {
            host,
            sent_at: self.now,
        });
        let attempt = AttemptId {
            placer,
            ticket: ticket.0,
        };
        let offer = Offer {
            id: attempt.encode(),
            service: self.tasks[request.task].service,
            cores: TASK_CORES,
            memory: TASK_MEMORY,
            priority: 0,
            run_time: TASK_RUN_TIME,
            time_left: timeout,
        };
        self.send(SimEvent::AttemptArrives {
            host,
            attempt,
            offer,
        });
        self.schedule(
            self.now + timeout,
            SimEvent::AttemptTimeout { attempt, number },
        );
        None
    }

    /// Ends a request's attempt in flight, if there is one, and notifies the host.
    fn give_up(&mut self, attempt: AttemptId, outcome: Outcome) -> Option<PlacementEvent> {
        let requests = &mut self.placers[attempt.placer].requests;
        let request = requests.get_mut(&attempt.ticket)?;
        let InFlight { host, sent_at } = request.in_flight.take()?;
        let number = request.attempts - 1;
        self.send(SimEvent::AttemptStopped { host, attempt });
        Some(PlacementEvent::AttemptEnded {
            ticket: Ticket(attempt.ticket),
            attempt: number,
            host: self.host_id(host),
            outcome,
            detail: OutcomeDetail::Unknown,
            elapsed: self.now - sent_at,
        })
    }

    fn time_out(&mut self, attempt: AttemptId, number: u32) -> Option<PlacementEvent> {
        let requests = &self.placers[attempt.placer].requests;
        let request = requests.get(&attempt.ticket)?;
        let is_current = request.in_flight.is_some() && request.attempts == number + 1;
        if is_current {
            self.give_up(attempt, Outcome::Timeout)
        } else {
            None
        }
    }

    fn respond_rejected(
        &mut self,
        placer: usize,
        ticket: Ticket,
        retry_after: Micros,
    ) -> Option<PlacementEvent> {
        let request_id = AttemptId {
            placer,
            ticket: ticket.0,
        };
        let event = self.give_up(request_id, Outcome::Cancelled);
        let Some(request) = self.placers[placer].requests.remove(&ticket.0) else {
            self.summary.duplicate_responses += 1;
            return event;
        };
        self.send(SimEvent::Response {
            task: request.task,
            request: request_id,
            response: Response::Rejected { retry_after },
        });
        event
    }

    /// Handles a host's report on an attempt or a running task.
    fn host_reported(
        &mut self,
        attempt: AttemptId,
        host: usize,
        update: TaskUpdate,
    ) -> Option<PlacementEvent> {
        let host_id = self.host_id(host);
        let requests = &mut self.placers[attempt.placer].requests;
        let request = requests.get_mut(&attempt.ticket)?;
        let number = request.attempts.saturating_sub(1);
        let ticket = Ticket(attempt.ticket);
        let ended = |outcome, detail, elapsed| PlacementEvent::AttemptEnded {
            ticket,
            attempt: number,
            host: host_id.clone(),
            outcome,
            detail,
            elapsed,
        };
        match (update, request.in_flight, request.running_at) {
            (TaskUpdate::Running, Some(in_flight), None) if in_flight.host == host => {
                request.in_flight = None;
                request.running_at = Some(host);
                let task = request.task;
                self.send(SimEvent::Response {
                    task,
                    request: attempt,
                    response: Response::Started,
                });
                Some(PlacementEvent::AttemptStarted {
                    ticket,
                    attempt: number,
                    host: host_id,
                    elapsed: self.now - in_flight.sent_at,
                })
            }
            (TaskUpdate::Ended(reason), Some(in_flight), None) if in_flight.host == host => {
                request.in_flight = None;
                let (outcome, detail) = attempt_outcome(reason);
                Some(ended(outcome, detail, self.now - in_flight.sent_at))
            }
            (TaskUpdate::Ended(_), None, Some(running_at)) if running_at == host => {
                let event = ended(Outcome::Completed, OutcomeDetail::Unknown, 0);
                requests.remove(&attempt.ticket);
                Some(event)
            }
            _ => None,
        }
    }
}

/// Returns the outcome and detail that a host's reason stands for in the protocol.
fn attempt_outcome(reason: EndReason) -> (Outcome, OutcomeDetail) {
    let detail = match reason.note() {
        "nc" => OutcomeDetail::NoCores,
        "nm" => OutcomeDetail::NoMemory,
        "nq" => OutcomeDetail::QueueFull,
        "nh" => OutcomeDetail::NotEligible,
        _ => OutcomeDetail::Unknown,
    };
    let outcome = if reason.cause() == CAUSE_REJECTED {
        Outcome::Rejected
    } else {
        Outcome::Reset
    };
    (outcome, detail)
}

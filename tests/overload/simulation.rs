//! A discrete-event simulation of a fleet: real facades with the real decision module and overload control, emulated
//! hosts, clients that retry, and an endpoint list that arrives late.
//!
//! The simulation uses no sockets, clocks or threads, so the same seed gives the same run.

mod clients;
mod faults;
mod hosts;
mod placers;
mod scenario;

pub use scenario::{Fault, Scenario, Summary};

use clients::ClientTask;
use emulator::host_model::{Offer, TaskUpdate};
use hosts::SimulatedHost;
use placers::SimulatedPlacer;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use scenario::SecondSummary;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use task_placer::{Endpoint, Micros};

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000 * MILLISECOND;
/// The delay of every message, in microseconds.
const NETWORK_DELAY: Micros = 500;
const TICK: Micros = 4 * MILLISECOND;
/// The interval at which placers poll the endpoint list.
const LIST_INTERVAL: Micros = 2 * SECOND;
/// How long a client waits for a response.
const CLIENT_TIMEOUT: Micros = 2 * SECOND;
/// How long the simulation continues after the end of the scenario, for responses that are pending then.
const DRAIN_TIME: Micros = 3 * SECOND;
/// The time of the first event. It is far from 0, as times of real wall clocks are.
const START: Micros = 1_000_000 * SECOND;

/// A scheduled event of the simulation.
#[derive(Debug, Clone)]
enum SimEvent {
    /// A new task is requested.
    NewTask,
    /// A client sends the request of a task again.
    Retry {
        task: usize,
    },
    /// An attempt arrives at a host.
    AttemptArrives {
        host: usize,
        attempt: AttemptId,
        offer: Offer,
    },
    /// A host is notified that the placer has given up an attempt.
    AttemptStopped {
        host: usize,
        attempt: AttemptId,
    },
    /// A host's state is due to change without a message.
    HostTick {
        host: usize,
    },
    /// A host's report on an attempt or a running task arrives at a placer.
    HostReport {
        attempt: AttemptId,
        host: usize,
        update: TaskUpdate,
    },
    /// The timeout of an attempt expires.
    AttemptTimeout {
        attempt: AttemptId,
        number: u32,
    },
    /// A response arrives at a client.
    Response {
        task: usize,
        request: AttemptId,
        response: Response,
    },
    /// A client's timeout for the response to a request expires.
    ClientTimeout {
        task: usize,
        request: AttemptId,
    },
    PlacerTick {
        placer: usize,
    },
    /// All placers poll the endpoint list.
    PollEndpoints,
    /// The endpoint list arrives at a placer.
    EndpointsArrive {
        placer: usize,
        endpoints: Vec<Endpoint>,
    },
    Fault {
        index: usize,
    },
}

/// A placer's response to a request.
#[derive(Debug, Clone, Copy)]
enum Response {
    Started,
    Rejected { retry_after: Micros },
}

/// Identifies a request at one placer. All attempts of the request have this id at the hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct AttemptId {
    placer: usize,
    ticket: u64,
}

impl AttemptId {
    const TICKET_BITS: u32 = 40;

    /// Returns the id as a number, which is the form that hosts use.
    fn encode(self) -> u64 {
        ((self.placer as u64) << AttemptId::TICKET_BITS) | self.ticket
    }
}

pub struct Simulation {
    scenario: Scenario,
    now: Micros,
    /// The times and numbers of scheduled events, earliest first.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    /// The scheduled events by their numbers.
    events: HashMap<u64, SimEvent>,
    event_count: u64,
    rng: ChaCha8Rng,
    hosts: Vec<SimulatedHost>,
    placers: Vec<SimulatedPlacer>,
    tasks: Vec<ClientTask>,
    /// Pairs of placer and host between which no message is delivered.
    cut_links: BTreeSet<(usize, usize)>,
    summary: Summary,
}

impl Simulation {
    /// Simulates a scenario to its end and returns a summary of the results.
    pub fn run(scenario: Scenario) -> Summary {
        let mut simulation = Simulation::new(scenario);
        while let Some(Reverse((at, number))) = simulation.queue.pop() {
            if at > START + simulation.scenario.duration + DRAIN_TIME {
                break;
            }
            simulation.now = at;
            if let Some(event) = simulation.events.remove(&number) {
                simulation.handle(event);
            }
        }
        simulation.summary
    }

    fn new(scenario: Scenario) -> Simulation {
        let seconds = (scenario.duration / SECOND) as usize + 1;
        let mut simulation = Simulation {
            now: START,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            event_count: 0,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            hosts: (0..scenario.host_count)
                .map(|_| SimulatedHost::warm(START))
                .collect(),
            placers: Vec::new(),
            tasks: Vec::new(),
            cut_links: BTreeSet::new(),
            summary: Summary {
                seconds: vec![SecondSummary::default(); seconds],
                ..Summary::default()
            },
            scenario,
        };
        simulation.start_all();
        simulation
    }

    fn start_all(&mut self) {
        for placer in 0..self.scenario.placer_count {
            self.placers.push(SimulatedPlacer::default());
            self.start_placer(placer);
            let first_tick = START + self.random_below(TICK);
            self.schedule(first_tick, SimEvent::PlacerTick { placer });
        }
        self.schedule(START, SimEvent::NewTask);
        self.schedule(START + LIST_INTERVAL, SimEvent::PollEndpoints);
        for index in 0..self.scenario.faults.len() {
            let at = START + self.scenario.faults[index].0;
            self.schedule(at, SimEvent::Fault { index });
        }
    }

    fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.event_count += 1;
        self.events.insert(self.event_count, event);
        self.queue.push(Reverse((at, self.event_count)));
    }

    /// Schedules an event for the time at which a message sent now arrives.
    fn send(&mut self, event: SimEvent) {
        self.schedule(self.now + NETWORK_DELAY, event);
    }

    fn random_below(&mut self, bound: Micros) -> Micros {
        (self.rng.next_u64() % bound.max(1) as u64) as Micros
    }

    /// Returns a random number from 0 (inclusive) to 1 (exclusive).
    fn random_fraction(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns the summary of the second of the scenario that contains the time `at`.
    fn second(&mut self, at: Micros) -> &mut SecondSummary {
        let last = self.summary.seconds.len() - 1;
        let second = ((at - START) / SECOND).clamp(0, last as Micros);
        &mut self.summary.seconds[second as usize]
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::NewTask => self.new_task(),
            SimEvent::Retry { task } => self.request(task),
            SimEvent::AttemptArrives {
                host,
                attempt,
                offer,
            } => self.attempt_arrives(host, attempt, offer),
            SimEvent::AttemptStopped { host, attempt } => self.stop_attempt(host, attempt),
            SimEvent::HostTick { host } => self.tick_host(host),
            SimEvent::Response {
                task,
                request,
                response,
            } => self.response_arrives(task, request, response),
            SimEvent::ClientTimeout { task, request } => self.client_timeout(task, request),
            SimEvent::PlacerTick { placer } => self.tick_placer(placer),
            SimEvent::PollEndpoints => {
                self.schedule(self.now + LIST_INTERVAL, SimEvent::PollEndpoints);
                self.send_endpoints();
            }
            SimEvent::Fault { index } => {
                let (_, fault) = self.scenario.faults[index].clone();
                self.apply_fault(fault);
            }
            SimEvent::EndpointsArrive { placer, .. } => self.deliver_or_hold(placer, event),
            SimEvent::HostReport { attempt, .. } | SimEvent::AttemptTimeout { attempt, .. } => {
                self.deliver_or_hold(attempt.placer, event);
            }
        }
    }

    /// Sends the endpoint list to all placers, with a random delay for each.
    fn send_endpoints(&mut self) {
        let endpoints = self.endpoints();
        let half_delay = self.scenario.discovery_delay / 2;
        for placer in 0..self.placers.len() {
            let delay = half_delay + self.random_below(half_delay + 1);
            let endpoints = endpoints.clone();
            self.schedule(
                self.now + delay,
                SimEvent::EndpointsArrive { placer, endpoints },
            );
        }
    }
}

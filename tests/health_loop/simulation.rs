//! Placers behind a load balancer, in simulated time.
//!
//! Placers handle so many tasks a second. What they can't handle waits, and an event loop with work left does not
//! run its next iteration. The load balancer polls, and acts on a weight only after a delay.

use emulator::load_balancer::{AgentReport, LoadBalancer};
use std::collections::VecDeque;
use task_placer::health::{Change, Event, Gauges, HealthMonitor, Settings};
use task_placer::{Micros, Outcome, OutcomeDetail};

pub const SECOND: Micros = 1_000_000;
const STEP: Micros = 50_000;
const START: Micros = 1_000 * SECOND;
const GAUGE_INTERVAL: Micros = 5 * STEP;
const LATENCY_OBJECTIVE_SECONDS: f64 = 1.0;
/// How long the load balancer takes to act on an answer.
const BALANCER_DELAY: Micros = 300_000;
/// Tasks a second that a healthy placer can handle.
pub const CAPACITY: f64 = 100.0;
/// The load, as a fraction of the capacity, while placers warm up, and afterwards.
const WARM_UP_LOAD: f64 = 0.02;
const MODERATE_LOAD: f64 = 0.4;
const LOOP_ITERATIONS_PER_STEP: Micros = 10;

/// Where the reported weight comes from.
#[derive(Clone, Copy, PartialEq)]
pub enum WeightSource {
    /// The health monitor.
    Monitor,
    /// The naive rule, 100 - load, with the load of the last second.
    Naive,
}

pub struct Placer {
    pub monitor: HealthMonitor,
    /// Tasks a second that it can handle.
    pub capacity: f64,
    pub waiting_tasks: f64,
    /// The utilization over the last second, for the naive rule.
    utilization: f64,
    pub discovery_is_up: bool,
    /// By step, the weight that the load balancer had.
    weights: Vec<u8>,
    /// By step, the tasks that arrived.
    arrivals: Vec<f64>,
    /// Handled tasks that are not reported yet.
    unreported: f64,
}

/// A weight that the load balancer has read and not yet applied.
struct PendingWeight {
    applies_at: Micros,
    placer: usize,
    weight: u32,
}

pub struct Simulation {
    weight_source: WeightSource,
    pub now: Micros,
    pub placers: Vec<Placer>,
    balancer: LoadBalancer,
    poll_interval: Micros,
    pending_weights: VecDeque<PendingWeight>,
    /// Tasks a second.
    pub load: f64,
    /// Tasks a second that all hosts can start.
    pub host_capacity: f64,
    /// The fraction of a task that is due.
    due_tasks: f64,
    /// Changes of weight or state of all placers.
    pub changes: usize,
}

impl Simulation {
    fn new(weight_source: WeightSource, placer_count: usize, poll_interval: Micros) -> Simulation {
        Simulation {
            weight_source,
            now: START,
            placers: (0..placer_count).map(|_| Placer::new()).collect(),
            balancer: LoadBalancer::new(placer_count, 2, 3),
            poll_interval,
            pending_weights: VecDeque::new(),
            load: 0.0,
            host_capacity: f64::INFINITY,
            due_tasks: 0.0,
            changes: 0,
        }
    }

    /// A simulation of placers that are up, at a moderate load.
    pub fn settled(
        weight_source: WeightSource,
        placer_count: usize,
        poll_interval: Micros,
    ) -> Simulation {
        let mut simulation = Simulation::new(weight_source, placer_count, poll_interval);
        simulation.set_load(WARM_UP_LOAD);
        simulation.run(25);
        simulation.set_load(MODERATE_LOAD);
        simulation.run(10);
        simulation
    }

    /// Sets the load as a fraction of the capacity of all placers, were they healthy.
    pub fn set_load(&mut self, fraction: f64) {
        self.load = fraction * CAPACITY * self.placers.len() as f64;
    }

    pub fn run(&mut self, seconds: i64) {
        for _ in 0..seconds * SECOND / STEP {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let arrivals = self.distribute_tasks();
        let rejected_fraction = (1.0 - self.host_capacity / self.load).max(0.0);
        for (index, arrived) in arrivals.into_iter().enumerate() {
            let changes = self.placers[index].step(self.now, arrived, rejected_fraction);
            self.changes += changes;
            if self.is_poll_time(index) {
                self.poll(index);
            }
        }
        self.apply_weights();
        for (index, placer) in self.placers.iter_mut().enumerate() {
            placer
                .weights
                .push(self.balancer.servers[index].weight as u8);
        }
    }

    /// The tasks of this step that the load balancer sends to each placer.
    fn distribute_tasks(&mut self) -> Vec<f64> {
        self.due_tasks += self.load * STEP as f64 / SECOND as f64;
        let mut arrivals = vec![0.0; self.placers.len()];
        while self.due_tasks >= 1.0 {
            self.due_tasks -= 1.0;
            if let Some(placer) = self.balancer.pick() {
                arrivals[placer] += 1.0;
            }
        }
        arrivals
    }

    /// Load balancers spread the polls of their servers over the interval.
    fn is_poll_time(&self, placer: usize) -> bool {
        let placer_count = self.placers.len() as Micros;
        let offset = placer as Micros * self.poll_interval / placer_count / STEP * STEP;
        (self.now - offset) % self.poll_interval == 0
    }

    fn poll(&mut self, index: usize) {
        let placer = &mut self.placers[index];
        let polled = Event::Polled { poller: 0 };
        let changes = placer.monitor.handle(self.now, polled);
        self.changes += changes.len();
        let weight = match self.weight_source {
            WeightSource::Monitor => u32::from(placer.monitor.report(self.now).0.weight),
            WeightSource::Naive => (100.0 - 100.0 * placer.utilization).clamp(1.0, 100.0) as u32,
        };
        self.pending_weights.push_back(PendingWeight {
            applies_at: self.now + BALANCER_DELAY,
            placer: index,
            weight,
        });
    }

    fn apply_weights(&mut self) {
        while let Some(pending) = self.pending_weights.front() {
            if pending.applies_at > self.now {
                return;
            }
            let report = AgentReport {
                weight: Some(pending.weight),
                ..AgentReport::default()
            };
            self.balancer.apply_report(pending.placer, report);
            self.pending_weights.pop_front();
        }
    }

    /// The weights that the load balancer had for a placer in the last so many seconds.
    pub fn weights(&self, placer: usize, seconds: i64) -> &[u8] {
        let weights = &self.placers[placer].weights;
        &weights[steps_ago(weights.len(), seconds)..]
    }

    pub fn min_weight(&self, placer: usize, seconds: i64) -> u8 {
        let weights = self.weights(placer, seconds);
        *weights.iter().min().expect("at least one step")
    }

    /// The difference of the highest and the lowest weight in the last so many seconds.
    pub fn weight_range(&self, placer: usize, seconds: i64) -> u8 {
        let weights = self.weights(placer, seconds);
        let max = weights.iter().max().expect("at least one step");
        max - self.min_weight(placer, seconds)
    }

    /// A placer's fraction of the tasks that arrived in the last so many seconds.
    pub fn share(&self, placer: usize, seconds: i64) -> f64 {
        self.share_between(placer, seconds, 0)
    }

    /// A placer's fraction of the tasks that arrived between two times, in seconds ago.
    fn share_between(&self, placer: usize, from_ago: i64, to_ago: i64) -> f64 {
        let arrived = |placer: &Placer| {
            let steps = placer.arrivals.len();
            let range = steps_ago(steps, from_ago)..steps_ago(steps, to_ago);
            placer.arrivals[range].iter().sum::<f64>()
        };
        let total = self.placers.iter().map(arrived).sum::<f64>();
        arrived(&self.placers[placer]) / total
    }

    /// Seconds, counted from so many seconds ago, until the share of a placer over half a minute stayed within a
    /// third of its share in the last minute.
    pub fn settling_time(&self, placer: usize, seconds: i64) -> i64 {
        const SPAN: i64 = 30;
        let in_the_end = self.share(placer, 60);
        let is_settled = |after: i64| {
            let from_ago = seconds - after;
            let share = self.share_between(placer, from_ago, from_ago - SPAN);
            (share - in_the_end).abs() <= in_the_end / 3.0
        };
        (0..=seconds - SPAN)
            .rev()
            .find(|after| !is_settled(*after))
            .map_or(0, |after| after + 1)
    }
}

/// The index of the step so many seconds ago.
fn steps_ago(steps: usize, seconds: i64) -> usize {
    steps.saturating_sub((seconds * SECOND / STEP) as usize)
}

impl Placer {
    fn new() -> Placer {
        Placer {
            monitor: HealthMonitor::new(Settings::default(), START),
            capacity: CAPACITY,
            waiting_tasks: 0.0,
            utilization: 0.0,
            discovery_is_up: true,
            weights: Vec::new(),
            arrivals: Vec::new(),
            unreported: 0.0,
        }
    }

    /// Restarts the process.
    pub fn restart(&mut self, now: Micros) {
        self.monitor = HealthMonitor::new(Settings::default(), now);
    }

    /// Simulates one step, and returns how often weight or state changed.
    fn step(&mut self, now: Micros, arrived: f64, rejected_fraction: f64) -> usize {
        let mut changes = Vec::new();
        let handled = self.handle_tasks(arrived);
        if self.loop_has_time() {
            changes.extend(self.run_loop(now));
        }
        let wait = self.waiting_tasks / self.capacity.max(0.001);
        self.unreported += handled;
        while self.unreported >= 1.0 {
            self.unreported -= 1.0;
            changes.extend(self.report_task(now, wait, rejected_fraction));
        }
        if now % GAUGE_INTERVAL == 0 {
            // Rejected requests are held and come again, so the oldest is past its objective at every placer.
            let oldest_request = if rejected_fraction > 0.0 {
                2.0
            } else {
                wait / LATENCY_OBJECTIVE_SECONDS
            };
            let gauges = Gauges {
                oldest_request,
                ..Gauges::default()
            };
            changes.extend(self.monitor.handle(now, Event::GaugesSampled(gauges)));
        }
        if self.discovery_is_up && now % SECOND == 0 {
            changes.extend(self.monitor.handle(now, Event::DiscoveryUpdated));
        }
        changes.len()
    }

    fn capacity_per_step(&self) -> f64 {
        self.capacity * STEP as f64 / SECOND as f64
    }

    /// Handles waiting tasks, and returns how many.
    fn handle_tasks(&mut self, arrived: f64) -> f64 {
        self.arrivals.push(arrived);
        self.waiting_tasks += arrived;
        let capacity = self.capacity_per_step();
        let handled = self.waiting_tasks.min(capacity);
        self.waiting_tasks -= handled;
        let utilization = if capacity > 0.0 {
            handled / capacity
        } else {
            1.0
        };
        self.utilization += (utilization - self.utilization) * STEP as f64 / SECOND as f64;
        handled
    }

    /// With the work of a step left, the event loop does not run its next iteration.
    fn loop_has_time(&self) -> bool {
        self.waiting_tasks < self.capacity_per_step().max(1.0)
    }

    fn run_loop(&mut self, now: Micros) -> Vec<Change> {
        (1..=LOOP_ITERATIONS_PER_STEP)
            .flat_map(|n| {
                let at = now - STEP + n * STEP / LOOP_ITERATIONS_PER_STEP;
                self.monitor.handle(at, Event::LoopIteration)
            })
            .collect()
    }

    /// Reports the attempt and the response of one task. Hosts reject what exceeds their capacity, alike for all
    /// placers.
    fn report_task(&mut self, now: Micros, wait: f64, rejected_fraction: f64) -> Vec<Change> {
        let pseudo_random = (now / STEP * 7919 % 1000) as f64 / 1000.0;
        let is_rejected = pseudo_random < rejected_fraction;
        let (outcome, detail) = if is_rejected {
            (Outcome::Rejected, OutcomeDetail::NoCores)
        } else {
            (Outcome::Completed, OutcomeDetail::Unknown)
        };
        let attempt_ended = Event::AttemptEnded {
            outcome,
            detail,
            relative_duration: 0.1,
        };
        let answered = Event::RequestAnswered {
            within_objective: !is_rejected && wait < LATENCY_OBJECTIVE_SECONDS,
        };
        let mut changes = self.monitor.handle(now, attempt_ended);
        changes.extend(self.monitor.handle(now, answered));
        changes
    }
}

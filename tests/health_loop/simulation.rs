//! Simulates placers behind a load balancer, in simulated time.
//!
//! Each placer handles up to its capacity of tasks a second; the others wait. While a full step of work is waiting, the
//! event loop does not run its next iteration. The load balancer polls, and applies a weight only after a delay.

use emulator::load_balancer::{AgentReport, LoadBalancer};
use std::collections::VecDeque;
use task_placer::health::{Change, Event, Gauges, HealthMonitor, Settings};
use task_placer::{Micros, Outcome, OutcomeDetail};

pub const SECOND: Micros = 1_000_000;
const STEP: Micros = 50_000;
const START: Micros = 1_000 * SECOND;
const GAUGE_INTERVAL: Micros = 5 * STEP;
const LATENCY_OBJECTIVE_SECONDS: f64 = 1.0;
/// The time that the load balancer takes to act on an answer.
const LOAD_BALANCER_DELAY: Micros = 300_000;
/// The number of tasks a second that a healthy placer can handle.
pub const CAPACITY: f64 = 100.0;
/// The load while placers warm up, as a fraction of their capacity.
const WARM_UP_LOAD: f64 = 0.02;
/// The load after the warm-up, as a fraction of the placers' capacity.
const MODERATE_LOAD: f64 = 0.4;
const LOOP_ITERATIONS_PER_STEP: Micros = 10;

/// The source of the weight that placers report.
#[derive(Clone, Copy, PartialEq)]
pub enum WeightSource {
    /// The health monitor.
    Monitor,
    /// The naive rule: 100 minus the utilization over about the last second, in percent.
    Naive,
}

pub struct Placer {
    pub monitor: HealthMonitor,
    /// The number of tasks a second that the placer can handle.
    pub capacity: f64,
    pub waiting_tasks: f64,
    /// The utilization over about the last second, for the naive rule.
    utilization: f64,
    pub discovery_is_up: bool,
    /// The weight that the load balancer applied to the placer, by step.
    weights: Vec<u8>,
    /// The number of tasks that arrived, by step.
    arrivals: Vec<f64>,
    /// The number of handled tasks that are not reported to the monitor yet.
    unreported: f64,
}

/// A weight that the load balancer has read and not applied yet.
struct PendingWeight {
    applies_at: Micros,
    placer: usize,
    weight: u32,
}

pub struct Simulation {
    weight_source: WeightSource,
    pub now: Micros,
    pub placers: Vec<Placer>,
    load_balancer: LoadBalancer,
    poll_interval: Micros,
    pending_weights: VecDeque<PendingWeight>,
    /// The number of tasks a second that arrive at the load balancer.
    pub load: f64,
    /// The number of tasks a second that all hosts together can start.
    pub host_capacity: f64,
    /// The number of tasks that are due and not distributed yet, including a fraction.
    due_tasks: f64,
    /// The number of changes of weight or state, of all placers.
    pub changes: usize,
}

impl Simulation {
    fn new(weight_source: WeightSource, placer_count: usize, poll_interval: Micros) -> Simulation {
        Simulation {
            weight_source,
            now: START,
            placers: (0..placer_count).map(|_| Placer::new()).collect(),
            load_balancer: LoadBalancer::new(placer_count, 2, 3),
            poll_interval,
            pending_weights: VecDeque::new(),
            load: 0.0,
            host_capacity: f64::INFINITY,
            due_tasks: 0.0,
            changes: 0,
        }
    }

    /// Returns a simulation of placers that have warmed up, at a moderate load.
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

    /// Sets the load as a fraction of the capacity that all placers have when healthy.
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
                .push(self.load_balancer.servers[index].weight as u8);
        }
    }

    /// Returns the number of tasks that the load balancer sends to each placer in this step.
    fn distribute_tasks(&mut self) -> Vec<f64> {
        self.due_tasks += self.load * STEP as f64 / SECOND as f64;
        let mut arrivals = vec![0.0; self.placers.len()];
        while self.due_tasks >= 1.0 {
            self.due_tasks -= 1.0;
            if let Some(placer) = self.load_balancer.pick() {
                arrivals[placer] += 1.0;
            }
        }
        arrivals
    }

    /// Returns whether the placer is polled now. Like real load balancers, it spreads the polls over the interval.
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
            applies_at: self.now + LOAD_BALANCER_DELAY,
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
            self.load_balancer.apply_report(pending.placer, report);
            self.pending_weights.pop_front();
        }
    }

    /// Returns the weights that the load balancer applied to a placer in the last `seconds`.
    pub fn weights(&self, placer: usize, seconds: i64) -> &[u8] {
        let weights = &self.placers[placer].weights;
        &weights[steps_ago(weights.len(), seconds)..]
    }

    pub fn min_weight(&self, placer: usize, seconds: i64) -> u8 {
        let weights = self.weights(placer, seconds);
        *weights.iter().min().expect("at least one step")
    }

    /// Returns the difference of a placer's highest and lowest weight in the last `seconds`.
    pub fn weight_range(&self, placer: usize, seconds: i64) -> u8 {
        let weights = self.weights(placer, seconds);
        let max = weights.iter().max().expect("at least one step");
        max - self.min_weight(placer, seconds)
    }

    /// Returns a placer's fraction of the tasks that arrived in the last `seconds`.
    pub fn share(&self, placer: usize, seconds: i64) -> f64 {
        self.share_between(placer, seconds, 0)
    }

    /// Returns a placer's fraction of the tasks that arrived from `from_ago` to `to_ago` seconds ago.
    fn share_between(&self, placer: usize, from_ago: i64, to_ago: i64) -> f64 {
        let arrived = |placer: &Placer| {
            let steps = placer.arrivals.len();
            let range = steps_ago(steps, from_ago)..steps_ago(steps, to_ago);
            placer.arrivals[range].iter().sum::<f64>()
        };
        let total = self.placers.iter().map(arrived).sum::<f64>();
        arrived(&self.placers[placer]) / total
    }

    /// Returns how many seconds after the time that is `seconds` ago a placer's share settled: the share in each later
    /// half minute is within a third of its share in the last minute.
    pub fn settling_time(&self, placer: usize, seconds: i64) -> i64 {
        const SHARE_WINDOW: i64 = 30;
        let final_share = self.share(placer, 60);
        let is_settled = |after: i64| {
            let from_ago = seconds - after;
            let share = self.share_between(placer, from_ago, from_ago - SHARE_WINDOW);
            (share - final_share).abs() <= final_share / 3.0
        };
        (0..=seconds - SHARE_WINDOW)
            .rev()
            .find(|after| !is_settled(*after))
            .map_or(0, |after| after + 1)
    }
}

/// Returns the index of the step that was `seconds` ago, out of `steps`.
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

    /// Restarts the placer's process, which begins with a new monitor.
    pub fn restart(&mut self, now: Micros) {
        self.monitor = HealthMonitor::new(Settings::default(), now);
    }

    /// Simulates one step, and returns the number of changes of weight or state.
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
            // Rejected requests are held and retried, so the oldest is past its objective at every placer.
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

    /// Handles waiting tasks up to the capacity of a step, and returns how many.
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

    /// Returns whether the event loop runs its next iteration: not while the work of a full step is waiting.
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

    /// Reports the attempt and the response of one task to the monitor. Hosts reject the tasks beyond their capacity,
    /// in the same proportion for all placers.
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

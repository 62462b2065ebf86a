//! Feeds random legal events to a placer and passes its actions to the checker.

use crate::checker::{Attempt, Checker, RequestRecord};
use crate::common::*;
use crate::digest;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use task_placer::*;

const OUTCOMES: [Outcome; 7] = [
    Outcome::Completed,
    Outcome::Rejected,
    Outcome::Error,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];
const DETAILS: [OutcomeDetail; 6] = [
    OutcomeDetail::Unknown,
    OutcomeDetail::NoCores,
    OutcomeDetail::NoMemory,
    OutcomeDetail::QueueFull,
    OutcomeDetail::NotEligible,
    OutcomeDetail::Evicted,
];

/// A placer that gets random events.
pub struct RandomRun {
    pub checker: Checker,
    pub digest: u64,
    pub requests: usize,
    rng: ChaCha8Rng,
    placer: Placer,
    now: Micros,
    timers: Vec<(Micros, TimerToken)>,
}

impl RandomRun {
    /// Creates a placer that knows the hosts from a cached endpoint list.
    pub fn new(
        settings: &Settings,
        host_count: usize,
        variant: usize,
        seed: u64,
        digest: u64,
    ) -> RandomRun {
        let mut run = RandomRun {
            checker: Checker::new(settings.clone(), host_count),
            digest,
            requests: 0,
            rng: ChaCha8Rng::seed_from_u64(seed * 100 + variant as u64),
            placer: Placer::new(settings.clone(), seed),
            now: 1_000 * SECOND,
            timers: Vec::new(),
        };
        run.update_endpoints(UpdateKind::Cached);
        run
    }

    /// Lets a random time pass and feeds one random event to the placer.
    pub fn step(&mut self, number: usize) {
        self.now += [0, 0, MS, 20 * MS, 200 * MS, 2 * SECOND][self.pick(6)];
        let in_flight = self.requests_in_flight();
        self.fire_due_timers();
        self.time_out_attempts(&in_flight);
        match self.pick(12) {
            0..=4 => self.request_task(),
            5 | 6 if !in_flight.is_empty() => self.start_attempt(&in_flight),
            7 | 8 if !in_flight.is_empty() => {
                let id = in_flight[self.pick(in_flight.len())].clone();
                let outcome = OUTCOMES[self.pick(OUTCOMES.len())];
                self.end_attempt(&id, outcome);
            }
            9 if !self.checker.endpoints.is_empty() => self.change_endpoint(),
            10 if number.is_multiple_of(3) => self.cancel_request(),
            _ => {}
        }
    }

    /// Lets time pass without further events, by which all pending responses become due.
    pub fn run_out(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now += self.checker.settings.tick;
            self.timers.sort();
            while self.timers.first().is_some_and(|(due, _)| *due <= self.now) {
                let (_, token) = self.timers.remove(0);
                self.handle(Event::TimerFired(token));
            }
        }
    }

    fn pick(&mut self, count: usize) -> usize {
        (self.rng.next_u64() % count.max(1) as u64) as usize
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.placer.handle(self.now, &event, &mut actions);
        for action in actions {
            let line = format!("{} {}", self.now, digest::rendered(&action));
            self.digest = digest::add_line(self.digest, &line);
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::SetTimer { token, after } => {
                assert!(after >= 0);
                self.timers.push((self.now + after, token));
            }
            Action::SendAttempt { id, host, timeout } => {
                self.checker.check_attempt(self.now, &id, &host, timeout);
            }
            Action::Reject { id, .. } => self.checker.check_rejection(self.now, &id),
            Action::Fail { id } => self.checker.check_response(self.now, &id),
            Action::SendHealthCheck { host } => self.answer_health_check(host),
            Action::CancelAttempt { .. } => assert!(self.checker.settings.allows_cancel),
            Action::ReportFault(text) => panic!("the module reports a fault: {text}"),
            _ => {}
        }
    }

    fn answer_health_check(&mut self, host: HostId) {
        assert!(self.checker.settings.allows_health_checks);
        assert!(self.checker.endpoints.contains_key(&host));
        let outcome = [Outcome::Completed, Outcome::Completed, Outcome::Timeout][self.pick(3)];
        let load_report = if outcome == Outcome::Completed {
            vec![10.0, 20.0]
        } else {
            Vec::new()
        };
        self.handle(Event::HealthCheckEnded {
            host,
            outcome,
            elapsed: MS,
            load_report,
        });
    }

    fn requests_in_flight(&self) -> Vec<RequestId> {
        let requests = self.checker.requests.iter();
        let in_flight = requests.filter(|(_, request)| request.in_flight.is_some());
        in_flight.map(|(id, _)| id.clone()).collect()
    }

    /// Fires each due timer at most one tick late, because batches of events arrive at each tick.
    fn fire_due_timers(&mut self) {
        self.timers.sort();
        while self.timers.first().is_some_and(|(due, _)| *due <= self.now) {
            let (due, token) = self.timers.remove(0);
            let later = self.now;
            self.now = (due + self.checker.settings.tick).min(later);
            self.handle(Event::TimerFired(token));
            self.now = later;
            self.timers.sort();
        }
    }

    fn time_out_attempts(&mut self, in_flight: &[RequestId]) {
        let times_out_at = |id: &RequestId| {
            let attempt = self.checker.requests[id].in_flight.as_ref()?;
            Some((id.clone(), attempt.times_out_at))
        };
        let due: Vec<(RequestId, Micros)> = in_flight.iter().filter_map(times_out_at).collect();
        for (id, times_out_at) in due {
            if !self.checker.requests[&id].is_placed && times_out_at <= self.now {
                self.end_attempt(&id, Outcome::Timeout);
            }
        }
    }

    fn request_task(&mut self) {
        self.requests += 1;
        let mut task = task(self.requests, self.rng.next_u64() % 5);
        task.class = ClassId(task.service.0 as usize % self.checker.settings.classes.len());
        task.cores = [0.25, 1.0, 12.0][self.pick(3)];
        task.time_budget = [0, 3 * MS, SECOND, 5 * SECOND][self.pick(4)];
        task.is_returning = self.pick(3) == 0;
        let record = RequestRecord::new(&task, self.now);
        self.checker.requests.insert(task.id.clone(), record);
        self.handle(Event::TaskRequested(task));
    }

    fn start_attempt(&mut self, in_flight: &[RequestId]) {
        let id = in_flight[self.pick(in_flight.len())].clone();
        let request = self
            .checker
            .requests
            .get_mut(&id)
            .expect("request is unknown");
        let Some(Attempt { number, host, .. }) = request.in_flight.clone() else {
            return;
        };
        if !request.is_pending() {
            return;
        }
        request.is_placed = true;
        self.checker.responses += 1;
        self.handle(Event::AttemptStarted {
            id: id.clone(),
            attempt: number,
            host: host.clone(),
            elapsed: MS,
        });
        self.handle(Event::TaskReported {
            id,
            host,
            report: TaskReport::Cores,
            value: 0.4,
        });
    }

    fn end_attempt(&mut self, id: &RequestId, outcome: Outcome) {
        let Some(request) = self.checker.requests.get_mut(id) else {
            return;
        };
        let Some((attempt, done)) = request.end_attempt(outcome) else {
            return;
        };
        if outcome == Outcome::Completed && !request.is_placed && !request.is_answered {
            request.is_placed = true;
            self.checker.responses += 1;
        }
        let detail = DETAILS[self.pick(DETAILS.len())];
        let load_report = if self.pick(3) == 0 {
            vec![5.0, -3.0]
        } else {
            Vec::new()
        };
        self.handle(Event::AttemptEnded {
            id: id.clone(),
            attempt: attempt.number,
            host: attempt.host,
            outcome,
            detail,
            done,
            elapsed: MS,
            load_report,
        });
    }

    fn change_endpoint(&mut self) {
        let which = self.pick(self.checker.endpoints.len());
        let states = [
            EndpointState::Up,
            EndpointState::Up,
            EndpointState::Draining,
        ];
        let state = states[self.pick(3)];
        let restarts = self.pick(2) == 0;
        let endpoint = self
            .checker
            .endpoints
            .values_mut()
            .nth(which)
            .expect("index is out of range");
        endpoint.state = state;
        if restarts {
            endpoint.started_at = self.now;
        }
        let kinds = [UpdateKind::Delta, UpdateKind::Complete, UpdateKind::Failed];
        let kind = kinds[self.pick(3)];
        self.update_endpoints(kind);
    }

    fn update_endpoints(&mut self, kind: UpdateKind) {
        let endpoints: Vec<Endpoint> = match kind {
            UpdateKind::Failed => Vec::new(),
            _ => self.checker.endpoints.values().cloned().collect(),
        };
        self.checker.notified(self.now, &endpoints);
        self.handle(Event::EndpointsChanged { kind, endpoints });
    }

    fn cancel_request(&mut self) {
        let which = self.pick(self.checker.requests.len());
        let Some((id, request)) = self.checker.requests.iter_mut().nth(which) else {
            return;
        };
        if request.is_answered || request.is_placed {
            return;
        }
        request.is_cancelled = true;
        let id = id.clone();
        self.handle(Event::TaskCancelled(id));
    }
}

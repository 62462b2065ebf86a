//! Helpers for tests of the decision module: constructors for events, a placer with simulated time, and queries on
//! actions.
#![allow(dead_code)]

use std::sync::Arc;
use task_placer::*;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub fn host_id(n: usize) -> HostId {
    HostId(Arc::from(format!("m{n}")))
}

pub fn request_id(n: usize) -> RequestId {
    RequestId(Arc::from(format!("r{n}")))
}

/// Returns the endpoint of an idle host that is past its slow start. Host `n` is in zone and cell `n % 2`.
pub fn endpoint(n: usize, state: EndpointState) -> Endpoint {
    Endpoint {
        host: host_id(n),
        zone: ZoneId(n % 2),
        cell: CellId((n % 2) as u64),
        kind: KindId(0),
        state,
        started_at: 0,
        free_cores: 32.0,
        free_memory: 64.0,
    }
}

pub fn complete_list(count: usize) -> Event {
    let entries = (0..count).map(|n| endpoint(n, EndpointState::Up)).collect();
    Event::EndpointsChanged {
        kind: UpdateKind::Complete,
        endpoints: entries,
    }
}

pub fn task(n: usize, service: u64) -> Task {
    Task {
        id: request_id(n),
        class: ClassId(0),
        service: ServiceId(service),
        key: TaskKey(n as u64),
        tenant: None,
        cores: 1.0,
        memory: 2.0,
        expected_run_seconds: None,
        time_budget: 5 * SECOND,
        is_retry: false,
        is_returning: false,
        shed_rank: 0.0,
        retry_after: 0,
    }
}

/// A decision module under test, with simulated time and its pending timers.
pub struct TestPlacer {
    pub placer: Placer,
    pub now: Micros,
    timers: Vec<(Micros, TimerToken)>,
}

impl TestPlacer {
    pub fn new(settings: Settings) -> TestPlacer {
        TestPlacer {
            placer: Placer::new(settings, 1),
            now: 100 * SECOND,
            timers: Vec::new(),
        }
    }

    pub fn with(settings: Settings, hosts: usize) -> TestPlacer {
        let mut placer = TestPlacer::new(settings);
        placer.handle(complete_list(hosts));
        placer
    }

    /// Passes an event to the placer and returns its actions, except those that set timers.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.placer.handle(self.now, &event, &mut out);
        for action in &out {
            if let Action::SetTimer { token, after } = action {
                assert!(*after >= 0, "timer delay must not be negative");
                self.timers.push((self.now + after, *token));
            }
        }
        out.retain(|a| !matches!(a, Action::SetTimer { .. }));
        out
    }

    /// Advances the time by `span` and fires the timers that are due in order. Returns the actions with their times.
    pub fn advance(&mut self, span: Micros) -> Vec<(Micros, Action)> {
        let end = self.now + span;
        let mut done = Vec::new();
        loop {
            self.timers.sort();
            match self.timers.first().copied() {
                Some((at, token)) if at <= end => {
                    self.timers.remove(0);
                    self.now = self.now.max(at);
                    done.extend(
                        self.handle(Event::TimerFired(token))
                            .into_iter()
                            .map(|a| (at, a)),
                    );
                }
                _ => break,
            }
        }
        self.now = end;
        done
    }

    pub fn request(&mut self, task: Task) -> Vec<Action> {
        self.handle(Event::TaskRequested(task))
    }

    pub fn start(&mut self, n: usize, attempt: u32, at: &HostId) -> Vec<Action> {
        self.handle(Event::AttemptStarted {
            id: request_id(n),
            attempt,
            host: at.clone(),
            elapsed: MS,
        })
    }

    pub fn end(
        &mut self,
        n: usize,
        attempt: u32,
        at: &HostId,
        outcome: Outcome,
        detail: OutcomeDetail,
    ) -> Vec<Action> {
        let done = outcome == Outcome::Completed;
        self.end_with(n, attempt, at, outcome, detail, done)
    }

    pub fn end_with(
        &mut self,
        n: usize,
        attempt: u32,
        at: &HostId,
        outcome: Outcome,
        detail: OutcomeDetail,
        done: bool,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            id: request_id(n),
            attempt,
            host: at.clone(),
            outcome,
            detail,
            done,
            elapsed: MS,
            load_report: Vec::new(),
        })
    }
}

/// Returns the hosts to which these actions send attempts.
pub fn sent_hosts(actions: &[Action]) -> Vec<HostId> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::SendAttempt { host, .. } => Some(host.clone()),
            _ => None,
        })
        .collect()
}

pub fn without_times(actions: Vec<(Micros, Action)>) -> Vec<Action> {
    actions.into_iter().map(|(_, a)| a).collect()
}

pub fn contains_rejection(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn contains_failure(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

//! Helpers of the module tests: events in short form and a small client's view of the answers.
#![allow(dead_code)]

use std::sync::Arc;
use task_placer::*;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub fn host(n: usize) -> HostId {
    HostId(Arc::from(format!("m{n}")))
}

pub fn req(n: usize) -> RequestId {
    RequestId(Arc::from(format!("r{n}")))
}

/// A warm, empty machine; machine `n` sits in zone and cell `n % 2`.
pub fn entry(n: usize, state: EndpointState) -> Endpoint {
    Endpoint {
        host: host(n),
        zone: ZoneId(n % 2),
        cell: CellId((n % 2) as u64),
        kind: KindId(0),
        state,
        started_at: 0,
        free_cores: 32.0,
        free_memory: 64.0,
    }
}

pub fn full_list(count: usize) -> Event {
    let entries = (0..count).map(|n| entry(n, EndpointState::Up)).collect();
    Event::EndpointsChanged {
        kind: UpdateKind::Complete,
        endpoints: entries,
    }
}

pub fn task(n: usize, service: u64) -> Task {
    Task {
        id: req(n),
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

/// A placer under test, with its pending timers.
pub struct Bench {
    pub placer: Placer,
    pub now: Micros,
    timers: Vec<(Micros, TimerToken)>,
}

impl Bench {
    pub fn new(settings: Settings) -> Bench {
        Bench {
            placer: Placer::new(settings, 1),
            now: 100 * SECOND,
            timers: Vec::new(),
        }
    }

    pub fn with(settings: Settings, machines: usize) -> Bench {
        let mut bench = Bench::new(settings);
        bench.give(full_list(machines));
        bench
    }

    /// Hands over one event; answers all actions but timers.
    pub fn give(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.placer.handle(self.now, &event, &mut out);
        for action in &out {
            if let Action::SetTimer { token, after } = action {
                assert!(*after >= 0, "a timer in the past");
                self.timers.push((self.now + after, *token));
            }
        }
        out.retain(|a| !matches!(a, Action::SetTimer { .. }));
        out
    }

    /// Lets time pass, firing timers in order; answers what was done and when.
    pub fn pass(&mut self, span: Micros) -> Vec<(Micros, Action)> {
        let end = self.now + span;
        let mut done = Vec::new();
        loop {
            self.timers.sort();
            match self.timers.first().copied() {
                Some((at, token)) if at <= end => {
                    self.timers.remove(0);
                    self.now = self.now.max(at);
                    done.extend(
                        self.give(Event::TimerFired(token))
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

    pub fn ask(&mut self, task: Task) -> Vec<Action> {
        self.give(Event::TaskRequested(task))
    }

    pub fn first(&mut self, n: usize, attempt: u32, at: &HostId) -> Vec<Action> {
        self.give(Event::AttemptStarted {
            id: req(n),
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
        self.give(Event::AttemptEnded {
            id: req(n),
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

/// The hosts of the sends among these actions.
pub fn sends(actions: &[Action]) -> Vec<HostId> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::SendAttempt { host, .. } => Some(host.clone()),
            _ => None,
        })
        .collect()
}

pub fn untimed(actions: Vec<(Micros, Action)>) -> Vec<Action> {
    actions.into_iter().map(|(_, a)| a).collect()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

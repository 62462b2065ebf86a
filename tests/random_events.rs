//! Random legal event sequences over many kinds of settings: the five rules and exactly one final
//! answer for every task taken, checked by an account kept apart from the module's.

mod common;

use common::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use task_placer::*;

struct Account {
    task: Task,
    deadline: Micros,
    sends: u32,
    /// The attempt under way: its number, host, time-out time.
    out: Option<(u32, HostId, Micros)>,
    sent_at: Micros,
    placed: bool,
    answered: bool,
    gone: bool,
    may_have_run: Option<(HostId, Micros)>,
}

struct World {
    s: Settings,
    rng: ChaCha8Rng,
    placer: Placer,
    now: Micros,
    timers: Vec<(Micros, TimerToken)>,
    tasks: BTreeMap<RequestId, Account>,
    machines: BTreeMap<HostId, Endpoint>,
    closed_since: BTreeMap<HostId, Micros>,
    offers: BTreeMap<HostId, Vec<Micros>>,
    told_ready: BTreeMap<HostId, Micros>,
    answers: usize,
    digest: u64,
}

/// An action as its number on the simulator's wire and its values: independent of the names in the code.
fn rendered(action: &Action) -> String {
    match action {
        Action::Subscribe => "1".to_string(),
        Action::Unsubscribe => "2".to_string(),
        Action::PollEndpoints => "3".to_string(),
        Action::CloseIdleConnections { host } => format!("4 {}", host.0),
        Action::ReportFault(text) => format!("5 {text}"),
        Action::SendAttempt { id, host, timeout } => format!("6 {} {} {timeout}", id.0, host.0),
        Action::CancelAttempt { id, attempt } => format!("7 {} {attempt}", id.0),
        Action::Reject { id, retry_after } => format!("8 {} {retry_after}", id.0),
        Action::Fail { id } => format!("9 {}", id.0),
        Action::Migrate { id } => format!("10 {}", id.0),
        Action::SendHealthCheck { host } => format!("11 {}", host.0),
        Action::SetTimer { token, after } => format!("12 {} {after}", token.0),
        Action::Log(text) => format!("13 {text}"),
    }
}

/// Adds one line to a digest (FNV-1a).
fn digest_line(digest: u64, line: &str) -> u64 {
    let bytes = line.bytes().chain([b'\n']);
    bytes.fold(digest, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

impl World {
    fn pick(&mut self, n: usize) -> usize {
        (self.rng.next_u64() % n.max(1) as u64) as usize
    }

    fn give(&mut self, event: Event) {
        let mut out = Vec::new();
        self.placer.handle(self.now, &event, &mut out);
        for action in out {
            self.digest = digest_line(self.digest, &format!("{} {}", self.now, rendered(&action)));
            self.check(action);
        }
    }

    fn place_of(&self, spread: SpreadDomain, host: &HostId) -> u64 {
        let e = &self.machines[host];
        match spread {
            SpreadDomain::None => 0,
            SpreadDomain::Host => host.0[1..].parse().expect("a number"),
            SpreadDomain::Cell => e.cell.0,
            SpreadDomain::Zone => e.zone.0 as u64,
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::SetTimer { token, after } => {
                assert!(after >= 0);
                self.timers.push((self.now + after, token));
            }
            Action::SendAttempt { id, host, timeout } => self.check_send(&id, &host, timeout),
            Action::Reject { id, .. } => {
                self.check_answer(&id);
                let a = &self.tasks[&id];
                let harmless = match self.s.classes[a.task.class.0].idempotency {
                    Idempotency::Idempotent
                    | Idempotency::IdempotencyKey {
                        scope: KeyScope::All,
                    } => true,
                    _ => a.may_have_run.is_none() && a.out.is_none(),
                };
                assert!(
                    harmless,
                    "rule 2: refused {id:?} though an attempt may have run"
                );
            }
            Action::Fail { id } => self.check_answer(&id),
            Action::SendHealthCheck { host } => {
                assert!(self.s.allows_health_checks && self.machines.contains_key(&host));
                let outcome =
                    [Outcome::Completed, Outcome::Completed, Outcome::Timeout][self.pick(3)];
                let report = if outcome == Outcome::Completed {
                    vec![10.0, 20.0]
                } else {
                    Vec::new()
                };
                self.give(Event::HealthCheckEnded {
                    host,
                    outcome,
                    elapsed: MS,
                    load_report: report,
                });
            }
            Action::CancelAttempt { .. } => assert!(self.s.allows_cancel),
            Action::ReportFault(text) => panic!("the module gave up: {text}"),
            _ => {}
        }
    }

    fn check_answer(&mut self, id: &RequestId) {
        let slack = self.s.response_slack;
        let a = self.tasks.get_mut(id).expect("a known task");
        assert!(
            !a.answered && !a.placed && !a.gone,
            "rule 1: a second answer for {id:?}"
        );
        assert!(
            self.now <= a.deadline + slack,
            "rule 1: too late for {id:?}"
        );
        a.answered = true;
        self.answers += 1;
    }

    fn check_send(&mut self, id: &RequestId, host: &HostId, timeout: Micros) {
        let (now, s) = (self.now, self.s.clone());
        let a = &self.tasks[id];
        assert!(
            !a.answered && !a.placed && !a.gone,
            "rule 1: sent after the end of {id:?}"
        );
        assert!(a.out.is_none(), "rule 2: two attempts at once");
        assert!(a.sends < s.max_attempts && timeout > 0);
        let class = &s.classes[a.task.class.0];
        match (class.idempotency, &a.may_have_run) {
            (Idempotency::NonIdempotent, Some(_)) => panic!("rule 2: an unsafe task sent again"),
            (Idempotency::IdempotencyKey { scope: group }, Some((first, since))) => {
                let (x, y) = (&self.machines[first], &self.machines[host]);
                assert!(match group {
                    KeyScope::All => true,
                    KeyScope::Zone => x.zone == y.zone,
                    KeyScope::Cell => x.cell == y.cell,
                });
                assert!(
                    now - since <= class.idempotency_window,
                    "rule 2: after the window"
                );
            }
            _ => {}
        }
        if let Some(since) = self.closed_since.get(host) {
            assert!(
                now - since <= s.drain_grace,
                "rule 3: sent to a machine that drains"
            );
        }
        if class.spread_domain != SpreadDomain::None {
            let place = self.place_of(class.spread_domain, host);
            let held = self.tasks.values().filter(|b| {
                b.task.service == a.task.service
                    && b.out
                        .as_ref()
                        .is_some_and(|(_, h, _)| self.place_of(class.spread_domain, h) == place)
            });
            assert!(
                held.count() < class.max_per_domain,
                "rule 5: too many of a service in one place"
            );
        }
        let ready = self.told_ready[host];
        if ready > 0 && now - ready < s.slow_start {
            let offers = self.offers.entry(host.clone()).or_default();
            offers.push(now);
            let recent = offers
                .iter()
                .filter(|t| now - **t <= s.collapse_window)
                .count();
            // With more placers than offers they take turns of one; tests/scale.rs checks their sum.
            let part = (s.slow_start_attempts / s.placer_count as f64).max(1.0);
            assert!(recent as f64 <= part, "rule 4: {recent} offers");
        }
        let kind = class.host_kind;
        assert!(kind.is_none_or(|k| k == self.machines[host].kind));
        let a = self.tasks.get_mut(id).expect("known");
        a.out = Some((a.sends, host.clone(), (now + timeout).min(a.deadline)));
        a.sends += 1;
        a.sent_at = now;
    }

    fn outcome(&mut self, id: &RequestId, outcome: Outcome) {
        let Some(a) = self.tasks.get_mut(id) else {
            return;
        };
        let Some((attempt, host, _)) = a.out.take() else {
            return;
        };
        let done = outcome == Outcome::Completed || a.placed || a.answered || a.gone;
        if outcome == Outcome::Completed && !a.placed && !a.answered {
            self.answers += 1;
            a.placed = true;
        }
        if !matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        ) && a.may_have_run.is_none()
        {
            a.may_have_run = Some((host.clone(), a.sent_at));
        }
        let details = [
            OutcomeDetail::Unknown,
            OutcomeDetail::NoCores,
            OutcomeDetail::NoMemory,
            OutcomeDetail::QueueFull,
            OutcomeDetail::NotEligible,
            OutcomeDetail::Evicted,
        ];
        let detail = details[self.pick(details.len())];
        let report = if self.pick(3) == 0 {
            vec![5.0, -3.0]
        } else {
            Vec::new()
        };
        let id = id.clone();
        self.give(Event::AttemptEnded {
            id,
            attempt,
            host,
            outcome,
            detail,
            done,
            elapsed: MS,
            load_report: report,
        });
    }

    fn members(&mut self, kind: UpdateKind) {
        let mut entries: Vec<Endpoint> = self.machines.values().cloned().collect();
        if kind == UpdateKind::Failed {
            entries.clear();
        }
        for e in &entries {
            if self.told_ready.insert(e.host.clone(), e.started_at) != Some(e.started_at) {
                self.offers.remove(&e.host);
            }
            match e.state {
                EndpointState::Up => {
                    self.closed_since.remove(&e.host);
                }
                _ => {
                    self.closed_since.entry(e.host.clone()).or_insert(self.now);
                }
            }
        }
        self.give(Event::EndpointsChanged {
            kind,
            endpoints: entries,
        });
    }

    fn step(&mut self, n: usize, last_id: &mut usize) {
        self.now += [0, 0, MS, 20 * MS, 200 * MS, 2 * SECOND][self.pick(6)];
        let ids: Vec<RequestId> = self
            .tasks
            .iter()
            .filter(|(_, a)| a.out.is_some())
            .map(|(k, _)| k.clone())
            .collect();
        self.timers.sort();
        while self.timers.first().is_some_and(|(at, _)| *at <= self.now) {
            // Batches come each tick: a due timer is never answered long after its time.
            let (at, token) = self.timers.remove(0);
            let later = self.now;
            self.now = (at + self.s.tick).min(later);
            self.give(Event::TimerFired(token));
            self.now = later;
            self.timers.sort();
        }
        for (id, at) in ids
            .iter()
            .filter_map(|id| Some((id, self.tasks[id].out.as_ref()?.2)))
            .collect::<Vec<_>>()
        {
            if !self.tasks[id].placed && at <= self.now {
                self.outcome(id, Outcome::Timeout);
            }
        }
        match self.pick(12) {
            0..=4 => {
                *last_id += 1;
                let mut t = task(*last_id, self.rng.next_u64() % 5);
                t.class = ClassId(t.service.0 as usize % self.s.classes.len());
                t.cores = [0.25, 1.0, 12.0][self.pick(3)];
                t.time_budget = [0, 3 * MS, SECOND, 5 * SECOND][self.pick(4)];
                t.is_returning = self.pick(3) == 0;
                let account = Account {
                    task: t.clone(),
                    deadline: self.now + t.time_budget,
                    sends: 0,
                    out: None,
                    sent_at: 0,
                    placed: false,
                    answered: false,
                    gone: false,
                    may_have_run: None,
                };
                self.tasks.insert(t.id.clone(), account);
                self.give(Event::TaskRequested(t));
            }
            5 | 6 if !ids.is_empty() => {
                let id = ids[self.pick(ids.len())].clone();
                let a = self.tasks.get_mut(&id).expect("known");
                if let (Some((attempt, host, _)), false, false) =
                    (a.out.clone(), a.placed, a.answered || a.gone)
                {
                    a.placed = true;
                    self.answers += 1;
                    self.give(Event::AttemptStarted {
                        id: id.clone(),
                        attempt,
                        host: host.clone(),
                        elapsed: MS,
                    });
                    self.give(Event::TaskReported {
                        id,
                        host,
                        report: TaskReport::Cores,
                        value: 0.4,
                    });
                }
            }
            7 | 8 if !ids.is_empty() => {
                let id = ids[self.pick(ids.len())].clone();
                let all = [
                    Outcome::Completed,
                    Outcome::Rejected,
                    Outcome::Error,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                    Outcome::Cancelled,
                    Outcome::NotSent,
                ];
                let how = all[self.pick(all.len())];
                self.outcome(&id, how);
            }
            9 if !self.machines.is_empty() => {
                let which = self.pick(self.machines.len());
                let state = [
                    EndpointState::Up,
                    EndpointState::Up,
                    EndpointState::Draining,
                ][self.pick(3)];
                let restart = self.pick(2) == 0;
                let now = self.now;
                let e = self.machines.values_mut().nth(which).expect("in range");
                e.state = state;
                if restart {
                    e.started_at = now;
                }
                let kind =
                    [UpdateKind::Delta, UpdateKind::Complete, UpdateKind::Failed][self.pick(3)];
                self.members(kind);
            }
            10 if n.is_multiple_of(3) => {
                let which = self.pick(self.tasks.len());
                let id = self.tasks.keys().nth(which).cloned();
                if let Some(id) = id.filter(|id| !self.tasks[id].answered && !self.tasks[id].placed)
                {
                    self.tasks.get_mut(&id).expect("known").gone = true;
                    self.give(Event::TaskCancelled(id));
                }
            }
            _ => {}
        }
    }
}

fn variants() -> Vec<(Settings, usize)> {
    let base = Settings::example();
    let mut keyed = base.clone();
    let template = base.classes[0].clone();
    let effects = [
        Idempotency::IdempotencyKey {
            scope: KeyScope::All,
        },
        Idempotency::IdempotencyKey {
            scope: KeyScope::Zone,
        },
        Idempotency::IdempotencyKey {
            scope: KeyScope::Cell,
        },
        Idempotency::NonIdempotent,
    ];
    let spreads = [
        SpreadDomain::Host,
        SpreadDomain::Zone,
        SpreadDomain::Cell,
        SpreadDomain::None,
    ];
    keyed.classes = effects
        .iter()
        .zip(spreads)
        .map(|(&effect, spread)| TaskClass {
            idempotency: effect,
            spread_domain: spread,
            ..template.clone()
        })
        .collect();
    let mut mixed = keyed.clone();
    mixed.classes.push(TaskClass {
        max_per_domain: 1,
        spread_domain: SpreadDomain::Host,
        ..template
    });
    mixed.placer_count = 12;
    mixed.requires_subscription = true;
    mixed.acknowledgement = Acknowledgement::Running;
    let mut crowd = mixed.clone();
    crowd.placer_count = 250;
    let mut bare = base.clone();
    bare.placer_count = 1;
    bare.allows_health_checks = false;
    bare.load_report = Vec::new();
    bare.endpoints_show_free_resources = false;
    bare.counts_requested_resources = false;
    let mut impossible = base.clone();
    impossible.max_attempts = 0;
    let mut kindless = base.clone();
    kindless.host_kinds = Vec::new();
    kindless.mean_cores = 0.0;
    vec![
        (base, 6),
        (keyed, 8),
        (mixed.clone(), 8),
        (mixed, 1),
        (crowd, 8),
        (bare, 3),
        (impossible, 3),
        (kindless, 2),
    ]
}

/// All actions of the plays below, in order. A change of it is a change of decisions: no renaming, moving or
/// splitting of code may touch it.
const DIGEST_OF_ALL_ACTIONS: u64 = 0x8b9fdbbdc2c439bc;

#[test]
fn rules_hold_and_every_request_gets_one_response() {
    let mut digest = 0xcbf2_9ce4_8422_2325;
    for (v, (s, count)) in variants().into_iter().enumerate() {
        for seed in 0..40 {
            let mut w = World {
                rng: ChaCha8Rng::seed_from_u64(seed * 100 + v as u64),
                placer: Placer::new(s.clone(), seed),
                s: s.clone(),
                now: 1_000 * SECOND,
                timers: Vec::new(),
                tasks: BTreeMap::new(),
                machines: (0..count)
                    .map(|n| (host_id(n), endpoint(n, EndpointState::Up)))
                    .collect(),
                closed_since: BTreeMap::new(),
                offers: BTreeMap::new(),
                told_ready: BTreeMap::new(),
                answers: 0,
                digest,
            };
            w.members(UpdateKind::Cached);
            let mut last_id = 0;
            for n in 0..400 {
                w.step(n, &mut last_id);
            }
            // Let everything run out: time alone must bring the last answers.
            for _ in 0..4_000 {
                w.now += w.s.tick;
                w.timers.sort();
                while w.timers.first().is_some_and(|(at, _)| *at <= w.now) {
                    let (_, token) = w.timers.remove(0);
                    w.give(Event::TimerFired(token));
                }
            }
            let open: BTreeSet<_> = w
                .tasks
                .iter()
                .filter(|(_, a)| !a.answered && !a.placed && !a.gone)
                .map(|(k, _)| k)
                .collect();
            assert!(
                open.is_empty(),
                "variant {v} seed {seed}: no answer for {open:?}"
            );
            let owed = w.tasks.values().filter(|a| a.answered || a.placed).count();
            assert_eq!(w.answers, owed, "variant {v} seed {seed}");
            assert!(last_id > 50);
            digest = w.digest;
        }
    }
    assert_eq!(
        digest, DIGEST_OF_ALL_ACTIONS,
        "{digest:#018x}: other actions than before"
    );
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut placer = Placer::new(Settings::example(), 9);
        let mut out = Vec::new();
        placer.handle(0, &complete_list(8), &mut out);
        for n in 0..50 {
            placer.handle(
                n as Micros * MS,
                &Event::TaskRequested(task(n, n as u64 % 7)),
                &mut out,
            );
        }
        out
    };
    assert_eq!(run(), run());
}

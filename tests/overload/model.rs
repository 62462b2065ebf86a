//! A fleet in simulated time: real facades with the real module and engine, machines of the stand-ins, clients
//! and a late list, joined by one queue of events. No socket, no clock, no thread; the same seed gives the
//! same run. What a day of it shows is compared, never asserted to the digit.

use emulator::host_model::{
    EndReason, HostModel, HostSpec, Offer, Resources, StopOutcome, TaskUpdate, Warmth,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;
use task_placer::facade::{Decision, Facade, PlacementEvent, PlacementRequest, Ticket};
use task_placer::overload::Features;
use task_placer::settings::Names;
use task_placer::*;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// One way between any two.
const NET: Micros = 500;
const TICK: Micros = 4 * MS;
/// How long a client waits for an answer, and how long its task is wanted at all.
const LIMIT: Micros = 2 * SECOND;
const WANTED: Micros = 8 * SECOND;
/// The time of the first event: wall clocks are not near 0.
pub const START: Micros = 1_000_000 * SECOND;

/// What is played.
#[derive(Debug, Clone)]
pub struct Day {
    pub placers: usize,
    pub hosts: usize,
    /// Hosts of a cell, and cells of a room.
    pub cell: usize,
    pub room: usize,
    pub features: Features,
    pub seed: u64,
    /// Tasks a second from a time on, as multiples of what the hosts can start.
    pub load: Vec<(Micros, f64)>,
    pub length: Micros,
    /// The part of clients that stay away as told.
    pub honour: f64,
    /// The part of all tasks that go to placer 0.
    pub uneven: f64,
    /// How late the list is.
    pub late: Micros,
    pub faults: Vec<(Micros, Fault)>,
}

/// What goes wrong.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Hosts take offers and say nothing, or do so no more.
    Silent(Vec<usize>, bool),
    /// The links of some placers to some hosts carry nothing, or do so again.
    Cut(Vec<usize>, Vec<usize>, bool),
    /// Hosts die: their tasks end, and nothing answers.
    Die(Vec<usize>),
    /// Cold ones come up in their places, under new ids.
    Rise(Vec<usize>),
    /// Placers are killed; their place is empty.
    Kill(Vec<usize>),
    /// Placers start anew and know nothing.
    Start(Vec<usize>),
    /// Placers take no notice of anything, or do so again.
    Stall(Vec<usize>, bool),
}

impl Day {
    /// Six hosts that start about 200 a second: level, then a crowd of so many times that, then level.
    pub fn crowd(placers: usize, times: f64, features: Features, seed: u64) -> Day {
        Day {
            placers,
            hosts: 6,
            cell: 1,
            room: 2,
            features,
            seed,
            load: vec![(0, 0.2), (3 * SECOND, times), (8 * SECOND, 0.2)],
            length: 18 * SECOND,
            honour: 0.5,
            uneven: 0.0,
            late: SECOND,
            faults: Vec::new(),
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
pub struct Second {
    pub due: u32,
    pub in_aim: u32,
    pub offers: u32,
    pub returns: u32,
    pub refused: u32,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Outcome {
    pub seconds: Vec<Second>,
    pub tasks: u32,
    pub offers: u32,
    /// Offers at hosts that are in trouble, by host and quarter of a second.
    pub trials: BTreeMap<(usize, Micros), u32>,
    /// Set-ups that were not answered in time.
    pub unanswered: u32,
    /// Answers beyond the first.
    pub twice: u32,
    /// By placer, when tasks were let through that a cleverer one would not: its asks, refused, started.
    pub steps: Vec<u8>,
}

impl Outcome {
    /// The part that started in its aim, of what was due between two seconds.
    pub fn in_aim(&self, from: usize, to: usize) -> f64 {
        let of = self
            .seconds
            .get(from..to.min(self.seconds.len()))
            .unwrap_or_default();
        let sum = |f: fn(&Second) -> u32| of.iter().map(f).sum::<u32>();
        f64::from(sum(|s| s.in_aim)) / f64::from(sum(|s| s.due).max(1))
    }

    pub fn whole(&self) -> f64 {
        self.in_aim(0, usize::MAX)
    }

    pub fn offers_a_task(&self) -> f64 {
        f64::from(self.offers) / f64::from(self.tasks.max(1))
    }
}

#[derive(Debug, Clone)]
enum Ev {
    Due,
    Ask(usize),
    Arrives {
        host: usize,
        id: u64,
        placer: usize,
        offer: Offer,
    },
    Stop {
        host: usize,
        id: u64,
        placer: usize,
    },
    Machine(usize),
    Heard {
        placer: usize,
        id: u64,
        host: usize,
        word: TaskUpdate,
    },
    Timeout {
        placer: usize,
        ticket: u64,
        attempt: u32,
    },
    Answer {
        task: usize,
        id: u64,
        away: Option<Micros>,
    },
    GiveUp {
        task: usize,
        id: u64,
    },
    Tick(usize),
    Refresh,
    List(usize, Vec<Endpoint>),
    Fault(usize),
}

struct Request {
    task: usize,
    attempts: u32,
    out: Option<(usize, Micros)>,
    standing: Option<usize>,
}

struct Placer {
    facade: Option<Facade>,
    stalled: Vec<Ev>,
    stopped: bool,
    life: u64,
    next: u64,
    requests: BTreeMap<u64, Request>,
}

struct Task {
    due: Micros,
    key: u64,
    service: u64,
    asked: u32,
    failures: u32,
    honours: bool,
    open: Option<u64>,
    started: bool,
}

struct Host {
    machine: HostModel,
    /// Counts the processes in this place; whether one is there, and when it came.
    life: usize,
    dead: bool,
    born: Micros,
    silent: bool,
    held: Vec<(u64, TaskUpdate)>,
    /// The placer of each offer here.
    of: HashMap<u64, usize>,
    due: Option<Micros>,
}

pub struct Model {
    day: Day,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, Ev>,
    count: u64,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    placers: Vec<Placer>,
    tasks: Vec<Task>,
    cut: std::collections::BTreeSet<(usize, usize)>,
    out: Outcome,
}

fn spec() -> HostSpec {
    HostSpec {
        cores: 200.0,
        memory: 400.0,
        admission_time: 8 * MS,
        max_queued_offers: 16,
        max_concurrent_starts: 2,
        warm_start: 60 * MS,
        cold_start_factor: 1.0,
        max_cached_programs: 8,
        preempts: true,
        slow_start: 17 * SECOND,
        slow_start_floor: 0.22,
        overload_factor: 4.0,
        always_tolerated_offers: 22,
        drain_interval: 500 * MS,
    }
}

/// What one host starts a second.
const STARTS: f64 = 2.0 / 0.060;

pub fn settings(me: usize, placers: usize) -> Settings {
    let base = Settings::example();
    let class = TaskClass {
        latency_objective: SECOND,
        deadline: LIMIT,
        ..base.classes[0].clone()
    };
    Settings {
        placer_index: me,
        placer_count: placers,
        zone: None,
        host_kinds: vec![HostKind {
            cores: 200.0,
            memory: 400.0,
        }],
        classes: vec![TaskClass {
            full_service_utilization: 1.0,
            service_falloff: 0.5,
            ..class
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
        mean_cores: 0.5,
        mean_memory: 0.5,
        ..base
    }
}

fn names() -> Names {
    let one = |name: &str| vec![name.to_string()];
    Names {
        classes: one("pagina"),
        tenants: Vec::new(),
        kinds: one("node"),
        zones: Vec::new(),
    }
}

impl Model {
    /// A process in a place; 1,000 of these at the most.
    fn host_id(&self, n: usize) -> HostId {
        HostId(Arc::from(format!("s{:03}", n + 100 * self.hosts[n].life)))
    }

    pub fn play(day: Day) -> Outcome {
        let mut model = Model::new(day);
        while let Some(Reverse((at, n))) = model.queue.pop() {
            if at > START + model.day.length + 3 * SECOND {
                break;
            }
            model.now = at;
            if let Some(event) = model.events.remove(&n) {
                model.happen(event);
            }
        }
        model.out.steps = model
            .placers
            .iter()
            .map(|p| {
                p.facade
                    .as_ref()
                    .and_then(|f| f.overload())
                    .map_or(0, |o| o.shed_level())
            })
            .collect();
        model.out
    }

    fn new(day: Day) -> Model {
        let mut model = Model {
            now: START,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            count: 0,
            rng: ChaCha8Rng::seed_from_u64(day.seed),
            hosts: Vec::new(),
            placers: Vec::new(),
            tasks: Vec::new(),
            cut: Default::default(),
            out: Outcome {
                seconds: vec![Second::default(); (day.length / SECOND) as usize + 1],
                ..Outcome::default()
            },
            day,
        };
        for _ in 0..model.day.hosts {
            let machine = HostModel::new(spec(), START, Warmth::Warm);
            model.hosts.push(Host {
                machine,
                life: 0,
                dead: false,
                born: 0,
                silent: false,
                held: Vec::new(),
                of: HashMap::new(),
                due: None,
            });
        }
        for n in 0..model.day.placers {
            model.placers.push(Placer {
                facade: None,
                stalled: Vec::new(),
                stopped: false,
                life: 0,
                next: 0,
                requests: BTreeMap::new(),
            });
            model.start(n);
            let late = model.draw(TICK);
            model.at(START + late, Ev::Tick(n));
        }
        model.at(START, Ev::Due);
        model.at(START + 2 * SECOND, Ev::Refresh);
        for (n, (at, _)) in model.day.faults.clone().iter().enumerate() {
            model.at(START + at, Ev::Fault(n));
        }
        model
    }

    fn start(&mut self, n: usize) {
        let seed = self
            .day
            .seed
            .wrapping_mul(0x9e37_79b9)
            .wrapping_add(n as u64 * 1_000 + self.placers[n].life);
        let mut facade = Facade::with_overload_control(
            settings(n, self.day.placers),
            names(),
            seed,
            self.day.features.clone(),
            0,
        );
        facade.report(self.now, PlacementEvent::DiscoveryUp);
        facade.report(self.now, PlacementEvent::EndpointsCached(self.entries()));
        let placer = &mut self.placers[n];
        (placer.facade, placer.stopped) = (Some(facade), false);
        placer.life += 1;
        placer.requests.clear();
    }

    fn entries(&self) -> Vec<Endpoint> {
        let entry = |n: usize| {
            let Resources {
                cores: free_cores,
                memory: free_memory,
            } = self.hosts[n].machine.free();
            let cell = n / self.day.cell.max(1);
            Endpoint {
                host: self.host_id(n),
                zone: ZoneId(cell / self.day.room.max(1)),
                cell: CellId(cell as u64),
                kind: KindId(0),
                state: if self.hosts[n].dead {
                    EndpointState::Removed
                } else {
                    EndpointState::Up
                },
                started_at: self.hosts[n].born,
                free_cores,
                free_memory,
            }
        };
        (0..self.hosts.len()).map(entry).collect()
    }

    fn draw(&mut self, below: Micros) -> Micros {
        (self.rng.next_u64() % below.max(1) as u64) as Micros
    }

    fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn at(&mut self, at: Micros, event: Ev) {
        self.count += 1;
        self.events.insert(self.count, event);
        self.queue.push(Reverse((at, self.count)));
    }

    fn second(&mut self, at: Micros) -> &mut Second {
        let last = self.out.seconds.len() - 1;
        &mut self.out.seconds[((at - START) / SECOND).clamp(0, last as Micros) as usize]
    }

    fn happen(&mut self, event: Ev) {
        match event {
            Ev::Due => self.due(),
            Ev::Ask(task) => self.ask(task),
            Ev::Arrives {
                host,
                id,
                placer,
                offer,
            } => self.arrives(host, id, placer, offer),
            Ev::Stop { host, id, placer } => {
                if !self.cut.contains(&(placer, host))
                    && self.hosts[host].machine.stop(id) == StopOutcome::Running
                {
                    self.hosts[host].of.remove(&id);
                }
            }
            Ev::Machine(host) => {
                self.hosts[host].due = None;
                let said = self.hosts[host].machine.tick(self.now);
                self.say(host, said);
            }
            Ev::Tick(n) => {
                self.at(self.now + TICK, Ev::Tick(n));
                if !self.placers[n].stopped
                    && let Some(facade) = &mut self.placers[n].facade
                {
                    let verdicts = facade.tick(self.now);
                    self.carry_out(n, verdicts);
                }
            }
            Ev::Refresh => {
                self.at(self.now + 2 * SECOND, Ev::Refresh);
                let entries = self.entries();
                for n in 0..self.placers.len() {
                    let late = self.day.late / 2 + self.draw(self.day.late / 2 + 1);
                    self.at(self.now + late, Ev::List(n, entries.clone()));
                }
            }
            Ev::Fault(n) => self.fault(self.day.faults[n].1.clone()),
            Ev::Answer { task, id, away } => self.answer(task, id, away),
            Ev::GiveUp { task, id } => {
                if self.tasks[task].open == Some(id) {
                    self.tasks[task].open = None;
                    // An answer that a dead or stalled placer owes is nobody's fault here.
                    let placer = (id >> 40) as usize;
                    let p = &self.placers[placer];
                    if p.facade.is_some()
                        && !p.stopped
                        && p.requests.contains_key(&(id & 0xff_ffff_ffff))
                    {
                        self.out.unanswered += 1;
                    }
                    self.come_back(task, None);
                }
            }
            Ev::List(n, ..) | Ev::Heard { placer: n, .. } | Ev::Timeout { placer: n, .. } => {
                if self.placers[n].stopped {
                    self.placers[n].stalled.push(event);
                } else {
                    self.deliver(n, event);
                }
            }
        }
    }

    // ---- Clients ----

    fn due(&mut self) {
        let after = self.now - START;
        let times = self
            .day
            .load
            .iter()
            .rev()
            .find(|(from, _)| *from <= after)
            .map_or(0.0, |(_, times)| *times);
        let rate = (times * STARTS * self.day.hosts as f64).max(0.1);
        let gap = (-(1.0 - self.chance()).ln() / rate * 1e6) as Micros;
        if after + gap < self.day.length {
            self.at(self.now + gap, Ev::Due);
        }
        let (service, honours) = (1 + self.draw(200) as u64, self.chance() < self.day.honour);
        let key = self.rng.next_u64();
        self.tasks.push(Task {
            due: self.now,
            key,
            service,
            asked: 0,
            failures: 0,
            honours,
            open: None,
            started: false,
        });
        self.out.tasks += 1;
        self.second(self.now).due += 1;
        self.ask(self.tasks.len() - 1);
    }

    /// Clients find any placer that is not dead; one that is stalled takes no notice.
    fn ask(&mut self, task: usize) {
        let alive: Vec<usize> = (0..self.placers.len())
            .filter(|n| self.placers[*n].facade.is_some())
            .collect();
        if alive.is_empty() {
            return self.come_back(task, None);
        }
        let any = self.draw(alive.len() as Micros) as usize;
        let n = if self.chance() < self.day.uneven {
            alive[0]
        } else {
            alive[any]
        };
        let t = &mut self.tasks[task];
        t.asked += 1;
        let resent = t.asked > 1;
        let ask = PlacementRequest {
            class: "pagina".into(),
            tenant: None,
            service: t.service,
            key: t.key,
            cores: 0.5,
            memory: 0.5,
            time_budget: LIMIT - 15 * MS,
            is_retry: resent,
        };
        let p = &mut self.placers[n];
        p.next += 1;
        let (ticket, now) = (p.next | (p.life << 32), self.now);
        let id = ((n as u64) << 40) | ticket;
        self.tasks[task].open = Some(id);
        if resent {
            self.second(now).returns += 1;
        }
        self.at(now + LIMIT, Ev::GiveUp { task, id });
        if self.placers[n].stopped {
            return;
        }
        let p = &mut self.placers[n];
        p.requests.insert(
            ticket,
            Request {
                task,
                attempts: 0,
                out: None,
                standing: None,
            },
        );
        let Some(facade) = &mut p.facade else { return };
        let verdicts = facade
            .place(now, Ticket(ticket), &ask)
            .expect("it can be meant");
        self.carry_out(n, verdicts);
    }

    fn answer(&mut self, task: usize, id: u64, away: Option<Micros>) {
        let t = &mut self.tasks[task];
        if t.open != Some(id) {
            return;
        }
        t.open = None;
        match away {
            None => {
                t.started = true;
                let (due, now) = (t.due, self.now);
                if now - due <= SECOND {
                    self.second(due).in_aim += 1;
                }
            }
            Some(away) => self.come_back(task, Some(away)),
        }
    }

    fn come_back(&mut self, task: usize, away: Option<Micros>) {
        let t = &mut self.tasks[task];
        t.failures += 1;
        let most = ((1_500 * MS) << t.failures.min(3)).min(8 * SECOND);
        let (due, told) = (t.due, away.filter(|_| t.honours).unwrap_or(0));
        let wait = self.draw(most).max(told);
        if self.now + wait < due + WANTED {
            self.at(self.now + wait, Ev::Ask(task));
        }
    }

    // ---- Placers ----

    fn carry_out(&mut self, n: usize, verdicts: Vec<Decision>) {
        let mut queue = std::collections::VecDeque::from(verdicts);
        while let Some(verdict) = queue.pop_front() {
            let now = self.now;
            let news = match verdict {
                Decision::SendAttempt {
                    ticket,
                    host,
                    timeout,
                } => {
                    let number = host.0[1..].parse::<usize>().expect("a number");
                    let (at, life) = (number % 100, number / 100);
                    let Some(r) = self.placers[n].requests.get_mut(&ticket.0) else {
                        continue;
                    };
                    let attempt = r.attempts;
                    r.attempts += 1;
                    assert!(r.out.is_none(), "two attempts at once");
                    r.out = Some((at, now));
                    if self.hosts[at].dead || self.hosts[at].life != life {
                        // Nobody listens there.
                        r.out = None;
                        self.out.offers += 1;
                        let host = host.clone();
                        let (outcome, detail) = (Outcome_::ConnectFailed, OutcomeDetail::Unknown);
                        let news = PlacementEvent::AttemptEnded {
                            ticket,
                            attempt,
                            host,
                            outcome,
                            detail,
                            elapsed: 0,
                        };
                        if let Some(facade) = &mut self.placers[n].facade {
                            queue.extend(facade.report(now, news));
                        }
                        continue;
                    }
                    let (id, task) = (((n as u64) << 40) | ticket.0, r.task);
                    let offer = Offer {
                        id,
                        service: self.tasks[task].service,
                        cores: 0.5,
                        memory: 0.5,
                        priority: 0,
                        run_time: 8 * SECOND,
                        time_left: timeout,
                    };
                    self.out.offers += 1;
                    self.second(now).offers += 1;
                    self.at(
                        now + NET,
                        Ev::Arrives {
                            host: at,
                            id,
                            placer: n,
                            offer,
                        },
                    );
                    self.at(
                        now + timeout,
                        Ev::Timeout {
                            placer: n,
                            ticket: ticket.0,
                            attempt,
                        },
                    );
                    None
                }
                Decision::Reject {
                    ticket,
                    retry_after,
                } => self.final_word(n, ticket, Some(retry_after)),
                Decision::Fail { ticket } => self.final_word(n, ticket, Some(0)),
                Decision::CancelAttempt { ticket, .. } => {
                    self.give_up(n, ticket.0, Outcome_::Cancelled)
                }
                Decision::Migrate { .. } | Decision::Log(_) => None,
            };
            if let (Some(news), Some(facade)) = (news, &mut self.placers[n].facade) {
                queue.extend(facade.report(now, news));
            }
        }
    }

    fn give_up(&mut self, n: usize, ticket: u64, outcome: Outcome_) -> Option<PlacementEvent> {
        let r = self.placers[n].requests.get_mut(&ticket)?;
        let (host, since) = r.out.take()?;
        let attempt = r.attempts - 1;
        self.at(
            self.now + NET,
            Ev::Stop {
                host,
                id: ((n as u64) << 40) | ticket,
                placer: n,
            },
        );
        Some(PlacementEvent::AttemptEnded {
            ticket: Ticket(ticket),
            attempt,
            host: self.host_id(host),
            outcome,
            detail: OutcomeDetail::Unknown,
            elapsed: self.now - since,
        })
    }

    fn final_word(
        &mut self,
        n: usize,
        ticket: Ticket,
        away: Option<Micros>,
    ) -> Option<PlacementEvent> {
        let news = self.give_up(n, ticket.0, Outcome_::Cancelled);
        let Some(r) = self.placers[n].requests.remove(&ticket.0) else {
            self.out.twice += 1;
            return news;
        };
        self.second(self.now).refused += 1;
        self.at(
            self.now + NET,
            Ev::Answer {
                task: r.task,
                id: ((n as u64) << 40) | ticket.0,
                away,
            },
        );
        news
    }

    fn deliver(&mut self, n: usize, event: Ev) {
        let now = self.now;
        let news = match event {
            Ev::List(_, entries) => Some(PlacementEvent::EndpointsChanged {
                is_complete: false,
                endpoints: entries,
            }),
            Ev::Timeout {
                ticket, attempt, ..
            } => {
                let here = self.placers[n].requests.get(&ticket);
                if here.is_some_and(|r| r.out.is_some() && r.attempts == attempt + 1) {
                    self.give_up(n, ticket, Outcome_::Timeout)
                } else {
                    None
                }
            }
            Ev::Heard { id, host, word, .. } => self.heard(n, id, host, word),
            _ => None,
        };
        if let (Some(news), Some(facade)) = (news, &mut self.placers[n].facade) {
            let verdicts = facade.report(now, news);
            self.carry_out(n, verdicts);
        }
    }

    fn heard(
        &mut self,
        n: usize,
        id: u64,
        host: usize,
        word: TaskUpdate,
    ) -> Option<PlacementEvent> {
        let ticket = id & 0xff_ffff_ffff;
        let (now, place) = (self.now, self.host_id(host));
        let r = self.placers[n].requests.get_mut(&ticket)?;
        let attempt = r.attempts.saturating_sub(1);
        let ended = |outcome, detail, elapsed| PlacementEvent::AttemptEnded {
            ticket: Ticket(ticket),
            attempt,
            host: place.clone(),
            outcome,
            detail,
            elapsed,
        };
        match (word, r.out, r.standing) {
            (TaskUpdate::Running, Some((at, since)), None) if at == host => {
                (r.out, r.standing) = (None, Some(host));
                let task = r.task;
                self.at(
                    now + NET,
                    Ev::Answer {
                        task,
                        id,
                        away: None,
                    },
                );
                Some(PlacementEvent::AttemptStarted {
                    ticket: Ticket(ticket),
                    attempt,
                    host: place,
                    elapsed: now - since,
                })
            }
            (TaskUpdate::Ended(reason), Some((at, since)), None) if at == host => {
                r.out = None;
                let detail = match reason.note() {
                    "nc" => OutcomeDetail::NoCores,
                    "nm" => OutcomeDetail::NoMemory,
                    "nq" => OutcomeDetail::QueueFull,
                    "nh" => OutcomeDetail::NotEligible,
                    _ => OutcomeDetail::Unknown,
                };
                let outcome = if reason.cause() == 34 {
                    Outcome_::Rejected
                } else {
                    Outcome_::Reset
                };
                Some(ended(outcome, detail, now - since))
            }
            (TaskUpdate::Ended(_), None, Some(at)) if at == host => {
                let news = ended(Outcome_::Completed, OutcomeDetail::Unknown, 0);
                self.placers[n].requests.remove(&ticket);
                Some(news)
            }
            _ => None,
        }
    }

    // ---- Hosts ----

    fn arrives(&mut self, host: usize, id: u64, placer: usize, offer: Offer) {
        let quarter = (self.now - START) / (250 * MS);
        let cut = self.cut.contains(&(placer, host));
        if self.hosts[host].silent || cut {
            *self.out.trials.entry((host, quarter)).or_default() += 1;
        }
        if cut {
            return;
        }
        self.hosts[host].of.insert(id, placer);
        self.hosts[host].machine.offer(self.now, offer);
        let said = self.hosts[host].machine.tick(self.now);
        self.say(host, said);
    }

    fn say(&mut self, host: usize, said: Vec<(u64, TaskUpdate)>) {
        if self.hosts[host].silent {
            self.hosts[host].held.extend(said);
        } else {
            for (id, word) in said {
                let Some(placer) = self.hosts[host].of.get(&id).copied() else {
                    continue;
                };
                if matches!(word, TaskUpdate::Ended(_)) {
                    self.hosts[host].of.remove(&id);
                }
                if !self.cut.contains(&(placer, host)) {
                    self.at(
                        self.now + NET,
                        Ev::Heard {
                            placer,
                            id,
                            host,
                            word,
                        },
                    );
                }
            }
        }
        if let Some(next) = self.hosts[host].machine.next_due()
            && self.hosts[host].due.is_none_or(|due| next < due)
        {
            self.hosts[host].due = Some(next);
            self.at(next.max(self.now), Ev::Machine(host));
        }
    }

    /// Changes of state are told at once, late by a drawn time.
    fn list_soon(&mut self) {
        let entries = self.entries();
        for n in 0..self.placers.len() {
            let late = self.day.late / 2 + self.draw(self.day.late / 2 + 1);
            self.at(self.now + late, Ev::List(n, entries.clone()));
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Silent(hosts, silent) => {
                for host in hosts {
                    self.hosts[host].silent = silent;
                    let held = std::mem::take(&mut self.hosts[host].held);
                    self.say(host, held);
                }
            }
            Fault::Cut(placers, hosts, cut) => {
                for pair in placers
                    .iter()
                    .flat_map(|p| hosts.iter().map(move |h| (*p, *h)))
                {
                    if cut {
                        self.cut.insert(pair);
                    } else {
                        self.cut.remove(&pair);
                    }
                }
            }
            Fault::Kill(placers) => {
                for n in placers {
                    self.placers[n].facade = None;
                    // Offers that are out end with their connection; what runs runs on.
                    let out: Vec<(u64, usize)> = self.placers[n]
                        .requests
                        .iter()
                        .filter_map(|(ticket, r)| Some((*ticket, r.out?.0)))
                        .collect();
                    for (ticket, host) in out {
                        self.at(
                            self.now + NET,
                            Ev::Stop {
                                host,
                                id: ((n as u64) << 40) | ticket,
                                placer: n,
                            },
                        );
                    }
                    self.placers[n].requests.clear();
                }
            }
            Fault::Die(hosts) => {
                for host in hosts {
                    let here = &mut self.hosts[host];
                    (here.dead, here.machine) =
                        (true, HostModel::new(spec(), self.now, Warmth::Warm));
                    // What ran or was out there ends with the connections.
                    let of: Vec<(u64, usize)> = here.of.drain().collect();
                    for (id, placer) in of {
                        let word = TaskUpdate::Ended(EndReason::HostLost);
                        self.at(
                            self.now + NET,
                            Ev::Heard {
                                placer,
                                id,
                                host,
                                word,
                            },
                        );
                    }
                }
                self.list_soon();
            }
            Fault::Rise(hosts) => {
                for host in hosts {
                    let here = &mut self.hosts[host];
                    (here.dead, here.life, here.born) = (false, here.life + 1, self.now);
                    here.machine = HostModel::new(spec(), self.now, Warmth::Cold);
                }
                self.list_soon();
            }
            Fault::Start(placers) => placers.into_iter().for_each(|n| self.start(n)),
            Fault::Stall(placers, stopped) => {
                for n in placers {
                    self.placers[n].stopped = stopped;
                    for event in std::mem::take(&mut self.placers[n].stalled) {
                        self.deliver(n, event);
                    }
                }
            }
        }
    }
}

use task_placer::Outcome as Outcome_;

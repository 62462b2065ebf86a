//! What a fleet of placers sheds, repeats, calls and tries as one, without a word between them.
//!
//! [`Overload`] is a state machine without I/O: what the placer is asked, sends and hears goes in with the
//! time, and bounds come out, which the facade hands to the decision module. The module still says which
//! host, whether to retry and what is turned away; the bounds say how far it may go. Each part can be left
//! out, and what is left out bounds nothing.
//!
//! | part | bounds | by |
//! | --- | --- | --- |
//! | [`line`] | own offers out at one host | the delay of own starts |
//! | [`gate`] | which tasks are let through | late starts, and one order of tasks alike at all placers |
//! | [`attempts`] | attempts beyond a task's first | fresh first ones |
//! | [`returns`] | when refused clients come back | the gate's step, spread by a hash |
//! | [`turns`] | who calls and tries a host in doubt | ranks of placers, and the clock |
//!
//! See `docs/design/overload.md`.

pub mod attempts;
pub mod gate;
pub mod line;
pub mod returns;
pub mod turns;

use crate::{
    CellId, Endpoint, EndpointState, HostId, Limit, Micros, Outcome, OutcomeDetail, RequestId,
    Task, TenantId, ZoneId,
};
use attempts::{Budget, Domain};
use gate::{Asked, Gate, Turn};
use line::Line;
use std::collections::{BTreeMap, BTreeSet};
use turns::Turns;

/// How often the gate is looked at, in shortest aims: as often as the module ticks.
const LOOKS: Micros = 4;
/// So many cells of a room that are in doubt at once put the whole room in doubt.
const CELLS_OF_ROOM: usize = 2;
/// The part of a cell's hosts in doubt from which on the cell counts.
const PART_OF_CELL: f64 = 0.5;
/// Clients told to stay away that are remembered; beyond them the oldest are forgotten.
pub const MOST_AWAY: usize = 8_192;

/// The parts that are on, and what they go by.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Parts {
    /// Lines at hosts.
    pub line: Option<line::Settings>,
    /// Shedding.
    pub gate: Option<gate::Settings>,
    /// Budgets of attempts.
    pub attempts: Option<attempts::Settings>,
    /// Times to come back.
    pub returns: bool,
    /// Turns at hosts in doubt.
    pub turns: Option<turns::Settings>,
}

impl Parts {
    /// Every part, with its defaults.
    pub fn all() -> Parts {
        Parts {
            line: Some(line::Settings::default()),
            gate: Some(gate::Settings::default()),
            attempts: Some(attempts::Settings::default()),
            returns: true,
            turns: Some(turns::Settings::default()),
        }
    }

    /// Whether any is on.
    pub fn any(&self) -> bool {
        *self != Parts::default()
    }
}

/// A class, as far as it matters here.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Class {
    aim: Micros,
    priority: u8,
}

/// What has happened.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// News of the list; `whole` where it names every host.
    Listed {
        /// Whether it is the whole list.
        whole: bool,
        /// Its entries.
        entries: &'a [Endpoint],
    },
    /// An own offer went out.
    Offered {
        /// The ask.
        id: &'a RequestId,
        /// The host.
        host: &'a HostId,
    },
    /// An own offer has started its task.
    Started {
        /// The ask.
        id: &'a RequestId,
    },
    /// An own offer is over without a start.
    Ended {
        /// The ask.
        id: &'a RequestId,
        /// How.
        outcome: Outcome,
        /// Why.
        detail: OutcomeDetail,
    },
    /// The task is out of this placer's hands: refused, failed, or given up by its client.
    Over {
        /// The ask.
        id: &'a RequestId,
        /// Whether this placer gave it up.
        given_up: bool,
    },
    /// Time has passed.
    Tick,
}

/// What a task that is asked for gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Admission {
    /// Its place in the order of shedding: let through where it is less than the bound's part.
    pub order: f64,
    /// How long its client should stay away if it is refused; 0: the module says.
    pub away: Micros,
}

/// A task in this placer's hands.
#[derive(Debug, Clone)]
struct InHand {
    since: Micros,
    aim: Micros,
    name: u64,
    fresh: bool,
    /// How long its client is told to stay away if it is refused.
    away: Micros,
    attempts: u32,
    out: Option<(HostId, Micros)>,
}

/// One host.
#[derive(Debug, Clone)]
struct Host {
    hash: u64,
    cell: CellId,
    room: ZoneId,
    born: Micros,
    up: bool,
    line: Line,
    /// In doubt: whether own turn is on and its offer not yet out.
    trial: bool,
    /// Trials in a row that failed.
    failed: u32,
    /// The bound that was told.
    told: Option<Option<u32>>,
    due: Option<Micros>,
    /// What was added of it to the sums over all hosts.
    counted: (f64, u32),
}

/// What was decided, counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Tasks asked for: fresh ones, and those marked by their clients as repeats.
    pub fresh: u64,
    /// Repeats.
    pub repeats: u64,
    /// Shed at once.
    pub shed: u64,
    /// Of those, asked again before the time that their client was told.
    pub early: u64,
    /// Let through and given up: too late to start in time, or out of attempts.
    pub given_up: u64,
    /// First attempts, and further ones.
    pub first: u64,
    /// Further attempts.
    pub again: u64,
    /// Further attempts that the budget of this placer did not allow.
    pub again_placer: u64,
    /// The same, of a host, a cell or a room.
    pub again_domain: u64,
    /// Offers to hosts in doubt, on own turns.
    pub trials: u64,
    /// Hosts that came into doubt.
    pub doubts: u64,
    /// Rooms that did.
    pub rooms: u64,
    /// Rises and falls of the step.
    pub rises: u64,
    /// Falls.
    pub falls: u64,
    /// The highest step.
    pub highest: u64,
}

impl Counters {
    /// Each counter with its name, as logs and orders tell it.
    pub fn named(&self) -> [(&'static str, u64); 15] {
        [
            ("fresh", self.fresh),
            ("repeats", self.repeats),
            ("shed", self.shed),
            ("early", self.early),
            ("given-up", self.given_up),
            ("first", self.first),
            ("again", self.again),
            ("again-placer", self.again_placer),
            ("again-domain", self.again_domain),
            ("trials", self.trials),
            ("doubts", self.doubts),
            ("rooms", self.rooms),
            ("rises", self.rises),
            ("falls", self.falls),
            ("highest", self.highest),
        ]
    }
}

/// How one host stands.
#[derive(Debug, Clone, PartialEq)]
pub struct HostReport {
    /// Which.
    pub host: HostId,
    /// The window.
    pub window: f64,
    /// Own offers out.
    pub out: u32,
    /// The mean delay of own starts.
    pub delay: Micros,
    /// Whether it is in doubt.
    pub doubt: bool,
    /// When own turn begins next, from now, where it is in doubt.
    pub turn: Option<Micros>,
}

/// How all stands.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The step, and the part that is let through.
    pub step: u8,
    /// The part that is let through.
    pub through: f64,
    /// Further attempts that are left; none where they are not bounded.
    pub left: Option<f64>,
    /// Clients told to stay away, whose time is not over.
    pub away: usize,
    /// The counters.
    pub counters: Counters,
    /// The hosts that are up.
    pub hosts: Vec<HostReport>,
}

/// The engine.
#[derive(Debug, Clone)]
pub struct Overload {
    parts: Parts,
    classes: Vec<Class>,
    /// New tasks a second of each tenant within its share, over all placers.
    quotas: Vec<f64>,
    /// Own asks of each tenant, lately.
    tenants: Vec<crate::health::window::Window>,
    placers: usize,
    aim: Micros,
    most_away: Micros,
    /// The wall clock at the time 0 of the events.
    wall: Micros,
    gate: Option<Gate>,
    budget: Option<Budget>,
    turns: Option<Turns>,
    hosts: BTreeMap<HostId, Host>,
    due: BTreeSet<(Micros, HostId)>,
    /// All windows together, and all own offers that are out.
    windows: f64,
    out: u32,
    told_total: Option<u32>,
    /// No offer more could go out.
    full: bool,
    in_hand: BTreeMap<RequestId, InHand>,
    /// Clients told to stay away, by the hash of their task's name; and in the order of their times.
    away: BTreeMap<u64, Micros>,
    away_until: BTreeSet<(Micros, u64)>,
    look_at: Micros,
    counters: Counters,
    offers: u64,
}

impl Overload {
    /// An engine for a placer with these settings. `wall` is the wall clock, in microseconds, at the time 0 of
    /// the events; `seed` makes this placer's pace its own.
    pub fn new(parts: Parts, settings: &crate::Settings, wall: Micros, seed: u64) -> Overload {
        let classes: Vec<Class> = settings
            .classes
            .iter()
            .map(|class| Class {
                aim: class.latency_objective.max(1),
                priority: class.priority,
            })
            .collect();
        let aim = classes
            .iter()
            .map(|class| class.aim)
            .min()
            .unwrap_or(1_000_000);
        let tenant = || crate::health::window::Window::new(4 * aim);
        Overload {
            quotas: settings
                .tenants
                .iter()
                .map(|tenant| tenant.quota_tasks_per_second)
                .collect(),
            tenants: settings.tenants.iter().map(|_| tenant()).collect(),
            placers: settings.placer_count.max(1),
            most_away: if settings.allows_retry_after {
                settings.max_retry_after
            } else {
                0
            },
            gate: parts.gate.clone().map(|settings| Gate::new(settings, aim)),
            budget: parts
                .attempts
                .clone()
                .map(|parts| Budget::new(parts, settings.placer_count)),
            turns: parts
                .turns
                .clone()
                .map(|turns| Turns::new(turns, settings.placer_index, settings.placer_count)),
            parts,
            classes,
            aim,
            wall,
            hosts: BTreeMap::new(),
            due: BTreeSet::new(),
            windows: 0.0,
            out: 0,
            told_total: None,
            full: false,
            in_hand: BTreeMap::new(),
            away: BTreeMap::new(),
            away_until: BTreeSet::new(),
            look_at: 0,
            counters: Counters::default(),
            offers: seed,
        }
    }

    /// A task is asked for. Answers what it gets; bounds may change with it.
    pub fn ask(&mut self, now: Micros, task: &Task) -> Admission {
        let (class, tenant, name, repeat) =
            (task.class, task.tenant, task.key.0, task.is_returning);
        let wall = self.wall + now;
        let of = self.classes.get(class.0).copied().unwrap_or(Class {
            aim: self.aim,
            priority: 0,
        });
        let within = self.within(now, tenant);
        if repeat {
            self.counters.repeats += 1;
        } else {
            self.counters.fresh += 1;
        }
        let early = repeat && self.early(now, name);
        let (mut order, mut step, mut through) = (0.0, 0, true);
        if let Some(gate) = &mut self.gate {
            let turn = match (repeat, early) {
                (false, _) => Turn::Fresh,
                (true, false) => Turn::Again,
                (true, true) => Turn::Early,
            };
            order = gate.asked(
                now,
                wall,
                Asked {
                    priority: of.priority,
                    within,
                    turn,
                    name,
                },
            );
            step = gate.step();
            through = step == 0 || order < gate.through();
        }
        if early {
            self.counters.early += 1;
        }
        let epoch = wall.div_euclid(
            self.parts
                .gate
                .as_ref()
                .map_or(8_000_000, |g| g.epoch.max(1)),
        ) as u64;
        let away = if self.parts.returns {
            returns::away(step, name, epoch, self.aim, self.most_away)
        } else {
            0
        };
        if through {
            let asked = task.id.clone();
            let task = InHand {
                since: now,
                aim: of.aim,
                name,
                fresh: !repeat,
                away,
                attempts: 0,
                out: None,
            };
            self.in_hand.insert(asked, task);
        } else {
            self.counters.shed += 1;
            self.stay_away(now, name, away);
        }
        Admission { order, away }
    }

    /// Takes what has happened, and adds the bounds that are others now.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Limit>) {
        match event {
            Event::Listed { whole, entries } => self.listed(now, whole, entries, out),
            Event::Offered { id, host } => self.offered(now, id, host, out),
            Event::Started { id } => self.started(now, id, out),
            Event::Ended {
                id,
                outcome,
                detail,
            } => self.ended(now, id, outcome, detail, out),
            Event::Over { id, given_up } => self.over(now, id, given_up, out),
            Event::Tick => self.tick(now, out),
        }
        self.tell_total(out);
    }

    /// All own offers together are no more than all windows, and one at the least. Guards against a crowd
    /// that finds every placer with a part of a window free at every host: each would send one there at once.
    fn tell_total(&mut self, out: &mut Vec<Limit>) {
        if self.parts.line.is_none() {
            return;
        }
        let most = (self.windows.ceil() as u32).max(1);
        let full = self.out >= most;
        if self.told_total != Some(most) || self.full && !full {
            self.told_total = Some(most);
            out.push(Limit::TotalConcurrency {
                max_in_flight: most,
                has_capacity_again: self.full && !full,
            });
        }
        self.full = full;
    }

    /// What a call to a host that did not answer has to wait for, beyond its own pause: this placer's turn.
    pub fn call_in(&self, now: Micros, host: &HostId) -> Option<Micros> {
        let (turns, host) = (self.turns.as_ref()?, self.hosts.get(host)?);
        let (on, next) = turns.turn_after(host.hash, self.wall + now, host.failed);
        (!on).then_some(next - self.wall - now)
    }

    /// How all stands.
    pub fn report(&self, now: Micros) -> Report {
        let hosts = self
            .hosts
            .iter()
            .filter(|(_, host)| host.up)
            .map(|(id, host)| {
                let doubt = self.turns.is_some() && host.line.in_doubt();
                let turn = self.turns.as_ref().filter(|_| doubt).map(|turns| {
                    let (on, next) = turns.turn_after(host.hash, self.wall + now, host.failed);
                    if on { 0 } else { next - self.wall - now }
                });
                HostReport {
                    host: id.clone(),
                    window: host.line.window(),
                    out: host.line.out(),
                    delay: host.line.delay(),
                    doubt,
                    turn,
                }
            });
        Report {
            step: self.gate.as_ref().map_or(0, Gate::step),
            through: self.gate.as_ref().map_or(1.0, Gate::through),
            left: self.budget.as_ref().map(Budget::left),
            away: self.away.values().filter(|until| **until > now).count(),
            counters: self.counters,
            hosts: hosts.collect(),
        }
    }

    /// The counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The step of the gate.
    pub fn step(&self) -> u8 {
        self.gate.as_ref().map_or(0, Gate::step)
    }

    // ---- Clients ----

    /// The part of what a tenant asks here that is within its share, as far as this placer sees: its own
    /// asks, as many times as there are placers.
    fn within(&mut self, now: Micros, tenant: Option<TenantId>) -> f64 {
        let Some(TenantId(tenant)) = tenant else {
            return 1.0;
        };
        let (Some(window), Some(quota)) = (self.tenants.get_mut(tenant), self.quotas.get(tenant))
        else {
            return 1.0;
        };
        window.add(now, 1.0, 0.0);
        let asked = window.sums(now).0 * 1e6 / window.length() as f64 * self.placers as f64;
        if *quota > 0.0 && asked > *quota {
            quota / asked
        } else {
            1.0
        }
    }

    /// Whether a client was told to stay away longer.
    fn early(&self, now: Micros, name: u64) -> bool {
        self.away.get(&name).is_some_and(|until| now < *until)
    }

    fn stay_away(&mut self, now: Micros, name: u64, away: Micros) {
        if away <= 0 {
            return;
        }
        while let Some((until, old)) = self.away_until.first().copied() {
            if until > now && self.away.len() < MOST_AWAY {
                break;
            }
            self.away_until.remove(&(until, old));
            self.away.remove(&old);
        }
        // A little less: its client's clock and the way here are not ours.
        let until = now + away - away / 16;
        if let Some(before) = self.away.insert(name, until) {
            self.away_until.remove(&(before, name));
        }
        self.away_until.insert((until, name));
    }

    // ---- Hosts ----

    fn listed(&mut self, now: Micros, whole: bool, entries: &[Endpoint], out: &mut Vec<Limit>) {
        if whole {
            let named: BTreeSet<&HostId> = entries.iter().map(|entry| &entry.host).collect();
            let gone: Vec<HostId> = self
                .hosts
                .keys()
                .filter(|host| !named.contains(host))
                .cloned()
                .collect();
            gone.iter().for_each(|host| self.forget(host));
        }
        let lines = self.parts.line.clone().unwrap_or_default();
        for entry in entries {
            if entry.state == EndpointState::Removed {
                self.forget(&entry.host);
                continue;
            }
            let host = self
                .hosts
                .entry(entry.host.clone())
                .or_insert_with(|| Host {
                    hash: hash_of(&entry.host),
                    cell: entry.cell,
                    room: entry.zone,
                    born: entry.started_at,
                    up: true,
                    line: Line::new(&lines, self.placers, self.aim),
                    trial: false,
                    failed: 0,
                    told: None,
                    due: None,
                    counted: (0.0, 0),
                });
            if host.born != entry.started_at {
                // Another process: nothing of the one before holds.
                host.line = Line::new(&lines, self.placers, self.aim);
            }
            (host.cell, host.room, host.born) = (entry.cell, entry.zone, entry.started_at);
            host.up = entry.state == EndpointState::Up;
            self.refresh(now, &entry.host, out);
        }
    }

    fn forget(&mut self, id: &HostId) {
        let Some(gone) = self.hosts.remove(id) else {
            return;
        };
        self.windows -= gone.counted.0;
        self.out = self.out.saturating_sub(gone.counted.1);
        if let Some(due) = gone.due {
            self.due.remove(&(due, id.clone()));
        }
    }

    /// Tells the bound of a host anew, if it is another, and when to look at it again.
    fn refresh(&mut self, now: Micros, id: &HostId, out: &mut Vec<Limit>) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let counted = (
            if host.up && !host.line.in_doubt() {
                host.line.window()
            } else {
                0.0
            },
            host.line.out(),
        );
        self.windows += counted.0 - host.counted.0;
        self.out = (self.out + counted.1).saturating_sub(host.counted.1);
        host.counted = counted;
        let turns = self.turns.as_ref().filter(|_| host.line.in_doubt());
        let (most, trial, due) = match turns {
            Some(turns) => {
                let (on, next) = turns.turn_after(host.hash, self.wall + now, host.failed);
                let begins = !host.trial && on && host.line.out() == 0;
                host.trial = on;
                let most = if on {
                    Some(host.told.flatten().unwrap_or(0))
                } else {
                    Some(0)
                };
                let most = if begins { Some(1) } else { most };
                // The end of a turn that is on comes before the next begins.
                let ends = self.parts.turns.as_ref().map_or(0, |turns| turns.step);
                (
                    most,
                    begins,
                    Some(if on { now + ends } else { next - self.wall }),
                )
            }
            None if self.parts.line.is_some() => {
                (Some(host.line.most(now)), false, host.line.due(now))
            }
            None => (None, false, None),
        };
        if host.due != due {
            if let Some(before) = host.due {
                self.due.remove(&(before, id.clone()));
            }
            if let Some(due) = due {
                self.due.insert((due, id.clone()));
            }
            host.due = due;
        }
        if host.told != Some(most) && (most.is_some() || host.told.is_some()) {
            host.told = Some(most);
            out.push(Limit::HostConcurrency {
                host: id.clone(),
                max_in_flight: most,
                health_check: trial,
            });
        }
    }

    fn domains(&self, id: &HostId) -> Vec<Domain> {
        let Some(host) = self.hosts.get(id) else {
            return vec![Domain::Host(id.clone())];
        };
        vec![
            Domain::Host(id.clone()),
            Domain::Cell(host.cell),
            Domain::Room(host.room),
        ]
    }

    // ---- Tasks ----

    fn offered(&mut self, now: Micros, ticket: &RequestId, host: &HostId, out: &mut Vec<Limit>) {
        self.offers = self.offers.wrapping_add(1);
        let spread = gate::unit(self.offers, 0x7061_6365);
        let domains = self.domains(host);
        if let Some(task) = self.in_hand.get_mut(ticket) {
            task.out = Some((host.clone(), now));
            task.attempts += 1;
            if task.attempts > 1 {
                self.counters.again += 1;
            } else {
                self.counters.first += 1;
                let pressed = self.gate.as_ref().is_some_and(|gate| gate.step() > 0);
                if task.fresh
                    && let Some(budget) = &mut self.budget
                {
                    budget.first(now, pressed, &domains);
                }
            }
        }
        if let Some(at) = self.hosts.get_mut(host) {
            if self.turns.is_some() && at.line.in_doubt() {
                self.counters.trials += 1;
                at.told = Some(Some(0));
                out.push(Limit::HostConcurrency {
                    host: host.clone(),
                    max_in_flight: Some(0),
                    health_check: false,
                });
            }
            at.line.offered(now, spread);
        }
        self.refresh(now, host, out);
    }

    fn started(&mut self, now: Micros, ticket: &RequestId, out: &mut Vec<Limit>) {
        let Some(task) = self.in_hand.remove(ticket) else {
            return;
        };
        let Some((host, sent)) = task.out else { return };
        if let Some(gate) = &mut self.gate {
            gate.started(now, task.since, (now - task.since) as f64 / task.aim as f64);
        }
        let lines = self.parts.line.clone().unwrap_or_default();
        if let Some(at) = self.hosts.get_mut(&host) {
            at.line.started(&lines, now, now - sent, task.aim);
            (at.trial, at.failed) = (false, 0);
        }
        self.refresh(now, &host, out);
    }

    fn ended(
        &mut self,
        now: Micros,
        ticket: &RequestId,
        outcome: Outcome,
        detail: OutcomeDetail,
        out: &mut Vec<Limit>,
    ) {
        let Some(task) = self.in_hand.get_mut(ticket) else {
            return;
        };
        let Some((host, sent)) = task.out.take() else {
            return;
        };
        let domains = self.domains(&host);
        let was = self.hosts.get(&host).is_some_and(|at| at.line.in_doubt());
        if let Some(at) = self.hosts.get_mut(&host) {
            match (outcome, detail) {
                (Outcome::Rejected, OutcomeDetail::QueueFull) => at.line.crowded(now, sent),
                (Outcome::Timeout, _) => at.line.lost(now, sent, true),
                (Outcome::ConnectFailed, _) => at.line.lost(now, sent, false),
                // What its client gave up, and what never left, tell nothing of the host.
                (Outcome::Cancelled | Outcome::NotSent, _) => at.line.ended(false),
                (Outcome::Reset, OutcomeDetail::Unknown) => at.line.lost(now, sent, false),
                _ => at.line.ended(true),
            }
            if was && at.line.in_doubt() {
                at.failed = at.failed.saturating_add(1);
            }
            if at.line.in_doubt() && !was {
                self.counters.doubts += 1;
                self.doubt_room(now, &host, out);
            }
        }
        // What was not sent was no attempt.
        let charged = !matches!(
            outcome,
            Outcome::NotSent | Outcome::Cancelled | Outcome::Completed
        );
        if charged && let Some(budget) = &mut self.budget {
            match budget.again(now, &domains) {
                Ok(()) => {}
                Err(whose) => {
                    if whose == "placer" {
                        self.counters.again_placer += 1;
                    } else {
                        self.counters.again_domain += 1;
                    }
                    out.push(Limit::NoRetry(ticket.clone()));
                }
            }
        }
        self.refresh(now, &host, out);
    }

    /// Where hosts of two cells of a room are in doubt together, it is the room: the others there get no more
    /// than trials either, before each of them has swallowed offers of every placer.
    fn doubt_room(&mut self, now: Micros, host: &HostId, out: &mut Vec<Limit>) {
        if self.turns.is_none() {
            return;
        }
        let Some(room) = self.hosts.get(host).map(|at| at.room) else {
            return;
        };
        let mut cells: BTreeMap<CellId, (usize, usize)> = BTreeMap::new();
        for at in self.hosts.values().filter(|at| at.up && at.room == room) {
            let cell = cells.entry(at.cell).or_default();
            cell.0 += usize::from(at.line.in_doubt());
            cell.1 += 1;
        }
        let silent = cells
            .values()
            .filter(|(silent, all)| *silent as f64 >= PART_OF_CELL * *all as f64);
        let silent = silent.count();
        if silent < CELLS_OF_ROOM || silent >= cells.len() {
            return;
        }
        self.counters.rooms += 1;
        let others: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|(_, at)| at.up && at.room == room && !at.line.in_doubt())
            .map(|(id, _)| id.clone())
            .collect();
        for other in others {
            if let Some(at) = self.hosts.get_mut(&other) {
                at.line.doubt();
            }
            self.refresh(now, &other, out);
        }
    }

    fn over(&mut self, now: Micros, ticket: &RequestId, given_up: bool, out: &mut Vec<Limit>) {
        let Some(task) = self.in_hand.remove(ticket) else {
            return;
        };
        if given_up {
            self.counters.given_up += 1;
            if let Some(gate) = &mut self.gate {
                gate.missed(task.since);
            }
            self.stay_away(now, task.name, task.away);
        }
        if let Some((host, _)) = task.out {
            if let Some(at) = self.hosts.get_mut(&host) {
                at.line.ended(false);
            }
            self.refresh(now, &host, out);
        }
    }

    // ---- Time ----

    fn tick(&mut self, now: Micros, out: &mut Vec<Limit>) {
        while let Some((due, host)) = self.due.first().cloned().filter(|(due, _)| *due <= now) {
            self.due.remove(&(due, host.clone()));
            if let Some(at) = self.hosts.get_mut(&host) {
                at.due = None;
            }
            self.refresh(now, &host, out);
            // What is due at once again waits for the next tick.
            if self.due.contains(&(due, host.clone())) {
                break;
            }
        }
        if now < self.look_at {
            return;
        }
        self.look_at = now + (self.aim / LOOKS).max(1);
        let Some(gate) = &mut self.gate else { return };
        let before = gate.step();
        let changed = gate.changed();
        let held = self
            .in_hand
            .values()
            .filter(|task| task.out.is_none() && task.since >= changed);
        let (held, oldest) = held.fold((0, 0), |(n, oldest), task| {
            (n + 1, Micros::max(oldest, now - task.since))
        });
        if gate.look(now, held, oldest) {
            let (step, through) = (gate.step(), gate.through());
            let hopeless = self.parts.gate.as_ref().map_or(1.0, |gate| gate.hopeless);
            if step > before {
                self.counters.rises += 1;
            } else {
                self.counters.falls += 1;
            }
            self.counters.highest = self.counters.highest.max(u64::from(step));
            out.push(Limit::Admission {
                admit_below: through,
                give_up_after: (step > 0).then_some(hopeless),
            });
        }
    }
}

fn hash_of(host: &HostId) -> u64 {
    crate::state::hash::hash_host(host)
}

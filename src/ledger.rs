//! Bookkeeping of the module: what was heard and sent. Holds no decision and no tuned value.

use crate::placement::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Position of a machine in [`Fleet`], for the life of the placer.
pub(crate) type Place = usize;

/// What is known of one machine: its list entry, its load as last heard, and own offers to it.
#[derive(Debug, Clone)]
pub(crate) struct Machine {
    pub host: HostId,
    /// Hash of the id, alike at every placer.
    pub hash: u64,
    pub zone: ZoneId,
    pub cell: CellId,
    pub kind: KindId,
    pub state: EndpointState,
    pub ready_at: Micros,
    /// Time of which the newest view tells; none while unheard.
    pub seen: Option<Micros>,
    /// Cores and memory asked for: the newest view and own changes since.
    asked: [f64; 2],
    log: VecDeque<(Micros, [f64; 2])>,
    pub offers: VecDeque<Micros>,
    /// Own offers without an answer yet.
    pub pending: u32,
    /// When it last started an own task.
    pub started_at: Option<Micros>,
    /// Own offers that may be unanswered at once, beyond the starting figure.
    pub grown: f64,
    /// The same as a bound from outside, which goes before it.
    pub most: Option<u32>,
    pub probed_at: Micros,
}

impl Machine {
    pub fn asked(&self) -> [f64; 2] {
        self.asked.map(|v| v.max(0.0))
    }

    /// Takes a view unless a newer one is held.
    pub fn see(&mut self, asked: [f64; 2], as_of: Micros) {
        if self.seen.is_some_and(|t| t > as_of) {
            return;
        }
        self.seen = Some(as_of);
        self.log.retain(|(t, _)| *t > as_of);
        self.asked = asked;
        for (_, d) in &self.log {
            self.asked[0] += d[0];
            self.asked[1] += d[1];
        }
    }

    /// Notes that own tasks ask for so much more or less; older notes than `since` are forgotten.
    pub fn bind(&mut self, now: Micros, change: [f64; 2], since: Micros) {
        while self.log.front().is_some_and(|(t, _)| *t < since) {
            self.log.pop_front();
        }
        self.log.push_back((now, change));
        self.asked[0] += change[0];
        self.asked[1] += change[1];
    }

    /// Whether another own offer may be out here: as bounded from outside, else by so many.
    pub fn open(&self, own: f64) -> bool {
        self.most
            .map_or(f64::from(self.pending) < own, |most| self.pending < most)
    }

    pub fn offered(&mut self, now: Micros, since: Micros) {
        while self.offers.front().is_some_and(|t| *t < since) {
            self.offers.pop_front();
        }
        self.offers.push_back(now);
        self.pending += 1;
    }

    /// Forgets the load: the process is a new one.
    pub fn renew(&mut self) {
        (self.seen, self.asked) = (None, [0.0; 2]);
        self.log.clear();
    }
}

/// All machines ever listed, with their ids turned into places.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub machines: Vec<Machine>,
    /// Own offers that are out, and the most that may be, as bounded from outside.
    pub out: u32,
    pub most_out: Option<u32>,
    pub gate: Gate,
    /// Processes that act as this placer, less this one, and the number of this one.
    pub beside: u32,
    pub process: u32,
    /// Machines of which something was learned since the working set was chosen last.
    pub touched: BTreeSet<Place>,
    places: BTreeMap<HostId, Place>,
}

impl Fleet {
    pub fn place(&self, host: &HostId) -> Option<Place> {
        self.places.get(host).copied()
    }

    /// A machine whose load changes: the working set looks at it again.
    pub fn touch(&mut self, at: Place) -> &mut Machine {
        self.touched.insert(at);
        &mut self.machines[at]
    }

    /// The machine of a list entry, brought up to date; true with it where its process is a new one.
    pub fn update(&mut self, e: &Endpoint) -> (&mut Machine, Place, bool) {
        let next = self.machines.len();
        let at = *self.places.entry(e.host.clone()).or_insert(next);
        if at == next {
            self.machines.push(Machine {
                host: e.host.clone(),
                hash: hash_of(&e.host),
                zone: e.zone,
                cell: e.cell,
                kind: e.kind,
                state: e.state,
                ready_at: e.started_at,
                seen: None,
                asked: [0.0; 2],
                log: VecDeque::new(),
                offers: VecDeque::new(),
                pending: 0,
                started_at: None,
                grown: 0.0,
                most: None,
                probed_at: 0,
            });
        }
        let m = self.touch(at);
        let renewed = m.ready_at != e.started_at;
        if renewed {
            m.renew();
        }
        (m.zone, m.cell, m.kind, m.state, m.ready_at) =
            (e.zone, e.cell, e.kind, e.state, e.started_at);
        (m, at, renewed)
    }

    /// Takes a bound from outside; true where it leaves more room than the one before.
    pub fn bounded(&mut self, bound: &Limit) -> bool {
        match bound {
            Limit::HostConcurrency {
                host,
                max_in_flight: most,
                ..
            } => {
                let Some(m) = self.place(host).and_then(|at| self.machines.get_mut(at)) else {
                    return false;
                };
                let before = std::mem::replace(&mut m.most, *most);
                before.is_some_and(|before| most.is_none_or(|most| most > before))
            }
            Limit::TotalConcurrency {
                max_in_flight: most,
                has_capacity_again: freed,
            } => {
                let before = self.most_out.replace(*most);
                *freed || before.is_some_and(|before| *most > before)
            }
            Limit::Admission {
                admit_below: through,
                give_up_after: late,
            } => {
                let before = std::mem::replace(
                    &mut self.gate,
                    Gate {
                        through: *through,
                        late: *late,
                    },
                );
                *through > before.through
            }
            Limit::Processes {
                process_count: of,
                process_index: me,
            } => {
                (self.beside, self.process) = (of.saturating_sub(1), *me);
                true
            }
            Limit::NoRetry(_) => false,
        }
    }

    /// Whether another own offer may be out at all.
    pub fn open(&self) -> bool {
        self.most_out.is_none_or(|most| self.out < most)
    }

    /// A full list: what it does not name is gone.
    pub fn keep_only(&mut self, entries: &[Endpoint]) {
        let named: BTreeSet<Place> = entries.iter().filter_map(|e| self.place(&e.host)).collect();
        for (at, m) in self.machines.iter_mut().enumerate() {
            if !named.contains(&at) && m.state != EndpointState::Removed {
                m.state = EndpointState::Removed;
                self.touched.insert(at);
            }
        }
    }
}

pub(crate) fn hash_of(host: &HostId) -> u64 {
    host.0.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Mixes two hashes into one whose bits are all of use.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut h = (a ^ b.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    h = (h ^ (h >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 32)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}

/// One task in this placer's hands.
#[derive(Debug, Clone, Default)]
pub(crate) struct Job {
    pub task: Task,
    pub since: Micros,
    pub deadline: Micros,
    pub sent: u32,
    /// The attempt that has no outcome yet, and its machine.
    pub out: Option<(u32, Option<Place>)>,
    pub placed: bool,
    /// A final answer has been given, or the client is gone.
    pub closed: bool,
    /// Machine and send time of the first attempt that may have run.
    pub may_have_run: Option<(Option<Place>, Micros)>,
    pub sent_at: Micros,
    pub tried: Vec<Place>,
    /// Machines that answered an error.
    pub errors: Vec<Place>,
    /// The latest attempt ended for want of room.
    pub short: bool,
    /// It may not be attempted again.
    pub last: bool,
    /// Cores and memory in use as last told.
    pub used: [f64; 2],
}

impl Job {
    pub fn new(task: &Task, since: Micros, deadline: Micros) -> Job {
        Job {
            task: task.clone(),
            since,
            deadline,
            ..Job::default()
        }
    }

    pub fn asks(&self) -> [f64; 2] {
        [self.task.cores, self.task.memory]
    }
}

/// All tasks in hand, which of them wait for an offer, and how many of a service stand where.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    pub all: BTreeMap<RequestId, Job>,
    /// Asks not offered now, the one due first in front.
    pub waiting: BTreeSet<(Micros, RequestId)>,
    pub held: BTreeMap<(ServiceId, Place), usize>,
    /// What own placed tasks whose use is told ask for and use.
    pub use_asked: [f64; 2],
    pub use_used: [f64; 2],
}

impl Jobs {
    pub fn hold(&mut self, service: ServiceId, at: Place) {
        *self.held.entry((service, at)).or_default() += 1;
    }

    pub fn unhold(&mut self, service: ServiceId, at: Place) {
        if let Some(n) = self.held.get_mut(&(service, at)) {
            *n -= 1;
            if *n == 0 {
                self.held.remove(&(service, at));
            }
        }
    }

    /// Where own tasks of a service stand or are on offer, and how many.
    pub fn of_service(&self, service: ServiceId) -> impl Iterator<Item = (Place, usize)> + '_ {
        self.held
            .range((service, 0)..=(service, Place::MAX))
            .map(|((_, at), n)| (*at, *n))
    }

    pub fn told_use(&mut self, id: &RequestId, dim: usize, value: f64) {
        let Some(job) = self.all.get_mut(id) else {
            return;
        };
        let value = value.max(f64::MIN_POSITIVE);
        if job.used[dim] == 0.0 {
            self.use_asked[dim] += job.asks()[dim];
        }
        self.use_used[dim] += value - job.used[dim];
        job.used[dim] = value;
    }

    pub fn remove(&mut self, id: &RequestId) {
        let Some(job) = self.all.remove(id) else {
            return;
        };
        self.waiting.remove(&(job.deadline, id.clone()));
        for dim in 0..2 {
            if job.used[dim] > 0.0 {
                self.use_asked[dim] -= job.asks()[dim];
                self.use_used[dim] -= job.used[dim];
            }
        }
    }
}

impl Jobs {
    /// A task that runs at `at` already.
    pub fn open(&mut self, task: &Task, at: Option<Place>, now: Micros) {
        if let Some(stood) = self
            .all
            .get(&task.id)
            .and_then(|old| old.out)
            .and_then(|(_, at)| at)
        {
            self.unhold(task.service, stood);
        }
        self.remove(&task.id);
        at.into_iter().for_each(|at| self.hold(task.service, at));
        let job = Job {
            sent: 1,
            out: Some((0, at)),
            placed: true,
            ..Job::new(task, now, now)
        };
        self.all.insert(task.id.clone(), job);
    }

    /// The client wants no answer any more; an attempt that is out still gets its outcome.
    pub fn close(&mut self, id: &RequestId) {
        match self.all.get_mut(id) {
            Some(job) if job.out.is_some() => job.closed = true,
            Some(_) => self.remove(id),
            None => {}
        }
    }
}

/// What a failure speaks of: the machine, one class there, or what one tenant sends of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Scope {
    Machine,
    Class(ClassId),
    Part(ClassId, Option<TenantId>),
}

/// Failures of one scope at one machine.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    pub strikes: u32,
    pub until: Micros,
    /// Suspended until a probe sent after `until` is answered.
    pub on_trial: bool,
}

/// Failures of all machines, by scope.
#[derive(Debug, Default)]
pub(crate) struct HealthBook {
    machines: BTreeMap<Place, BTreeMap<Scope, Health>>,
    /// Machines whose failures were looked at to be changed since [`HealthBook::changed`] was asked last.
    changed: BTreeSet<Place>,
    /// When suspensions of whole machines end.
    ends: BTreeSet<(Micros, Place)>,
}

impl HealthBook {
    pub fn of(&self, at: Place, scope: Scope) -> Option<&Health> {
        self.machines.get(&at)?.get(&scope)
    }

    pub fn at(&self, at: Place) -> impl Iterator<Item = (&Scope, &Health)> {
        self.machines.get(&at).into_iter().flatten()
    }

    pub fn entry(&mut self, at: Place, scope: Scope) -> &mut Health {
        self.changed.insert(at);
        self.machines
            .entry(at)
            .or_default()
            .entry(scope)
            .or_default()
    }

    /// A machine was struck: the end of its suspension as a whole, if there is one, is noted.
    pub fn suspended(&mut self, at: Place) {
        if let Some(until) = self.of(at, Scope::Machine).map(|h| h.until) {
            self.ends.insert((until, at));
        }
    }

    /// Machines whose suspension may have begun or ended since this was asked last.
    pub fn changed(&mut self, now: Micros) -> BTreeSet<Place> {
        let mut changed = std::mem::take(&mut self.changed);
        while let Some(&(until, at)) = self.ends.first() {
            if until > now {
                break;
            }
            self.ends.pop_first();
            changed.insert(at);
        }
        changed
    }

    /// Halves the strikes of a scope.
    pub fn ease(&mut self, at: Place, scope: Scope) {
        if let Some(h) = self
            .machines
            .get_mut(&at)
            .and_then(|scopes| scopes.get_mut(&scope))
        {
            h.strikes /= 2;
        }
    }

    /// An answered probe: the machine is there. It says nothing of a class or tenant.
    pub fn answered(&mut self, at: Place) {
        if let Some(h) = self
            .machines
            .get_mut(&at)
            .and_then(|scopes| scopes.get_mut(&Scope::Machine))
        {
            h.on_trial = false;
            self.changed.insert(at);
        }
    }

    pub fn forget(&mut self, at: Place) {
        self.machines.remove(&at);
        self.changed.insert(at);
    }

    /// Machines on trial whose suspension is over.
    pub fn trials(&self, now: Micros) -> Vec<Place> {
        let due = |scopes: &BTreeMap<Scope, Health>| {
            scopes.values().any(|h| h.on_trial && now >= h.until)
        };
        self.machines
            .iter()
            .filter(|(_, scopes)| due(scopes))
            .map(|(at, _)| *at)
            .collect()
    }
}

/// What is let through, as bounded from outside.
#[derive(Debug)]
pub(crate) struct Gate {
    pub through: f64,
    pub late: Option<f64>,
}

impl Default for Gate {
    fn default() -> Gate {
        Gate {
            through: f64::INFINITY,
            late: None,
        }
    }
}

/// The subscription to the list.
#[derive(Debug, Default)]
pub(crate) struct Discovery {
    pub watching: bool,
    pub asked_at: Option<Micros>,
    pub fails: u32,
}

/// What a timer is for.
#[derive(Debug, Clone)]
pub(crate) enum Alarm {
    Tick,
    Deadline(RequestId),
}

/// Timers asked for, and when each is due.
#[derive(Debug, Default)]
pub(crate) struct Alarms {
    set: BTreeMap<TimerToken, (Micros, Alarm)>,
    next: u64,
}

impl Alarms {
    pub fn add(&mut self, now: Micros, after: Micros, alarm: Alarm, out: &mut Vec<Action>) {
        let token = TimerToken(self.next);
        self.next += 1;
        self.set.insert(token, (now + after, alarm));
        out.push(Action::SetTimer { token, after });
    }

    pub fn take(&mut self, token: TimerToken) -> Option<(Micros, Alarm)> {
        self.set.remove(&token)
    }
}

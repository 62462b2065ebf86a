//! A host as the platform describes it: a pure engine. Offers, the time and faults go in; words come out.
//!
//! It looks at one offer at a time and lets only so many wait; accepts while what its tasks ask stays
//! within its cores and memory, and says yes only when the task runs; starts only a few at a time, and a
//! start takes much longer where the program is not there; pushes lower priorities out where it may;
//! sends its tasks away bit by bit while it drains; comes up cold, and falls over where it is sent more
//! than it can start then.

use std::collections::{BTreeMap, VecDeque};

/// Microseconds.
pub type Micros = i64;

const SECOND: Micros = 1_000_000;

/// What a machine is.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    /// Its cores.
    pub cores: f64,
    /// Its memory.
    pub memory: f64,
    /// Time to look at one offer.
    pub look: Micros,
    /// Offers that may wait for that.
    pub queue: usize,
    /// Starts at a time.
    pub starts: usize,
    /// Time of a start where the program is there.
    pub start: Micros,
    /// How many times longer where it is not.
    pub cold_start: f64,
    /// Programs kept after their last task.
    pub kept: usize,
    /// Whether lower priorities are pushed out.
    pub preempts: bool,
    /// How long it is cold after it came up.
    pub cold: Micros,
    /// Its pace then.
    pub cold_from: f64,
    /// Sent more than this many times what it can start, it falls over while it is cold.
    pub overload: f64,
    /// Offers within a second that it always bears.
    pub bears: usize,
    /// Between two tasks that it sends away while it drains.
    pub drain_pace: Micros,
}

/// An offer.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    /// Its id.
    pub id: u64,
    /// The service of the task.
    pub service: u64,
    /// What it asks for.
    pub cores: f64,
    /// See `cores`.
    pub memory: f64,
    /// 0 to 3.
    pub priority: u8,
    /// How long the task is wanted.
    pub life: Micros,
    /// How long the placer waits.
    pub left: Micros,
}

/// What a machine says; the numbers of causes and the notes are the protocol's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word {
    /// It runs.
    Up,
    /// Refused before it ran, or over after it did.
    Down(u8, &'static str),
}

/// Faults that are a machine's own; those of its connections are the shell's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It refuses every offer.
    Refuse,
    /// All that it does takes ten times as long.
    Slow,
}

#[derive(Debug, Clone, PartialEq)]
struct Held {
    offer: Offer,
    /// When it is over: its look, its start or its life.
    until: Micros,
}

/// One machine.
#[derive(Debug, Clone)]
pub struct Machine {
    spec: Spec,
    came: Micros,
    /// Cold from its start on; machines that were there before the run are warm.
    cold: bool,
    waiting: VecDeque<Held>,
    looking: Option<Held>,
    accepted: VecDeque<Offer>,
    starting: Vec<Held>,
    running: BTreeMap<u64, Held>,
    /// Programs without a task, the one used last at the end.
    kept: VecDeque<u64>,
    drains: Option<Micros>,
    fault: Option<Fault>,
    /// Offers of the last second, with the work of their starts.
    lately: VecDeque<(Micros, f64)>,
    fallen: bool,
}

/// A given-up offer, and whether it had an end to write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// It never ran.
    Before,
    /// It ran.
    Running,
    /// It is not here.
    Unknown,
}

impl Machine {
    /// A machine that comes up now, cold or as one that has been there.
    pub fn new(spec: Spec, now: Micros, cold: bool) -> Machine {
        Machine {
            spec,
            came: now,
            cold,
            waiting: VecDeque::new(),
            looking: None,
            accepted: VecDeque::new(),
            starting: Vec::new(),
            running: BTreeMap::new(),
            kept: VecDeque::new(),
            drains: None,
            fault: None,
            lately: VecDeque::new(),
            fallen: false,
        }
    }

    /// Sets or ends a fault.
    pub fn set_fault(&mut self, fault: Option<Fault>) {
        self.fault = fault;
    }

    /// Begins or ends a drain.
    pub fn drain(&mut self, now: Micros, drains: bool) {
        self.drains = drains.then_some(now + self.spec.drain_pace);
    }

    /// Whether it was pushed over.
    pub fn fallen(&self) -> bool {
        self.fallen
    }

    /// Cores and memory that nobody has asked for.
    pub fn free(&self) -> [f64; 2] {
        let held = self.held();
        let sum = |of: fn(&Offer) -> f64| held.clone().map(of).sum::<f64>();
        [
            self.spec.cores - sum(|o| o.cores),
            self.spec.memory - sum(|o| o.memory),
        ]
    }

    /// Ids of tasks that run.
    pub fn running(&self) -> impl Iterator<Item = u64> + '_ {
        self.running.keys().copied()
    }

    /// The part of its cores that is asked for.
    pub fn load(&self) -> f64 {
        1.0 - self.free()[0] / self.spec.cores
    }

    fn held(&self) -> impl Iterator<Item = &Offer> + Clone {
        let starting = self.starting.iter().map(|held| &held.offer);
        self.accepted
            .iter()
            .chain(starting)
            .chain(self.running.values().map(|held| &held.offer))
    }

    /// The part of its pace that it has.
    fn pace(&self, now: Micros) -> f64 {
        let slow = if self.fault == Some(Fault::Slow) {
            0.1
        } else {
            1.0
        };
        if !self.cold {
            return slow;
        }
        let part = (now - self.came) as f64 / self.spec.cold.max(1) as f64;
        slow * (self.spec.cold_from + (1.0 - self.spec.cold_from) * part.clamp(0.0, 1.0))
    }

    /// Takes an offer that has arrived whole; what is said of it comes with the next tick. True where it has
    /// pushed the machine over.
    pub fn offer(&mut self, now: Micros, offer: Offer) -> bool {
        if self.cold && now - self.came < self.spec.cold {
            let work = self.spec.start as f64 / SECOND as f64;
            self.lately.push_back((now, work));
            while self.lately.front().is_some_and(|(at, _)| now - at > SECOND) {
                self.lately.pop_front();
            }
            let sent: f64 = self.lately.iter().map(|(_, work)| work).sum();
            let able = self.spec.starts as f64 * self.pace(now);
            if self.lately.len() > self.spec.bears && sent > self.spec.overload * able {
                self.fallen = true;
                return true;
            }
        }
        self.waiting.push_back(Held { offer, until: now });
        false
    }

    /// A word of a placer: an offer is given up, or a task is to be stopped.
    pub fn stop(&mut self, id: u64) -> Cut {
        let here = |held: &Held| held.offer.id == id;
        if let Some(at) = self.waiting.iter().position(here) {
            self.waiting.remove(at);
            return Cut::Before;
        }
        if self.looking.as_ref().is_some_and(here) {
            self.looking = None;
            return Cut::Before;
        }
        if let Some(at) = self.accepted.iter().position(|offer| offer.id == id) {
            self.accepted.remove(at);
            return Cut::Before;
        }
        if let Some(at) = self.starting.iter().position(here) {
            self.starting.remove(at);
            return Cut::Before;
        }
        match self.running.remove(&id) {
            Some(held) => {
                self.keep(held.offer.service);
                Cut::Running
            }
            None => Cut::Unknown,
        }
    }

    /// Sends away the lowest priorities, the youngest first, as a machine short of memory does.
    pub fn evict(&mut self, count: usize) -> Vec<(u64, Word)> {
        let mut order: Vec<(u8, u64)> = self
            .running
            .iter()
            .map(|(id, held)| (held.offer.priority, *id))
            .collect();
        order.sort_by_key(|(priority, id)| (*priority, std::cmp::Reverse(*id)));
        let gone: Vec<u64> = order.into_iter().take(count).map(|(_, id)| id).collect();
        gone.into_iter()
            .filter(|id| self.stop(*id) == Cut::Running)
            .map(|id| (id, Word::Down(41, "ev")))
            .collect()
    }

    /// When something is due next.
    pub fn next(&self) -> Option<Micros> {
        let looking = self.looking.iter().map(|held| held.until);
        let starting = self.starting.iter().map(|held| held.until);
        let running = self.running.values().map(|held| held.until);
        let drains = self.drains.filter(|_| !self.running.is_empty());
        let waiting = self
            .waiting
            .front()
            .filter(|_| self.looking.is_none())
            .map(|held| held.until);
        looking
            .chain(starting)
            .chain(running)
            .chain(drains)
            .chain(waiting)
            .min()
    }

    /// Lets what is due by now happen, and answers what is said of it.
    pub fn tick(&mut self, now: Micros) -> Vec<(u64, Word)> {
        let mut said = Vec::new();
        self.tick_into(now, &mut said);
        said
    }

    fn tick_into(&mut self, now: Micros, said: &mut Vec<(u64, Word)>) {
        loop {
            let mut moved = false;
            // Looks: one at a time, in turn.
            if self.looking.as_ref().is_some_and(|held| held.until <= now)
                && let Some(held) = self.looking.take()
            {
                self.decide(now, held, said);
                moved = true;
            }
            while self.waiting.len() > self.spec.queue
                && let Some(late) = self.waiting.pop_back()
            {
                said.push((late.offer.id, Word::Down(34, "nq")));
                moved = true;
            }
            if self.looking.is_none()
                && let Some(mut held) = self.waiting.pop_front()
            {
                held.until = now + (self.spec.look as f64 / self.pace(now).max(0.01)) as Micros;
                self.looking = Some(held);
                moved = true;
            }
            // Starts.
            while self.starting.len() < self.spec.starts
                && let Some(offer) = self.accepted.pop_front()
            {
                let there = self.kept.contains(&offer.service)
                    || self
                        .running
                        .values()
                        .any(|held| held.offer.service == offer.service);
                let longer = if there { 1.0 } else { self.spec.cold_start };
                let time = self.spec.start as f64 * longer / self.pace(now).max(0.01);
                self.kept.retain(|service| *service != offer.service);
                self.starting.push(Held {
                    offer,
                    until: now + time as Micros,
                });
                moved = true;
            }
            if let Some(at) = self.starting.iter().position(|held| held.until <= now) {
                let held = self.starting.remove(at);
                said.push((held.offer.id, Word::Up));
                let until = now + held.offer.life;
                self.running.insert(held.offer.id, Held { until, ..held });
                moved = true;
            }
            // Ends.
            let over = self
                .running
                .iter()
                .find(|(_, held)| held.until <= now)
                .map(|(id, _)| *id);
            if let Some(id) = over {
                self.stop(id);
                said.push((id, Word::Down(16, "")));
                moved = true;
            }
            if self.drains.is_some_and(|at| at <= now)
                && let Some(id) = self.running.keys().next().copied()
            {
                self.stop(id);
                said.push((id, Word::Down(41, "dr")));
                self.drains = Some(now + self.spec.drain_pace);
                moved = true;
            }
            if !moved {
                return;
            }
        }
    }

    fn decide(&mut self, now: Micros, held: Held, said: &mut Vec<(u64, Word)>) {
        let offer = held.offer;
        if self.drains.is_some() {
            return said.push((offer.id, Word::Down(34, "nh")));
        }
        if self.fault == Some(Fault::Refuse) {
            return said.push((offer.id, Word::Down(34, "nc")));
        }
        // Nobody waits for it any more.
        if now - held.until > offer.left {
            return said.push((offer.id, Word::Down(34, "nh")));
        }
        let short = |free: [f64; 2]| {
            if free[0] < offer.cores {
                Some("nc")
            } else if free[1] < offer.memory {
                Some("nm")
            } else {
                None
            }
        };
        let Some(why) = short(self.free()) else {
            return self.accepted.push_back(offer);
        };
        if self.spec.preempts {
            // As few as make room, the lowest first; none where all of them together do not.
            let mut lower: Vec<(u8, u64)> = self
                .running
                .iter()
                .filter(|(_, held)| held.offer.priority < offer.priority)
                .map(|(id, held)| (held.offer.priority, *id))
                .collect();
            lower.sort_unstable();
            let (mut free, mut out) = (self.free(), Vec::new());
            for (_, id) in lower {
                if short(free).is_none() {
                    break;
                }
                if let Some(held) = self.running.get(&id) {
                    free = [free[0] + held.offer.cores, free[1] + held.offer.memory];
                    out.push(id);
                }
            }
            if short(free).is_none() {
                for id in out {
                    self.stop(id);
                    said.push((id, Word::Down(41, "pre")));
                }
                return self.accepted.push_back(offer);
            }
        }
        said.push((offer.id, Word::Down(34, why)));
    }

    /// Its last task is gone: the program is kept, as long as there is room for programs.
    fn keep(&mut self, service: u64) {
        if self
            .running
            .values()
            .any(|held| held.offer.service == service)
        {
            return;
        }
        self.kept.retain(|kept| *kept != service);
        self.kept.push_back(service);
        while self.kept.len() > self.spec.kept {
            self.kept.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1_000;

    fn spec() -> Spec {
        Spec {
            cores: 4.0,
            memory: 8.0,
            look: 10 * MS,
            queue: 2,
            starts: 2,
            start: 40 * MS,
            cold_start: 8.0,
            kept: 1,
            preempts: true,
            cold: 10 * SECOND,
            cold_from: 0.25,
            overload: 4.0,
            bears: 3,
            drain_pace: 500 * MS,
        }
    }

    fn offer(id: u64) -> Offer {
        Offer {
            id,
            service: 1,
            cores: 1.0,
            memory: 2.0,
            priority: 0,
            life: 5 * SECOND,
            left: 6 * SECOND,
        }
    }

    /// Ticks whenever something is due, and answers what was said when.
    fn run(machine: &mut Machine, until: Micros) -> Vec<(Micros, u64, Word)> {
        let mut said = Vec::new();
        while let Some(now) = machine.next().filter(|at| *at <= until) {
            said.extend(
                machine
                    .tick(now)
                    .into_iter()
                    .map(|(id, word)| (now / MS, id, word)),
            );
        }
        said
    }

    #[test]
    fn offers_are_looked_at_one_at_a_time_and_only_so_many_wait() {
        let mut machine = Machine::new(spec(), 0, false);
        for id in 1..=5 {
            machine.offer(0, offer(id));
            let said = machine.tick(0);
            assert_eq!(said.is_empty(), id <= 3, "one is looked at and two wait");
        }
        let said = run(&mut machine, SECOND);
        // The first start of a program takes eight times as long; two start at a time.
        assert_eq!(
            said,
            [(330, 1, Word::Up), (340, 2, Word::Up), (370, 3, Word::Up)]
        );
    }

    #[test]
    fn it_accepts_within_cores_and_memory_and_says_what_is_short() {
        let mut machine = Machine::new(
            Spec {
                preempts: false,
                ..spec()
            },
            0,
            false,
        );
        let offers = [
            Offer {
                memory: 1.0,
                cores: 3.0,
                ..offer(1)
            },
            Offer {
                cores: 2.0,
                ..offer(2)
            },
            Offer {
                memory: 8.0,
                ..offer(3)
            },
            Offer {
                memory: 7.0,
                ..offer(4)
            },
        ];
        for (n, offer) in offers.into_iter().enumerate() {
            let now = n as Micros * 100 * MS;
            machine.offer(now, offer);
            machine.tick(now);
            run(&mut machine, now + 99 * MS);
        }
        let said = run(&mut machine, SECOND);
        assert!(
            said.iter()
                .any(|(_, id, word)| (*id, *word) == (4, Word::Up)),
            "{said:?}"
        );
        assert!(machine.free()[0] < 1e-9);
        let mut machine = Machine::new(
            Spec {
                preempts: false,
                ..spec()
            },
            0,
            false,
        );
        machine.offer(
            0,
            Offer {
                cores: 5.0,
                ..offer(1)
            },
        );
        machine.offer(
            0,
            Offer {
                memory: 9.0,
                ..offer(2)
            },
        );
        machine.tick(0);
        assert_eq!(
            run(&mut machine, SECOND),
            [(10, 1, Word::Down(34, "nc")), (20, 2, Word::Down(34, "nm"))]
        );
    }

    #[test]
    fn lower_priorities_are_pushed_out_only_where_that_makes_room() {
        let full = || {
            let mut machine = Machine::new(spec(), 0, false);
            for (n, priority) in [(1, 1), (2, 0), (3, 2), (4, 0)] {
                machine.offer(
                    0,
                    Offer {
                        priority,
                        life: 100 * SECOND,
                        ..offer(n)
                    },
                );
                machine.tick(0);
                run(&mut machine, 20 * MS * n as Micros);
            }
            run(&mut machine, SECOND);
            machine
        };
        let mut machine = full();
        machine.offer(
            SECOND,
            Offer {
                priority: 1,
                cores: 2.0,
                ..offer(9)
            },
        );
        machine.tick(SECOND);
        let said = run(&mut machine, 2 * SECOND);
        let out: Vec<u64> = said
            .iter()
            .filter(|(_, _, w)| *w == Word::Down(41, "pre"))
            .map(|(_, id, _)| *id)
            .collect();
        assert_eq!(out, [2, 4]);
        assert!(
            said.iter()
                .any(|(_, id, word)| (*id, *word) == (9, Word::Up))
        );
        let mut machine = full();
        machine.offer(
            SECOND,
            Offer {
                priority: 1,
                cores: 3.0,
                ..offer(9)
            },
        );
        machine.tick(SECOND);
        let said = run(&mut machine, 2 * SECOND);
        assert_eq!(
            said,
            [(1_010, 9, Word::Down(34, "nc"))],
            "nobody is pushed out in vain"
        );
    }

    #[test]
    fn a_draining_machine_sends_its_tasks_away_bit_by_bit() {
        let mut machine = Machine::new(spec(), 0, false);
        for id in 1..=3 {
            machine.offer(
                0,
                Offer {
                    life: 100 * SECOND,
                    ..offer(id)
                },
            );
            machine.tick(0);
        }
        run(&mut machine, SECOND);
        machine.drain(SECOND, true);
        machine.offer(SECOND, offer(9));
        machine.tick(SECOND);
        let said = run(&mut machine, 10 * SECOND);
        let expected = [
            (1_010, 9, "nh"),
            (1_500, 1, "dr"),
            (2_000, 2, "dr"),
            (2_500, 3, "dr"),
        ];
        let found: Vec<(Micros, u64, &str)> = said
            .iter()
            .map(|(at, id, w)| {
                (
                    *at,
                    *id,
                    if let Word::Down(_, note) = w {
                        *note
                    } else {
                        ""
                    },
                )
            })
            .collect();
        assert_eq!(found, expected);
    }

    #[test]
    fn a_cold_machine_is_slow_and_falls_over_where_it_is_sent_too_much() {
        let mut machine = Machine::new(spec(), 0, true);
        machine.offer(0, offer(1));
        machine.tick(0);
        let said = run(&mut machine, 5 * SECOND);
        // 10 ms to look and 320 ms to start, at a quarter of its pace and a little more.
        assert!(said[0].0 > 1_200 && said[0].0 < 1_330, "{said:?}");
        // It bears 3 in a second whatever they are, and 4 times what it can start beyond that.
        let mut machine = Machine::new(
            Spec {
                start: 500 * MS,
                ..spec()
            },
            0,
            true,
        );
        assert!(!(0..4).any(|id| machine.offer(0, offer(id))));
        assert!(machine.offer(0, offer(9)) && machine.fallen());
        let mut warm = Machine::new(
            Spec {
                start: 500 * MS,
                ..spec()
            },
            0,
            false,
        );
        assert!(!(0..100).any(|id| warm.offer(0, offer(id))));
    }

    #[test]
    fn what_is_given_up_or_stopped_is_gone_and_eviction_takes_the_lowest() {
        let mut machine = Machine::new(spec(), 0, false);
        for id in 1..=3 {
            machine.offer(
                0,
                Offer {
                    priority: id as u8,
                    life: 100 * SECOND,
                    ..offer(id)
                },
            );
            machine.tick(0);
        }
        assert_eq!(
            (machine.stop(1), machine.stop(3), machine.stop(7)),
            (Cut::Before, Cut::Before, Cut::Unknown)
        );
        machine.tick(0);
        run(&mut machine, SECOND);
        assert_eq!(machine.running().collect::<Vec<_>>(), [2]);
        assert_eq!(machine.evict(5), [(2, Word::Down(41, "ev"))]);
        assert_eq!(machine.free(), [4.0, 8.0]);
    }
}

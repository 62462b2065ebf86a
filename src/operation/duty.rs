//! Whether this process takes requests, and which connections of owners it gives up.
//!
//! ```text
//!              drain-on                  the front has heard the no, and
//!                                        what it may still send has come
//!  ┌─────────┐           ┌──────────┐                        ┌──────────┐
//!  │ serving ├──────────▶│ refusing ├───────────────────────▶│ emptying │
//!  └─▲──┬────┘           └────┬─┬───┘                        └───┬─┬────┘
//!    │  │      drain-off      │ │                                │ │
//!    ◀──│─────────────────────┴─│────────────────────────────────┘ │
//!       │ SIGTERM, and another process accepts                     │
//!       │                 ┌─────▼───┐                              │
//!       └────────────────▶│ leaving │◀─────────────────────────────┘
//!                         └─────────┘
//! ```
//!
//! *refusing*: every test fails; connections are kept, since for as long as the front may not have heard,
//! owners whose connection closes come again on a new one. *emptying*: each connection is closed as soon as
//! it carries no task: no set-up is open on it, nothing waits to be read, and of the tasks that were placed on
//! it none stands, so that the end of each can be told. What has come is answered in every phase: nothing is
//! turned away, and tasks stand on. *leaving*: as emptying, but what waits to be accepted is the other
//! process's. Owners' tests pass, since the placer serves; operators are told that this process does not.

use crate::Micros;

const MILLI: Micros = 1_000;
/// The platform asks every 100 ms, and new connections come for 200 ms after the first no.
const CROSSING: Micros = 250 * MILLI;
/// Nobody may be asking: then the order itself counts as heard after so long.
const UNASKED: Micros = 600 * MILLI;
/// The platform ends a process that leaves after the longest wait of an owner, counted as this at the most,
/// and 700 ms more. What is owed is answered within the first, and the process ends within the second.
const MOST_WAIT: Micros = 5_000 * MILLI;
const LEAVE_ANSWER: Micros = 350 * MILLI;
const LEAVE_END: Micros = 550 * MILLI;

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// An operator wants the placer emptied.
    DrainOn,
    /// An operator wants it back at work.
    DrainOff,
    /// The process is to end, and another accepts in its place. The longest wait of an owner.
    Leave(Micros),
    /// Somebody asked whether this process serves, and was told.
    Asked,
    /// Time has passed.
    Look,
}

/// What is to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Close connections that carry no task, from now on or no more.
    Empty(bool),
    /// Accept nothing more, close connections that carry no task, and answer all that is owed within this time.
    Leave(Micros),
}

/// How far this process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It takes requests.
    Serving,
    /// It says no.
    Refusing,
    /// It gives up connections.
    Emptying,
    /// It ends.
    Leaving,
}

impl Phase {
    /// Its name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Serving => "serving",
            Phase::Refusing => "refusing",
            Phase::Emptying => "emptying",
            Phase::Leaving => "leaving",
        }
    }
}

/// The duty of one process.
#[derive(Debug, Clone)]
pub struct Duty {
    phase: Phase,
    since: Micros,
    /// When somebody was first told no.
    heard: Option<Micros>,
    /// How long it may take to leave.
    until: Micros,
}

impl Default for Duty {
    fn default() -> Duty {
        Duty { phase: Phase::Serving, since: 0, heard: None, until: Micros::MAX }
    }
}

impl Duty {
    /// How far it is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether this process takes requests.
    pub fn serves(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether another process accepts in its place.
    pub fn leaves(&self) -> bool {
        self.phase == Phase::Leaving
    }

    /// Whether connections that carry no task are closed.
    pub fn empties(&self) -> bool {
        matches!(self.phase, Phase::Emptying | Phase::Leaving)
    }

    /// Whether a process that leaves has to end, whatever is left.
    pub fn overdue(&self, now: Micros) -> bool {
        now >= self.until
    }

    /// Takes an event. Orders given twice change nothing.
    pub fn handle(&mut self, now: Micros, event: Event) -> Option<Effect> {
        match (event, self.phase) {
            (Event::DrainOn, Phase::Serving) => {
                (self.phase, self.since, self.heard) = (Phase::Refusing, now, None);
                None
            }
            (Event::DrainOff, Phase::Refusing | Phase::Emptying) => {
                let emptied = self.phase == Phase::Emptying;
                (self.phase, self.since) = (Phase::Serving, now);
                emptied.then_some(Effect::Empty(false))
            }
            (Event::Asked, Phase::Refusing) => {
                self.heard.get_or_insert(now);
                None
            }
            (Event::Look, Phase::Refusing) => {
                let heard = self.heard.is_some_and(|at| now - at >= CROSSING);
                if !heard && now - self.since < UNASKED {
                    return None;
                }
                (self.phase, self.since) = (Phase::Emptying, now);
                Some(Effect::Empty(true))
            }
            (Event::Leave(longest), Phase::Serving | Phase::Refusing | Phase::Emptying) => {
                let wait = longest.clamp(0, MOST_WAIT);
                (self.phase, self.since, self.until) = (Phase::Leaving, now, now + wait + LEAVE_END);
                Some(Effect::Leave(wait + LEAVE_ANSWER))
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Plays events at their times (ms) with a look each 50 ms: the effects and when they came.
    fn play(events: &[(Micros, Event)], until: Micros) -> Vec<(Micros, Effect)> {
        let (mut duty, mut effects) = (Duty::default(), Vec::new());
        for at in (0..=until).step_by(50) {
            let due = events.iter().filter(|(when, _)| *when == at).map(|(_, event)| *event);
            for event in due.chain([Event::Look]) {
                let serving = duty.serves();
                effects.extend(duty.handle(at * MILLI, event).map(|effect| (at, effect)));
                assert!(event != Event::Asked || duty.serves() == serving, "a question changes nothing");
            }
        }
        effects
    }

    #[test]
    fn connections_go_once_the_front_has_heard_and_what_crossed_has_come() {
        let heard = [(100, Event::DrainOn), (150, Event::Asked), (250, Event::Asked)];
        assert_eq!(play(&heard, 2_000), [(400, Effect::Empty(true))], "the first no counts");
        assert_eq!(play(&[(100, Event::DrainOn)], 2_000), [(700, Effect::Empty(true))], "nobody asks");
        let back = [(100, Event::DrainOn), (150, Event::Asked), (1_000, Event::DrainOff)];
        assert_eq!(play(&back, 2_000), [(400, Effect::Empty(true)), (1_000, Effect::Empty(false))]);
    }

    #[test]
    fn a_process_that_leaves_gives_every_owner_its_time_and_is_over_before_the_platform_ends_it() {
        for (longest, answer, end) in [(2_000, 2_350, 2_550), (5_000, 5_350, 5_550), (60_000, 5_350, 5_550)] {
            let mut duty = Duty::default();
            let effect = duty.handle(MILLI, Event::Leave(longest * MILLI));
            assert_eq!(effect, Some(Effect::Leave(answer * MILLI)));
            assert!(answer >= longest.min(5_000) && end < longest.min(5_000) + 700);
            assert!(!duty.overdue(end * MILLI) && duty.overdue((end + 1) * MILLI));
            for event in [Event::DrainOn, Event::DrainOff, Event::Look, Event::Leave(0)] {
                assert_eq!(duty.handle(9_000 * MILLI, event), None, "{event:?}");
                assert!(duty.leaves() && !duty.serves() && duty.empties());
            }
        }
        for before in [Event::DrainOn, Event::Asked, Event::DrainOff] {
            let mut duty = Duty::default();
            duty.handle(0, before);
            assert!(duty.handle(1, Event::Leave(0)).is_some() && duty.leaves(), "{before:?}");
        }
    }

    #[test]
    fn orders_given_twice_or_taken_back_early_change_nothing_more() {
        let twice = [(0, Event::DrainOn), (50, Event::Asked), (300, Event::DrainOn), (500, Event::DrainOn)];
        assert_eq!(play(&twice, 2_000), [(300, Effect::Empty(true))]);
        assert_eq!(play(&[(0, Event::DrainOn), (50, Event::DrainOff)], 2_000), []);
        assert_eq!(play(&[(0, Event::DrainOff), (50, Event::Asked)], 2_000), []);
        // A no of an earlier drain is no no of this one.
        let again = [
            (0, Event::DrainOn),
            (0, Event::Asked),
            (50, Event::DrainOff),
            (1_000, Event::DrainOn),
            (1_500, Event::Asked),
        ];
        assert_eq!(play(&again, 3_000), [(1_600, Effect::Empty(true))]);
    }
}

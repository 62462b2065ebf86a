//! Whether this process takes requests, and which connections of owners it gives up.
//!
//! ```text
//!              drain-on                  the front has heard the no, and
//!                                        what it may still send has come
//!  ┌─────────┐           ┌──────────┐                        ┌──────────┐
//!  │ serving ├──────────▶│ refusing ├───────────────────────▶│ emptying │
//!  └────▲────┘           └────┬─────┘                        └────┬─────┘
//!       │      drain-off      │                                   │
//!       ◀─────────────────────┴───────────────────────────────────┘
//! ```
//!
//! *refusing*: every test fails; connections are kept, since for as long as the front may not have heard,
//! owners whose connection closes come again on a new one. *emptying*: each connection is closed as soon as
//! it carries no task: no set-up is open on it, nothing waits to be read, and of the tasks that were placed on
//! it none stands, so that the end of each can be told. What has come is answered in every phase: nothing is
//! turned away, and tasks stand on.

use crate::Micros;

const MILLI: Micros = 1_000;
/// The platform asks every 100 ms, and new connections come for 200 ms after the first no.
const CROSSING: Micros = 250 * MILLI;
/// Nobody may be asking: then the order itself counts as heard after so long.
const UNASKED: Micros = 600 * MILLI;

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// An operator wants the placer emptied.
    DrainOn,
    /// An operator wants it back at work.
    DrainOff,
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
}

impl Phase {
    /// Its name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Serving => "serving",
            Phase::Refusing => "refusing",
            Phase::Emptying => "emptying",
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
}

impl Default for Duty {
    fn default() -> Duty {
        Duty { phase: Phase::Serving, since: 0, heard: None }
    }
}

impl Duty {
    /// How far it is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether tests pass.
    pub fn serves(&self) -> bool {
        self.phase == Phase::Serving
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

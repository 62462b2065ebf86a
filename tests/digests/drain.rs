//! Digests of the phases and effects of a drain.

use crate::{Numbers, digest};
use task_placer::Micros;
use task_placer::health::drain::{
    AfterDrain, CheckKind, Drain, DrainLimits, Effect, Outstanding, Poller,
};

const START: Micros = 1_000_000_000;
const STEPS: i64 = 20_000;
const STEP: Micros = 50_000;
/// Steps after which the phase with outstanding responses and tasks repeats.
const BUSY_PERIOD: i64 = 4_000;
/// Steps at the start of each period during which responses and tasks may be outstanding.
const BUSY_STEPS: i64 = 1_500;
/// First step from which a drain may end with the exit of the process.
const EXITS_FROM: i64 = 12_000;

/// A drain that gets random events.
struct Player {
    drain: Drain,
    numbers: Numbers,
    rendered: String,
}

impl Player {
    fn step(&mut self, step: i64) {
        let now = START + step * STEP;
        let is_busy = step % BUSY_PERIOD < BUSY_STEPS;
        let mut effects = match self.numbers.below(400) {
            0 => self.begin(now, step),
            1 if is_busy => self.cancel(now),
            2..=60 => {
                self.poll(now);
                Vec::new()
            }
            _ => Vec::new(),
        };
        let bound = if is_busy { 3 } else { 1 };
        let outstanding = Outstanding {
            pending_responses: self.numbers.below(bound) as usize,
            running_tasks: self.numbers.below(bound) as usize,
            unreported_ends: 0,
            unflushed_connections: 0,
        };
        effects.extend(self.drain.advance(now, outstanding));
        for effect in effects {
            let rendered = self.render(now, step, effect);
            self.rendered.push_str(&rendered);
        }
    }

    fn begin(&mut self, now: Micros, step: i64) -> Vec<Effect> {
        let exits = self.numbers.below(4) == 0 && step > EXITS_FROM;
        let after = if exits {
            AfterDrain::Exit
        } else {
            AfterDrain::Wait
        };
        self.drain.begin(now, after)
    }

    fn cancel(&mut self, now: Micros) -> Vec<Effect> {
        let cancelled = self.drain.cancel(now);
        self.rendered.push_str(&format!("c {};", cancelled.is_ok()));
        cancelled.unwrap_or_default()
    }

    fn poll(&mut self, now: Micros) {
        let number = self.numbers.below(6);
        let kind = if number < 4 {
            CheckKind::Agent
        } else {
            CheckKind::Http
        };
        let name = number.to_string();
        self.drain.record_poll(now, &Poller { kind, name });
    }

    fn render(&self, now: Micros, step: i64, effect: Effect) -> String {
        match effect {
            Effect::AnnounceDrain => "t true;".to_string(),
            Effect::WithdrawDrain => "t false;".to_string(),
            Effect::StartClosingIdle => "i true;".to_string(),
            Effect::StopClosingIdle => "i false;".to_string(),
            Effect::AnswerAll { within } => format!("a {within};"),
            Effect::Entered { phase, reason } => {
                let pollers = self.drain.pollers(now);
                let (phase, reason) = (phase.as_str(), reason.as_str());
                let (live, notified) = (pollers.live, pollers.notified);
                format!("{step} {phase} {reason} {live} {notified};")
            }
            Effect::Exit { left } => {
                format!("x {} {};", left.pending_responses, left.running_tasks)
            }
        }
    }
}

fn play(seed: u64) -> u64 {
    let mut player = Player {
        drain: Drain::new(DrainLimits::default()),
        numbers: Numbers(seed),
        rendered: String::new(),
    };
    for step in 0..STEPS {
        player.step(step);
    }
    digest(&player.rendered)
}

#[test]
fn random_events_give_the_expected_drains() {
    assert_eq!([1, 2, 3, 4, 5, 6].map(play), EXPECTED);
}

/// Expected digest for each seed.
const EXPECTED: [u64; 6] = [
    1_020_608_321_913_222_385,
    16_967_431_768_764_173_612,
    18_076_693_536_140_157_928,
    696_803_300_510_076_969,
    14_041_791_879_296_391_040,
    13_843_155_216_618_955_908,
];

//! Own trouble or the fleet's: what a single placer can tell of it.
//!
//! Where the hosts are full, every placer refuses, and a lower weight at each of them moves nothing.
//! Instances do not talk, so the question is which explanation this placer's own evidence leaves open.
//! Three things speak for the fleet, and each is discounted by what could make it up here:
//!
//! - *Full*: hosts refuse offers for want of room, or the inventory lists little room. A host's word is
//!   a fact whoever hears it, and stays one for a while where the module holds asks back instead of
//!   offering them in vain; the inventory counts less the older it is.
//! - *Slow*: hosts that do start take long about it. A loop that runs late sees every host as slow, so
//!   this counts only as far as the loop was in time.
//! - *Down*: hosts can't be reached in some zones and can in others. What fails alike in every zone is
//!   nearer to this placer than to the hosts; [`unreached`] splits the two.

use super::sliding_window::Window;
use crate::{Micros, Outcome, OutcomeDetail};

const WINDOW: Micros = 10_000_000;
/// Fewer offers than this tell nothing.
const LEAST_OFFERS: f64 = 5.0;
/// An offer that took this part of its class's aim at the host was slow there.
const SLOW: f64 = 0.5;

/// The hosts of one zone, as listed in service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Zone {
    /// How many are listed as up.
    pub listed: u32,
    /// Of those, how many have refused a connection: their process is gone, whoever calls.
    pub refused: u32,
    /// And to how many no connection comes up.
    pub silent: u32,
}

/// The share of hosts out of reach that this placer must take on itself, and the share that is theirs.
///
/// A refused connection is the host's doing. Silence counts as ours as far as it is the same in all
/// zones: the least share over the zones. With one zone there is nothing to compare, and silence counts
/// as ours only where it covers more than half of it.
pub fn unreached(zones: &[Zone]) -> (f64, f64) {
    let known = zones.iter().filter(|zone| zone.listed > 0);
    let silent = known
        .clone()
        .map(|zone| f64::from(zone.silent) / f64::from(zone.listed));
    let (zones, listed) = (
        known.clone().count(),
        known.clone().map(|z| z.listed).sum::<u32>(),
    );
    let all = known.map(|zone| zone.refused + zone.silent).sum::<u32>();
    if listed == 0 {
        return (0.0, 0.0);
    }
    let least = silent.fold(1.0, f64::min);
    let own = if zones > 1 || least > 0.5 { least } else { 0.0 };
    let share = f64::from(all) / f64::from(listed);
    (own.clamp(0.0, 1.0), (share - own).clamp(0.0, 1.0))
}

/// What speaks for the fleet as the cause.
#[derive(Debug, Clone)]
pub struct Fleet {
    full: Window,
    slow: Window,
    timeouts: Window,
    /// Share of the listed hosts with room for an ordinary task.
    roomy: Option<f64>,
    /// Share of them that said they are full when last asked.
    said_full: f64,
    down: f64,
}

impl Default for Fleet {
    fn default() -> Fleet {
        let window = || Window::new(WINDOW);
        Fleet {
            full: window(),
            slow: window(),
            timeouts: window(),
            roomy: None,
            said_full: 0.0,
            down: 0.0,
        }
    }
}

/// Rises from 0 at `from` to 1 at `to`.
fn between(value: f64, from: f64, to: f64) -> f64 {
    ((value - from) / (to - from)).clamp(0.0, 1.0)
}

impl Fleet {
    /// An offer has ended: `stretch` is its time at the host over the aim of its class.
    pub fn offer(&mut self, now: Micros, outcome: Outcome, detail: OutcomeDetail, stretch: f64) {
        let room = matches!(
            detail,
            OutcomeDetail::NoCores
                | OutcomeDetail::NoMemory
                | OutcomeDetail::QueueFull
                | OutcomeDetail::Unknown
        );
        let full = outcome == Outcome::Rejected && room;
        self.full.add(now, f64::from(u8::from(full)), 1.0);
        let timeout = outcome == Outcome::Timeout;
        self.timeouts.add(now, f64::from(u8::from(timeout)), 1.0);
        if outcome == Outcome::Completed {
            self.slow
                .add(now, f64::from(u8::from(stretch >= SLOW)), 1.0);
        }
    }

    /// What the list and the connections show.
    pub fn looked(&mut self, roomy: Option<f64>, said_full: f64, down: f64) {
        (self.roomy, self.said_full, self.down) = (roomy, said_full, down);
    }

    /// Share of the recent offers that timed out.
    pub fn timeouts(&self, now: Micros) -> Option<f64> {
        self.timeouts.share(now, LEAST_OFFERS)
    }

    /// How far the fleet explains late and refused asks, 0 to 1, given how bad this placer's own loop is
    /// and how stale its inventory.
    pub fn explains(&self, now: Micros, loop_late: f64, feed_stale: f64) -> f64 {
        let refusals = self
            .full
            .share(now, LEAST_OFFERS)
            .map_or(0.0, |share| between(share, 0.1, 0.4));
        let no_room = self
            .roomy
            .map_or(0.0, |roomy| between(1.0 - roomy, 0.6, 0.95))
            * (1.0 - feed_stale);
        let slow = self
            .slow
            .share(now, LEAST_OFFERS)
            .map_or(0.0, |share| between(share, 0.3, 0.7));
        let down = between(self.down, 0.1, 0.4);
        let full = between(self.said_full, 0.3, 0.7);
        refusals
            .max(full)
            .max(no_room)
            .max(slow * (1.0 - loop_late))
            .max(down)
    }
}

#[cfg(test)]
mod tests;

//! The faults of a run as single actions, in the order of their times.

use crate::identity::{PlacerId, ZoneId};
use crate::settings::{Fault, Settings};
use std::time::{Duration, Instant};

/// One thing that happens to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The workers of a zone vanish.
    CrashZone(ZoneId),
    /// The feeds tell that they were removed.
    ReportZoneRemoved(ZoneId),
    /// They are back cold, and the feeds tell so.
    RestoreZone(ZoneId),
    /// A placer is killed.
    KillPlacer(PlacerId),
    /// It is started again.
    RestartPlacer(PlacerId),
    /// So many workers send bytes that are no message.
    SendGarbage(u32),
}

/// What is to happen.
pub struct Schedule {
    /// The latest first.
    left: Vec<(Duration, Action)>,
    start: Instant,
}

impl Schedule {
    /// The faults of these settings, counted from the start of the measured time.
    pub fn new(settings: &Settings, start: Instant) -> Schedule {
        let mut left: Vec<(Duration, Action)> = settings
            .faults
            .iter()
            .flat_map(|fault| actions(settings, fault))
            .collect();
        // Stable: of what is due at one time the first stays first.
        left.sort_by_key(|(at, _)| *at);
        left.reverse();
        Schedule { left, start }
    }

    /// The next action that is due by now.
    pub fn next_due(&mut self, now: Instant) -> Option<Action> {
        let (at, _) = self.left.last()?;
        if self.start + *at > now {
            return None;
        }
        self.left.pop().map(|(_, action)| action)
    }
}

fn actions(settings: &Settings, fault: &Fault) -> Vec<(Duration, Action)> {
    match fault {
        Fault::Zone {
            at,
            zone,
            reported_after,
            back_after,
        } => {
            let Some(zone) = settings.zone(zone) else {
                return Vec::new();
            };
            vec![
                (*at, Action::CrashZone(zone)),
                (*at + *reported_after, Action::ReportZoneRemoved(zone)),
                (*at + *back_after, Action::RestoreZone(zone)),
            ]
        }
        Fault::Placer {
            at,
            placer,
            back_after,
        } => vec![
            (*at, Action::KillPlacer(PlacerId(*placer))),
            (*at + *back_after, Action::RestartPlacer(PlacerId(*placer))),
        ],
        Fault::Garbage { at, workers } => vec![(*at, Action::SendGarbage(*workers))],
    }
}

#[cfg(test)]
mod tests;

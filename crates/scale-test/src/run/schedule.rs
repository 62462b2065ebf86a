//! The schedule of a run's faults, as single actions in the order of their times.
//!
//! Does no I/O and reads no clock: the current time is an argument.

use crate::identity::{PlacerId, ZoneId};
use crate::settings::{Fault, Settings};
use std::time::{Duration, Instant};

/// One action of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Crashes the workers of a zone.
    CrashZone(ZoneId),
    /// Makes the feeds report the workers of a crashed zone as removed.
    ReportZoneRemoved(ZoneId),
    /// Restores the workers of a crashed zone, with no tasks, and makes the feeds report them as up.
    RestoreZone(ZoneId),
    /// Kills a placer.
    KillPlacer(PlacerId),
    /// Starts a killed placer again.
    RestartPlacer(PlacerId),
    /// Makes this number of workers send invalid bytes.
    SendGarbage(u32),
}

/// The actions that have not been taken yet.
pub struct Schedule {
    /// The remaining actions, latest first, each with its time since `start`.
    left: Vec<(Duration, Action)>,
    start: Instant,
}

impl Schedule {
    /// Returns the schedule of the faults in these settings. The times of faults are relative to `start`.
    pub fn new(settings: &Settings, start: Instant) -> Schedule {
        let mut left: Vec<(Duration, Action)> = settings
            .faults
            .iter()
            .flat_map(|fault| actions(settings, fault))
            .collect();
        // The sort is stable, so actions due at the same time keep the order of the settings.
        left.sort_by_key(|(at, _)| *at);
        left.reverse();
        Schedule { left, start }
    }

    /// Removes and returns the next action that is due at `now`, if any.
    pub fn next_due(&mut self, now: Instant) -> Option<Action> {
        let (at, _) = self.left.last()?;
        if self.start + *at > now {
            return None;
        }
        self.left.pop().map(|(_, action)| action)
    }
}

/// Returns the actions of one fault, each with its time since the start of the schedule.
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

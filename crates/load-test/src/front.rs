//! The front layer: which placer the next connection goes to. Pure; results of tests and answers of agents
//! go in.
//!
//! It spreads clients over the placers of their room, takes a placer in once it passes its first test, takes
//! one out at once where a test says so, and notices a dead one only after some tests have failed.

use emulator::load_balancer::{AgentReport, LoadBalancer};

/// Failed tests in a row that take a placer out.
const FALL: u32 = 3;

/// A result of a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tested {
    /// It passed.
    Passed,
    /// The placer says that it wants nothing new.
    Closing,
    /// Nothing came, or no connection was made.
    Failed,
}

/// The front layer.
#[derive(Debug, Clone)]
pub struct Front {
    rooms: usize,
    up: Vec<bool>,
    failures: Vec<u32>,
    /// One for each room, and one for all.
    balancers: Vec<LoadBalancer>,
}

impl Front {
    /// Over so many placers, spread over the rooms in turn; none has passed a test yet.
    pub fn new(placers: usize, rooms: usize) -> Front {
        let rooms = rooms.max(1);
        let balancer = || LoadBalancer::new(placers, 1, 1);
        let mut front = Front {
            rooms,
            up: vec![false; placers],
            failures: vec![0; placers],
            balancers: (0..=rooms).map(|_| balancer()).collect(),
        };
        (0..placers).for_each(|n| front.settle(n));
        front
    }

    /// Takes a result; true where the placer is taken in with it.
    pub fn tested(&mut self, placer: usize, tested: Tested) -> bool {
        let (Some(up), Some(failures)) = (self.up.get_mut(placer), self.failures.get_mut(placer))
        else {
            return false;
        };
        let before = *up;
        match tested {
            Tested::Passed => (*up, *failures) = (true, 0),
            Tested::Closing => *up = false,
            Tested::Failed => {
                *failures += 1;
                if *failures >= FALL {
                    *up = false;
                }
            }
        }
        let now = *up;
        self.settle(placer);
        now && !before
    }

    /// Takes what an agent has told.
    pub fn advised(&mut self, placer: usize, advice: AgentReport) {
        self.balancers
            .iter_mut()
            .for_each(|balancer| balancer.apply_report(placer, advice));
    }

    /// Whether any placer is in.
    pub fn any(&self) -> bool {
        self.up.iter().any(|up| *up)
    }

    /// Whether all placers are in.
    pub fn all(&self) -> bool {
        self.up.iter().all(|up| *up)
    }

    /// The placer for a client of a room: one of its room, else any that is in, else none.
    pub fn pick(&mut self, room: usize) -> Option<usize> {
        let room = room % self.rooms;
        let own = self.balancers.get_mut(room).and_then(LoadBalancer::pick);
        own.or_else(|| self.balancers.last_mut().and_then(LoadBalancer::pick))
    }

    /// Has the balancers know whether a placer is in.
    fn settle(&mut self, placer: usize) {
        let up = self.up.get(placer).copied().unwrap_or(false);
        let (rooms, home) = (self.rooms, placer % self.rooms);
        for (room, balancer) in self.balancers.iter_mut().enumerate() {
            let serves = up && (room == rooms || room == home);
            if let Some(server) = balancer.servers.get_mut(placer) {
                server.up = serves;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use emulator::load_balancer::AdminState;

    #[test]
    fn placers_come_in_by_a_passed_test_and_go_out_late_or_at_once() {
        let mut front = Front::new(3, 3);
        assert_eq!((front.pick(0), front.any()), (None, false));
        assert!(front.tested(0, Tested::Passed));
        assert!(!front.tested(0, Tested::Passed), "it was in");
        assert_eq!(
            (front.pick(0), front.pick(1), front.pick(2)),
            (Some(0), Some(0), Some(0)),
            "no other is there"
        );
        front.tested(1, Tested::Passed);
        assert_eq!(
            (front.pick(0), front.pick(1)),
            (Some(0), Some(1)),
            "each its own room"
        );
        for (failures, picked) in [(1, Some(1)), (2, Some(1)), (3, Some(0))] {
            front.tested(1, Tested::Failed);
            assert_eq!(front.pick(1), picked, "after {failures}");
        }
        assert!(front.tested(1, Tested::Passed));
        front.tested(1, Tested::Closing);
        assert_eq!(front.pick(1), Some(0), "at once");
    }

    #[test]
    fn agents_weights_and_drains_are_followed() {
        let mut front = Front::new(2, 1);
        (0..2).for_each(|n| assert!(front.tested(n, Tested::Passed)));
        front.advised(
            0,
            AgentReport {
                weight: Some(25),
                ..AgentReport::default()
            },
        );
        let picks: Vec<usize> = (0..10).filter_map(|_| front.pick(0)).collect();
        assert_eq!(picks.iter().filter(|n| **n == 0).count(), 2);
        front.advised(
            1,
            AgentReport {
                admin: Some(AdminState::Drain),
                ..AgentReport::default()
            },
        );
        assert_eq!(front.pick(0), Some(0));
    }
}

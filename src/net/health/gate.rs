//! How many connections a front may hold, and for how long.
//!
//! Where it is full, the connection that has been quiet longest makes room: pollers that say nothing
//! can't keep out one that does, and their descriptors never grow beyond the bound. Deadlines are looked
//! at with the wheel's sweep, so they are coarse.

use async_channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::BTreeMap;
use task_placer::Micros;

/// Why a connection is sent away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Away {
    /// Its descriptor is needed for another.
    Shed,
    /// It took too long.
    Late,
}

struct Guest {
    /// Orders guests by when they last did something.
    turn: u64,
    until: Micros,
    away: Sender<Away>,
}

/// The connections of a front.
pub struct Gate {
    most: usize,
    guests: RefCell<BTreeMap<u64, Guest>>,
    next: RefCell<u64>,
}

/// A place taken at the gate.
pub struct Place {
    number: u64,
    away: Receiver<Away>,
}

impl Place {
    /// Waits until the connection is sent away.
    pub async fn away(&self) -> Away {
        self.away.recv().await.unwrap_or(Away::Shed)
    }
}

impl Gate {
    /// A gate for so many at a time.
    pub fn new(most: usize) -> Gate {
        Gate {
            most: most.max(1),
            guests: RefCell::default(),
            next: RefCell::new(0),
        }
    }

    fn turn(&self) -> u64 {
        let mut next = self.next.borrow_mut();
        *next += 1;
        *next
    }

    /// Takes a place until a deadline; the one quiet longest makes room where there is none.
    pub fn enter(&self, until: Micros) -> Place {
        let turn = self.turn();
        let mut guests = self.guests.borrow_mut();
        if guests.len() >= self.most {
            let quietest = guests
                .iter()
                .min_by_key(|(_, guest)| guest.turn)
                .map(|(number, _)| *number);
            if let Some(guest) = quietest.and_then(|number| guests.remove(&number)) {
                let _ = guest.away.try_send(Away::Shed);
            }
        }
        let (away, receiver) = async_channel::bounded(1);
        guests.insert(turn, Guest { turn, until, away });
        Place {
            number: turn,
            away: receiver,
        }
    }

    /// It has done something, and may stay until then.
    pub fn stay(&self, place: &Place, until: Micros) {
        let turn = self.turn();
        if let Some(guest) = self.guests.borrow_mut().get_mut(&place.number) {
            (guest.turn, guest.until) = (turn, until);
        }
    }

    /// It is gone.
    pub fn leave(&self, place: &Place) {
        self.guests.borrow_mut().remove(&place.number);
    }

    /// Sends away whoever is past its deadline.
    pub fn sweep(&self, now: Micros) {
        self.guests.borrow_mut().retain(|_, guest| {
            let late = now > guest.until;
            if late {
                let _ = guest.away.try_send(Away::Late);
            }
            !late
        });
    }
}

#[cfg(test)]
mod tests;

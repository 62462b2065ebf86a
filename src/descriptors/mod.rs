//! Who may hold how many of the process's descriptors. Without I/O.
//!
//! One budget serves them all. Clients are promised the third of it that they may hold; hosts get what is
//! left of it, up to what each of them could need; and what hosts can't need goes to clients again.
//!
//! ```text
//! sockets = own + apart + clients + hosts
//!           own     listener, reactor, signals, log, feed
//!           apart   balancers and operators, where an operator's file has them
//!           clients  at least a third and a few that are ending
//!           hosts   at most three for each host: its connection, one beside it, one that is ending
//! ```

mod pool;

pub use pool::{Answer, Pool, Rank, Want};

/// Descriptors that the process holds whatever happens: standard streams, the listener, the reactor,
/// signals, the log, two connections to feeds, and some that are on their way.
pub const OWN: usize = 24;
/// Descriptors that one host can need: its connection, one beside it, and one that is ending.
pub const A_HOST: usize = 3;
/// The part of all descriptors that clients hold at most (the protocol's figure), as its divisor.
const CLIENTS_PART: usize = 3;
/// Connections of clients that are ending while others take their places.
const ENDING: usize = 8;
/// With fewer than these for either side, nothing can be placed.
const FEWEST: usize = 4;
/// The fewest descriptors with which there is room for a handful of peers.
pub const FEWEST_SOCKETS: usize = OWN + 2 * FEWEST;

/// How the descriptors are shared out between clients and hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shares {
    /// Connections of clients, with those that are ending.
    pub clients: usize,
    /// Connections to hosts, with those being made and those that are ending.
    pub hosts: usize,
}

impl Shares {
    /// The shares of `sockets` descriptors, with so many set `apart` and so many hosts listed.
    pub fn of(sockets: usize, apart: usize, listed: usize) -> Shares {
        let free = sockets.saturating_sub(OWN + apart).max(2 * FEWEST);
        let promised = (sockets.div_ceil(CLIENTS_PART) + ENDING)
            .min(free - FEWEST)
            .max(FEWEST);
        let hosts = (free - promised)
            .min(listed.saturating_mul(A_HOST))
            .max(FEWEST);
        Shares {
            clients: free - hosts,
            hosts,
        }
    }
}

#[cfg(test)]
mod tests;

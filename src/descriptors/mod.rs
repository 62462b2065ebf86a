//! Who may hold how many of the process's descriptors. Without I/O.
//!
//! One budget serves them all. Owners are promised the third of it that they may hold; hosts get what is
//! left of it, up to what each of them could need; and what hosts can't need goes to owners again.
//!
//! ```text
//! sockets = own + apart + owners + hosts
//!           own     listener, reactor, signals, log, feed
//!           apart   balancers and operators, where an operator's file has them
//!           owners  at least a third and a few that are ending
//!           hosts   at most three for each host: its connection, one beside it, one that is ending
//! ```

mod pool;

pub use pool::{Answer, Pool, Rank, Want};

/// Descriptors that the process holds whatever happens: standard streams, the listener, the reactor,
/// signals, the log, two connections to feeds, and some that are on their way.
pub const OWN: usize = 24;
/// Descriptors that one host can need: its connection, one beside it, and one that is ending.
pub const A_HOST: usize = 3;
/// The part of all descriptors that owners hold at most (the protocol's figure), as its divisor.
const OWNERS_PART: usize = 3;
/// Connections of owners that are ending while others take their places.
const ENDING: usize = 8;
/// With fewer than these for either side, nothing can be placed.
const FEWEST: usize = 4;
/// The fewest descriptors with which there is room for a handful of peers.
pub const FEWEST_SOCKETS: usize = OWN + 2 * FEWEST;

/// How the descriptors are shared out between owners and hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shares {
    /// Connections of owners, with those that are ending.
    pub owners: usize,
    /// Connections to hosts, with those being made and those that are ending.
    pub hosts: usize,
}

impl Shares {
    /// The shares of `sockets` descriptors, with so many set `apart` and so many hosts listed.
    pub fn of(sockets: usize, apart: usize, listed: usize) -> Shares {
        let free = sockets.saturating_sub(OWN + apart).max(2 * FEWEST);
        let promised = (sockets.div_ceil(OWNERS_PART) + ENDING).min(free - FEWEST).max(FEWEST);
        let hosts = (free - promised).min(listed.saturating_mul(A_HOST)).max(FEWEST);
        Shares { owners: free - hosts, hosts }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn owners_keep_their_third_whatever_the_fleet_and_nothing_is_shared_out_twice() {
        for sockets in [FEWEST_SOCKETS, 64, 256, 784, 1_024, 65_536] {
            for listed in [0, 1, 14, 60, 400, 1_024] {
                let shares = Shares::of(sockets, 0, listed);
                let third = sockets.div_ceil(3).min(sockets - OWN - FEWEST);
                assert!(shares.owners >= third, "{sockets} {listed}: {shares:?}");
                assert!(shares.hosts >= FEWEST, "{sockets} {listed}: {shares:?}");
                assert_eq!(OWN + shares.owners + shares.hosts, sockets, "{sockets} {listed}");
            }
        }
    }

    #[test]
    fn what_a_small_fleet_cannot_need_is_left_to_owners() {
        assert_eq!(Shares::of(1_024, 0, 14), Shares { owners: 958, hosts: 42 });
        assert_eq!(Shares::of(1_024, 10, 14), Shares { owners: 948, hosts: 42 });
        assert_eq!(Shares::of(784, 0, 400), Shares { owners: 270, hosts: 490 });
        // Too few for anything: nobody is told that there are none at all.
        assert_eq!(Shares::of(8, 0, 400), Shares { owners: 4, hosts: 4 });
    }
}

//! Splits the process's file descriptors between clients and hosts, and pools those of the hosts.
//!
//! All sockets share one budget. Clients are guaranteed a third of it, the share that the protocol allows them.
//! Hosts get the rest, up to the number that all of them can need; what is left after that goes to clients. This module
//! is pure computation: it opens and closes no sockets.
//!
//! ```text
//! total = process + reserved + clients + hosts
//!         process   listener, reactor, signals, log, service discovery
//!         reserved  load balancers and operators, where the operator's file enables them
//!         clients   at least a third, and a few for connections that are closing
//!         hosts     at most three for each host: its connection, a second one, and one that is closing
//! ```

mod pool;

pub use pool::{ConnectPurpose, ConnectionPool, ConnectionPriority, SlotDecision};

/// The number of descriptors that the process always needs: for the standard streams, the listener, the reactor,
/// signals, the log, two connections to service discovery, and some that are being opened or closed.
pub const PROCESS_DESCRIPTORS: usize = 24;
/// The maximum number of descriptors that one host can need: for its connection, a second one, and one that is closing.
pub const MAX_DESCRIPTORS_PER_HOST: usize = 3;
/// The protocol allows clients at most one in this many of all descriptors.
const CLIENT_FRACTION_DIVISOR: usize = 3;
/// The number of client connections that may still be closing while new ones replace them.
const CLOSING_CLIENTS: usize = 8;
/// The minimum number of descriptors for clients and for hosts each. With fewer, no task can be placed.
const MIN_DESCRIPTORS_PER_SIDE: usize = 4;
/// The minimum number of descriptors of a process, which suffices for a few clients and hosts.
pub const MIN_DESCRIPTORS: usize = PROCESS_DESCRIPTORS + 2 * MIN_DESCRIPTORS_PER_SIDE;

/// How the descriptors are split between clients and hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DescriptorQuotas {
    /// The number of descriptors for connections of clients, including those that are closing.
    pub clients: usize,
    /// The number of descriptors for connections to hosts, including those that are being established or closing.
    pub hosts: usize,
}

impl DescriptorQuotas {
    /// Splits `total` descriptors, of which `reserved` are for load balancers and operators, for
    /// `listed_hosts` hosts in the endpoint list.
    pub fn split(total: usize, reserved: usize, listed_hosts: usize) -> DescriptorQuotas {
        let available = total
            .saturating_sub(PROCESS_DESCRIPTORS + reserved)
            .max(2 * MIN_DESCRIPTORS_PER_SIDE);
        let guaranteed_to_clients = (total.div_ceil(CLIENT_FRACTION_DIVISOR) + CLOSING_CLIENTS)
            .min(available - MIN_DESCRIPTORS_PER_SIDE)
            .max(MIN_DESCRIPTORS_PER_SIDE);
        let hosts = (available - guaranteed_to_clients)
            .min(listed_hosts.saturating_mul(MAX_DESCRIPTORS_PER_HOST))
            .max(MIN_DESCRIPTORS_PER_SIDE);
        DescriptorQuotas {
            clients: available - hosts,
            hosts,
        }
    }
}

#[cfg(test)]
mod tests;

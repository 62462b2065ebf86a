//! Splits the process's file descriptors between clients and hosts, and pools those of the hosts.
//!
//! One budget serves all sockets. Clients are guaranteed the third of it that they may hold. Hosts get what is
//! left, up to what each of them can need; what the hosts cannot need goes to clients again. Pure: nothing here
//! opens or closes a socket.
//!
//! ```text
//! total = process + reserved + clients + hosts
//!         process   listener, reactor, signals, log, service discovery
//!         reserved  load balancers and operators, where the operator's file enables them
//!         clients   at least a third, and a few connections that are closing
//!         hosts     at most three for each host: its connection, one beside it, one that is closing
//! ```

mod pool;

pub use pool::{ConnectPurpose, ConnectionPool, ConnectionPriority, SlotDecision};

/// Descriptors that the process always holds: standard streams, the listener, the reactor, signals, the log,
/// two connections to service discovery, and some that are being opened or closed.
pub const PROCESS_DESCRIPTORS: usize = 24;
/// The most descriptors that one host can need: its connection, one beside it, and one that is closing.
pub const MAX_DESCRIPTORS_PER_HOST: usize = 3;
/// Clients hold at most one in so many of all descriptors (the protocol's figure).
const CLIENT_FRACTION_DIVISOR: usize = 3;
/// Client connections that may be closing while others take their places.
const CLOSING_CLIENTS: usize = 8;
/// The fewest descriptors for clients, and for hosts: with fewer, no task can be placed.
const MIN_DESCRIPTORS_PER_SIDE: usize = 4;
/// The fewest descriptors with which a handful of peers can be served.
pub const MIN_DESCRIPTORS: usize = PROCESS_DESCRIPTORS + 2 * MIN_DESCRIPTORS_PER_SIDE;

/// How the descriptors are split between clients and hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DescriptorQuotas {
    /// For connections of clients, including those that are closing.
    pub clients: usize,
    /// For connections to hosts, including those that are being established or closing.
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

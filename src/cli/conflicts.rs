//! Finds conflicts between the configuration and the operator's file, each of which is valid on its own.

use crate::net::config::Config;
use crate::operator::Operator;
use std::net::SocketAddr;

/// The descriptors divided by this number limit the connections of load balancers: clients hold at most a third of the
/// descriptors, and the connections to hosts and the placer itself need the rest.
const HEALTH_DESCRIPTOR_DIVISOR: usize = 4;
/// The memory divided by this number limits the log queue.
const LOG_MEMORY_DIVISOR: usize = 16;

/// A field of the operator's file that conflicts with the configuration.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum Conflict {
    /// Load balancers would connect to the address at which clients connect.
    #[error("{field}: {listen} is the address for clients (listen)")]
    HealthAtListen {
        /// The name of the field.
        field: &'static str,
        /// The address.
        listen: SocketAddr,
    },
    /// Connections of load balancers would take descriptors that clients, hosts and the placer itself need.
    #[error(
        "health.connections: {found} of limits.sockets {descriptors} is more than a quarter, {max}"
    )]
    TooManyHealthConnections {
        /// The stated maximum number of connections.
        found: usize,
        /// The number of descriptors of the placer.
        descriptors: usize,
        /// The maximum that is allowed.
        max: usize,
    },
    /// The log queue would take memory that the rest of the placer needs.
    #[error("log.queue-bytes: {found} is more than a sixteenth of limits.memory_mb, {max}")]
    LogQueueTooLarge {
        /// The stated size, in bytes.
        found: usize,
        /// The maximum that is allowed, in bytes.
        max: usize,
    },
}

/// Returns all conflicts between the two files.
pub(super) fn find(config: &Config, operator: &Operator) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    let health = &operator.health;
    for (field, addresses) in [
        ("health.agent", &health.agent_addresses),
        ("health.http", &health.http_addresses),
    ] {
        if addresses.contains(&config.listen) {
            let listen = config.listen;
            conflicts.push(Conflict::HealthAtListen { field, listen });
        }
    }
    let descriptors = config.limits.descriptors;
    let max_connections = descriptors / HEALTH_DESCRIPTOR_DIVISOR;
    if health.listens() && health.max_connections > max_connections {
        conflicts.push(Conflict::TooManyHealthConnections {
            found: health.max_connections,
            descriptors,
            max: max_connections,
        });
    }
    let max_queue = config.limits.memory_bytes / LOG_MEMORY_DIVISOR;
    if operator.log.queue_bytes > max_queue {
        conflicts.push(Conflict::LogQueueTooLarge {
            found: operator.log.queue_bytes,
            max: max_queue,
        });
    }
    conflicts
}

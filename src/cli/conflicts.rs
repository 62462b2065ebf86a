//! What is wrong between the configuration and the operator's file, each of which is right by itself.

use crate::net::config::Config;
use crate::operator::Operator;
use std::net::SocketAddr;

/// Health connections may use one part in this many of the descriptors: clients hold at most a third, and hosts and the
/// placer itself need theirs.
const HEALTH_DESCRIPTOR_DIVISOR: usize = 4;
/// The log's queue may use one part in this many of the memory.
const LOG_MEMORY_DIVISOR: usize = 16;

/// A field of the operator's file that does not go with the configuration.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum Conflict {
    /// Load balancers would connect where clients do.
    #[error("{field}: {listen} is where clients connect (listen)")]
    HealthAtListen {
        /// The field.
        field: &'static str,
        /// The address.
        listen: SocketAddr,
    },
    /// Health connections would take descriptors that others need.
    #[error(
        "health.connections: {found} of limits.sockets {descriptors} is more than a quarter, {max}"
    )]
    TooManyHealthConnections {
        /// The connections stated.
        found: usize,
        /// The descriptors of the placer.
        descriptors: usize,
        /// The most connections that there may be.
        max: usize,
    },
    /// The log's queue would take memory that others need.
    #[error("log.queue-bytes: {found} is more than a sixteenth of limits.memory_mb, {max}")]
    LogQueueTooLarge {
        /// The bytes stated.
        found: usize,
        /// The most bytes that there may be.
        max: usize,
    },
}

/// Returns what is wrong between the two files.
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

//! The links from the clients to all placers: connection pools, health-check connections and readiness.

use crate::identity::{PlacerId, RequestId};
use crate::socket::Connection;
use crate::traffic::{PlacerCounters, TrafficKind};
use mio::net::TcpStream;
use mio::{Registry, Token};
use slab::Slab;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// The first token of the connections.
pub const FIRST_CONNECTION: usize = 1;

/// The purpose of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The connection carries health checks, like those of a load balancer.
    HealthCheck,
    /// The connection carries the messages of tasks.
    Tasks {
        /// The index in the connection pool of its placer.
        pool_index: usize,
    },
}

/// A request that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingRequest {
    /// The id of the request.
    pub id: RequestId,
    /// Whether the request was sent again after its first connection closed.
    pub is_resent: bool,
}

/// One connection to a placer.
pub struct ClientConnection {
    /// The socket with its buffers.
    pub connection: Connection,
    /// The placer to which the connection leads.
    pub placer: PlacerId,
    /// Whether the connection carries health checks or tasks.
    pub purpose: Purpose,
    /// Requests that were sent on the connection and wait for an answer.
    pub pending: Vec<PendingRequest>,
}

/// The connections to one placer, and whether it is ready.
pub struct Link {
    /// The address of the placer, while it runs.
    pub address: Option<SocketAddr>,
    /// The number of times that the placer was started. Events with a lower number belong to an earlier start.
    pub start_number: u64,
    /// Whether a health check has passed since the latest start.
    pub is_ready: bool,
    /// The slot of the health-check connection, while it is open.
    health_check: Option<usize>,
    /// The slots of the connections for tasks, each while it is open.
    pool: Vec<Option<usize>>,
    /// The index of the pooled connection to use next, before it wraps around.
    next_pool_index: usize,
    counters: Arc<PlacerCounters>,
}

impl Link {
    /// Returns whether tasks are sent to the placer: it is ready, and its health-check connection is open.
    pub fn is_in_service(&self) -> bool {
        self.is_ready && self.health_check.is_some()
    }
}

/// The links to all placers, and the table of all connections.
pub struct Links {
    links: Vec<Link>,
    table: Slab<ClientConnection>,
}

impl Links {
    /// Returns links to placers that are not running yet, each with a pool of `pool_size` connections.
    pub fn new(counters: Vec<Arc<PlacerCounters>>, pool_size: usize) -> Links {
        let link = |counters| Link {
            address: None,
            start_number: 0,
            is_ready: false,
            health_check: None,
            pool: vec![None; pool_size],
            next_pool_index: 0,
            counters,
        };
        Links {
            links: counters.into_iter().map(link).collect(),
            table: Slab::new(),
        }
    }

    /// Returns the link to a placer.
    pub fn get(&self, placer: PlacerId) -> Option<&Link> {
        self.links.get(placer.index())
    }

    /// Returns the link to a placer.
    pub fn get_mut(&mut self, placer: PlacerId) -> Option<&mut Link> {
        self.links.get_mut(placer.index())
    }

    /// Returns the placer whose position among the placers in service is `choice` modulo their count, or `None` if no
    /// placer is in service.
    pub fn choose_in_service(&self, choice: u32) -> Option<PlacerId> {
        let count = self
            .links
            .iter()
            .filter(|link| link.is_in_service())
            .count();
        let chosen = (choice as usize).checked_rem(count)?;
        let (index, _) = self
            .links
            .iter()
            .enumerate()
            .filter(|(_, link)| link.is_in_service())
            .nth(chosen)?;
        u16::try_from(index).ok().map(PlacerId)
    }

    /// Returns the connection in a slot.
    pub fn connection(&mut self, slot: usize) -> Option<&mut ClientConnection> {
        self.table.get_mut(slot)
    }

    /// Returns the connections to all placers.
    pub fn connections(&self) -> impl Iterator<Item = &ClientConnection> {
        self.table.iter().map(|(_, connection)| connection)
    }

    /// Returns the slot of the health-check connection to a placer, opening the connection if needed. Returns `None` if
    /// the placer is not running.
    pub fn health_check_connection(
        &mut self,
        placer: PlacerId,
        registry: &Registry,
    ) -> io::Result<Option<usize>> {
        let Some(link) = self.get(placer) else {
            return Ok(None);
        };
        if link.health_check.is_some() {
            return Ok(link.health_check);
        }
        let opened = self.open(placer, Purpose::HealthCheck, registry)?;
        if let Some(link) = self.get_mut(placer) {
            link.health_check = opened;
        }
        Ok(opened)
    }

    /// Returns the slot of the next connection in a placer's pool, round robin, opening the connection if needed.
    /// Returns `None` if the placer is not running.
    pub fn next_task_connection(
        &mut self,
        placer: PlacerId,
        registry: &Registry,
    ) -> io::Result<Option<usize>> {
        let Some(link) = self.get_mut(placer) else {
            return Ok(None);
        };
        let pool_index = link.next_pool_index % link.pool.len().max(1);
        link.next_pool_index = pool_index + 1;
        if let Some(Some(slot)) = link.pool.get(pool_index) {
            return Ok(Some(*slot));
        }
        let opened = self.open(placer, Purpose::Tasks { pool_index }, registry)?;
        if let Some(pooled) = self
            .get_mut(placer)
            .and_then(|link| link.pool.get_mut(pool_index))
        {
            *pooled = opened;
        }
        Ok(opened)
    }

    /// Opens a connection to a placer and returns its slot, or `None` if the placer is not running.
    fn open(
        &mut self,
        placer: PlacerId,
        purpose: Purpose,
        registry: &Registry,
    ) -> io::Result<Option<usize>> {
        let Some(link) = self.links.get(placer.index()) else {
            return Ok(None);
        };
        let Some(address) = link.address else {
            return Ok(None);
        };
        let kind = match purpose {
            Purpose::HealthCheck => TrafficKind::HealthCheck,
            Purpose::Tasks { .. } => TrafficKind::Client,
        };
        let token = Token(FIRST_CONNECTION + self.table.vacant_key());
        let stream = TcpStream::connect(address)?;
        let connection =
            Connection::new(stream, token, registry, link.counters.clone(), Some(kind))?;
        Ok(Some(self.table.insert(ClientConnection {
            connection,
            placer,
            purpose,
            pending: Vec::new(),
        })))
    }

    /// Removes and returns the connection in a slot, and removes it from its link.
    pub fn close(&mut self, slot: usize) -> Option<ClientConnection> {
        let closed = self.table.try_remove(slot)?;
        if let Some(link) = self.links.get_mut(closed.placer.index()) {
            match closed.purpose {
                Purpose::HealthCheck => link.health_check = None,
                Purpose::Tasks { pool_index } => {
                    if let Some(pooled) = link.pool.get_mut(pool_index) {
                        *pooled = None;
                    }
                }
            }
        }
        Some(closed)
    }

    /// Returns the slots of all connections to a placer.
    pub fn slots_of(&self, placer: PlacerId) -> Vec<usize> {
        self.table
            .iter()
            .filter(|(_, connection)| connection.placer == placer)
            .map(|(slot, _)| slot)
            .collect()
    }
}

//! The clients' connections to all placers.

use crate::identity::{PlacerId, SetupId};
use crate::socket::Connection;
use crate::traffic::{PlacerCounters, TrafficKind};
use mio::net::TcpStream;
use mio::{Registry, Token};
use slab::Slab;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// The first of the connections' tokens.
pub const FIRST_CONNECTION: usize = 1;

/// What a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Tests, as a front makes them.
    HealthCheck,
    /// Tasks; its place among those kept to its placer.
    Tasks(usize),
}

/// A set-up that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingSetUp {
    /// Which.
    pub id: SetupId,
    /// It has crossed the end of a connection before.
    pub is_resent: bool,
}

/// One connection to a placer.
pub struct ClientConnection {
    /// The connection itself.
    pub connection: Connection,
    /// To whom.
    pub placer: PlacerId,
    /// What for.
    pub purpose: Purpose,
    /// Set-ups on it that wait for their answer.
    pub open: Vec<PendingSetUp>,
}

/// One placer, as clients see it.
pub struct Link {
    /// Where it listens, while it is there.
    pub address: Option<SocketAddr>,
    /// Counts its starts, so that what was meant for an earlier one is told apart.
    pub start: u64,
    /// A test has passed since its start.
    pub ready: bool,
    /// The connection for tests.
    test: Option<usize>,
    /// The connections for tasks.
    kept: Vec<Option<usize>>,
    /// The next of them to be used.
    next: usize,
    counters: Arc<PlacerCounters>,
}

impl Link {
    /// Whether tasks go to it.
    pub fn in_service(&self) -> bool {
        self.ready && self.test.is_some()
    }
}

/// All placers and the connections to them.
pub struct Links {
    links: Vec<Link>,
    table: Slab<ClientConnection>,
}

impl Links {
    /// Links to placers that are not there yet, with so many connections for tasks to each.
    pub fn new(counters: Vec<Arc<PlacerCounters>>, kept: usize) -> Links {
        let link = |counters| Link {
            address: None,
            start: 0,
            ready: false,
            test: None,
            kept: vec![None; kept],
            next: 0,
            counters,
        };
        Links {
            links: counters.into_iter().map(link).collect(),
            table: Slab::new(),
        }
    }

    /// One placer.
    pub fn get(&self, placer: PlacerId) -> Option<&Link> {
        self.links.get(placer.index())
    }

    /// One placer.
    pub fn get_mut(&mut self, placer: PlacerId) -> Option<&mut Link> {
        self.links.get_mut(placer.index())
    }

    /// Of the placers in service, the one that a lot draws.
    pub fn draw(&self, lot: u32) -> Option<PlacerId> {
        let count = self.links.iter().filter(|link| link.in_service()).count();
        let chosen = (lot as usize).checked_rem(count)?;
        let in_service = self
            .links
            .iter()
            .enumerate()
            .filter(|(_, link)| link.in_service());
        let (place, _) = in_service.into_iter().nth(chosen)?;
        u16::try_from(place).ok().map(PlacerId)
    }

    /// A connection by its place.
    pub fn connection(&mut self, place: usize) -> Option<&mut ClientConnection> {
        self.table.get_mut(place)
    }

    /// All connections.
    pub fn connections(&self) -> impl Iterator<Item = &ClientConnection> {
        self.table.iter().map(|(_, found)| found)
    }

    /// The connection for tests, made if there is none.
    pub fn test(&mut self, placer: PlacerId, registry: &Registry) -> io::Result<Option<usize>> {
        let Some(link) = self.get(placer) else {
            return Ok(None);
        };
        if link.test.is_some() {
            return Ok(link.test);
        }
        let made = self.open(placer, Purpose::HealthCheck, registry)?;
        if let Some(link) = self.get_mut(placer) {
            link.test = made;
        }
        Ok(made)
    }

    /// The next connection for tasks, made if there is none in its place.
    pub fn next_for_tasks(
        &mut self,
        placer: PlacerId,
        registry: &Registry,
    ) -> io::Result<Option<usize>> {
        let Some(link) = self.get_mut(placer) else {
            return Ok(None);
        };
        let slot = link.next % link.kept.len().max(1);
        link.next = slot + 1;
        if let Some(Some(place)) = link.kept.get(slot) {
            return Ok(Some(*place));
        }
        let made = self.open(placer, Purpose::Tasks(slot), registry)?;
        if let Some(kept) = self
            .get_mut(placer)
            .and_then(|link| link.kept.get_mut(slot))
        {
            *kept = made;
        }
        Ok(made)
    }

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
            Purpose::Tasks(_) => TrafficKind::Client,
        };
        let token = Token(FIRST_CONNECTION + self.table.vacant_key());
        let stream = TcpStream::connect(address)?;
        let connection =
            Connection::new(stream, token, registry, link.counters.clone(), Some(kind))?;
        let open = Vec::new();
        Ok(Some(self.table.insert(ClientConnection {
            connection,
            placer,
            purpose,
            open,
        })))
    }

    /// A connection is over.
    pub fn close(&mut self, place: usize) -> Option<ClientConnection> {
        let closed = self.table.try_remove(place)?;
        if let Some(link) = self.links.get_mut(closed.placer.index()) {
            match closed.purpose {
                Purpose::HealthCheck => link.test = None,
                Purpose::Tasks(slot) => {
                    if let Some(kept) = link.kept.get_mut(slot) {
                        *kept = None;
                    }
                }
            }
        }
        Some(closed)
    }

    /// The places of all connections to a placer.
    pub fn places(&self, placer: PlacerId) -> Vec<usize> {
        self.table
            .iter()
            .filter(|(_, found)| found.placer == placer)
            .map(|(place, _)| place)
            .collect()
    }
}

//! Counters for the traffic to and from each placer, counted at the simulated peers.
//!
//! Bytes are TCP payload. Each connection belongs to one [`TrafficKind`]; a connection to a worker that never carries
//! a task counts as control traffic. All bytes of the sockets are counted a second time, independently of the kinds, so
//! that tests can compare the sums.

use serde::{Deserialize, Serialize};
use std::ops::{AddAssign, Sub};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// The purpose of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficKind {
    /// Control traffic: the control feed.
    Feed,
    /// Control traffic: health checks and their results.
    HealthCheck,
    /// Control traffic: a connection to a worker that has carried no task.
    IdleWorker,
    /// Control traffic: the configuration that a placer reads at its start.
    Configuration,
    /// Service traffic: a connection to a worker that has carried a task.
    Worker,
    /// Service traffic: a connection of a client.
    Client,
}

/// The number of [`TrafficKind`]s.
const KINDS: usize = 6;

/// The direction of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From a simulated peer to the placer.
    ToPlacer,
    /// From the placer to a simulated peer.
    FromPlacer,
}

/// The amount of traffic in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Volume {
    /// The number of bytes of TCP payload.
    pub bytes: u64,
    /// The number of complete messages.
    pub messages: u64,
}

/// The volume in both directions, and the number of connections that were opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flow {
    /// The volume from simulated peers to the placer.
    pub to_placer: Volume,
    /// The volume from the placer to simulated peers.
    pub from_placer: Volume,
    /// The number of connections that were opened.
    pub connections: u64,
}

/// Traffic that carries no tasks, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlTraffic {
    /// Traffic of the control feed.
    pub feed: Flow,
    /// Traffic of health checks and their results.
    #[serde(rename = "test")]
    pub health_check: Flow,
    /// Traffic on connections to workers that have carried no task.
    pub idle_worker: Flow,
    /// The configuration that a placer reads at its start.
    pub configuration: Flow,
}

/// Traffic that carries tasks, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTraffic {
    /// Traffic on connections to workers that have carried tasks.
    pub worker: Flow,
    /// Traffic on connections of clients.
    pub client: Flow,
}

/// All traffic of one placer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Control traffic.
    pub control: ControlTraffic,
    /// Traffic that carries tasks.
    pub service: ServiceTraffic,
    /// The bytes to the placer on all sockets, counted independently of the kinds.
    pub raw_to_placer: u64,
    /// The bytes from the placer on all sockets, counted independently of the kinds.
    pub raw_from_placer: u64,
}

/// Counts of what a control feed has sent to a placer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedCounts {
    /// The number of events that list changes.
    pub change_events: u64,
    /// The number of events with the complete list of workers.
    #[serde(rename = "whole_events")]
    pub complete_list_events: u64,
    /// The number of lines that hold only a sequence number.
    pub number_lines: u64,
    /// The number of entries, in all events, of workers that are up.
    pub entries_up: u64,
    /// The number of entries, in all events, of workers that were removed.
    pub entries_removed: u64,
}

impl AddAssign for Volume {
    fn add_assign(&mut self, other: Volume) {
        self.bytes += other.bytes;
        self.messages += other.messages;
    }
}

impl Sub for Volume {
    type Output = Volume;

    fn sub(self, before: Volume) -> Volume {
        Volume {
            bytes: self.bytes.saturating_sub(before.bytes),
            messages: self.messages.saturating_sub(before.messages),
        }
    }
}

impl AddAssign for Flow {
    fn add_assign(&mut self, other: Flow) {
        self.to_placer += other.to_placer;
        self.from_placer += other.from_placer;
        self.connections += other.connections;
    }
}

impl Sub for Flow {
    type Output = Flow;

    fn sub(self, before: Flow) -> Flow {
        Flow {
            to_placer: self.to_placer - before.to_placer,
            from_placer: self.from_placer - before.from_placer,
            connections: self.connections.saturating_sub(before.connections),
        }
    }
}

impl ControlTraffic {
    /// Returns the sum of all kinds.
    pub fn total(&self) -> Flow {
        sum([
            self.feed,
            self.health_check,
            self.idle_worker,
            self.configuration,
        ])
    }
}

impl ServiceTraffic {
    /// Returns the sum of all kinds.
    pub fn total(&self) -> Flow {
        sum([self.worker, self.client])
    }
}

impl Traffic {
    /// Returns the sum of all kinds.
    pub fn total(&self) -> Flow {
        sum([self.control.total(), self.service.total()])
    }
}

fn sum<const N: usize>(flows: [Flow; N]) -> Flow {
    let mut total = Flow::default();
    flows.into_iter().for_each(|flow| total += flow);
    total
}

impl Sub for Traffic {
    type Output = Traffic;

    fn sub(self, before: Traffic) -> Traffic {
        Traffic {
            control: ControlTraffic {
                feed: self.control.feed - before.control.feed,
                health_check: self.control.health_check - before.control.health_check,
                idle_worker: self.control.idle_worker - before.control.idle_worker,
                configuration: self.control.configuration - before.control.configuration,
            },
            service: ServiceTraffic {
                worker: self.service.worker - before.service.worker,
                client: self.service.client - before.service.client,
            },
            raw_to_placer: self.raw_to_placer.saturating_sub(before.raw_to_placer),
            raw_from_placer: self.raw_from_placer.saturating_sub(before.raw_from_placer),
        }
    }
}

impl AddAssign for Traffic {
    fn add_assign(&mut self, other: Traffic) {
        self.control.feed += other.control.feed;
        self.control.health_check += other.control.health_check;
        self.control.idle_worker += other.control.idle_worker;
        self.control.configuration += other.control.configuration;
        self.service.worker += other.service.worker;
        self.service.client += other.service.client;
        self.raw_to_placer += other.raw_to_placer;
        self.raw_from_placer += other.raw_from_placer;
    }
}

impl AddAssign for FeedCounts {
    fn add_assign(&mut self, other: FeedCounts) {
        self.change_events += other.change_events;
        self.complete_list_events += other.complete_list_events;
        self.number_lines += other.number_lines;
        self.entries_up += other.entries_up;
        self.entries_removed += other.entries_removed;
    }
}

impl Sub for FeedCounts {
    type Output = FeedCounts;

    fn sub(self, before: FeedCounts) -> FeedCounts {
        FeedCounts {
            change_events: self.change_events.saturating_sub(before.change_events),
            complete_list_events: self
                .complete_list_events
                .saturating_sub(before.complete_list_events),
            number_lines: self.number_lines.saturating_sub(before.number_lines),
            entries_up: self.entries_up.saturating_sub(before.entries_up),
            entries_removed: self.entries_removed.saturating_sub(before.entries_removed),
        }
    }
}

#[derive(Debug, Default)]
struct VolumeCounter {
    bytes: AtomicU64,
    messages: AtomicU64,
}

impl VolumeCounter {
    fn add(&self, volume: Volume) {
        self.bytes.fetch_add(volume.bytes, Relaxed);
        self.messages.fetch_add(volume.messages, Relaxed);
    }

    fn read(&self) -> Volume {
        Volume {
            bytes: self.bytes.load(Relaxed),
            messages: self.messages.load(Relaxed),
        }
    }
}

#[derive(Debug, Default)]
struct FlowCounter {
    to_placer: VolumeCounter,
    from_placer: VolumeCounter,
    connections: AtomicU64,
}

impl FlowCounter {
    fn read(&self) -> Flow {
        Flow {
            to_placer: self.to_placer.read(),
            from_placer: self.from_placer.read(),
            connections: self.connections.load(Relaxed),
        }
    }
}

/// The counters of one placer, shared by the threads that exchange messages with it.
#[derive(Debug, Default)]
pub struct PlacerCounters {
    kinds: [FlowCounter; KINDS],
    raw_to_placer: AtomicU64,
    raw_from_placer: AtomicU64,
    change_events: AtomicU64,
    complete_list_events: AtomicU64,
    number_lines: AtomicU64,
    entries_up: AtomicU64,
    entries_removed: AtomicU64,
}

impl PlacerCounters {
    fn kind(&self, kind: TrafficKind) -> &FlowCounter {
        let [
            feed,
            health_check,
            idle_worker,
            configuration,
            worker,
            client,
        ] = &self.kinds;
        match kind {
            TrafficKind::Feed => feed,
            TrafficKind::HealthCheck => health_check,
            TrafficKind::IdleWorker => idle_worker,
            TrafficKind::Configuration => configuration,
            TrafficKind::Worker => worker,
            TrafficKind::Client => client,
        }
    }

    /// Adds bytes and messages to the counts of a kind.
    pub fn add(&self, kind: TrafficKind, direction: Direction, volume: Volume) {
        let flow = self.kind(kind);
        match direction {
            Direction::ToPlacer => flow.to_placer.add(volume),
            Direction::FromPlacer => flow.from_placer.add(volume),
        }
    }

    /// Counts a connection of a kind.
    pub fn add_connection(&self, kind: TrafficKind) {
        self.kind(kind).connections.fetch_add(1, Relaxed);
    }

    /// Adds bytes to the count of all sockets, which is independent of the kinds.
    pub fn add_raw(&self, direction: Direction, bytes: u64) {
        match direction {
            Direction::ToPlacer => self.raw_to_placer.fetch_add(bytes, Relaxed),
            Direction::FromPlacer => self.raw_from_placer.fetch_add(bytes, Relaxed),
        };
    }

    /// Adds to the counts of what the feed has sent.
    pub fn add_feed(&self, counts: FeedCounts) {
        self.change_events.fetch_add(counts.change_events, Relaxed);
        self.complete_list_events
            .fetch_add(counts.complete_list_events, Relaxed);
        self.number_lines.fetch_add(counts.number_lines, Relaxed);
        self.entries_up.fetch_add(counts.entries_up, Relaxed);
        self.entries_removed
            .fetch_add(counts.entries_removed, Relaxed);
    }

    /// Returns the traffic counted so far.
    pub fn traffic(&self) -> Traffic {
        let read = |kind| self.kind(kind).read();
        Traffic {
            control: ControlTraffic {
                feed: read(TrafficKind::Feed),
                health_check: read(TrafficKind::HealthCheck),
                idle_worker: read(TrafficKind::IdleWorker),
                configuration: read(TrafficKind::Configuration),
            },
            service: ServiceTraffic {
                worker: read(TrafficKind::Worker),
                client: read(TrafficKind::Client),
            },
            raw_to_placer: self.raw_to_placer.load(Relaxed),
            raw_from_placer: self.raw_from_placer.load(Relaxed),
        }
    }

    /// Returns the counts of what the feed has sent so far.
    pub fn feed(&self) -> FeedCounts {
        FeedCounts {
            change_events: self.change_events.load(Relaxed),
            complete_list_events: self.complete_list_events.load(Relaxed),
            number_lines: self.number_lines.load(Relaxed),
            entries_up: self.entries_up.load(Relaxed),
            entries_removed: self.entries_removed.load(Relaxed),
        }
    }
}

#[cfg(test)]
mod tests;

//! The socket side of a cluster's hosts: connections, messages of placers, and the ticks of each model.

use super::HostFault;
use super::host_process::{Close, HostProcess, OfferedTask, PlacerConnection};
use super::runtime::Runtime;
use super::state::EndpointChange;
use super::task_description::parse_description;
use crate::event_log::{Event, EventLog, HostReport, ListedState, fingerprint};
use crate::host_model::{
    EndReason, HostModel, Micros, Resources, StopOutcome, TaskUpdate, TaskUpdates, Warmth,
};
use crate::{hex, unix_ms};
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::io::BufReader;
use futures_lite::{AsyncBufReadExt, AsyncWriteExt, FutureExt, future};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Identifies a connection to the process in a slot.
#[derive(Clone, Copy)]
struct ConnectionRef {
    slot: usize,
    /// The number of the host in the event log, which differs for each process in the slot.
    host: usize,
    id: u64,
}

impl Runtime {
    /// Starts a process in a slot, which accepts connections from these listeners.
    pub(super) fn start_host(
        &self,
        slot: usize,
        listeners: Vec<Async<TcpListener>>,
        warmth: Warmth,
    ) {
        let (wake, woken) = async_channel::bounded(1);
        let (stop, stopped) = async_channel::bounded(1);
        self.with(|state| {
            let now = state.log.now();
            let seed = state.config.seed & 0xffff;
            let name = format!("s-{:04x}{seed:04x}", state.host_count);
            state.host_count += 1;
            let process = HostProcess {
                number: state.log.register_host(&name),
                name,
                model: HostModel::new(state.config.host_spec.clone(), now, warmth),
                connections: BTreeMap::new(),
                next_connection: 0,
                tasks: HashMap::new(),
                placer_of_connection: HashMap::new(),
                unacknowledged: BTreeMap::new(),
                fault: HostFault::None,
                state: ListedState::Up,
                born_ms: match warmth {
                    Warmth::Cold => unix_ms(),
                    Warmth::Warm => 0,
                },
                suppressed: Vec::new(),
                wake,
                stop,
                reported_free: Resources::default(),
            };
            let zone = state.slots.get(slot).map_or(0, |slot| slot.zone);
            state.shared().host_zones.push(zone);
            state.shared().host_slots.push(slot);
            if let Some(slot) = state.slots.get_mut(slot) {
                slot.process = Some(process);
            }
        });
        let separate = listeners.len() > 1;
        for (placer, listener) in listeners.into_iter().enumerate() {
            let (runtime, stopped) = (self.clone(), stopped.clone());
            self.spawn(async move {
                let stop = async {
                    // A single message ends all listeners, because the channel is closed after it.
                    while stopped.recv().await.is_ok() {}
                };
                runtime
                    .accept_connections(slot, separate.then_some(placer), listener)
                    .or(stop)
                    .await;
            });
        }
        let runtime = self.clone();
        self.spawn(async move { runtime.tick_host(slot, woken).await });
    }

    async fn accept_connections(
        &self,
        slot: usize,
        placer: Option<usize>,
        listener: Async<TcpListener>,
    ) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.get_ref().set_nodelay(true);
            let (output, lines) = async_channel::unbounded::<Vec<u8>>();
            let (close, closed) = async_channel::bounded(1);
            let connection = PlacerConnection {
                placer,
                output,
                close,
            };
            let connection = self.with(|state| {
                let process = state.process(slot)?;
                let id = process.add_connection(connection);
                let host = process.number;
                state.log.record(Event::HostConnected { host });
                Some(ConnectionRef { slot, host, id })
            });
            let Some(connection) = connection else { return };
            let runtime = self.clone();
            self.spawn(async move {
                let close = runtime
                    .serve_connection(connection, &stream, lines, closed)
                    .await;
                if close == Close::Reset {
                    let _ = rustix::net::sockopt::set_socket_linger(
                        stream.get_ref(),
                        Some(Duration::ZERO),
                    );
                }
                drop(stream);
                runtime.connection_ended(connection);
            });
        }
    }

    /// Serves one connection until it ends, and returns how it is to be closed.
    async fn serve_connection(
        &self,
        connection: ConnectionRef,
        stream: &Async<TcpStream>,
        lines: Receiver<Vec<u8>>,
        closed: Receiver<Close>,
    ) -> Close {
        let write = async {
            let mut writer = stream;
            while let Ok(line) = lines.recv().await {
                if writer.write_all(&line).await.is_err() {
                    break;
                }
            }
            Close::Graceful
        };
        let read = self.read_messages(connection, stream);
        let close = async { closed.recv().await.unwrap_or(Close::Graceful) };
        let close = read.or(write).or(close).await;
        // Reports that were queued before the placer closed its side are still sent, because the placer may have shut
        // down only its writes.
        while let Some(line) = lines.try_recv().ok().filter(|_| close == Close::Graceful) {
            let mut writer = stream;
            if writer.write_all(&line).await.is_err() {
                break;
            }
        }
        close
    }

    async fn read_messages(&self, connection: ConnectionRef, stream: &Async<TcpStream>) -> Close {
        let mut reader = BufReader::new(stream);
        let mut line = Vec::new();
        loop {
            let fault = self.with(|state| {
                let process = state.process(connection.slot);
                process.map_or(HostFault::None, |process| process.fault)
            });
            // Waits until an offer has arrived, but does not read it.
            if fault == HostFault::ResetBeforeRead && stream.readable().await.is_ok() {
                return Close::Reset;
            }
            line.clear();
            match reader.read_until(b'\n', &mut line).await {
                Ok(count) if count > 0 && line.last() == Some(&b'\n') => {}
                _ => return Close::Graceful,
            }
            let Ok(message) = simd_json::to_owned_value(&mut line) else {
                return Close::Reset;
            };
            if self.handle_message(connection, &message) == Continue::Reset {
                return Close::Reset;
            }
        }
    }

    /// Handles a message of a placer, and returns whether its connection continues.
    fn handle_message(&self, connection: ConnectionRef, message: &OwnedValue) -> Continue {
        let (next, updates) = self.with(|state| {
            let log = state.log.clone();
            let process = state
                .process(connection.slot)
                .filter(|process| process.number == connection.host);
            match process {
                Some(process) => process.handle_message(&log, connection.id, message),
                None => (Continue::Reset, Vec::new()),
            }
        });
        self.report(connection.slot, updates);
        next
    }

    /// Removes a connection that has ended, and withdraws the offers that are still open on it.
    fn connection_ended(&self, connection: ConnectionRef) {
        self.with(|state| {
            let log = state.log.clone();
            let process = state
                .process(connection.slot)
                .filter(|process| process.number == connection.host);
            if let Some(process) = process {
                process.remove_connection(&log, connection.id);
            }
        });
    }

    /// Reports updates of the model in a slot to the placers concerned, or withholds them while the host is silent.
    pub(super) fn report(&self, slot: usize, updates: TaskUpdates) {
        self.with(|state| {
            let log = state.log.clone();
            let Some(process) = state.process(slot) else {
                return;
            };
            for (id, update) in updates {
                if process.fault == HostFault::Silent {
                    process.suppressed.push((id, update));
                } else {
                    process.report(&log, id, update);
                }
            }
        });
    }

    /// Ticks the model in a slot whenever a change is due, until the process has ended.
    async fn tick_host(&self, slot: usize, woken: Receiver<()>) {
        loop {
            let next_due = self.with(|state| {
                let log = state.log.clone();
                let process = state.process(slot)?;
                process.model.next_due().map(|at| log.instant(at))
            });
            let due = async {
                match next_due {
                    Some(at) => {
                        Timer::at(at).await;
                        true
                    }
                    None => future::pending().await,
                }
            };
            let wake = async { woken.recv().await.is_ok() };
            if !due.or(wake).await {
                return;
            }
            let updates = self.with(|state| {
                let now = state.log.now();
                state
                    .process(slot)
                    .map(|process| process.model.tick(now))
                    .unwrap_or_default()
            });
            self.report(slot, updates);
        }
    }

    /// Kills the process in a slot, and reports its removal through all feeds.
    pub(super) fn kill_host(&self, slot: usize) {
        let killed = self.with(|state| {
            let slot = state.slots.get_mut(slot)?;
            let process = slot.process.take()?;
            state.log.host_died(process.number);
            Some(process)
        });
        let Some(process) = killed else { return };
        let _ = process.stop.try_send(());
        for connection in process.connections.values() {
            let _ = connection.close.try_send(Close::Reset);
        }
        self.notify_feeds(vec![EndpointChange {
            host: process.number,
            endpoint: json!({ "host": process.name.as_str(), "health": "removed" }),
            state: ListedState::Removed,
        }]);
        self.with(|state| state.publish_endpoints());
    }
}

/// What happens to a connection after a message: reading continues, or the connection is reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Continue {
    Read,
    Reset,
}

impl HostProcess {
    /// Handles a message of a placer, and returns whether the connection continues and which updates to report.
    fn handle_message(
        &mut self,
        log: &EventLog,
        connection: u64,
        message: &OwnedValue,
    ) -> (Continue, TaskUpdates) {
        let id = message
            .get_str("ref")
            .and_then(|id| u64::from_str_radix(id, 16).ok())
            .unwrap_or(0);
        match message.get_str("t") {
            Some("new") => return self.handle_offer(log, connection, id, message),
            Some("down") => return (Continue::Read, self.handle_stop(log, id)),
            Some("ack") => {
                self.unacknowledged.remove(&id);
            }
            Some("hb") => {
                let reply = json!({ "t": "hb_ok", "ref": hex(id), "f": {}, "c": 1 });
                self.send(connection, &reply);
            }
            _ => {}
        }
        (Continue::Read, Vec::new())
    }

    fn handle_offer(
        &mut self,
        log: &EventLog,
        connection: u64,
        id: u64,
        message: &OwnedValue,
    ) -> (Continue, TaskUpdates) {
        let now = log.now();
        let host = self.number;
        let field = |name| {
            message
                .get("f")
                .and_then(|fields| fields.get_str(name))
                .unwrap_or_default()
        };
        let description = message.get_str("d").unwrap_or_default();
        let received = Event::OfferReceived {
            id,
            host,
            description: fingerprint(description),
        };
        log.record_at(now, received);
        if self.fault == HostFault::ResetAfterRead {
            let report = HostReport::ConnectionReset;
            log.record_at(now, Event::HostReported { id, host, report });
            return (Continue::Reset, Vec::new());
        }
        let key = u64::from_str_radix(field("key"), 16).unwrap_or(0);
        let time_left: Micros = field("left").parse::<i64>().unwrap_or(0) * 1_000;
        self.tasks.insert(id, OfferedTask { connection, key });
        let offer = parse_description(description, id, time_left);
        if self.model.offer(now, offer) {
            log.record_at(now, Event::HostOverloaded { host });
        }
        let updates = self.model.tick(now);
        let _ = self.wake.try_send(());
        (Continue::Read, updates)
    }

    fn handle_stop(&mut self, log: &EventLog, id: u64) -> TaskUpdates {
        let now = log.now();
        let host = self.number;
        let mut updates = Vec::new();
        match self.model.stop(id) {
            StopOutcome::NotStarted => {
                log.record_at(now, Event::AttemptStopped { id, host });
                self.tasks.remove(&id);
            }
            StopOutcome::Running => {
                log.record_at(now, Event::AttemptStopped { id, host });
                if let Some(task) = self.tasks.get(&id) {
                    log.task_ended(task.key, host);
                }
                updates.push((id, TaskUpdate::Ended(EndReason::Stopped)));
            }
            StopOutcome::Unknown => {}
        }
        let _ = self.wake.try_send(());
        updates
    }

    /// Removes a connection, and withdraws the offers that are still open on it.
    fn remove_connection(&mut self, log: &EventLog, connection: u64) {
        self.connections.remove(&connection);
        let running: BTreeSet<u64> = self.model.running_ids().collect();
        let open: Vec<u64> = self
            .tasks
            .iter()
            .filter(|(id, task)| task.connection == connection && !running.contains(id))
            .map(|(id, _)| *id)
            .collect();
        let host = self.number;
        for id in open {
            if self.model.stop(id) == StopOutcome::NotStarted {
                log.record(Event::OfferConnectionClosed { id, host });
            }
            self.tasks.remove(&id);
        }
    }
}

//! The generator's connections to placers: chooses the connection for a message, reads and writes sockets, and handles
//! the requests of connections that end.

use super::MILLISECOND;
use super::connection::Connection;
use super::generator::Generator;
use crate::clients::Event;
use crate::load_profile::Micros;
use async_channel::Receiver;
use async_io::{Async, Timer};
use emulator::Message;
use emulator::event_log::Event as LogEvent;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A request that was written at most this long before the placer closed the connection is sent again, once, since the
/// close may have crossed it in flight.
const RESEND_WINDOW: Micros = 50 * MILLISECOND;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// The placer closed the connection without an error, or the generator closed it because it was idle.
    Closed,
    /// The connection failed, or could not be established.
    Failed,
}

impl Generator {
    /// Queues a message on the connection that carries an open request, which is no longer open afterwards.
    pub(super) fn send_on_request_connection(&self, id: u64, bytes: &[u8]) {
        let mut state = self.state.borrow_mut();
        let connection = state
            .connections
            .values_mut()
            .find(|connection| connection.open_requests.contains_key(&id));
        if let Some(connection) = connection {
            connection.open_requests.remove(&id);
            connection.push(bytes);
        }
    }

    /// Queues a request on a connection to a placer, and returns the connection's id.
    pub(super) fn send_request(self: &Rc<Self>, placer: usize, id: u64, bytes: &[u8]) -> u64 {
        let chosen = self.pick_connection(placer);
        let mut state = self.state.borrow_mut();
        if let Some(connection) = state.connections.get_mut(&chosen) {
            connection.push_request(id, bytes);
        }
        chosen
    }

    /// Queues a message that is not answered on a connection to a placer, and returns the connection's id.
    pub(super) fn send_message(self: &Rc<Self>, placer: usize, bytes: &[u8]) -> u64 {
        let chosen = self.pick_connection(placer);
        let mut state = self.state.borrow_mut();
        if let Some(connection) = state.connections.get_mut(&chosen) {
            connection.push(bytes);
        }
        chosen
    }

    /// Returns the connection to a placer with the fewest requests, or a new one if all have requests and the maximum
    /// number of connections is not reached.
    fn pick_connection(self: &Rc<Self>, placer: usize) -> u64 {
        let existing = {
            let state = self.state.borrow();
            let mut candidates: Vec<(usize, u64)> = state
                .connections
                .iter()
                .filter(|(_, connection)| connection.placer == placer)
                .map(|(id, connection)| (connection.request_count(), *id))
                .collect();
            candidates.sort_unstable();
            let is_full = candidates.len() >= self.plan.clients.connections_per_placer;
            candidates
                .first()
                .filter(|(requests, _)| is_full || *requests == 0)
                .map(|(_, id)| *id)
        };
        existing.unwrap_or_else(|| self.open_connection(placer))
    }

    /// Opens a connection and returns its id. Messages are queued until the connection is established.
    fn open_connection(self: &Rc<Self>, placer: usize) -> u64 {
        let (wake, woken) = async_channel::bounded(1);
        let id = {
            let mut state = self.state.borrow_mut();
            let id = state.next_connection;
            state.next_connection += 1;
            state.connections.insert(id, Connection::new(placer, wake));
            id
        };
        let generator = self.clone();
        self.executor
            .spawn(async move { generator.serve_connection(id, placer, woken).await })
            .detach();
        id
    }

    async fn serve_connection(self: Rc<Self>, id: u64, placer: usize, woken: Receiver<()>) {
        let Some(addresses) = self.placers.get(placer).copied() else {
            return;
        };
        let connect = async { Async::<TcpStream>::connect(addresses.clients).await.ok() };
        let timeout = async {
            Timer::after(CONNECT_TIMEOUT).await;
            None
        };
        let mut end = ConnectionEnd::Failed;
        if let Some(stream) = connect.or(timeout).await {
            let _ = stream.get_ref().set_nodelay(true);
            end = self
                .read_messages(id, placer, &stream)
                .or(self.write_queue(id, &stream, woken))
                .await;
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
        self.connection_ended(id, placer, end);
    }

    async fn read_messages(
        self: &Rc<Self>,
        id: u64,
        placer: usize,
        mut stream: &Async<TcpStream>,
    ) -> ConnectionEnd {
        let mut inbox = Vec::new();
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            match stream.read(&mut buffer).await {
                Ok(0) => return ConnectionEnd::Closed,
                Ok(count) => inbox.extend_from_slice(buffer.get(..count).unwrap_or_default()),
                Err(_) => return ConnectionEnd::Failed,
            }
            let mut decoded = 0;
            while let Some((message, length)) =
                Message::decode(inbox.get(decoded..).unwrap_or_default())
            {
                decoded += length;
                self.handle_message(Some(id), placer, &message);
            }
            inbox.drain(..decoded.min(inbox.len()));
        }
    }

    /// Writes queued bytes, and records the requests that are written completely. Returns when the connection is idle
    /// or fails.
    async fn write_queue(
        self: &Rc<Self>,
        id: u64,
        mut stream: &Async<TcpStream>,
        woken: Receiver<()>,
    ) -> ConnectionEnd {
        loop {
            let next = {
                let state = self.state.borrow();
                let connection = state.connections.get(&id);
                connection.map(Connection::next_write)
            };
            let Some(bytes) = next else {
                return ConnectionEnd::Closed;
            };
            if bytes.is_empty() {
                let wake = async { woken.recv().await.is_ok() };
                let idle = async {
                    Timer::after(self.plan.clients.idle_timeout).await;
                    false
                };
                if !wake.or(idle).await && self.is_connection_idle(id) {
                    return ConnectionEnd::Closed;
                }
                continue;
            }
            let Ok(count) = stream.write(&bytes).await else {
                return ConnectionEnd::Failed;
            };
            self.bytes_written(id, count);
        }
    }

    fn is_connection_idle(&self, id: u64) -> bool {
        let state = self.state.borrow();
        state.connections.get(&id).is_none_or(Connection::is_idle)
    }

    fn bytes_written(&self, id: u64, count: usize) {
        let now = self.log.now();
        let mut state = self.state.borrow_mut();
        let complete = match state.connections.get_mut(&id) {
            Some(connection) => connection.written(count, now),
            None => Vec::new(),
        };
        for request in complete {
            if let Some(sent) = state.sent.get(&request) {
                self.log.record_at(now, sent.event.clone());
            }
        }
    }

    /// Handles the end of a connection. Requests that were written completely may have been accepted by the placer.
    fn connection_ended(self: &Rc<Self>, id: u64, placer: usize, end: ConnectionEnd) {
        let now = self.log.now();
        let Some(connection) = self.state.borrow_mut().connections.remove(&id) else {
            return;
        };
        if self.stopped.get() {
            return;
        }
        let requests = connection.into_requests();
        for id in requests.unsent {
            self.notify_clients(now, Event::RequestUnsent(id), None);
        }
        for (id, written_at) in requests.written {
            let may_have_crossed =
                end == ConnectionEnd::Closed && now - written_at <= RESEND_WINDOW;
            let resend = if may_have_crossed {
                self.take_resend(id)
            } else {
                None
            };
            match resend {
                Some(bytes) => {
                    self.send_request(placer, id, &bytes);
                }
                None => {
                    self.log.record(LogEvent::ClientDisconnected { id });
                    self.notify_clients(now, Event::Disconnected(id), None);
                }
            }
        }
    }

    /// Returns the bytes of a request that has not been sent again yet, and marks it as sent again.
    fn take_resend(&self, id: u64) -> Option<Vec<u8>> {
        let mut state = self.state.borrow_mut();
        let sent = state.sent.get_mut(&id).filter(|sent| !sent.was_resent)?;
        sent.was_resent = true;
        Some(sent.bytes.clone())
    }
}

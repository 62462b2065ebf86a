//! Answers health checks of load balancers: the listeners, and one asynchronous task for each connection.
//!
//! The [`reporter`] supplies what is reported; `agent` and `http` parse the checks and encode the answers.

mod agent;
mod answers;
pub mod connection_limiter;
mod http;
pub mod reporter;
mod state_json;

use super::clients::accept_fault::pause_after_accept_error;
use super::dispatch::SharedDispatch;
use super::retry::retry;
use crate::operator;
use agent::AgentLine;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use connection_limiter::{ConnectionLimiter, ConnectionPermit, Eviction};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use task_placer::Micros;
use task_placer::health::drain::{CheckKind, Poller};
use tracing::{debug, info};

/// The maximum time that a peer is given to read the last answer and close the connection, in microseconds.
const LINGER: Micros = 1_000_000;
const READ_BUFFER_BYTES: usize = 1_024;
/// The maximum number of bytes that are read and discarded from a peer that does not close the connection.
const MAX_LINGER_BYTES: usize = 64 * READ_BUFFER_BYTES;

/// Why a load balancer's connection was closed; logged once per connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    Answered,
    ClosedByPeer,
    Failed(io::ErrorKind),
    Malformed,
    Rejected(u16),
    Evicted(Eviction),
}

impl std::fmt::Display for CloseReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CloseReason::Answered => f.write_str("answered"),
            CloseReason::ClosedByPeer => f.write_str("closed"),
            CloseReason::Failed(kind) => write!(f, "failed:{kind}"),
            CloseReason::Malformed => f.write_str("malformed"),
            CloseReason::Rejected(status) => write!(f, "rejected:{status}"),
            CloseReason::Evicted(Eviction::LimitReached) => f.write_str("evicted"),
            CloseReason::Evicted(Eviction::DeadlinePassed) => f.write_str("timeout"),
        }
    }
}

impl From<io::Error> for CloseReason {
    fn from(error: io::Error) -> CloseReason {
        CloseReason::Failed(error.kind())
    }
}

/// Opens all listeners, and starts tasks that answer health checks on them until the process exits.
///
/// # Errors
///
/// Returns the error of the first listener that can't be opened, with the field of the operator's file that names its
/// address.
pub async fn open(
    settings: &operator::HealthSettings,
    executor: &Rc<LocalExecutor<'static>>,
    shared: &SharedDispatch,
) -> io::Result<()> {
    for address in &settings.agent_addresses {
        listen(CheckKind::Agent, *address, executor, shared).await?;
    }
    for address in &settings.http_addresses {
        listen(CheckKind::Http, *address, executor, shared).await?;
    }
    Ok(())
}

async fn listen(
    check: CheckKind,
    address: SocketAddr,
    executor: &Rc<LocalExecutor<'static>>,
    shared: &SharedDispatch,
) -> io::Result<()> {
    let field = match check {
        CheckKind::Agent => "health.agent",
        CheckKind::Http => "health.http",
    };
    let bound = retry(field, || Async::<TcpListener>::bind(address)).await;
    let listener = bound.map_err(|error| {
        let message = format!("{field}: can't listen at {address}: {error}");
        io::Error::new(error.kind(), message)
    })?;
    info!(?check, address = %listener.get_ref().local_addr()?, "listening for health checks");
    executor
        .spawn(accept(check, listener, shared.clone()))
        .detach();
    Ok(())
}

async fn accept(check: CheckKind, listener: Async<TcpListener>, shared: SharedDispatch) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let dispatch = shared.borrow();
                let limiter = dispatch.balancer_connections.clone();
                let deadline = dispatch.clock.now() + dispatch.poll_timeout(check);
                let connection = Connection {
                    check,
                    stream,
                    peer,
                    permit: limiter.admit(deadline),
                    limiter,
                    shared: shared.clone(),
                };
                dispatch.task_spawner.spawn(connection.serve());
            }
            Err(error) => pause_after_accept_error(&shared, &error).await,
        }
        // Lets the tasks of evicted connections close their descriptors before the next connection is accepted.
        future::yield_now().await;
    }
}

/// A load balancer's connection.
struct Connection {
    check: CheckKind,
    stream: Async<TcpStream>,
    peer: SocketAddr,
    permit: ConnectionPermit,
    limiter: Rc<ConnectionLimiter>,
    shared: SharedDispatch,
}

impl Connection {
    /// Answers health checks until the connection ends, and logs why it ended.
    async fn serve(self) {
        let evicted = async { CloseReason::Evicted(self.permit.evicted().await) };
        let reason = future::or(self.answer_and_linger(), evicted).await;
        self.limiter.release(&self.permit);
        let (check, peer) = (self.check, self.peer);
        match reason {
            // A poll that ended as usual is logged at debug level only, since there are thousands of polls an hour.
            CloseReason::Answered | CloseReason::ClosedByPeer => {
                debug!(?check, %peer, %reason, "health check connection closed");
            }
            _ => info!(?check, %peer, %reason, "health check connection closed"),
        }
    }

    async fn answer_and_linger(&self) -> CloseReason {
        let result = match self.check {
            CheckKind::Agent => self.answer_agent().await,
            CheckKind::Http => self.answer_http().await,
        };
        let reason = result.unwrap_or_else(|reason| reason);
        if matches!(reason, CloseReason::Answered | CloseReason::Rejected(_)) {
            self.extend(LINGER);
            linger(&self.stream).await;
        }
        reason
    }

    /// Sets the connection's deadline to `duration` microseconds from now.
    fn extend(&self, duration: Micros) {
        let deadline = self.shared.borrow().clock.now() + duration;
        self.limiter.extend(&self.permit, deadline);
    }

    async fn answer_agent(&self) -> Result<CloseReason, CloseReason> {
        let timeout = self.shared.borrow().agent_line_timeout();
        let line = if timeout.is_zero() {
            String::new()
        } else {
            let no_line = async {
                Timer::after(timeout).await;
                Ok(String::new())
            };
            future::or(self.read_agent_line(), no_line).await?
        };
        let poller = Poller {
            kind: CheckKind::Agent,
            name: format!("{} {line}", self.peer.ip()),
        };
        let answer = self.shared.borrow_mut().answer_agent_poll(&poller);
        let mut stream = &self.stream;
        stream.write_all(answer.as_bytes()).await?;
        Ok(CloseReason::Answered)
    }

    /// Reads the line that an agent check may send first. Returns an empty line if the peer sends none.
    async fn read_agent_line(&self) -> Result<String, CloseReason> {
        let mut stream = &self.stream;
        let (mut received, mut buffer) = (Vec::new(), [0; READ_BUFFER_BYTES]);
        loop {
            match agent::parse_line(&received) {
                AgentLine::Complete(line) => return Ok(line),
                AgentLine::Malformed => return Err(CloseReason::Malformed),
                AgentLine::Incomplete => {}
            }
            let count = stream.read(&mut buffer).await?;
            if count == 0 {
                // The peer has closed its sending side, and may still read the answer.
                return Ok(String::new());
            }
            received.extend_from_slice(buffer.get(..count).unwrap_or_default());
        }
    }

    async fn answer_http(&self) -> Result<CloseReason, CloseReason> {
        let mut stream = &self.stream;
        let (mut received, mut buffer) = (Vec::new(), [0; READ_BUFFER_BYTES]);
        loop {
            match http::parse(&received) {
                http::Parsed::Incomplete => {
                    let count = stream.read(&mut buffer).await?;
                    if count == 0 {
                        return Ok(CloseReason::ClosedByPeer);
                    }
                    if received.is_empty() {
                        let timeout = self.shared.borrow().poll_timeout(CheckKind::Http);
                        self.extend(timeout);
                    }
                    received.extend_from_slice(buffer.get(..count).unwrap_or_default());
                }
                http::Parsed::Rejected(status) => {
                    stream.write_all(&http::respond_rejected(status)).await?;
                    return Ok(CloseReason::Rejected(status));
                }
                http::Parsed::Request(request, length) => {
                    received.drain(..length.min(received.len()));
                    self.respond(request).await?;
                    if request.persistence == http::Persistence::Close {
                        return Ok(CloseReason::Answered);
                    }
                    let timeout = self.shared.borrow().idle_timeout();
                    self.extend(timeout);
                    // Lets other tasks run, so that a peer that polls without pause can't occupy the thread.
                    future::yield_now().await;
                }
            }
        }
    }

    async fn respond(&self, request: http::Request) -> io::Result<()> {
        let poller = Poller {
            kind: CheckKind::Http,
            name: self.peer.ip().to_string(),
        };
        let response = self.shared.borrow_mut().answer_http_poll(&poller, &request);
        let mut stream = &self.stream;
        stream.write_all(&response).await
    }
}

/// Closes the sending side, and reads until the peer closes the connection. Closing with unread input would reset the
/// connection, and the peer could lose the answer.
pub async fn linger(stream: &Async<TcpStream>) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let (mut stream, mut buffer, mut total) = (stream, [0; READ_BUFFER_BYTES], 0);
    while let Ok(count) = stream.read(&mut buffer).await {
        total += count;
        if count == 0 || total > MAX_LINGER_BYTES {
            return;
        }
    }
}

/// Converts a duration to microseconds. A duration that does not fit becomes a quarter of the largest value of
/// [`Micros`].
pub fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX / 4)
}

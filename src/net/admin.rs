//! The admin listener, to which operators and the platform connect. A connection carries one command, which is a single
//! line, and its reply. Dispatch executes the commands.

use super::clients::accept_fault::pause_after_accept_error;
use super::codec;
use super::dispatch::{MAX_ADMIN_CONNECTIONS, SharedDispatch};
use super::health::connection_limiter::{ConnectionLimiter, ConnectionPermit};
use super::health::linger;
use super::retry::retry;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use task_placer::Micros;
use task_placer::operation::admin;
use tracing::{debug, info};

/// How long a connection may stay open: the time for sending the command, reading the reply and closing.
const CONNECTION_TIMEOUT: Micros = 5_000_000;

/// Why an admin connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndReason {
    /// The peer's command was answered.
    Answered,
    /// The peer sent a line that is longer than any command.
    TooLong,
    /// The peer closed the connection before it had sent a command.
    Closed,
    /// Reading from or writing to the socket failed.
    Failed,
    /// The connection exceeded its timeout, or its descriptor was needed for another one.
    Evicted,
}

impl fmt::Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EndReason::Answered => "answered",
            EndReason::TooLong => "too-long",
            EndReason::Closed => "closed",
            EndReason::Failed => "failed",
            EndReason::Evicted => "evicted",
        })
    }
}

/// Opens the listener, and serves its connections until the process exits.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn open(
    address: SocketAddr,
    executor: &Rc<LocalExecutor<'static>>,
    shared: &SharedDispatch,
) -> io::Result<Rc<ConnectionLimiter>> {
    let bound = retry("admin", || Async::<TcpListener>::bind(address)).await;
    let listener = bound.map_err(|e| io::Error::new(e.kind(), format!("admin: {address}: {e}")))?;
    let limiter = Rc::new(ConnectionLimiter::new(MAX_ADMIN_CONNECTIONS));
    executor
        .spawn(accept(listener, limiter.clone(), shared.clone()))
        .detach();
    info!(%address, "admin listener open");
    Ok(limiter)
}

async fn accept(
    listener: Async<TcpListener>,
    limiter: Rc<ConnectionLimiter>,
    shared: SharedDispatch,
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let dispatch = shared.borrow();
                let permit = limiter.admit(dispatch.clock.now() + CONNECTION_TIMEOUT);
                dispatch.task_spawner.spawn(serve(
                    stream,
                    peer,
                    permit,
                    limiter.clone(),
                    shared.clone(),
                ));
            }
            Err(e) => pause_after_accept_error(&shared, &e).await,
        }
        // Lets evicted connections close their descriptors before the next connection is accepted.
        future::yield_now().await;
    }
}

/// Serves a connection until it ends or is evicted, and logs why it ended.
async fn serve(
    stream: Async<TcpStream>,
    peer: SocketAddr,
    permit: ConnectionPermit,
    limiter: Rc<ConnectionLimiter>,
    shared: SharedDispatch,
) {
    let evicted = async {
        permit.evicted().await;
        EndReason::Evicted
    };
    let served = async {
        let reason = serve_command(&stream, &shared).await;
        linger(&stream).await;
        reason
    };
    let reason = future::or(served, evicted).await;
    limiter.release(&permit);
    // Answered commands are logged at debug level only, because the platform sends a health check ten times a second.
    match reason {
        EndReason::Answered => debug!(%peer, %reason, "admin connection ended"),
        _ => info!(%peer, %reason, "admin connection ended"),
    }
}

/// Reads a command, executes it, and writes its reply.
async fn serve_command(mut stream: &Async<TcpStream>, shared: &SharedDispatch) -> EndReason {
    let (reply, reason) = match read_command(stream).await {
        Ok(Some(line)) => {
            let reply = shared.borrow_mut().run_admin_command(&line);
            (reply, EndReason::Answered)
        }
        Ok(None) => (
            admin::encode_reply(Err(admin::AdminError::TooLong)),
            EndReason::TooLong,
        ),
        Err(reason) => return reason,
    };
    match stream.write_all(&reply).await {
        Ok(()) => reason,
        Err(_) => EndReason::Failed,
    }
}

/// Reads a line, and returns it without its line feed, or `None` if it is longer than any command.
async fn read_command(mut stream: &Async<TcpStream>) -> Result<Option<Vec<u8>>, EndReason> {
    let (mut inbox, mut buffer) = (Vec::new(), [0; admin::MAX_COMMAND_BYTES]);
    loop {
        match codec::next_line(&mut inbox, admin::MAX_COMMAND_BYTES) {
            Ok(Some(line)) => return Ok(Some(line)),
            Ok(None) => {}
            Err(_) => return Ok(None),
        }
        match stream.read(&mut buffer).await {
            Ok(0) => return Err(EndReason::Closed),
            Ok(count) => inbox.extend_from_slice(buffer.get(..count).unwrap_or_default()),
            Err(_) => return Err(EndReason::Failed),
        }
    }
}

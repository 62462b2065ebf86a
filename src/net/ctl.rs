//! Owns the control socket: a Unix socket that only its owner may use. A connection sends any number of commands, one a
//! line, and gets a reply to each. What a command does is up to dispatch.

use super::clients::accept_fault::pause_after_accept_error;
use super::codec;
use super::dispatch::SharedDispatch;
use super::health::connection_limiter::{ConnectionLimiter, ConnectionPermit};
use super::retry::retry;
use crate::ctl::{self, CommandError};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rustix::fs::Mode;
use rustix::process::umask;
use std::fmt;
use std::io;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::rc::Rc;
use task_placer::Micros;
use tracing::info;

/// Connections at a time.
const MAX_CONNECTIONS: usize = 4;
/// How long a connection may take for a command.
const COMMAND_TIMEOUT: Micros = 5_000_000;
/// Bytes that one read takes at most.
const READ_BUFFER_BYTES: usize = 1_024;
/// The mode bits that a new socket does not get: all but reading and writing by its owner.
const PRIVATE_UMASK: u32 = 0o177;

/// Why a connection ended, as the log names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndReason {
    /// The peer closed it.
    Closed,
    /// The socket failed.
    Failed,
    /// It sent a line longer than any command.
    TooLong,
    /// It took too long, or its descriptor is needed for another.
    TimedOut,
}

impl fmt::Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EndReason::Closed => "closed",
            EndReason::Failed => "failed",
            EndReason::TooLong => "too-long",
            EndReason::TimedOut => "timeout",
        })
    }
}

/// Opens the socket, and serves it for the life of the process.
///
/// # Errors
///
/// Fails if another process answers at the path, or nothing can listen there.
pub async fn open(
    path: &Path,
    executor: &Rc<LocalExecutor<'static>>,
    shared: &SharedDispatch,
) -> io::Result<Rc<ConnectionLimiter>> {
    let with_path =
        |e: io::Error| io::Error::new(e.kind(), format!("ctl.socket: {}: {e}", path.display()));
    remove_stale_socket(path).map_err(with_path)?;
    let listener = retry("ctl.socket", || bind_private(path))
        .await
        .map_err(with_path)?;
    let limiter = Rc::new(ConnectionLimiter::new(MAX_CONNECTIONS));
    executor
        .spawn(accept(listener, limiter.clone(), shared.clone()))
        .detach();
    info!(socket = %path.display(), "control socket open");
    Ok(limiter)
}

/// Removes the socket that a dead process left. One that answers is another placer's.
fn remove_stale_socket(path: &Path) -> io::Result<()> {
    if !path.exists() {
        return Ok(());
    }
    if UnixStream::connect(path).is_ok() {
        let reason = "another process answers there";
        return Err(io::Error::new(io::ErrorKind::AddrInUse, reason));
    }
    std::fs::remove_file(path)
}

/// Binds the socket so that from its first moment on nobody but its owner may use it.
fn bind_private(path: &Path) -> io::Result<Async<UnixListener>> {
    let before = umask(Mode::from_raw_mode(PRIVATE_UMASK));
    let bound = Async::<UnixListener>::bind(path);
    umask(before);
    bound
}

async fn accept(
    listener: Async<UnixListener>,
    limiter: Rc<ConnectionLimiter>,
    shared: SharedDispatch,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let dispatch = shared.borrow();
                let place = limiter.admit(dispatch.clock.now() + COMMAND_TIMEOUT);
                dispatch
                    .task_spawner
                    .spawn(serve(stream, place, limiter.clone(), shared.clone()));
            }
            Err(e) => pause_after_accept_error(&shared, &e).await,
        }
        future::yield_now().await;
    }
}

/// Serves one connection until it ends or is evicted.
async fn serve(
    stream: Async<UnixStream>,
    place: ConnectionPermit,
    limiter: Rc<ConnectionLimiter>,
    shared: SharedDispatch,
) {
    let evicted = async {
        place.evicted().await;
        EndReason::TimedOut
    };
    let served = serve_commands(&stream, &place, &limiter, &shared);
    let reason = future::or(served, evicted).await;
    limiter.release(&place);
    info!(%reason, "ctl connection ended");
}

/// Reads commands, runs them, and writes their replies until the connection ends.
async fn serve_commands(
    mut stream: &Async<UnixStream>,
    place: &ConnectionPermit,
    limiter: &ConnectionLimiter,
    shared: &SharedDispatch,
) -> EndReason {
    let (mut inbox, mut buffer) = (Vec::new(), [0; READ_BUFFER_BYTES]);
    loop {
        let Ok(line) = codec::next_line(&mut inbox, ctl::MAX_COMMAND_BYTES) else {
            let reply = ctl::encode_reply(Err(CommandError::TooLong));
            let _ = stream.write_all(&reply).await;
            return EndReason::TooLong;
        };
        let Some(mut line) = line else {
            match stream.read(&mut buffer).await {
                Ok(0) => return EndReason::Closed,
                Ok(count) => inbox.extend_from_slice(buffer.get(..count).unwrap_or_default()),
                Err(_) => return EndReason::Failed,
            }
            continue;
        };
        let command = ctl::parse(&mut line);
        let result = command.and_then(|command| shared.borrow_mut().run_ctl_command(command));
        if stream.write_all(&ctl::encode_reply(result)).await.is_err() {
            return EndReason::Failed;
        }
        limiter.extend(place, shared.borrow().clock.now() + COMMAND_TIMEOUT);
    }
}

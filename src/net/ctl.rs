//! The control socket: a Unix socket that only the user who runs the placer may open. A connection carries any number
//! of commands, one per line, and a reply to each. Dispatch executes the commands.

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

/// The maximum number of open connections.
const MAX_CONNECTIONS: usize = 4;
/// How long a connection may take to send its next command.
const COMMAND_TIMEOUT: Micros = 5_000_000;
/// The size of the read buffer in bytes.
const READ_BUFFER_BYTES: usize = 1_024;
/// The umask under which the socket is created: only its owner may read and write.
const PRIVATE_UMASK: u32 = 0o177;

/// Why a control connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndReason {
    /// The peer closed the connection.
    Closed,
    /// Reading from or writing to the socket failed.
    Failed,
    /// The peer sent a line that is longer than any command.
    TooLong,
    /// The connection exceeded its timeout, or its descriptor was needed for another one.
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

/// Opens the socket, and serves its connections until the process exits.
///
/// # Errors
///
/// Fails if another process is listening on the path, or the path can't be bound.
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

/// Removes the socket file that an exited process left. Fails if another process is listening on it, which is then
/// another placer.
fn remove_stale_socket(path: &Path) -> io::Result<()> {
    if !path.exists() {
        return Ok(());
    }
    if UnixStream::connect(path).is_ok() {
        let reason = "another process is listening there";
        return Err(io::Error::new(io::ErrorKind::AddrInUse, reason));
    }
    std::fs::remove_file(path)
}

/// Binds the socket under a umask that keeps everyone but its owner out. Changing its mode after the bind would leave
/// it open to others for a moment.
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
                let permit = limiter.admit(dispatch.clock.now() + COMMAND_TIMEOUT);
                dispatch
                    .task_spawner
                    .spawn(serve(stream, permit, limiter.clone(), shared.clone()));
            }
            Err(e) => pause_after_accept_error(&shared, &e).await,
        }
        future::yield_now().await;
    }
}

/// Serves a connection until it ends or is evicted, and logs why it ended.
async fn serve(
    stream: Async<UnixStream>,
    permit: ConnectionPermit,
    limiter: Rc<ConnectionLimiter>,
    shared: SharedDispatch,
) {
    let evicted = async {
        permit.evicted().await;
        EndReason::TimedOut
    };
    let served = serve_commands(&stream, &permit, &limiter, &shared);
    let reason = future::or(served, evicted).await;
    limiter.release(&permit);
    info!(%reason, "ctl connection ended");
}

/// Reads commands, executes them, and writes their replies until the connection ends.
async fn serve_commands(
    mut stream: &Async<UnixStream>,
    permit: &ConnectionPermit,
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
        limiter.extend(permit, shared.borrow().clock.now() + COMMAND_TIMEOUT);
    }
}

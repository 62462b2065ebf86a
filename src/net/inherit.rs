//! Cooperation of the processes of one placer during a rolling upgrade: they share the listening socket that the
//! platform holds, and each knows how many of them are running.
//!
//! Every process inherits the listening socket as a descriptor, whose number is in `LB_ACCEPT_FD`. The oldest process
//! also listens on a Unix socket in `$TMPDIR`, the peer socket, and the others keep a connection to it. The connection
//! closes when either process exits, even if it crashes, so both learn of each other's exit without polling.

use super::clients::accept_fault::pause_after_accept_error;
use super::dispatch::SharedDispatch;
use super::retry::retry;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, future};
use rustix::net::sockopt;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::env;
use std::fmt::Display;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{OwnedFd, RawFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use task_placer::operation::process_group::PeerAge;
use tracing::warn;

/// The environment variable that holds the number of the inherited descriptor.
const ACCEPT_FD_VARIABLE: &str = "LB_ACCEPT_FD";
/// The prefix of the file name of the peer socket in `$TMPDIR`.
///
/// It is a former name of the program and must not change: in a rolling upgrade, processes of an old and a new version
/// find each other at this path.
const PEER_SOCKET_PREFIX: &str = "anisehead-";
/// The suffix of the file name of the peer socket.
const PEER_SOCKET_SUFFIX: &str = ".sock";
/// The number of characters of the placer's name that the file name of the peer socket contains at most.
const MAX_SOCKET_NAME_CHARS: usize = 64;
/// The pause before the process tries again to connect to the peer socket or to bind it.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Returns the inherited listening socket, or `None` if `LB_ACCEPT_FD` is not set. The inherited descriptor stays open
/// and unused: the listener uses a duplicate of it.
///
/// # Errors
///
/// Fails if the descriptor is not a socket that listens on the address `listen`. The error says what was found instead.
pub async fn listener(listen: SocketAddr) -> io::Result<Option<Async<TcpListener>>> {
    let value = env::var_os(ACCEPT_FD_VARIABLE);
    let Some(value) = value.filter(|value| !value.is_empty()) else {
        return Ok(None);
    };
    let value = value.to_string_lossy().into_owned();
    let error =
        |what: &dyn Display| io::Error::other(format!("{ACCEPT_FD_VARIABLE}: {value}: {what}"));
    let number: i32 = value.parse().map_err(|e| error(&e))?;
    let inherited = retry(ACCEPT_FD_VARIABLE, || duplicate(number))
        .await
        .map_err(|e| error(&e))?;
    if !sockopt::socket_acceptconn(&inherited).unwrap_or(false) {
        return Err(error(&"not a listening socket"));
    }
    let listener = TcpListener::from(inherited);
    let address = listener.local_addr().map_err(|e| error(&e))?;
    if address != listen {
        return Err(error(&format!("listens on {address}, not on {listen}")));
    }
    Async::new(listener).map(Some)
}

/// Returns a new descriptor for the file to which the descriptor of this number refers.
fn duplicate(number: RawFd) -> io::Result<OwnedFd> {
    let this_process = pidfd_open(getpid(), PidfdFlags::empty())?;
    let duplicate = pidfd_getfd(&this_process, number, PidfdGetfdFlags::empty())?;
    Ok(duplicate)
}

/// Connects this process with the other processes of the placer, and reports to dispatch when one joins or exits. The
/// spawned asynchronous task runs until the process exits.
pub fn join_process_group(
    name: &str,
    executor: &Rc<LocalExecutor<'static>>,
    shared: &SharedDispatch,
) {
    let path = peer_socket_path(name);
    executor.spawn(track_peers(path, shared.clone())).detach();
}

/// Returns the path of the peer socket of the placer of this name.
fn peer_socket_path(name: &str) -> PathBuf {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-';
    let name: String = name
        .chars()
        .map(|c| if is_plain(c) { c } else { '_' })
        .take(MAX_SOCKET_NAME_CHARS)
        .collect();
    env::temp_dir().join(format!("{PEER_SOCKET_PREFIX}{name}{PEER_SOCKET_SUFFIX}"))
}

/// Stays connected to the oldest process until that exits, then binds the peer socket in its place and accepts the
/// others.
async fn track_peers(path: PathBuf, shared: SharedDispatch) {
    let mut logged = None;
    loop {
        let problem = match Async::<UnixStream>::connect(&path).await {
            Ok(older) => {
                follow_peer(older, PeerAge::Older, &shared).await;
                continue;
            }
            Err(e) => match bind(&path, &e) {
                Ok(listener) => return accept(listener, &shared).await,
                Err(e) => e.kind(),
            },
        };
        // Another process has bound the socket first, or the path can't be used. An error is logged only if its kind
        // differs from that of the previous attempt.
        if logged.replace(problem) != Some(problem) {
            warn!(path = %path.display(), reason = %problem, "cannot reach the other processes of this placer");
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

/// Binds the peer socket in place of a process that has exited, which shows in a refused connection. Any other error
/// than a refusal or a missing file is returned, so that the socket of a running process that is slow to accept is not
/// removed.
fn bind(path: &Path, connect_error: &io::Error) -> io::Result<Async<UnixListener>> {
    match connect_error.kind() {
        io::ErrorKind::NotFound => {}
        io::ErrorKind::ConnectionRefused => std::fs::remove_file(path)?,
        kind => return Err(kind.into()),
    }
    Async::<UnixListener>::bind(path)
}

async fn accept(listener: Async<UnixListener>, shared: &SharedDispatch) {
    loop {
        match listener.accept().await {
            Ok((younger, _)) => {
                let handle = shared.clone();
                shared
                    .borrow()
                    .task_spawner
                    .spawn(async move { follow_peer(younger, PeerAge::Younger, &handle).await });
            }
            Err(e) => pause_after_accept_error(shared, &e).await,
        }
        future::yield_now().await;
    }
}

/// Counts a peer process as running until its connection closes.
async fn follow_peer(mut stream: Async<UnixStream>, age: PeerAge, shared: &SharedDispatch) {
    shared.borrow_mut().peer_joined(age);
    while let Ok(1..) = stream.read(&mut [0; 64]).await {}
    shared.borrow_mut().peer_exited();
}

#[cfg(test)]
mod tests;

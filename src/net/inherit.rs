//! What the processes of one placer share during a rolling upgrade: the listening socket that the platform holds, and the
//! knowledge of each other.
//!
//! Every process inherits the socket as a descriptor, whose number stands in `LB_ACCEPT_FD`. Each process also keeps a
//! connection over a Unix socket in `$TMPDIR` to the one before it: it ends with either of them, however that ends, so
//! both know how many they are without polling.

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

/// Names the inherited descriptor.
const ACCEPT_FD_VARIABLE: &str = "LB_ACCEPT_FD";
/// The name of the Unix socket in `$TMPDIR` begins with this.
///
/// The prefix is the program's former name and must stay: processes of an old and a new version meet at this path in a
/// rolling upgrade.
const MEETING_SOCKET_PREFIX: &str = "anisehead-";
/// The name of the Unix socket ends with this.
const MEETING_SOCKET_SUFFIX: &str = ".sock";
/// Characters of the placer's name that the name of the socket takes over.
const MAX_SOCKET_NAME_CHARS: usize = 64;
/// Pause before the socket in `$TMPDIR` is looked for again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Returns the inherited listening socket, if there is one. The descriptor itself stays as it is: what is used is a second
/// one to the same socket, which the system hands out.
///
/// # Errors
///
/// Fails if the variable names no socket that listens at this address; the error names what was found.
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
        return Err(error(&"is no socket that listens"));
    }
    let listener = TcpListener::from(inherited);
    let address = listener.local_addr().map_err(|e| error(&e))?;
    if address != listen {
        return Err(error(&format!("listens at {address}, not at {listen}")));
    }
    Async::new(listener).map(Some)
}

/// Returns a second descriptor for what this one refers to.
fn duplicate(number: RawFd) -> io::Result<OwnedFd> {
    let this_process = pidfd_open(getpid(), PidfdFlags::empty())?;
    let duplicate = pidfd_getfd(&this_process, number, PidfdGetfdFlags::empty())?;
    Ok(duplicate)
}

/// Finds the other processes of this placer, and is found by them, for the life of the process.
pub fn join_process_group(
    name: &str,
    executor: &Rc<LocalExecutor<'static>>,
    shared: &SharedDispatch,
) {
    let path = meeting_socket(name);
    executor.spawn(find(path, shared.clone())).detach();
}

/// Returns the path where the processes of the placer of this name meet.
fn meeting_socket(name: &str) -> PathBuf {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-';
    let name: String = name
        .chars()
        .map(|c| if is_plain(c) { c } else { '_' })
        .take(MAX_SOCKET_NAME_CHARS)
        .collect();
    env::temp_dir().join(format!(
        "{MEETING_SOCKET_PREFIX}{name}{MEETING_SOCKET_SUFFIX}"
    ))
}

/// Follows the process that was there first, until it exits; then takes its place.
async fn find(path: PathBuf, shared: SharedDispatch) {
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
        // Another was faster, or the path can't be used; logged once.
        if logged.replace(problem) != Some(problem) {
            warn!(path = %path.display(), reason = %problem, "processes do not meet");
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

/// Takes the place of a process that has exited, which shows in that nobody listens. Guards the socket of one that lives
/// and is only slow to answer.
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

/// Counts another process for as long as the connection to it is open.
async fn follow_peer(mut stream: Async<UnixStream>, age: PeerAge, shared: &SharedDispatch) {
    shared.borrow_mut().peer_joined(age);
    while let Ok(1..) = stream.read(&mut [0; 64]).await {}
    shared.borrow_mut().peer_exited();
}

#[cfg(test)]
mod tests;

//! What the processes of one placer share: the listening socket that the platform holds, and its limits.
//!
//! Every process inherits the socket as a descriptor, whose number stands in `LB_ACCEPT_FD`. Each process
//! also keeps a connection over a Unix socket in `$TMPDIR` to the one before it: it ends with either of
//! them, however that ends, so both know how many they are without asking.

use super::clients::AcceptFailed;
use super::dispatch::Shared;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, future};
use rustix::net::sockopt;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::fmt::Display;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Names the inherited descriptor.
const NAMED: &str = "LB_ACCEPT_FD";
/// Pause before the socket in `$TMPDIR` is looked for again.
const PAUSE: Duration = Duration::from_millis(100);

/// The inherited socket, if there is one; an error names what is wrong with it. The descriptor itself stays
/// as it is: what is used is a second one to the same socket, which the system hands out whole.
pub fn listener(listen: SocketAddr) -> io::Result<Option<Async<TcpListener>>> {
    let Some(named) = std::env::var_os(NAMED).filter(|named| !named.is_empty()) else {
        return Ok(None);
    };
    let named = named.to_string_lossy().into_owned();
    let wrong = |what: &dyn Display| io::Error::other(format!("{NAMED}: {named}: {what}"));
    let number: i32 = named.parse().map_err(|e| wrong(&e))?;
    let itself = pidfd_open(getpid(), PidfdFlags::empty()).map_err(|e| wrong(&e))?;
    let inherited =
        pidfd_getfd(&itself, number, PidfdGetfdFlags::empty()).map_err(|e| wrong(&e))?;
    if !sockopt::socket_acceptconn(&inherited).unwrap_or(false) {
        return Err(wrong(&"is no socket that listens"));
    }
    let listener = TcpListener::from(inherited);
    let address = listener.local_addr().map_err(|e| wrong(&e))?;
    if address != listen {
        return Err(wrong(&format!("listens at {address}, not at {listen}")));
    }
    Async::new(listener).map(Some)
}

/// Finds the other processes of this placer, and is found by them, for the life of the process.
pub fn meet(name: &str, executor: &Rc<LocalExecutor<'static>>, shared: &Shared) {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-';
    let name: String = name
        .chars()
        .map(|c| if plain(c) { c } else { '_' })
        .take(64)
        .collect();
    let path = std::env::temp_dir().join(format!("anisehead-{name}.sock"));
    executor.spawn(find(path, shared.clone())).detach();
}

/// Follows the process that was there first, until it ends; then is the first.
async fn find(path: PathBuf, shared: Shared) {
    let mut told = None;
    loop {
        let problem = match Async::<UnixStream>::connect(&path).await {
            Ok(first) => {
                beside(first, true, &shared).await;
                continue;
            }
            Err(e) => match bind(&path, &e) {
                Ok(listener) => return accept(listener, &shared).await,
                Err(e) => e.kind(),
            },
        };
        // Another was faster, or there is no place for it; said once.
        if told.replace(problem) != Some(problem) {
            warn!(path = %path.display(), reason = %problem, "processes do not meet");
        }
        Timer::after(PAUSE).await;
    }
}

/// Takes the place of one that has ended, which shows in that nobody listens. Guards the socket of one that lives and
/// is only slow to answer.
fn bind(path: &Path, unmet: &io::Error) -> io::Result<Async<UnixListener>> {
    match unmet.kind() {
        io::ErrorKind::NotFound => {}
        io::ErrorKind::ConnectionRefused => std::fs::remove_file(path)?,
        kind => return Err(kind.into()),
    }
    Async::<UnixListener>::bind(path)
}

async fn accept(listener: Async<UnixListener>, shared: &Shared) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let with = shared.clone();
                shared
                    .borrow()
                    .tasks
                    .spawn(async move { beside(stream, false, &with).await });
            }
            Err(e) => AcceptFailed::pause(shared, &e).await,
        }
        future::yield_now().await;
    }
}

/// Another process lives for as long as this connection does.
async fn beside(mut stream: Async<UnixStream>, first: bool, shared: &Shared) {
    shared.borrow_mut().peer_joined(first);
    while let Ok(1..) = stream.read(&mut [0; 64]).await {}
    shared.borrow_mut().peer_exited();
}

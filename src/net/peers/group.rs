//! Makes the connections between the processes of one placer.

use super::{PeerEvents, link};
use crate::net::clients::ClientEvents;
use crate::net::clients::accept_fault::pause_after_accept_error;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::RefCell;
use std::env;
use std::io;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use task_placer::operation::process_group::PeerAge;
use tracing::warn;

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

/// Connects this process with the other processes of the placer, and reports to the handler when one joins, sends a
/// message or exits. The spawned asynchronous task runs until the process exits.
pub fn join<H: PeerEvents + ClientEvents + 'static>(
    name: &str,
    executor: &Rc<LocalExecutor<'static>>,
    handler: &Rc<RefCell<H>>,
) {
    let path = peer_socket_path(name);
    let joining = track_peers(path, executor.clone(), handler.clone());
    executor.spawn(joining).detach();
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
async fn track_peers<H: PeerEvents + ClientEvents + 'static>(
    path: PathBuf,
    executor: Rc<LocalExecutor<'static>>,
    handler: Rc<RefCell<H>>,
) {
    let mut logged = None;
    loop {
        let problem = match Async::<UnixStream>::connect(&path).await {
            Ok(older) => {
                link::serve(older, PeerAge::Older, &handler).await;
                continue;
            }
            Err(e) => match bind(&path, &e) {
                Ok(listener) => return accept(listener, &executor, &handler).await,
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

async fn accept<H: PeerEvents + ClientEvents + 'static>(
    listener: Async<UnixListener>,
    executor: &Rc<LocalExecutor<'static>>,
    handler: &Rc<RefCell<H>>,
) {
    loop {
        match listener.accept().await {
            Ok((younger, _)) => {
                let handler = handler.clone();
                let serving = async move { link::serve(younger, PeerAge::Younger, &handler).await };
                executor.spawn(serving).detach();
            }
            Err(e) => pause_after_accept_error(handler, &e).await,
        }
        future::yield_now().await;
    }
}

#[cfg(test)]
mod tests;

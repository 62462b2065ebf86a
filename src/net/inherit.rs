//! The listening socket for clients that the platform holds and every process of the placer inherits, as a descriptor
//! whose number is in `LB_ACCEPT_FD`.

use super::retry::retry;
use async_io::Async;
use rustix::net::sockopt;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::env;
use std::fmt::Display;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{OwnedFd, RawFd};

/// The environment variable that holds the number of the inherited descriptor.
const ACCEPT_FD_VARIABLE: &str = "LB_ACCEPT_FD";

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

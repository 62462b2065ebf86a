//! Listening sockets of hollow peers.

use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports below those that the system hands out by itself, so that no outgoing connection holds one.
const FIRST_PORT: u32 = 20_000;
const PORTS: u32 = 12_000;
/// Connections that may wait to be accepted: thousands of calls come at once.
const BACKLOG: i32 = 4_096;
/// The interface that calls from this machine come in on.
const LOOPBACK_INTERFACE: &[u8] = b"lo";

/// Where the next search for a port begins, in this process.
static NEXT: AtomicU32 = AtomicU32::new(0);

/// The next port to try. Processes begin at different ports.
fn next_port() -> u16 {
    let process = std::process::id().wrapping_mul(97);
    let number = process.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
    u16::try_from(FIRST_PORT + number % PORTS).unwrap_or(u16::MAX)
}

/// Tries ports until one is free.
fn on_free_port<T>(mut bind: impl FnMut(u16) -> io::Result<T>) -> io::Result<(T, u16)> {
    for _ in 0..PORTS {
        let port = next_port();
        match bind(port) {
            Ok(bound) => return Ok((bound, port)),
            Err(error) if error.kind() == ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    Err(io::Error::new(ErrorKind::AddrInUse, "no free port"))
}

fn socket() -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Binds, strictly: a port that anybody holds is not free. Only then may addresses be used again, so that a
/// socket whose connections were reset can listen once more.
fn bind(socket: &Socket, address: SocketAddr) -> io::Result<()> {
    socket.bind(&address.into())?;
    socket.set_reuse_address(true)
}

/// One socket that listens at all loopback addresses, on a port of its own. It can stop listening and keep
/// its port, so that calls are refused as by a machine that has vanished.
pub struct LoopbackListener {
    socket: Socket,
    port: u16,
}

impl LoopbackListener {
    /// Listens. Bound to the loopback interface first: nothing from outside reaches it.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free or the system refuses the socket.
    pub fn open() -> io::Result<LoopbackListener> {
        let (socket, port) = on_free_port(|port| {
            let socket = socket()?;
            socket.bind_device(Some(LOOPBACK_INTERFACE))?;
            bind(&socket, SocketAddr::from((Ipv4Addr::UNSPECIFIED, port)))?;
            socket.listen(BACKLOG)?;
            Ok(socket)
        })?;
        Ok(LoopbackListener { socket, port })
    }

    /// Its port.
    pub fn port(&self) -> u16 {
        self.port
    }

    /// A handle of the socket for an event loop.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be duplicated.
    pub fn handle(&self) -> io::Result<mio::net::TcpListener> {
        Ok(mio::net::TcpListener::from_std(
            self.socket.try_clone()?.into(),
        ))
    }

    /// Refuses calls from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be shut down.
    pub fn refuse(&self) -> io::Result<()> {
        self.socket.shutdown(Shutdown::Read)
    }

    /// Takes calls again.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot listen again.
    pub fn listen(&self) -> io::Result<()> {
        self.socket.listen(BACKLOG)
    }
}

/// Whether an address is of this machine alone.
pub fn is_loopback(address: IpAddr) -> bool {
    matches!(address, IpAddr::V4(address) if address.is_loopback())
}

/// Listens at one loopback address.
///
/// # Errors
///
/// Returns an error if no port is free or the system refuses the socket.
pub fn listen_local() -> io::Result<(mio::net::TcpListener, SocketAddr)> {
    let (socket, port) = on_free_port(|port| {
        let socket = socket()?;
        bind(&socket, SocketAddr::from((Ipv4Addr::LOCALHOST, port)))?;
        socket.listen(BACKLOG)?;
        Ok(socket)
    })?;
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    Ok((mio::net::TcpListener::from_std(socket.into()), address))
}

/// An address at which a program may listen.
///
/// # Errors
///
/// Returns an error if no port is free or the system refuses the socket.
pub fn free_address() -> io::Result<SocketAddr> {
    let (_, port) =
        on_free_port(|port| bind(&socket()?, SocketAddr::from((Ipv4Addr::LOCALHOST, port))))?;
    Ok(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
}

#[cfg(test)]
mod tests;

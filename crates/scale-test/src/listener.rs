//! Listening sockets of hollow peers.

use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// The first port to try. The range is below the ephemeral ports, so that no outgoing connection uses one.
const FIRST_PORT: u32 = 20_000;
/// The number of ports to try.
const PORT_COUNT: u32 = 12_000;
/// The number of connections that may wait to be accepted. Thousands arrive at once.
const BACKLOG: i32 = 4_096;
/// The loopback interface.
const LOOPBACK_INTERFACE: &[u8] = b"lo";

/// The number of the next port to try, in this process.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns the next port to try. Processes begin at different ports.
fn next_port() -> u16 {
    let process = std::process::id().wrapping_mul(97);
    let number = process.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
    u16::try_from(FIRST_PORT + number % PORT_COUNT).unwrap_or(u16::MAX)
}

/// Tries ports until one is free, and returns it with what was bound.
fn on_free_port<T>(mut bind: impl FnMut(u16) -> io::Result<T>) -> io::Result<(T, u16)> {
    for _ in 0..PORT_COUNT {
        let port = next_port();
        match bind(port) {
            Ok(bound) => return Ok((bound, port)),
            Err(error) if error.kind() == ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    Err(io::Error::new(ErrorKind::AddrInUse, "no free port"))
}

/// Returns a non-blocking TCP socket.
fn socket() -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Binds a socket to a port that no other socket uses. Address reuse is allowed only after that, so that a socket
/// whose connections were reset can listen again.
fn bind(socket: &Socket, address: SocketAddr) -> io::Result<()> {
    socket.bind(&address.into())?;
    socket.set_reuse_address(true)
}

/// A socket that listens at all loopback addresses, on a port of its own. It can refuse connections and keep its
/// port, as the address of a crashed machine does.
pub struct LoopbackListener {
    socket: Socket,
    port: u16,
}

impl LoopbackListener {
    /// Opens a listener. It is bound to the loopback interface first, so nothing from outside can reach it.
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

    /// Returns the port.
    pub fn port(&self) -> u16 {
        self.port
    }

    /// Returns a handle of the socket for an event loop.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be duplicated.
    pub fn handle(&self) -> io::Result<mio::net::TcpListener> {
        Ok(mio::net::TcpListener::from_std(
            self.socket.try_clone()?.into(),
        ))
    }

    /// Refuses connections from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be shut down.
    pub fn refuse(&self) -> io::Result<()> {
        self.socket.shutdown(Shutdown::Read)
    }

    /// Accepts connections again.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot listen again.
    pub fn listen(&self) -> io::Result<()> {
        self.socket.listen(BACKLOG)
    }
}

/// Returns whether an address is an IPv4 loopback address.
pub fn is_loopback(address: IpAddr) -> bool {
    matches!(address, IpAddr::V4(address) if address.is_loopback())
}

/// Opens a listener at one loopback address.
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

/// Returns a loopback address at which a program can listen.
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

//! Listening sockets of simulated peers.

use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// The first port of the range to try. The range is below the ephemeral ports, so no outgoing connection uses a port
/// in it.
const FIRST_PORT: u32 = 20_000;
/// The number of ports in the range to try.
const PORT_COUNT: u32 = 12_000;
/// The length of the accept queue. Thousands of connections arrive at the same time.
const BACKLOG: i32 = 4_096;
/// The name of the loopback interface.
const LOOPBACK_INTERFACE: &[u8] = b"lo";

/// The number of ports that this process has tried so far.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns the next port to try. Processes start at different ports of the range, to avoid conflicts.
fn next_port() -> u16 {
    let process = std::process::id().wrapping_mul(97);
    let number = process.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
    u16::try_from(FIRST_PORT + number % PORT_COUNT).unwrap_or(u16::MAX)
}

/// Calls `bind` with ports until one is free. Returns the result of `bind` and the port.
fn bind_free_port<T>(mut bind: impl FnMut(u16) -> io::Result<T>) -> io::Result<(T, u16)> {
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

/// Binds a socket to a port that no other socket uses. Address reuse is enabled only after the binding, so that the
/// binding fails on a port in use, but a socket whose connections were reset can listen again.
fn bind(socket: &Socket, address: SocketAddr) -> io::Result<()> {
    socket.bind(&address.into())?;
    socket.set_reuse_address(true)
}

/// A socket that listens at all loopback addresses, on its own port. It can refuse connections while it keeps the port,
/// to simulate a crashed machine.
pub struct LoopbackListener {
    socket: Socket,
    port: u16,
}

impl LoopbackListener {
    /// Opens a listener. The socket is bound to the loopback interface before its address, so other machines can never
    /// reach it.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free or the system refuses the socket.
    pub fn open() -> io::Result<LoopbackListener> {
        let (socket, port) = bind_free_port(|port| {
            let socket = socket()?;
            socket.bind_device(Some(LOOPBACK_INTERFACE))?;
            bind(&socket, SocketAddr::from((Ipv4Addr::UNSPECIFIED, port)))?;
            socket.listen(BACKLOG)?;
            Ok(socket)
        })?;
        Ok(LoopbackListener { socket, port })
    }

    /// Returns the port at which the socket listens.
    pub fn port(&self) -> u16 {
        self.port
    }

    /// Returns a duplicate of the socket for an event loop.
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

    /// Accepts connections again after [`LoopbackListener::refuse`].
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

/// Opens a listener at 127.0.0.1, and returns it with its address.
///
/// # Errors
///
/// Returns an error if no port is free or the system refuses the socket.
pub fn listen_local() -> io::Result<(mio::net::TcpListener, SocketAddr)> {
    let (socket, port) = bind_free_port(|port| {
        let socket = socket()?;
        bind(&socket, SocketAddr::from((Ipv4Addr::LOCALHOST, port)))?;
        socket.listen(BACKLOG)?;
        Ok(socket)
    })?;
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    Ok((mio::net::TcpListener::from_std(socket.into()), address))
}

/// Returns an address with a free port on 127.0.0.1, at which a program can listen.
///
/// # Errors
///
/// Returns an error if no port is free or the system refuses the socket.
pub fn free_address() -> io::Result<SocketAddr> {
    let (_, port) =
        bind_free_port(|port| bind(&socket()?, SocketAddr::from((Ipv4Addr::LOCALHOST, port))))?;
    Ok(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
}

#[cfg(test)]
mod tests;

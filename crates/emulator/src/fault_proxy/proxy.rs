//! A single proxy: accepts connections in place of its target, and forwards or withholds their bytes.

use super::{Direction, LinkFault, Party, TrafficTotals};
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The interval at which a proxy that withholds bytes or connections checks whether the fault still applies.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The length of the accept queue while no fault blocks new connections.
const ACCEPT_QUEUE_LENGTH: i32 = 1_024;
/// How long a connection that fills the accept queue may take to be established.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);
/// The number of connections that fill an accept queue of length 0: the kernel admits one more than the length.
const QUEUE_FILLERS: usize = 2;
const BUFFER_BYTES: usize = 16 * 1024;

/// A proxy for the connections from one party to another.
pub(super) struct FaultProxy {
    pub(super) from: Party,
    pub(super) to: Party,
    pub(super) target: Cell<SocketAddr>,
    /// The address at which the proxy listens.
    pub(super) address: SocketAddr,
    fault: Cell<LinkFault>,
    /// The connections that keep the accept queue full while a fault blocks new connections.
    queue_fillers: RefCell<Vec<TcpStream>>,
    /// The local addresses of those `queue_fillers` that have not been accepted yet. They are dropped once accepted.
    filler_addresses: RefCell<BTreeSet<SocketAddr>>,
    listener: Async<TcpListener>,
    /// The channels that reset the open connections.
    open_connections: RefCell<Vec<Sender<()>>>,
    traffic: Rc<Cell<TrafficTotals>>,
}

/// How one direction of a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// The sender shut down the direction.
    Clean,
    /// Reading or writing failed.
    Failed,
}

impl FaultProxy {
    /// Creates a proxy that listens at a free loopback port for connections to the target.
    pub(super) fn open(
        from: Party,
        to: Party,
        target: SocketAddr,
        traffic: Rc<Cell<TrafficTotals>>,
    ) -> io::Result<FaultProxy> {
        let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.get_ref().local_addr()?;
        rustix::net::listen(&listener, ACCEPT_QUEUE_LENGTH)?;
        Ok(FaultProxy {
            from,
            to,
            target: Cell::new(target),
            address,
            fault: Cell::default(),
            queue_fillers: RefCell::default(),
            filler_addresses: RefCell::default(),
            listener,
            open_connections: RefCell::default(),
            traffic,
        })
    }

    /// Sets or clears the fault of the link.
    pub(super) fn set_fault(&self, fault: LinkFault) {
        let before = self.fault.replace(fault);
        if fault.blocks_connections() && !before.blocks_connections() {
            self.fill_accept_queue();
        } else if before.blocks_connections() && !fault.blocks_connections() {
            self.queue_fillers.borrow_mut().clear();
            let _ = rustix::net::listen(&self.listener, ACCEPT_QUEUE_LENGTH);
        }
        if fault == LinkFault::Reset {
            for stop in self.open_connections.borrow_mut().drain(..) {
                let _ = stop.try_send(());
            }
        }
    }

    fn fill_accept_queue(&self) {
        let _ = rustix::net::listen(&self.listener, 0);
        let fill = || TcpStream::connect_timeout(&self.address, FILL_TIMEOUT).ok();
        let fillers: Vec<TcpStream> = (0..QUEUE_FILLERS).filter_map(|_| fill()).collect();
        let addresses = fillers.iter().filter_map(|filler| filler.local_addr().ok());
        self.filler_addresses.borrow_mut().extend(addresses);
        *self.queue_fillers.borrow_mut() = fillers;
    }

    /// Accepts connections forever, except while a fault blocks them.
    pub(super) async fn accept(self: Rc<Self>, executor: Rc<LocalExecutor<'static>>) {
        loop {
            while self.fault.get().blocks_connections() {
                Timer::after(POLL_INTERVAL).await;
            }
            // The fault is checked again between readiness and accept, so that nothing is accepted once a fault is set.
            if self.listener.readable().await.is_err() || self.fault.get().blocks_connections() {
                continue;
            }
            let Ok((stream, peer)) = self.listener.get_ref().accept() else {
                continue;
            };
            let Ok(stream) = Async::new(stream) else {
                continue;
            };
            if self.filler_addresses.borrow_mut().remove(&peer) {
                continue;
            }
            executor.spawn(self.clone().forward(stream)).detach();
        }
    }

    /// Forwards one connection until both directions have ended or the connection is reset.
    async fn forward(self: Rc<Self>, caller: Async<TcpStream>) {
        let _ = caller.get_ref().set_nodelay(true);
        let set_reset = |stream: &Async<TcpStream>| {
            let _ = rustix::net::sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
        };
        if self.fault.get() == LinkFault::Reset {
            return set_reset(&caller);
        }
        let Ok(callee) = Async::<TcpStream>::connect(self.target.get()).await else {
            return set_reset(&caller);
        };
        let _ = callee.get_ref().set_nodelay(true);
        let (stop, stop_requested) = async_channel::bounded(1);
        self.open_connections
            .borrow_mut()
            .retain(|stop| !stop.is_closed());
        self.open_connections.borrow_mut().push(stop);
        self.count(1, 0);
        let both = async {
            let forward = self.forward_one_way(&caller, &callee, Direction::Forward);
            let backward = self.forward_one_way(&callee, &caller, Direction::Backward);
            // Each direction ends separately: a half-closed connection still forwards the other direction.
            let (forward, backward) = future::zip(forward, backward).await;
            forward == Ending::Failed || backward == Ending::Failed
        };
        let stopped = async {
            let _ = stop_requested.recv().await;
            true
        };
        if both.or(stopped).await {
            set_reset(&caller);
            set_reset(&callee);
        }
    }

    /// Forwards one direction of a connection until it ends.
    async fn forward_one_way(
        &self,
        from: &Async<TcpStream>,
        to: &Async<TcpStream>,
        direction: Direction,
    ) -> Ending {
        let (mut reader, mut writer) = (from, to);
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let Ok(count) = reader.read(&mut buffer).await else {
                return Ending::Failed;
            };
            let read_at = Instant::now();
            if let Some(delay) = self.fault.get().delay() {
                Timer::at(read_at + delay).await;
            }
            while self.fault.get().withholds(direction) {
                Timer::after(POLL_INTERVAL).await;
            }
            if count == 0 {
                return match writer.get_ref().shutdown(Shutdown::Write) {
                    Ok(()) => Ending::Clean,
                    Err(_) => Ending::Failed,
                };
            }
            if writer
                .write_all(buffer.get(..count).unwrap_or_default())
                .await
                .is_err()
            {
                // Lets the sender notice that its bytes are no longer read.
                let _ = from.get_ref().shutdown(Shutdown::Both);
                return Ending::Failed;
            }
            self.count(0, count as u64);
        }
    }

    fn count(&self, connections: u64, bytes: u64) {
        let before = self.traffic.get();
        self.traffic.set(TrafficTotals {
            connections: before.connections + connections,
            bytes: before.bytes + bytes,
        });
    }
}

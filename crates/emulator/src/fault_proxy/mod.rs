//! Emulates faults of the links between processes: each link leads through a proxy on loopback, which applies the fault
//! to it.
//!
//! | fault | open connections | new connections |
//! | --- | --- | --- |
//! | cut | nothing arrives in either direction | are not established |
//! | cut in one direction | nothing arrives that the caller sends (or that is sent to the caller) | are not established |
//! | stall | bytes wait in both directions | are established, and their bytes wait |
//! | delay | bytes arrive late by a fixed time | are established, and their bytes arrive late by a fixed time |
//! | reset | are reset | are reset once they are established |
//! | black hole | continue | are not established |
//!
//! TCP loses no data: bytes withheld by a cut arrive when the fault ends. A new connection that must not be established
//! finds the accept queue of the proxy full, so that the kernel drops its first packet and the caller gets no reply at
//! all.

mod proxy;
#[cfg(test)]
mod tests;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use futures_lite::future;
use proxy::FaultProxy;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

/// The timeout for replies of the proxies' thread.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// A party at one end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// All clients.
    Clients,
    /// The placer with this index.
    Placer(usize),
    /// The host in this slot.
    Host(usize),
    /// The feed of the placer with this index.
    Feed(usize),
}

/// A fault of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// The link has no fault.
    #[default]
    None,
    /// Nothing arrives in either direction, and new connections are not established.
    Cut,
    /// Nothing arrives that the caller sends, and new connections are not established.
    CutForward,
    /// Nothing arrives that is sent to the caller, and new connections are not established.
    CutBackward,
    /// Bytes wait until the fault ends.
    Stall,
    /// Bytes arrive late by this time.
    Delay(Duration),
    /// Open and new connections are reset.
    Reset,
    /// New connections are not established; open connections continue.
    BlackHole,
}

impl LinkFault {
    /// Returns whether the bytes of a direction are withheld.
    fn withholds(self, direction: Direction) -> bool {
        match self {
            LinkFault::Cut | LinkFault::Stall => true,
            LinkFault::CutForward => direction == Direction::Forward,
            LinkFault::CutBackward => direction == Direction::Backward,
            LinkFault::None | LinkFault::Delay(_) | LinkFault::Reset | LinkFault::BlackHole => {
                false
            }
        }
    }

    /// Returns whether new connections are not established.
    fn blocks_connections(self) -> bool {
        matches!(
            self,
            LinkFault::Cut | LinkFault::CutForward | LinkFault::CutBackward | LinkFault::BlackHole
        )
    }

    /// Returns the time by which bytes are delayed, if they are.
    fn delay(self) -> Option<Duration> {
        if let LinkFault::Delay(delay) = self {
            Some(delay)
        } else {
            None
        }
    }
}

/// A direction of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// From the caller to the callee.
    Forward,
    /// From the callee to the caller.
    Backward,
}

/// A message to the proxies' thread.
enum Message {
    /// Adds a proxy, and replies with its address.
    AddProxy {
        from: Party,
        to: Party,
        target: SocketAddr,
        reply: mpsc::Sender<io::Result<SocketAddr>>,
    },
    /// Changes the target to which new connections of a link are forwarded.
    Redirect {
        from: Party,
        to: Party,
        target: SocketAddr,
    },
    /// Sets the fault of all links between two sets of parties, and replies with the number of these links.
    SetFault {
        side: BTreeSet<Party>,
        other_side: BTreeSet<Party>,
        fault: LinkFault,
        reply: mpsc::Sender<usize>,
    },
    /// Replies with the traffic of all links so far.
    CountTraffic(mpsc::Sender<TrafficTotals>),
    Stop,
}

/// The total traffic that all links have forwarded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficTotals {
    /// The number of forwarded connections.
    pub connections: u64,
    /// The number of forwarded bytes in both directions.
    pub bytes: u64,
}

/// All proxies of a run, served by one separate thread. They stop when this value is dropped.
pub struct FaultProxies {
    messages: Sender<Message>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl FaultProxies {
    /// Starts the thread, without any proxy yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start() -> io::Result<FaultProxies> {
        let (messages, received) = async_channel::unbounded();
        let thread = std::thread::Builder::new()
            .name("fault-proxies".into())
            .spawn(move || {
                let executor = Rc::new(LocalExecutor::new());
                future::block_on(executor.run(serve(received, executor.clone())));
            })?;
        Ok(FaultProxies {
            messages,
            thread: Some(thread),
        })
    }

    fn request<T>(&self, message: impl FnOnce(mpsc::Sender<T>) -> Message) -> io::Result<T> {
        let (reply, replied) = mpsc::channel();
        let _ = self.messages.try_send(message(reply));
        replied
            .recv_timeout(REPLY_TIMEOUT)
            .map_err(|_| io::Error::other("the proxies' thread did not reply"))
    }

    /// Adds a proxy for the connections from one party to another, and returns the address of the proxy.
    ///
    /// # Errors
    ///
    /// Returns an error if the proxy cannot listen, or the thread has ended.
    pub fn add_proxy(&self, from: Party, to: Party, target: SocketAddr) -> io::Result<SocketAddr> {
        self.request(|reply| Message::AddProxy {
            from,
            to,
            target,
            reply,
        })?
    }

    /// Changes the target to which new connections of a link are forwarded. Open connections are not affected.
    pub fn redirect(&self, from: Party, to: Party, target: SocketAddr) {
        let _ = self
            .messages
            .try_send(Message::Redirect { from, to, target });
    }

    /// Sets or clears the fault of all links between two sets of parties, whichever side opens the connections, and
    /// returns the number of these links. The direction of a one-way cut is seen from the first set.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread has ended.
    pub fn set_fault(
        &self,
        side: &BTreeSet<Party>,
        other_side: &BTreeSet<Party>,
        fault: LinkFault,
    ) -> io::Result<usize> {
        self.request(|reply| Message::SetFault {
            side: side.clone(),
            other_side: other_side.clone(),
            fault,
            reply,
        })
    }

    /// Returns the total traffic of all links so far, or zeros if the thread has ended.
    pub fn traffic(&self) -> TrafficTotals {
        self.request(Message::CountTraffic).unwrap_or_default()
    }
}

impl Drop for FaultProxies {
    fn drop(&mut self) {
        let _ = self.messages.try_send(Message::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs on the proxies' thread: handles messages until it receives [`Message::Stop`].
async fn serve(received: Receiver<Message>, executor: Rc<LocalExecutor<'static>>) {
    let mut proxies: Vec<Rc<FaultProxy>> = Vec::new();
    let traffic = Rc::new(Cell::new(TrafficTotals::default()));
    while let Ok(message) = received.recv().await {
        match message {
            Message::AddProxy {
                from,
                to,
                target,
                reply,
            } => {
                let proxy = FaultProxy::open(from, to, target, traffic.clone());
                let _ = reply.send(proxy.map(|proxy| {
                    let proxy = Rc::new(proxy);
                    proxies.push(proxy.clone());
                    executor
                        .spawn(proxy.clone().accept(executor.clone()))
                        .detach();
                    proxy.address
                }));
            }
            Message::Redirect { from, to, target } => proxies
                .iter()
                .filter(|proxy| (proxy.from, proxy.to) == (from, to))
                .for_each(|proxy| proxy.target.set(target)),
            Message::SetFault {
                side,
                other_side,
                fault,
                reply,
            } => {
                let _ = reply.send(set_fault(&proxies, &side, &other_side, fault));
            }
            Message::CountTraffic(reply) => {
                let _ = reply.send(traffic.get());
            }
            Message::Stop => return,
        }
    }
}

/// Sets the fault of all links between two sets of parties, and returns the number of these links.
fn set_fault(
    proxies: &[Rc<FaultProxy>],
    side: &BTreeSet<Party>,
    other_side: &BTreeSet<Party>,
    fault: LinkFault,
) -> usize {
    let mut count = 0;
    for proxy in proxies {
        let forward = side.contains(&proxy.from) && other_side.contains(&proxy.to);
        let backward = side.contains(&proxy.to) && other_side.contains(&proxy.from);
        // The forward direction of a fault is from the first set to the second, whichever side opens the connections.
        let oriented = match fault {
            LinkFault::CutForward if backward && !forward => LinkFault::CutBackward,
            LinkFault::CutBackward if backward && !forward => LinkFault::CutForward,
            other => other,
        };
        if forward || backward {
            proxy.set_fault(oriented);
            count += 1;
        }
    }
    count
}

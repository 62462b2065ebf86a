//! Faults of the links between processes: each link leads through a proxy on loopback, and the proxy does what a
//! bad link does.
//!
//! | fault | open connections | new connections |
//! | --- | --- | --- |
//! | cut | nothing arrives, in either direction | do not come up |
//! | cut in one direction | nothing arrives that the caller sends (or that it is sent) | do not come up |
//! | stall | bytes wait, in both directions | come up, and their bytes wait |
//! | delay | bytes are late by a time | likewise |
//! | reset | are reset | are reset once they are up |
//! | black hole | go on | do not come up |
//!
//! TCP loses nothing: bytes withheld by a cut arrive when it heals. A new connection that is not to come up finds
//! the proxy's accept queue full, so that the kernel drops its first packet and the caller gets no reply at all.

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

/// How long the proxies' thread may take for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// A party at one end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// All clients.
    Clients,
    /// A placer.
    Placer(usize),
    /// The host in a slot.
    Host(usize),
    /// The feed of a placer.
    Feed(usize),
}

/// What is wrong with a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Nothing arrives.
    Cut,
    /// Nothing arrives that the caller sends.
    CutForward,
    /// Nothing arrives that the caller is sent.
    CutBackward,
    /// Bytes wait until it ends.
    Stall,
    /// Bytes are late by this time.
    Delay(Duration),
    /// Connections are reset.
    Reset,
    /// New connections do not come up.
    BlackHole,
}

impl LinkFault {
    /// Whether bytes of a direction wait.
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

    /// Whether new connections do not come up.
    fn blocks_connections(self) -> bool {
        matches!(
            self,
            LinkFault::Cut | LinkFault::CutForward | LinkFault::CutBackward | LinkFault::BlackHole
        )
    }

    /// By how much bytes are late.
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

/// What the proxies' thread receives.
enum Message {
    /// Adds a proxy, and replies its address.
    AddProxy {
        from: Party,
        to: Party,
        target: SocketAddr,
        reply: mpsc::Sender<io::Result<SocketAddr>>,
    },
    /// Changes the target of a link.
    Redirect {
        from: Party,
        to: Party,
        target: SocketAddr,
    },
    /// Sets the fault of the links between two sets of parties, and replies their number.
    SetFault {
        side: BTreeSet<Party>,
        other_side: BTreeSet<Party>,
        fault: LinkFault,
        reply: mpsc::Sender<usize>,
    },
    /// Replies the traffic of all links so far.
    CountTraffic(mpsc::Sender<TrafficTotals>),
    Stop,
}

/// The traffic that all links have forwarded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficTotals {
    /// Number of connections.
    pub connections: u64,
    /// Number of bytes, both directions.
    pub bytes: u64,
}

/// All proxies, on a thread of their own; they end when dropped.
pub struct FaultProxies {
    messages: Sender<Message>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl FaultProxies {
    /// Starts without a proxy.
    ///
    /// # Errors
    ///
    /// An error of the system: there is no thread.
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
            .map_err(|_| io::Error::other("the proxies' thread ended"))
    }

    /// Adds a proxy for the connections of one party to another, and returns its address.
    ///
    /// # Errors
    ///
    /// An error of the system: there is no free port, or the thread has ended.
    pub fn add_proxy(&self, from: Party, to: Party, target: SocketAddr) -> io::Result<SocketAddr> {
        self.request(|reply| Message::AddProxy {
            from,
            to,
            target,
            reply,
        })?
    }

    /// Changes the target of a link; open connections stay where they are.
    pub fn redirect(&self, from: Party, to: Party, target: SocketAddr) {
        let _ = self
            .messages
            .try_send(Message::Redirect { from, to, target });
    }

    /// Sets or clears the fault of all links between two sets of parties, whichever side calls, and returns their
    /// number. A cut in one direction is seen from the first set.
    ///
    /// # Errors
    ///
    /// The thread has ended.
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

    /// Returns the traffic so far.
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

/// The proxies' thread: handles messages until told to stop.
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

/// Sets the fault of all links between two sets, and returns their number.
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
        // A direction is the one from the first set to the second, whichever side calls.
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

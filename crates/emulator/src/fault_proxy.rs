//! Faults between processes: each pair of a party and the party that it calls gets a relay on loopback, and
//! the relay does what a bad link does.
//!
//! | fault | connections that are open | new ones |
//! | --- | --- | --- |
//! | cut | nothing arrives, either way | do not come up |
//! | cut one way | nothing arrives that the caller sends (or that it is sent) | do not come up |
//! | stall | bytes wait, either way | come up, and their bytes wait |
//! | slow | bytes are late by a time | likewise |
//! | reset | are reset | are reset once they are there |
//! | black hole | go on | do not come up |
//!
//! TCP loses nothing, so that bytes held back by a cut arrive when it heals, as they would. A new connection
//! that is not to come up finds the relay's accept queue full: the system drops its first packet, and the
//! caller hears nothing at all.

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// How often a relay that holds bytes back looks whether it still has to.
const LOOK: Duration = Duration::from_millis(2);
/// Room for connections that wait to be accepted, while they are.
const QUEUE: i32 = 1_024;
/// How long one that fills the queue may take to come up.
const FILL: Duration = Duration::from_millis(50);

/// A party at an end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// All clients.
    Clients,
    /// A placer, by its place.
    Placer(usize),
    /// A host, by its place.
    Host(usize),
    /// The feed of a placer.
    Feed(usize),
}

/// What is wrong with a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Nothing arrives.
    Cut,
    /// Nothing arrives of what the caller sends.
    CutTo,
    /// Nothing arrives of what the caller is sent.
    CutFrom,
    /// Bytes wait.
    Stall,
    /// Bytes are late.
    Slow(Duration),
    /// Connections are reset.
    Reset,
    /// New connections do not come up.
    BlackHole,
}

impl Fault {
    /// Whether bytes wait; `there` from the caller to the called.
    fn holds(self, there: bool) -> bool {
        match self {
            Fault::Cut | Fault::Stall => true,
            Fault::CutTo => there,
            Fault::CutFrom => !there,
            Fault::None | Fault::Slow(_) | Fault::Reset | Fault::BlackHole => false,
        }
    }

    /// Whether new connections do not come up.
    fn swallows(self) -> bool {
        matches!(
            self,
            Fault::Cut | Fault::CutTo | Fault::CutFrom | Fault::BlackHole
        )
    }

    fn late(self) -> Option<Duration> {
        if let Fault::Slow(late) = self {
            Some(late)
        } else {
            None
        }
    }
}

enum Order {
    /// A relay to an address, and where to say its own.
    Relay(End, End, SocketAddr, mpsc::Sender<io::Result<SocketAddr>>),
    /// Where a link leads from now on.
    Lead(End, End, SocketAddr),
    /// What is wrong with the links between two sets; said when it is so.
    Fault(BTreeSet<End>, BTreeSet<End>, Fault, mpsc::Sender<usize>),
    /// What has gone through all links so far.
    Count(mpsc::Sender<Carried>),
    Stop,
}

/// What went through the links.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Carried {
    /// Connections.
    pub connections: u64,
    /// Bytes.
    pub bytes: u64,
}

/// All relays, on a thread of their own.
pub struct Links {
    orders: Sender<Order>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Links {
    /// Starts without a relay.
    pub fn start() -> io::Result<Links> {
        let (orders, taken) = async_channel::unbounded();
        let thread = std::thread::Builder::new()
            .name("links".into())
            .spawn(move || {
                let executor = Rc::new(LocalExecutor::new());
                future::block_on(executor.run(obey(taken, executor.clone())));
            })?;
        Ok(Links {
            orders,
            thread: Some(thread),
        })
    }

    fn ask<T>(&self, order: impl FnOnce(mpsc::Sender<T>) -> Order) -> io::Result<T> {
        let (say, said) = mpsc::channel();
        let _ = self.orders.try_send(order(say));
        said.recv_timeout(Duration::from_secs(10))
            .map_err(|_| io::Error::other("the links' thread ended"))
    }

    /// A relay for the calls of one party to another: where to call instead.
    pub fn relay(&self, from: End, to: End, target: SocketAddr) -> io::Result<SocketAddr> {
        self.ask(|say| Order::Relay(from, to, target, say))?
    }

    /// The called party is at another address from now on.
    pub fn lead(&self, from: End, to: End, target: SocketAddr) {
        let _ = self.orders.try_send(Order::Lead(from, to, target));
    }

    /// Sets or ends a fault of all links between two sets, whoever calls; how many there are.
    pub fn fault(
        &self,
        one: &BTreeSet<End>,
        other: &BTreeSet<End>,
        fault: Fault,
    ) -> io::Result<usize> {
        self.ask(|say| Order::Fault(one.clone(), other.clone(), fault, say))
    }

    /// What went through so far.
    pub fn carried(&self) -> Carried {
        self.ask(Order::Count).unwrap_or_default()
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        let _ = self.orders.try_send(Order::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// One link.
struct Relay {
    from: End,
    to: End,
    target: Cell<SocketAddr>,
    address: SocketAddr,
    fault: Cell<Fault>,
    /// What keeps the accept queue full, by own address.
    fillers: RefCell<Vec<TcpStream>>,
    filled: RefCell<BTreeSet<SocketAddr>>,
    socket: Async<TcpListener>,
    /// Ends the connections that are open.
    open: RefCell<Vec<Sender<()>>>,
    carried: Rc<Cell<Carried>>,
}

async fn obey(taken: Receiver<Order>, executor: Rc<LocalExecutor<'static>>) {
    let mut relays: Vec<Rc<Relay>> = Vec::new();
    let carried = Rc::new(Cell::new(Carried::default()));
    while let Ok(order) = taken.recv().await {
        match order {
            Order::Relay(from, to, target, say) => {
                let relay = Relay::open(from, to, target, carried.clone());
                let _ = say.send(relay.map(|relay| {
                    let relay = Rc::new(relay);
                    relays.push(relay.clone());
                    executor
                        .spawn(relay.clone().accept(executor.clone()))
                        .detach();
                    relay.address
                }));
            }
            Order::Lead(from, to, target) => {
                let theirs = relays
                    .iter()
                    .filter(|relay| (relay.from, relay.to) == (from, to));
                theirs.for_each(|relay| relay.target.set(target));
            }
            Order::Fault(one, other, fault, say) => {
                let mut count = 0;
                for relay in &relays {
                    let there = one.contains(&relay.from) && other.contains(&relay.to);
                    let back = one.contains(&relay.to) && other.contains(&relay.from);
                    // One way is the way from the first set to the second, whoever has called.
                    let turned = match fault {
                        Fault::CutTo if back && !there => Fault::CutFrom,
                        Fault::CutFrom if back && !there => Fault::CutTo,
                        same => same,
                    };
                    if there || back {
                        relay.set(turned);
                        count += 1;
                    }
                }
                let _ = say.send(count);
            }
            Order::Count(say) => drop(say.send(carried.get())),
            Order::Stop => return,
        }
    }
}

impl Relay {
    fn open(
        from: End,
        to: End,
        target: SocketAddr,
        carried: Rc<Cell<Carried>>,
    ) -> io::Result<Relay> {
        let socket = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = socket.get_ref().local_addr()?;
        rustix::net::listen(&socket, QUEUE)?;
        Ok(Relay {
            from,
            to,
            target: Cell::new(target),
            address,
            fault: Cell::default(),
            fillers: RefCell::default(),
            filled: RefCell::default(),
            socket,
            open: RefCell::default(),
            carried,
        })
    }

    /// From now on this is wrong with it.
    fn set(&self, fault: Fault) {
        let before = self.fault.replace(fault);
        if fault.swallows() && !before.swallows() {
            // One more than the queue takes, by the system's own count.
            let _ = rustix::net::listen(&self.socket, 0);
            let fill = || TcpStream::connect_timeout(&self.address, FILL).ok();
            let fillers: Vec<TcpStream> = (0..2).filter_map(|_| fill()).collect();
            self.filled
                .borrow_mut()
                .extend(fillers.iter().filter_map(|s| s.local_addr().ok()));
            *self.fillers.borrow_mut() = fillers;
        } else if before.swallows() && !fault.swallows() {
            self.fillers.borrow_mut().clear();
            let _ = rustix::net::listen(&self.socket, QUEUE);
        }
        if fault == Fault::Reset {
            for stop in self.open.borrow_mut().drain(..) {
                let _ = stop.try_send(());
            }
        }
    }

    async fn accept(self: Rc<Self>, executor: Rc<LocalExecutor<'static>>) {
        loop {
            while self.fault.get().swallows() {
                Timer::after(LOOK).await;
            }
            // What has come is looked at before it is taken: from the moment of a fault on, nothing is.
            if self.socket.readable().await.is_err() || self.fault.get().swallows() {
                continue;
            }
            let Ok((stream, peer)) = self.socket.get_ref().accept() else {
                continue;
            };
            let Ok(stream) = Async::new(stream) else {
                continue;
            };
            if self.filled.borrow_mut().remove(&peer) {
                continue;
            }
            executor.spawn(self.clone().carry(stream)).detach();
        }
    }

    /// Carries one connection until an end of it, or a reset.
    async fn carry(self: Rc<Self>, caller: Async<TcpStream>) {
        let _ = caller.get_ref().set_nodelay(true);
        let reset = |stream: &Async<TcpStream>| {
            let _ = rustix::net::sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
        };
        if self.fault.get() == Fault::Reset {
            return reset(&caller);
        }
        let Ok(called) = Async::<TcpStream>::connect(self.target.get()).await else {
            return reset(&caller);
        };
        let _ = called.get_ref().set_nodelay(true);
        let (stop, stopped) = async_channel::bounded(1);
        self.open.borrow_mut().retain(|stop| !stop.is_closed());
        self.open.borrow_mut().push(stop);
        self.count(1, 0);
        let both = async {
            let there = self.pump(&caller, &called, true);
            let back = self.pump(&called, &caller, false);
            // Each way ends by itself: what is half closed still carries the other way.
            let (one, other) = future::zip(there, back).await;
            !(one && other)
        };
        let told = async {
            let _ = stopped.recv().await;
            true
        };
        if both.or(told).await {
            reset(&caller);
            reset(&called);
        }
    }

    /// Carries one way; true where it came to a clean end.
    async fn pump(&self, from: &Async<TcpStream>, to: &Async<TcpStream>, there: bool) -> bool {
        let (mut reader, mut writer) = (from, to);
        let mut chunk = vec![0; 16 * 1024];
        loop {
            let Ok(count) = reader.read(&mut chunk).await else {
                return false;
            };
            let read = Instant::now();
            if let Some(late) = self.fault.get().late() {
                Timer::at(read + late).await;
            }
            while self.fault.get().holds(there) {
                Timer::after(LOOK).await;
            }
            if count == 0 {
                return writer.get_ref().shutdown(std::net::Shutdown::Write).is_ok();
            }
            if writer
                .write_all(chunk.get(..count).unwrap_or_default())
                .await
                .is_err()
            {
                // Whoever still writes to us hears of it.
                let _ = from.get_ref().shutdown(std::net::Shutdown::Both);
                return false;
            }
            self.count(0, count as u64);
        }
    }

    fn count(&self, connections: u64, bytes: u64) {
        let so_far = self.carried.get();
        self.carried.set(Carried {
            connections: so_far.connections + connections,
            bytes: so_far.bytes + bytes,
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{ErrorKind, Read, Write};

    /// An echo that says what it gets, for as many connections as come.
    fn echo() -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        std::thread::spawn(move || {
            while let Ok((mut stream, _)) = listener.accept() {
                std::thread::spawn(move || {
                    let mut reader = stream.try_clone().expect("a socket");
                    let _ = io::copy(&mut reader, &mut stream);
                });
            }
        });
        address
    }

    fn set(ends: &[End]) -> BTreeSet<End> {
        ends.iter().copied().collect()
    }

    /// Says a word and waits for it to come back; none within the limit.
    fn said(stream: &mut TcpStream, word: &[u8], limit: Duration) -> Option<Vec<u8>> {
        stream.write_all(word).ok()?;
        stream.set_read_timeout(Some(limit)).expect("an option");
        let mut back = vec![0; word.len()];
        stream.read_exact(&mut back).ok()?;
        Some(back)
    }

    const SOON: Duration = Duration::from_secs(10);
    const NEVER: Duration = Duration::from_millis(150);

    #[test]
    fn each_fault_does_what_its_link_does_and_heals() {
        let links = Links::start().expect("links");
        let (one, other) = (set(&[End::Placer(0)]), set(&[End::Host(3)]));
        let address = links
            .relay(End::Placer(0), End::Host(3), echo())
            .expect("a relay");
        let call = || TcpStream::connect_timeout(&address, NEVER);
        // By fault: what was said comes back on an open connection; new ones come up.
        for (fault, passes, comes_up) in [
            (Fault::Cut, false, false),
            (Fault::CutTo, false, false),
            (Fault::CutFrom, false, false),
            (Fault::Stall, false, true),
            (Fault::BlackHole, true, false),
        ] {
            let mut open = TcpStream::connect(address).expect("it is there");
            assert_eq!(
                said(&mut open, b"before", SOON).as_deref(),
                Some(&b"before"[..]),
                "{fault:?}"
            );
            assert_eq!(links.fault(&one, &other, fault).expect("links"), 1);
            let back = said(&mut open, b"during", if passes { SOON } else { NEVER });
            assert_eq!(back.is_some(), passes, "{fault:?}");
            assert_eq!(call().is_ok(), comes_up, "{fault:?}");
            assert_eq!(links.fault(&one, &other, Fault::None).expect("links"), 1);
            if !passes {
                // What waited arrives.
                open.set_read_timeout(Some(SOON)).expect("an option");
                let mut back = [0; 6];
                open.read_exact(&mut back).expect("it was held back");
                assert_eq!(&back, b"during", "{fault:?}");
            }
            let mut new = TcpStream::connect_timeout(&address, SOON).expect("healed");
            assert_eq!(
                said(&mut new, b"after", SOON).as_deref(),
                Some(&b"after"[..]),
                "{fault:?}"
            );
        }
    }

    #[test]
    fn a_reset_ends_what_is_open_and_what_comes() {
        let links = Links::start().expect("links");
        let ends = (set(&[End::Clients]), set(&[End::Placer(1)]));
        let address = links
            .relay(End::Clients, End::Placer(1), echo())
            .expect("a relay");
        let mut open = TcpStream::connect(address).expect("it is there");
        assert!(said(&mut open, b"before", SOON).is_some());
        // Named the other way round, it is the same link.
        assert_eq!(
            links.fault(&ends.1, &ends.0, Fault::Reset).expect("links"),
            1
        );
        open.set_read_timeout(Some(SOON)).expect("an option");
        assert_eq!(
            open.read(&mut [0; 8]).expect_err("reset").kind(),
            ErrorKind::ConnectionReset
        );
        let mut new = TcpStream::connect(address).expect("the relay is there");
        new.set_read_timeout(Some(SOON)).expect("an option");
        assert_eq!(
            new.read(&mut [0; 8]).expect_err("reset").kind(),
            ErrorKind::ConnectionReset
        );
    }

    #[test]
    fn slow_links_are_late_and_a_link_that_leads_elsewhere_is_followed_by_new_connections() {
        let links = Links::start().expect("links");
        let ends = (set(&[End::Placer(0)]), set(&[End::Feed(0)]));
        let address = links
            .relay(End::Placer(0), End::Feed(0), echo())
            .expect("a relay");
        let mut open = TcpStream::connect(address).expect("it is there");
        assert!(said(&mut open, b"before", SOON).is_some());
        let late = Duration::from_millis(60);
        links
            .fault(&ends.0, &ends.1, Fault::Slow(late))
            .expect("links");
        let begun = Instant::now();
        assert!(said(&mut open, b"slow", SOON).is_some());
        assert!(
            begun.elapsed() >= 2 * late,
            "both ways: {:?}",
            begun.elapsed()
        );
        links.fault(&ends.0, &ends.1, Fault::None).expect("links");
        let nobody = TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .expect("a port");
        links.lead(End::Placer(0), End::Feed(0), nobody);
        let mut new = TcpStream::connect(address).expect("the relay is there");
        assert_eq!(
            said(&mut new, b"lost", SOON),
            None,
            "nobody is where it leads"
        );
        assert!(said(&mut open, b"still", SOON).is_some());
        let carried = links.carried();
        assert_eq!((carried.connections, carried.bytes), (1, 2 * (6 + 4 + 5)));
    }
}

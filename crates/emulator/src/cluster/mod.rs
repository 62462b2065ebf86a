//! A stand-in installation: hosts and control feeds on sockets, on one thread of their own.
//!
//! Each host is a [`Machine`] behind a listener; each placer has a feed of its own, which tells it of all
//! hosts, late by a drawn time. Orders come through a channel, so that faults are lines of a plan.

use crate::event_log::{Notes, Running, fingerprint};
use crate::host_emulator::Habits;
use crate::host_model::{Cut, Fault, Machine, Micros, Offer, Spec, Word};
use crate::rule_check::{Listed, Note, Said};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{
    AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, FutureExt, StreamExt, future, io::BufReader,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What an installation is made of.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Names of the rooms.
    pub rooms: Vec<String>,
    /// Hosts at the start, spread over the rooms.
    pub hosts: usize,
    /// Hosts of a rack.
    pub rack: usize,
    /// What each is.
    pub spec: Spec,
    /// Placers.
    pub placers: usize,
    /// How late the feeds tell: at the least and at the most.
    pub late: (Micros, Micros),
    /// How often they tell what is free; 0: never.
    pub refresh: Micros,
    /// Drawn times come from it.
    pub seed: u64,
}

/// What may go wrong at a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostFault {
    /// As it should be.
    None,
    /// It refuses every offer.
    Refuse,
    /// It is ten times slower.
    Slow,
    /// It takes offers and answers none.
    Silent,
    /// It resets a connection on which an offer comes, before it reads it.
    ResetBefore,
    /// It reads the offer, then resets the connection.
    ResetAfter,
    /// Its answers can't be read.
    Spoilt,
}

/// What may go wrong with a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedFault {
    /// As it should be.
    None,
    /// Its connection breaks, and calls are not taken.
    Cut,
    /// It stays open and says nothing.
    Silent,
    /// It says each event twice.
    Doubled,
}

/// An order to the installation. Hosts are named by their place, which outlives their processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Sets or ends a fault.
    Host(usize, HostFault),
    /// The host's process dies.
    Die(usize),
    /// A process comes up cold in its place, under a new id.
    Rise(usize),
    /// The host begins or ends a drain.
    Drain(usize, bool),
    /// It sends so many tasks away.
    Evict(usize, usize),
    /// Sets or ends a fault of a placer's feed.
    Feed(usize, FeedFault),
    /// The feed of a placer moves: the next call finds it elsewhere.
    MoveFeed(usize),
    /// Ends the thread.
    Stop,
}

/// How the hosts stand, from time to time.
#[derive(Debug, Clone, PartialEq)]
pub struct Look {
    /// When.
    pub at: Micros,
    /// The part of each place's cores that is asked for; none where no process is.
    pub load: Vec<Option<f64>>,
}

/// What the thread takes.
enum Message {
    Order(Order),
    /// The feed of a placer begins anew; said when it has.
    Anew(usize, std::sync::mpsc::Sender<()>),
}

/// A running installation.
pub struct Site {
    orders: Sender<Message>,
    shared: std::sync::Arc<std::sync::Mutex<Outside>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// What the outside may read.
#[derive(Debug, Default)]
struct Outside {
    /// By placer: where its feed listens, and the events so far, for a configuration.
    feeds: Vec<SocketAddr>,
    list: Vec<OwnedValue>,
    /// By number of a host: its room, and its place.
    rooms: Vec<usize>,
    places: Vec<usize>,
    looks: Vec<Look>,
    /// By place: where its host listens for each placer; one address where all share it. Lists name the first.
    addresses: Vec<Vec<SocketAddr>>,
    /// By placer and place, and by placer: where they are called instead.
    host_routes: BTreeMap<(usize, usize), SocketAddr>,
    feed_routes: BTreeMap<usize, SocketAddr>,
}

impl Outside {
    /// An entry of the list as a placer is told it.
    fn routed(&self, placer: usize, entry: &OwnedValue) -> OwnedValue {
        let mut entry = entry.clone();
        let place = entry
            .get_u64("place")
            .and_then(|place| usize::try_from(place).ok());
        let _ = entry.remove("place");
        let route = place.and_then(|place| self.host_routes.get(&(placer, place)).copied());
        if let Some(dial) = route.or_else(|| self.address(placer, place?)) {
            let _ = entry.insert("dial", dial.to_string());
        }
        entry
    }

    /// Where the host in a place listens for a placer.
    fn address(&self, placer: usize, place: usize) -> Option<SocketAddr> {
        let addresses = self.addresses.get(place)?;
        addresses.get(placer).or(addresses.first()).copied()
    }

    /// Where a placer calls its feed.
    fn feed_of(&self, placer: usize) -> Option<SocketAddr> {
        self.feed_routes
            .get(&placer)
            .or(self.feeds.get(placer))
            .copied()
    }
}

impl Site {
    /// Starts it.
    pub fn start(layout: Layout, notes: Notes) -> std::io::Result<Site> {
        let (orders, taken) = async_channel::unbounded();
        let shared = std::sync::Arc::<std::sync::Mutex<Outside>>::default();
        let (ready, is_ready) = std::sync::mpsc::channel();
        let outside = shared.clone();
        let thread = std::thread::Builder::new()
            .name("site".into())
            .spawn(move || {
                let executor = Rc::new(LocalExecutor::new());
                future::block_on(executor.run(async {
                    let started = World::start(layout, notes, executor.clone(), outside);
                    let world = match started {
                        Ok(world) => world,
                        Err(e) => {
                            let _ = ready.send(Err(e));
                            return;
                        }
                    };
                    let _ = ready.send(Ok(()));
                    while let Ok(message) = taken.recv().await {
                        match message {
                            Message::Order(Order::Stop) => return,
                            Message::Order(order) => world.obey(order),
                            Message::Anew(placer, done) => {
                                world.with(|inner| inner.begin_feed_anew(placer));
                                let _ = done.send(());
                            }
                        }
                    }
                }));
            })?;
        is_ready
            .recv()
            .unwrap_or_else(|_| Err(std::io::Error::other("the site's thread ended")))?;
        Ok(Site {
            orders,
            shared,
            thread: Some(thread),
        })
    }

    /// Gives an order.
    pub fn order(&self, order: Order) {
        let _ = self.orders.try_send(Message::Order(order));
    }

    fn outside(&self) -> std::sync::MutexGuard<'_, Outside> {
        self.shared
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// For a placer that starts now: where its feed is, and the list as it stands. Its feed begins anew.
    pub fn introduce(&self, placer: usize) -> (SocketAddr, Vec<OwnedValue>) {
        let (done, is_done) = std::sync::mpsc::channel();
        let _ = self.orders.try_send(Message::Anew(placer, done));
        let _ = is_done.recv_timeout(Duration::from_secs(5));
        let outside = self.outside();
        let address = outside
            .feed_of(placer)
            .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 9)));
        (
            address,
            outside
                .list
                .iter()
                .map(|entry| outside.routed(placer, entry))
                .collect(),
        )
    }

    /// Where the feed of a placer is now.
    pub fn feed(&self, placer: usize) -> Option<SocketAddr> {
        self.outside().feed_of(placer)
    }

    /// Where the host in a place listens for a placer.
    pub fn address(&self, placer: usize, place: usize) -> Option<SocketAddr> {
        self.outside().address(placer, place)
    }

    /// From now on placers are told these addresses instead: of hosts, by placer and place, and of feeds.
    pub fn route(
        &self,
        hosts: BTreeMap<(usize, usize), SocketAddr>,
        feeds: BTreeMap<usize, SocketAddr>,
    ) {
        let mut outside = self.outside();
        (outside.host_routes, outside.feed_routes) = (hosts, feeds);
    }

    /// The room of each host so far, by its number.
    pub fn rooms(&self) -> Vec<usize> {
        self.outside().rooms.clone()
    }

    /// The place of each host so far, by its number.
    pub fn places(&self) -> Vec<usize> {
        self.outside().places.clone()
    }

    /// How the hosts stood, all along.
    pub fn looks(&self) -> Vec<Look> {
        self.outside().looks.clone()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = self.orders.try_send(Message::Order(Order::Stop));
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// With more pairs of a host and a placer than this, a host listens at one address for all placers: each address is
/// a descriptor. Then it can't tell placers apart, and a word whose connection is gone goes to all of them.
const MOST_APART: usize = 2_048;

/// A connection of a placer, as its host writes to it.
struct Conn {
    /// The placer, where it can be told.
    placer: Option<usize>,
    out: Sender<Vec<u8>>,
    stop: Sender<bool>,
}

/// The process in a place.
struct Process {
    /// Its number, for notes.
    number: usize,
    name: String,
    machine: Machine,
    conns: BTreeMap<u64, Conn>,
    next_conn: u64,
    /// For each id here: its key, class's priority is with the machine; its connection and description.
    tasks: HashMap<u64, (u64, u64, String)>,
    /// The placer of each connection that ever was, where it can be told.
    callers: HashMap<u64, usize>,
    /// Releases that their placer has not confirmed.
    unheard: BTreeMap<u64, (Option<usize>, Vec<u8>)>,
    fault: HostFault,
    state: Listed,
    born_ms: u64,
    /// Held back while it is silent.
    held: Vec<(u64, Word)>,
    wake: Sender<()>,
    stop: Sender<()>,
    told_free: [f64; 2],
}

struct Place {
    room: usize,
    rack: usize,
    addresses: Vec<SocketAddr>,
    process: Option<Process>,
}

/// A feed of one placer.
struct FeedState {
    events: Vec<OwnedValue>,
    fault: FeedFault,
    since: Micros,
    generation: u64,
    wake: Vec<Sender<()>>,
}

struct Inner {
    layout: Layout,
    notes: Notes,
    executor: Rc<LocalExecutor<'static>>,
    places: Vec<Place>,
    feeds: Vec<FeedState>,
    rng: ChaCha8Rng,
    outside: std::sync::Arc<std::sync::Mutex<Outside>>,
    count: usize,
}

#[derive(Clone)]
struct World(Rc<RefCell<Inner>>);

fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(0)
}

fn listener(address: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

fn listeners(addresses: &[SocketAddr]) -> std::io::Result<Vec<Async<TcpListener>>> {
    addresses.iter().map(|address| listener(*address)).collect()
}

impl World {
    fn start(
        layout: Layout,
        notes: Notes,
        executor: Rc<LocalExecutor<'static>>,
        outside: std::sync::Arc<std::sync::Mutex<Outside>>,
    ) -> std::io::Result<World> {
        let rng = ChaCha8Rng::seed_from_u64(layout.seed ^ 0x7369_7465);
        let inner = Inner {
            layout,
            notes,
            executor: executor.clone(),
            places: Vec::new(),
            feeds: Vec::new(),
            rng,
            outside,
            count: 0,
        };
        let world = World(Rc::new(RefCell::new(inner)));
        let (hosts, placers) = world.with(|inner| (inner.layout.hosts, inner.layout.placers));
        let apart = hosts * placers <= MOST_APART;
        for n in 0..hosts {
            let any = vec![SocketAddr::from(([127, 0, 0, 1], 0)); if apart { placers } else { 1 }];
            let sockets = listeners(&any)?;
            let addresses: Vec<SocketAddr> = sockets
                .iter()
                .map(|socket| socket.get_ref().local_addr())
                .collect::<Result<_, _>>()?;
            world.with(|inner| {
                let (room, rack) = (
                    n % inner.layout.rooms.len().max(1),
                    n / inner.layout.rack.max(1),
                );
                inner.places.push(Place {
                    room,
                    rack,
                    addresses: addresses.clone(),
                    process: None,
                });
                inner.outside().addresses.push(addresses);
            });
            world.rise(n, sockets, false);
        }
        for placer in 0..placers {
            let socket = listener(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            world.open_feed(placer, socket)?;
        }
        world.publish();
        let looking = world.clone();
        executor
            .spawn(async move { looking.look_on().await })
            .detach();
        Ok(world)
    }

    fn with<T>(&self, act: impl FnOnce(&mut Inner) -> T) -> T {
        act(&mut self.0.borrow_mut())
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.with(|inner| inner.executor.spawn(task).detach());
    }

    fn obey(&self, order: Order) {
        match order {
            Order::Host(place, fault) => self.set_fault(place, fault),
            Order::Die(place) => self.die(place),
            Order::Rise(place) => {
                let addresses =
                    self.with(|inner| inner.places.get(place).map(|p| p.addresses.clone()));
                // The address may be in the hands of the kernel for a moment.
                if let Some(addresses) = addresses {
                    let world = self.clone();
                    self.spawn(async move {
                        for _ in 0..100 {
                            if let Ok(sockets) = listeners(&addresses) {
                                world.rise(place, sockets, true);
                                world.tell_state(place);
                                return;
                            }
                            Timer::after(Duration::from_millis(20)).await;
                        }
                    });
                }
            }
            Order::Drain(place, drains) => {
                self.with(|inner| {
                    let now = inner.notes.now();
                    if let Some(process) = inner.process(place) {
                        process.machine.drain(now, drains);
                        process.state = if drains { Listed::Draining } else { Listed::Up };
                        let _ = process.wake.try_send(());
                    }
                });
                self.tell_state(place);
            }
            Order::Evict(place, count) => {
                let said = self.with(|inner| {
                    inner
                        .process(place)
                        .map(|p| p.machine.evict(count))
                        .unwrap_or_default()
                });
                self.say(place, said);
            }
            Order::Feed(placer, fault) => self.with(|inner| {
                let now = inner.notes.now();
                if let Some(feed) = inner.feeds.get_mut(placer) {
                    feed.fault = fault;
                    feed.since = now;
                    feed.wake
                        .retain(|wake| wake.try_send(()).is_ok() || !wake.is_closed());
                }
            }),
            Order::MoveFeed(placer) => {
                if let Ok(socket) = listener(SocketAddr::from(([127, 0, 0, 1], 0))) {
                    let address = socket.get_ref().local_addr();
                    self.with(|inner| {
                        if let (Ok(address), Some(old)) =
                            (address, inner.outside().feeds.get_mut(placer))
                        {
                            *old = address;
                        }
                    });
                    let world = self.clone();
                    self.spawn(async move { world.feed_accept(placer, socket).await });
                }
            }
            Order::Stop => {}
        }
    }

    // ---- Hosts ----

    /// A process comes up in a place.
    fn rise(&self, place: usize, sockets: Vec<Async<TcpListener>>, cold: bool) {
        let (wake, woken) = async_channel::bounded(1);
        let (stop, stopped) = async_channel::bounded(1);
        self.with(|inner| {
            let now = inner.notes.now();
            let name = format!("s-{:04x}{:04x}", inner.count, inner.layout.seed & 0xffff);
            inner.count += 1;
            let number = inner.notes.name_host(&name);
            let spec = inner.layout.spec.clone();
            let process = Process {
                number,
                name,
                machine: Machine::new(spec, now, cold),
                conns: BTreeMap::new(),
                next_conn: 0,
                tasks: HashMap::new(),
                callers: HashMap::new(),
                unheard: BTreeMap::new(),
                fault: HostFault::None,
                state: Listed::Up,
                born_ms: if cold { unix_ms() } else { 0 },
                held: Vec::new(),
                wake,
                stop,
                told_free: [0.0; 2],
            };
            let room = inner.places.get(place).map_or(0, |p| p.room);
            inner.outside().rooms.push(room);
            inner.outside().places.push(place);
            if let Some(p) = inner.places.get_mut(place) {
                p.process = Some(process);
            }
        });
        let (ticking, apart) = (self.clone(), sockets.len() > 1);
        for (placer, socket) in sockets.into_iter().enumerate() {
            let (accepting, until) = (self.clone(), stopped.clone());
            self.spawn(async move {
                let stop = async {
                    // One order ends them all: the channel is closed after it.
                    while until.recv().await.is_ok() {}
                };
                accepting
                    .host_accept(place, apart.then_some(placer), socket)
                    .or(stop)
                    .await;
            });
        }
        self.spawn(async move { ticking.host_tick(place, woken).await });
    }

    async fn host_accept(&self, place: usize, placer: Option<usize>, socket: Async<TcpListener>) {
        while let Ok((stream, _)) = socket.accept().await {
            let _ = stream.get_ref().set_nodelay(true);
            let (out, lines) = async_channel::unbounded::<Vec<u8>>();
            let (stop, stopped) = async_channel::bounded(1);
            let conn = self.with(|inner| {
                let process = inner.process(place)?;
                let conn = process.next_conn;
                process.next_conn += 1;
                // What was released and not heard is told on the next connection to open.
                for (_, line) in process.unheard.values().filter(|(of, _)| *of == placer) {
                    let _ = out.try_send(line.clone());
                }
                placer.map(|placer| process.callers.insert(conn, placer));
                process.conns.insert(conn, Conn { placer, out, stop });
                Some((process.number, conn))
            });
            let Some((number, conn)) = conn else { return };
            self.with(|inner| inner.notes.add(Note::Called(number)));
            let world = self.clone();
            self.spawn(async move {
                let reset = world
                    .host_conn((place, number, conn), &stream, lines, stopped)
                    .await;
                if reset {
                    let _ = rustix::net::sockopt::set_socket_linger(
                        stream.get_ref(),
                        Some(Duration::ZERO),
                    );
                }
                drop(stream);
                world.conn_ended(place, number, conn);
            });
        }
    }

    /// Serves one connection; true where it is to be reset.
    async fn host_conn(
        &self,
        (place, number, conn): (usize, usize, u64),
        stream: &Async<TcpStream>,
        lines: Receiver<Vec<u8>>,
        stopped: Receiver<bool>,
    ) -> bool {
        let writing = async {
            let mut out = stream;
            while let Ok(line) = lines.recv().await {
                if out.write_all(&line).await.is_err() {
                    return false;
                }
            }
            false
        };
        let reading = async {
            let mut reader = BufReader::new(stream);
            let mut line = Vec::new();
            loop {
                let fault =
                    self.with(|inner| inner.process(place).map_or(HostFault::None, |p| p.fault));
                if fault == HostFault::ResetBefore {
                    // Wait for an offer to come, and do not read it.
                    if stream.readable().await.is_ok() {
                        return true;
                    }
                }
                line.clear();
                match reader.read_until(b'\n', &mut line).await {
                    Ok(n) if n > 0 && line.last() == Some(&b'\n') => {}
                    _ => return false,
                }
                let Ok(message) = simd_json::to_owned_value(&mut line) else {
                    return true;
                };
                if self.host_word(place, number, conn, &message) {
                    return true;
                }
            }
        };
        let stopping = async { stopped.recv().await.unwrap_or(false) };
        let reset = reading.or(writing).or(stopping).await;
        // What was said before the placer's end was seen goes out: its side may be closed and still read.
        while let Some(line) = lines.try_recv().ok().filter(|_| !reset) {
            let mut out = stream;
            if out.write_all(&line).await.is_err() {
                break;
            }
        }
        reset
    }

    /// A word of a placer; true where the connection is to be reset.
    fn host_word(&self, place: usize, number: usize, conn: u64, message: &OwnedValue) -> bool {
        let id = message
            .get_str("ref")
            .and_then(|id| u64::from_str_radix(id, 16).ok())
            .unwrap_or(0);
        let mut said = Vec::new();
        let reset = self.with(|inner| {
            let now = inner.notes.now();
            let notes = inner.notes.clone();
            let Some(process) = inner.process(place).filter(|p| p.number == number) else {
                return true;
            };
            match message.get_str("t") {
                Some("new") => {
                    let description = message.get_str("d").unwrap_or_default().to_string();
                    let field = |name| {
                        message
                            .get("f")
                            .and_then(|f| f.get_str(name))
                            .unwrap_or_default()
                    };
                    let key = u64::from_str_radix(field("key"), 16).unwrap_or(0);
                    let left: Micros = field("left").parse::<i64>().unwrap_or(0) * 1_000;
                    notes.add_at(
                        now,
                        Note::Offered {
                            id,
                            host: number,
                            description: fingerprint(&description),
                        },
                    );
                    if process.fault == HostFault::ResetAfter {
                        notes.add_at(now, Note::Said(id, number, Said::Cut));
                        return true;
                    }
                    let offer = read_description(&description, id, left);
                    process.tasks.insert(id, (conn, key, description));
                    if process.machine.offer(now, offer) {
                        notes.add_at(now, Note::Fell(number));
                    }
                    said = process.machine.tick(now);
                    let _ = process.wake.try_send(());
                }
                Some("down") => {
                    match process.machine.stop(id) {
                        Cut::Before => {
                            notes.add_at(now, Note::Stopped(id, number));
                            process.tasks.remove(&id);
                        }
                        Cut::Running => {
                            notes.add_at(now, Note::Stopped(id, number));
                            if let Some((_, key, _)) = process.tasks.get(&id) {
                                notes.ran(*key, number);
                            }
                            said.push((id, Word::Down(31, "")));
                        }
                        Cut::Unknown => {}
                    }
                    let _ = process.wake.try_send(());
                }
                Some("ack") => {
                    process.unheard.remove(&id);
                }
                Some("hb") => {
                    let line = json!({ "t": "hb_ok", "ref": hex(id), "f": {}, "c": 1 });
                    process.write(conn, &line);
                }
                _ => {}
            }
            false
        });
        self.say(place, said);
        reset
    }

    /// A connection has ended: offers that are open on it are given up.
    fn conn_ended(&self, place: usize, number: usize, conn: u64) {
        self.with(|inner| {
            let notes = inner.notes.clone();
            let Some(process) = inner.process(place).filter(|p| p.number == number) else {
                return;
            };
            process.conns.remove(&conn);
            let running: BTreeSet<u64> = process.machine.running().collect();
            let open: Vec<u64> = process
                .tasks
                .iter()
                .filter(|(id, (c, ..))| *c == conn && !running.contains(id))
                .map(|(id, _)| *id)
                .collect();
            for id in open {
                if process.machine.stop(id) == Cut::Before {
                    notes.add(Note::Closed(id, number));
                }
                process.tasks.remove(&id);
            }
        });
    }

    /// Says words of a machine to the placers that they concern.
    fn say(&self, place: usize, said: Vec<(u64, Word)>) {
        self.with(|inner| {
            let notes = inner.notes.clone();
            let Some(process) = inner.process(place) else {
                return;
            };
            for (id, word) in said {
                if process.fault == HostFault::Silent {
                    process.held.push((id, word));
                } else {
                    process.say(&notes, id, word);
                }
            }
        });
    }

    /// Ticks the machine of a place whenever something is due, until its process is gone.
    async fn host_tick(&self, place: usize, woken: Receiver<()>) {
        loop {
            let next = self.with(|inner| {
                let notes = inner.notes.clone();
                inner
                    .process(place)
                    .map(|p| p.machine.next().map(|at| notes.instant(at)))
            });
            let wait = async {
                match next.flatten() {
                    Some(at) => {
                        Timer::at(at).await;
                        true
                    }
                    None => future::pending().await,
                }
            };
            let wake = async { woken.recv().await.is_ok() };
            if !wait.or(wake).await {
                return;
            }
            let said = self.with(|inner| {
                let now = inner.notes.now();
                inner
                    .process(place)
                    .map(|p| p.machine.tick(now))
                    .unwrap_or_default()
            });
            self.say(place, said);
        }
    }

    fn set_fault(&self, place: usize, fault: HostFault) {
        let held = self.with(|inner| {
            let Some(process) = inner.process(place) else {
                return Vec::new();
            };
            process.fault = fault;
            process.machine.set_fault(match fault {
                HostFault::Refuse => Some(Fault::Refuse),
                HostFault::Slow => Some(Fault::Slow),
                _ => None,
            });
            let _ = process.wake.try_send(());
            if fault == HostFault::Silent {
                Vec::new()
            } else {
                std::mem::take(&mut process.held)
            }
        });
        self.say(place, held);
    }

    fn die(&self, place: usize) {
        let gone = self.with(|inner| {
            let process = inner.places.get_mut(place).and_then(|p| p.process.take())?;
            inner.notes.died(process.number);
            Some(process)
        });
        let Some(process) = gone else { return };
        let _ = process.stop.try_send(());
        for conn in process.conns.values() {
            let _ = conn.stop.try_send(true);
        }
        self.tell(vec![(
            process.number,
            gone_entry(&process.name),
            Listed::Gone,
        )]);
        self.publish();
    }

    // ---- Feeds ----

    /// Tells all feeds how a place stands.
    fn tell_state(&self, place: usize) {
        let told = self.with(|inner| {
            let entry = inner.entry(place)?;
            let process = inner.process(place)?;
            Some((process.number, entry, process.state))
        });
        if let Some(told) = told {
            self.tell(vec![told]);
        }
        self.publish();
    }

    /// Adds an event to each feed, each late by a time of its own.
    fn tell(&self, entries: Vec<(usize, OwnedValue, Listed)>) {
        let placers = self.with(|inner| inner.feeds.len());
        for placer in 0..placers {
            let (late, generation) = self.with(|inner| {
                let (from, to) = inner.layout.late;
                let late = inner.rng.random_range(from..=to.max(from));
                (
                    late,
                    inner.feeds.get(placer).map_or(0, |feed| feed.generation),
                )
            });
            let (world, entries) = (self.clone(), entries.clone());
            self.spawn(async move {
                Timer::after(Duration::from_micros(u64::try_from(late).unwrap_or(0))).await;
                world.with(|inner| inner.add_event(placer, generation, entries));
            });
        }
    }

    fn open_feed(&self, placer: usize, socket: Async<TcpListener>) -> std::io::Result<()> {
        let address = socket.get_ref().local_addr()?;
        self.with(|inner| {
            inner.outside().feeds.push(address);
            inner.feeds.push(FeedState {
                events: Vec::new(),
                fault: FeedFault::None,
                since: 0,
                generation: 0,
                wake: Vec::new(),
            });
        });
        let world = self.clone();
        self.spawn(async move { world.feed_accept(placer, socket).await });
        Ok(())
    }

    async fn feed_accept(&self, placer: usize, socket: Async<TcpListener>) {
        loop {
            let Ok((stream, _)) = socket.accept().await else {
                return;
            };
            let fault =
                self.with(|inner| inner.feeds.get(placer).map_or(FeedFault::None, |f| f.fault));
            let moved = self.with(|inner| {
                let own = socket.get_ref().local_addr().ok();
                inner.outside().feeds.get(placer).copied() != own
            });
            // One that has moved serves nobody new.
            if moved {
                return;
            }
            if fault != FeedFault::Cut {
                let world = self.clone();
                self.spawn(async move { world.feed_conn(placer, stream).await });
            }
        }
    }

    async fn feed_conn(&self, placer: usize, stream: Async<TcpStream>) {
        let mut first = Vec::new();
        if BufReader::new(&stream)
            .read_until(b'\n', &mut first)
            .await
            .is_err()
        {
            return;
        }
        let text = String::from_utf8_lossy(&first).into_owned();
        let from = text
            .strip_prefix("SUB ")
            .and_then(|n| n.trim_end().parse::<usize>().ok())
            .unwrap_or(1);
        let (wake, woken) = async_channel::bounded(1);
        let generation = self.with(|inner| {
            inner.feeds.get_mut(placer).map(|feed| {
                feed.wake.push(wake);
                feed.generation
            })
        });
        let mut told = from.saturating_sub(1);
        let mut spoke: Option<std::time::Instant> = None;
        let mut out = &stream;
        loop {
            let lines = self.with(|inner| {
                let feed = inner
                    .feeds
                    .get(placer)
                    .filter(|feed| Some(feed.generation) == generation)?;
                match feed.fault {
                    FeedFault::Cut => return None,
                    FeedFault::Silent => return Some(String::new()),
                    FeedFault::None | FeedFault::Doubled => {}
                }
                let mut lines = String::new();
                let twice = if feed.fault == FeedFault::Doubled {
                    2
                } else {
                    1
                };
                for event in feed.events.iter().skip(told) {
                    for _ in 0..twice {
                        lines.push_str(&event.encode());
                        lines.push('\n');
                    }
                }
                told = told.max(feed.events.len());
                if spoke.is_none_or(|at| at.elapsed() >= Duration::from_secs(1)) {
                    lines.push_str(&format!("{{\"n\":{}}}\n", told + 1));
                    spoke = Some(std::time::Instant::now());
                }
                Some(lines)
            });
            let Some(lines) = lines else { return };
            if !lines.is_empty() && out.write_all(lines.as_bytes()).await.is_err() {
                return;
            }
            let wait = async {
                Timer::after(Duration::from_millis(250)).await;
                true
            };
            let wake = async { woken.recv().await.is_ok() };
            let gone = async {
                let mut scratch = [0; 16];
                let mut reader = &stream;
                let _ = reader.read(&mut scratch).await;
                false
            };
            if !wake.or(wait).or(gone).await {
                return;
            }
        }
    }

    /// Publishes the list for placers that start.
    fn publish(&self) {
        self.with(|inner| {
            let entries: Vec<OwnedValue> = (0..inner.places.len())
                .filter_map(|place| inner.entry(place))
                .collect();
            inner.outside().list = entries;
        });
    }

    /// Looks at the hosts now and then: for the report, and for the feeds' word on what is free.
    async fn look_on(&self) {
        let mut ticks = Timer::interval(Duration::from_millis(100));
        let mut count: Micros = 0;
        while ticks.next().await.is_some() {
            count += 100_000;
            self.with(|inner| {
                let now = inner.notes.now();
                if count % 500_000 == 0 {
                    let load = inner
                        .places
                        .iter()
                        .map(|p| p.process.as_ref().map(|q| q.machine.load()))
                        .collect();
                    inner.outside().looks.push(Look { at: now, load });
                }
            });
            let refresh = self.with(|inner| inner.layout.refresh);
            if refresh > 0 && count % refresh.max(100_000) < 100_000 {
                let changed: Vec<(usize, OwnedValue, Listed)> = self.with(|inner| {
                    let places = 0..inner.places.len();
                    let changed = places.filter_map(|place| {
                        let process = inner.process(place)?;
                        let free = process.machine.free();
                        if free == process.told_free {
                            return None;
                        }
                        process.told_free = free;
                        let (number, state) = (process.number, process.state);
                        Some((number, inner.entry(place)?, state))
                    });
                    changed.collect()
                });
                if !changed.is_empty() {
                    self.tell(changed);
                }
                self.publish();
            }
        }
    }
}

impl Inner {
    fn process(&mut self, place: usize) -> Option<&mut Process> {
        self.places.get_mut(place).and_then(|p| p.process.as_mut())
    }

    fn outside(&self) -> std::sync::MutexGuard<'_, Outside> {
        self.outside
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn entry(&self, place: usize) -> Option<OwnedValue> {
        let p = self.places.get(place)?;
        let process = p.process.as_ref()?;
        let health = if process.state == Listed::Draining {
            "draining"
        } else {
            "up"
        };
        let site = self.layout.rooms.get(p.room).map_or("", String::as_str);
        let [cores, memory] = process.machine.free();
        Some(json!({
            "host": process.name.as_str(), "dial": p.addresses.first().map_or_else(String::new, ToString::to_string), "place": place, "site": site, "class": "node",
            "block": p.rack, "health": health, "share": 1, "born_ms": process.born_ms, "unasked": [cores, memory]
        }))
    }

    /// Numbering starts with each start of a placer, and the list that it is started with is the first event.
    fn begin_feed_anew(&mut self, placer: usize) {
        if let Some(feed) = self.feeds.get_mut(placer) {
            feed.events.clear();
            feed.generation += 1;
            feed.wake.clear();
        }
        let entries: Vec<OwnedValue> = (0..self.places.len())
            .filter_map(|place| self.entry(place))
            .collect();
        self.outside().list = entries;
    }

    /// An event is in a placer's feed: from then on it counts as told, at the latest 4 s after a fault began.
    fn add_event(
        &mut self,
        placer: usize,
        generation: u64,
        entries: Vec<(usize, OwnedValue, Listed)>,
    ) {
        let now = self.notes.now();
        let routed = |outside: &Outside| {
            entries
                .iter()
                .map(|(_, entry, _)| outside.routed(placer, entry))
                .collect()
        };
        let hosts: Vec<OwnedValue> = routed(&self.outside());
        let Some(feed) = self
            .feeds
            .get_mut(placer)
            .filter(|feed| feed.generation == generation)
        else {
            return;
        };
        let n = feed.events.len() as u64 + 2;
        feed.events
            .push(json!({ "n": n, "members": { "seq": n, "whole": false, "hosts": hosts } }));
        feed.wake
            .retain(|wake| wake.try_send(()).is_ok() || !wake.is_closed());
        let hindered = matches!(feed.fault, FeedFault::Cut | FeedFault::Silent);
        let at = if hindered {
            now.max(feed.since + 4_000_000)
        } else {
            now
        };
        for (number, _, state) in entries {
            self.notes.add_at(at, Note::Listed(placer, number, state));
        }
    }
}

impl Process {
    /// Writes a line on a connection, or on all that are open where that one is gone.
    fn write(&self, conn: u64, line: &OwnedValue) {
        let mut bytes = line.encode().into_bytes();
        bytes.push(b'\n');
        self.write_bytes(conn, &bytes);
    }

    fn write_bytes(&self, conn: u64, bytes: &[u8]) {
        match self.conns.get(&conn) {
            Some(conn) => drop(conn.out.try_send(bytes.to_vec())),
            None => {
                let placer = self.callers.get(&conn).copied();
                let theirs = self.conns.values().filter(|conn| conn.placer == placer);
                theirs.for_each(|conn| drop(conn.out.try_send(bytes.to_vec())));
            }
        }
    }

    fn say(&mut self, notes: &Notes, id: u64, word: Word) {
        let Some((conn, key, _)) = self.tasks.get(&id) else {
            return;
        };
        let (conn, key, number) = (*conn, *key, self.number);
        match word {
            Word::Up => {
                let answer = format!("stands {} at {}\r\n", hex(id), self.name);
                notes.runs(key, Running { id, host: number });
                if self.fault == HostFault::Spoilt {
                    notes.add(Note::Said(id, number, Said::Cut));
                    return self.write_bytes(
                        conn,
                        format!("{{\"t\":\"up\",\"ref\":\"{}\n", hex(id)).as_bytes(),
                    );
                }
                notes.add(Note::Said(id, number, Said::Up(fingerprint(&answer))));
                // A start whose connection is gone is nobody's: it is found later.
                if self.conns.contains_key(&conn) {
                    self.write(
                        conn,
                        &json!({ "t": "up", "ref": hex(id), "f": {}, "d": answer }),
                    );
                }
            }
            Word::Down(cause, note) => {
                notes.ran(key, number);
                let placer = self.callers.get(&conn).copied();
                let heard = self.conns.values().any(|conn| conn.placer == placer);
                let word = if heard {
                    Said::Down(cause)
                } else {
                    Said::Unsent(cause)
                };
                notes.add(Note::Said(id, number, word));
                let line =
                    json!({ "t": "down", "ref": hex(id), "f": { "note": note }, "c": cause });
                let refused = matches!(cause, 34 | 102);
                if !refused {
                    let mut bytes = line.encode().into_bytes();
                    bytes.push(b'\n');
                    self.unheard.insert(id, (placer, bytes));
                }
                self.write(conn, &line);
                self.tasks.remove(&id);
            }
        }
    }
}

fn hex(id: u64) -> String {
    format!("{id:016x}")
}

fn gone_entry(name: &str) -> OwnedValue {
    json!({ "host": name, "health": "removed" })
}

/// The description that clients of a rehearsal send: all that a host needs to know of the task.
pub fn describe(offer: &Offer, key: u64) -> String {
    format!(
        "k={key:016x}\r\ns={:016x}\r\na={} {}\r\np={}\r\nl={}\r\n",
        offer.service, offer.cores, offer.memory, offer.priority, offer.life
    )
}

fn read_description(text: &str, id: u64, left: Micros) -> Offer {
    let line = |name: &str| {
        text.lines()
            .find_map(|line| line.strip_prefix(name))
            .unwrap_or_default()
    };
    let (cores, memory) = line("a=").split_once(' ').unwrap_or(("1", "1"));
    Offer {
        id,
        service: u64::from_str_radix(line("s="), 16).unwrap_or(0),
        cores: cores.parse().unwrap_or(1.0),
        memory: memory.parse().unwrap_or(1.0),
        priority: line("p=").parse().unwrap_or(0),
        life: line("l=").parse().unwrap_or(1_000_000),
        left,
    }
}

/// A machine for simple habits.
impl From<&Habits> for Spec {
    fn from(habits: &Habits) -> Spec {
        let micros = |d: Duration| Micros::try_from(d.as_micros()).unwrap_or(Micros::MAX);
        Spec {
            cores: habits.room as f64,
            memory: habits.room as f64,
            look: 1,
            queue: 1_000,
            starts: 1_000,
            start: micros(habits.start),
            cold_start: 1.0,
            kept: 0,
            preempts: false,
            cold: 1,
            cold_from: 1.0,
            overload: f64::INFINITY,
            bears: usize::MAX,
            drain_pace: 500_000,
        }
    }
}

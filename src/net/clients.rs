//! Connections from clients: accepting, reading, and where a task's end is told.

use super::codec::{TaskId, binary};
use super::conn::{Conn, End, STUCK, Unread};
use super::dispatch::Shared;
use async_io::{Async, Timer};
use futures_lite::future;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;
use task_placer::descriptors::DescriptorQuotas;
use task_placer::facade::Ticket;
use task_placer::health::Event;
use task_placer::{HostId, Micros};
use tracing::{info, warn};

/// A silent connection that carries no open set-up is closed after this.
const IDLE: Micros = 60_000_000;
/// How long a connection may go without a whole message, from its start or from half of one on.
const UNSPOKEN: Micros = 2_200_000;
/// A connection this young may still be waiting for its first message: it does not make room.
const YOUNG: Micros = 100_000;
/// How long a word on a task that stood is kept for the case that its connection ends unread.
const UNHEARD: Micros = 10_000_000;
/// How long a word on a task that stood may be on its way to its client.
const UNREAD: Micros = 1_000_000;
/// Connections that may wait to be accepted. The standard library asks for 128, and clients come back by
/// hundreds where placers were killed together; the system takes off what is over its own bound.
const BACKLOG: i32 = 4_096;
/// Connections that are accepted in one turn.
const ACCEPTS: usize = 16;
/// At the end of the process peers get so many times so long to close after we have.
const LINGERS: u32 = 10;
const LINGER: Duration = Duration::from_millis(10);
/// Pause after a failed accept, where nothing could make room.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Numbers a connection for the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(u64);

impl std::fmt::Display for ClientId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// How much of what a client has sent may be read before an offer for it leaves: more than a system's usual buffer.
/// Guards the offers of a client that sends faster than it is read.
const MOST_AHEAD: u64 = 256 * 1024;

/// How far a client must be read until an offer for it may leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mark {
    client: ClientId,
    bytes: u64,
    /// Whether that was all that had come in then.
    whole: bool,
    /// How far at the most.
    most: u64,
}

/// Whether a client that waits for an answer is still there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It is, as far as it has said.
    Here,
    /// It has closed its connection, or the connection is to end.
    Left,
    /// It has said something that was not read yet: it may have cancelled the request.
    Unread(Option<Mark>),
}

struct Client {
    conn: Rc<Conn>,
    /// Set-ups on it that wait for their answer.
    open: BTreeSet<Ticket>,
    heard: Micros,
    /// Since when a whole message is awaited: from the start, or since half of one came.
    half_since: Option<Micros>,
    /// A whole message has come.
    spoken: bool,
    /// One has come that only clients send: it is no front's that does nothing but test.
    asks: bool,
    /// A task stands that was set up or named on it.
    proven: bool,
    /// Tasks that stand and were set up or named on it.
    stand: usize,
    /// Bytes that were read from it.
    read: u64,
    /// What came in with the last read is being gone through.
    reading: bool,
    /// Hosts where offers wait until it has been read.
    behind: BTreeSet<HostId>,
}

impl Client {
    /// Whether something is open, half said, unsent or unread on it, or may come on it just now.
    fn busy(&self, now: Micros) -> bool {
        let young = !self.spoken && now - self.heard < YOUNG;
        let said = self.conn.flushed() && self.conn.quiet() && !self.conn.half_said();
        !self.open.is_empty() || young || !said
    }
}

/// The end of a task as it was told, until its client has heard it.
struct Told {
    client: ClientId,
    bytes: Vec<u8>,
    since: Micros,
}

/// All connections from clients.
pub struct Clients {
    all: BTreeMap<ClientId, Client>,
    next: u64,
    /// Words on tasks that stood, for the next connection of a client.
    unsent: Vec<(TaskId, Vec<u8>)>,
    /// The same, sent and not heard yet.
    told: BTreeMap<TaskId, Told>,
    /// Descriptors of the whole process.
    sockets: usize,
    /// Connections that read off what still comes.
    lingering: usize,
    /// Descriptors set apart for balancers and operators.
    apart: usize,
    /// Connections without a task are closed.
    close_idle: bool,
}

impl Clients {
    /// Connections within so many descriptors of the whole process, less those set apart.
    pub fn new(sockets: usize, apart: usize) -> Clients {
        let (all, told) = (BTreeMap::new(), BTreeMap::new());
        Clients {
            all,
            next: 0,
            unsent: Vec::new(),
            told,
            sockets,
            lingering: 0,
            apart,
            close_idle: false,
        }
    }

    /// Closes connections that carry no task, from now on or no more.
    pub fn close_idle(&mut self, close: bool) {
        self.close_idle = close;
    }

    /// Closes the connections that carry no task, where that is wanted: neither an answer nor the end of a task
    /// is owed on them. Guards against a close that takes a word along: nothing may be half said, unsent or
    /// unread, one that has just come has its first message still before it, and the end of a task that was told
    /// just now is told again elsewhere if it goes unheard.
    pub fn close_spare(&self, now: Micros) {
        if !self.close_idle {
            return;
        }
        let told: BTreeSet<ClientId> = self
            .told
            .values()
            .filter(|told| now - told.since < YOUNG)
            .map(|told| told.client)
            .collect();
        for (id, client) in self
            .all
            .iter()
            .filter(|(_, o)| o.stand == 0 && !o.conn.stopping())
        {
            if !told.contains(id) && !client.busy(now) {
                client.conn.stop(End::Draining);
            }
        }
    }

    /// Whether nothing is open, half said, unsent or unread on any.
    pub fn at_rest(&self, now: Micros) -> bool {
        self.all.values().all(|o| o.conn.stopping() || !o.busy(now))
    }

    /// A task that was set up or named on it stands, or no longer does.
    pub fn count_standing(&mut self, id: ClientId, stands: bool) {
        if let Some(client) = self.all.get_mut(&id) {
            client.stand = if stands {
                client.stand + 1
            } else {
                client.stand.saturating_sub(1)
            };
        }
    }

    /// Words on tasks that stood which no client has taken, or may not have read yet.
    pub fn untold(&self, now: Micros) -> usize {
        self.unsent.len()
            + self
                .told
                .values()
                .filter(|told| now - told.since < UNREAD)
                .count()
    }

    /// Connections whose queue is not empty.
    pub fn unflushed(&self) -> usize {
        self.all
            .values()
            .filter(|client| !client.conn.flushed())
            .count()
    }

    /// Sets the descriptors of the whole process.
    pub fn limit(&mut self, sockets: usize) {
        self.sockets = sockets;
    }

    /// Takes in a connection.
    pub fn opened(&mut self, now: Micros, conn: Rc<Conn>) -> ClientId {
        let id = ClientId(self.next);
        self.next += 1;
        let client = Client {
            conn,
            open: BTreeSet::new(),
            heard: now,
            half_since: Some(now),
            spoken: false,
            asks: false,
            proven: false,
            stand: 0,
            read: 0,
            reading: false,
            behind: BTreeSet::new(),
        };
        self.all.insert(id, client);
        id
    }

    /// Forgets a connection that has ended, and tells which set-ups wait on it. Guards against the end of a task that was written to it and
    /// not heard: it is told again on another.
    pub fn ended(&mut self, now: Micros, id: ClientId) -> BTreeSet<Ticket> {
        let open = self
            .all
            .remove(&id)
            .map(|client| client.open)
            .unwrap_or_default();
        let unheard: Vec<TaskId> = self
            .told
            .iter()
            .filter(|(_, t)| t.client == id)
            .map(|(k, _)| *k)
            .collect();
        for task in unheard {
            if let Some(told) = self.told.remove(&task) {
                self.send_any(now, task, told.bytes);
            }
        }
        open
    }

    /// What only clients send came in on it: it is told what found no other. Guards the words on ended tasks
    /// against fronts, which test on connections of their own and read nothing but the result.
    pub fn asked(&mut self, now: Micros, id: ClientId) {
        let first = self
            .all
            .get_mut(&id)
            .is_some_and(|client| !std::mem::replace(&mut client.asks, true));
        if first {
            for (task, bytes) in std::mem::take(&mut self.unsent) {
                self.send_any(now, task, bytes);
            }
        }
    }

    /// Whole messages came in on it, and whether half of another did.
    pub fn heard(&mut self, now: Micros, id: ClientId, whole: bool, half: bool) {
        if let Some(client) = self.all.get_mut(&id) {
            if whole {
                (client.heard, client.spoken) = (now, true);
            }
            client.half_since = match client.half_since {
                Some(since) if half && !whole => Some(since),
                _ => half.then_some(now),
            };
        }
    }

    /// A word of it is taken in, and others that came with it may follow.
    pub fn reads(&mut self, id: ClientId) {
        if let Some(client) = self.all.get_mut(&id) {
            client.reading = true;
        }
    }

    /// All that came with the last read was taken in, so many bytes: the hosts where offers waited for that.
    pub fn read(&mut self, id: ClientId, bytes: usize) -> BTreeSet<HostId> {
        let Some(client) = self.all.get_mut(&id) else {
            return BTreeSet::new();
        };
        client.reading = false;
        client.read = client.read.saturating_add(bytes as u64);
        std::mem::take(&mut client.behind)
    }

    /// An offer for it waits at a host until it has been read.
    pub fn waits_behind(&mut self, id: ClientId, host: &HostId) {
        if let Some(client) = self.all.get_mut(&id) {
            client.behind.insert(host.clone());
        }
    }

    /// Whether a client is still there, for an offer at a host. Guards against an attempt that begins after its
    /// client has closed the connection or cancelled the request: a set-up and its cancel come in one read, and
    /// after a stall of this process hosts may be heard before clients are. What the client had said by the time
    /// of the first look (`mark`) is read before the offer leaves; what it says later is not waited for, or one
    /// that never pauses would hold its own offers up.
    pub fn presence(&mut self, id: ClientId, mark: Option<Mark>, host: &HostId) -> Presence {
        let Some(client) = self
            .all
            .get_mut(&id)
            .filter(|client| !client.conn.stopping())
        else {
            return Presence::Left;
        };
        let mark = mark.filter(|mark| mark.client == id);
        if client.reading {
            client.behind.insert(host.clone());
            return Presence::Unread(mark);
        }
        let reached =
            |mark: Mark| mark.whole && client.read >= mark.bytes || client.read >= mark.most;
        let count = match client.conn.unread() {
            Unread::End => return Presence::Left,
            Unread::Nothing => return Presence::Here,
            Unread::Bytes(_) if mark.is_some_and(reached) => return Presence::Here,
            Unread::Bytes(count) => count,
        };
        client.behind.insert(host.clone());
        if mark.is_some_and(|mark| client.read < mark.bytes) {
            return Presence::Unread(mark);
        }
        let most = mark.map_or(client.read.saturating_add(MOST_AHEAD), |mark| mark.most);
        let bytes = client.read.saturating_add(count as u64);
        let whole = Unread::Bytes(count).whole();
        Presence::Unread(Some(Mark {
            client: id,
            bytes,
            whole,
            most,
        }))
    }

    /// The client has heard the end of this task.
    pub fn heard_end(&mut self, task: TaskId) {
        self.told.remove(&task);
    }

    /// A task that was set up or named on it stands.
    pub fn prove(&mut self, id: ClientId) {
        if let Some(client) = self.all.get_mut(&id) {
            client.proven = true;
        }
    }

    /// A set-up on it waits for its answer.
    pub fn waits(&mut self, id: ClientId, ticket: Ticket) {
        if let Some(client) = self.all.get_mut(&id) {
            client.open.insert(ticket);
        }
    }

    /// A set-up on it no longer waits.
    pub fn settled(&mut self, id: ClientId, ticket: Ticket) {
        if let Some(client) = self.all.get_mut(&id) {
            client.open.remove(&ticket);
        }
    }

    /// Writes to one connection, if it is still there.
    pub fn send(&self, now: Micros, id: ClientId, bytes: &[u8]) {
        if let Some(client) = self.all.get(&id) {
            client.conn.send(now, bytes);
        }
    }

    /// Ends one connection.
    pub fn stop(&self, id: ClientId, end: End) {
        if let Some(client) = self.all.get(&id) {
            client.conn.stop(end);
        }
    }

    /// Writes what concerns a task whose answer went out on this connection just now. Guards against a word on
    /// another connection that its client reads before the answer: it would be taken for the answer, and the
    /// answer for a second one. Where the connection has ended the answer is on its way or lost already.
    pub fn send_after(&mut self, now: Micros, id: ClientId, task: TaskId, bytes: Vec<u8>) {
        let live = self.all.get(&id).filter(|client| !client.conn.stopping());
        if live.is_some_and(|client| client.conn.send(now, &bytes)) {
            self.told.insert(
                task,
                Told {
                    client: id,
                    bytes,
                    since: now,
                },
            );
        } else {
            self.send_any(now, task, bytes);
        }
    }

    /// Writes what concerns a task that stood. It belongs to no connection: of those that have had tasks
    /// placed, the one heard last is the least likely to be closing under our hands, or to be no client at
    /// all. With none open the next that asks is told.
    pub fn send_any(&mut self, now: Micros, task: TaskId, bytes: Vec<u8>) {
        loop {
            let live = self
                .all
                .iter()
                .filter(|(_, o)| !o.conn.stopping() && o.asks);
            match live.max_by_key(|(_, o)| (o.proven, !o.open.is_empty(), o.heard)) {
                None => return self.unsent.push((task, bytes)),
                Some((id, client)) if client.conn.send(now, &bytes) => {
                    self.told.insert(
                        task,
                        Told {
                            client: *id,
                            bytes,
                            since: now,
                        },
                    );
                    return;
                }
                // It has ended under the write, and no byte has left.
                Some(_) => {}
            }
        }
    }

    /// Closes what is stuck, long idle, or owed a word because it never says a whole message.
    pub fn sweep(&mut self, now: Micros) {
        for client in self.all.values() {
            client.conn.end_if_stuck(now, STUCK);
            if client.open.is_empty() && now - client.heard > IDLE {
                client.conn.stop(End::Idle);
            }
            if client.open.is_empty()
                && client
                    .half_since
                    .is_some_and(|since| now - since > UNSPOKEN)
            {
                client.conn.stop(End::Unspoken);
            }
        }
        self.close_spare(now);
        self.told.retain(|_, told| now - told.since < UNHEARD);
    }

    /// Makes room for so many other connections: one that has said nothing goes before the longest idle one;
    /// none with an open set-up does, nor one on which something waits to be read. How many there were to close.
    pub fn shed(&self, now: Micros, most: usize) -> usize {
        let idle = self
            .all
            .values()
            .filter(|o| o.open.is_empty() && !o.conn.stopping());
        let mut idle: Vec<&Client> = idle
            .filter(|o| o.spoken || now - o.heard >= YOUNG)
            .collect();
        idle.sort_by_key(|o| (o.spoken, o.proven, o.heard));
        let closed = idle.into_iter().filter(|o| o.conn.quiet()).take(most);
        closed.map(|client| client.conn.stop(End::Shed)).count()
    }

    /// How the descriptors are shared out with so many hosts listed.
    pub fn shares(&self, hosts: usize) -> DescriptorQuotas {
        DescriptorQuotas::split(self.sockets, self.apart, hosts)
    }

    /// How many connections there may be then.
    pub fn budget(&self, hosts: usize) -> usize {
        self.shares(hosts).clients
    }

    /// How many there are.
    pub fn live(&self) -> usize {
        self.all.values().filter(|o| !o.conn.stopping()).count() + self.lingering
    }

    /// Whether another connection is beyond the budget.
    pub fn crowded(&self, hosts: usize) -> bool {
        self.live() >= self.budget(hosts)
    }

    /// Whether nothing waits to be read on any.
    fn quiet(&self) -> bool {
        self.all
            .values()
            .all(|o| o.conn.stopping() || o.conn.quiet())
    }

    /// Ends our side of all.
    fn finish(&self) {
        self.all.values().for_each(|o| o.conn.finish());
    }

    /// Whether all that was sent is on its way.
    pub fn flushed(&self) -> bool {
        self.all.values().all(|o| o.conn.flushed())
    }
}

/// Listens for clients.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(address)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Ok(listener)
}

/// Accepts for the life of the process. Guards against a process out of descriptors: an idle
/// connection is given up for the next, and the loop goes on. Guards also what has been sent on a
/// connection that waits here: the machine has accepted it, so that its set-up counts as taken. While all
/// others are busy it waits for the first that is not, and is never closed unread.
pub async fn accept(listener: Rc<Async<TcpListener>>, shared: Shared) {
    loop {
        if let Err(e) = listener.readable().await {
            AcceptFailed::pause(&shared, &e).await;
            continue;
        }
        for turn in 0..ACCEPTS {
            // What waits here from now on is another process's to take.
            if !shared.borrow().accepts() {
                return;
            }
            // Room is made for one that is there, not for one that may come.
            if turn > 0 && shared.borrow().client_crowds() {
                break;
            }
            make_room(&shared).await;
            match take(&listener, &shared) {
                Ok(()) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => {
                    AcceptFailed::pause(&shared, &e).await;
                    break;
                }
            }
        }
        future::yield_now().await;
    }
}

/// Accepts one that is there. It counts from here on, not from when its task first runs.
fn take(listener: &Async<TcpListener>, shared: &Shared) -> io::Result<()> {
    let (stream, _) = listener.get_ref().accept()?;
    let conn = Rc::new(Conn::new(Async::new(stream)?));
    let id = shared.borrow_mut().client_opened(conn.clone());
    shared.borrow().tasks.spawn(serve(id, conn, shared.clone()));
    Ok(())
}

/// Before the end of the process: whether something still waits to be taken. Guards what has been sent on
/// a connection that waits here or came in since the last look: it counts as taken.
pub fn last_call(listener: &Async<TcpListener>, shared: &Shared) -> bool {
    if shared.borrow().overdue() {
        return false;
    }
    let accepts = shared.borrow().accepts();
    (accepts && take(listener, shared).is_ok()) || !shared.borrow().clients.quiet()
}

/// At the end of the process: all sides are closed for writing, and what peers still send is read off.
/// Guards against the reset that ending with unread input sends: it can take an answer along that was
/// written, and not read yet.
pub async fn linger(shared: &Shared) {
    shared.borrow().clients.finish();
    for _ in 0..LINGERS {
        if shared.borrow().clients.all.is_empty() {
            return;
        }
        Timer::after(LINGER).await;
    }
}

/// Waits until another connection is within the budget.
async fn make_room(shared: &Shared) {
    let mut waits = false;
    loop {
        let crowds = shared.borrow().client_crowds();
        let now = shared.borrow().clock.now();
        if !crowds || shared.borrow().clients.shed(now, 1) > 0 {
            shared
                .borrow_mut()
                .watch(now, Event::ClientConnected { rejected: waits });
            if crowds {
                // The one that was told to end gives its descriptor back first.
                future::yield_now().await;
            }
            return;
        }
        if !std::mem::replace(&mut waits, true) {
            info!(peer = "client", reason = %End::Shed, "connection waits");
        }
        Timer::after(ACCEPT_PAUSE).await;
    }
}

/// What every listener does where accepting fails.
pub struct AcceptFailed;

impl AcceptFailed {
    /// Gives up an idle connection for the next, or waits a little where there is none.
    pub async fn pause(shared: &Shared, e: &std::io::Error) {
        let now = shared.borrow().clock.now();
        warn!(reason = %e.kind(), "accept failed");
        if shared.borrow().clients.shed(now, 1) == 0 {
            Timer::after(ACCEPT_PAUSE).await;
        }
    }
}

async fn serve(id: ClientId, conn: Rc<Conn>, shared: Shared) {
    let mut rest = 0;
    let end = conn
        .run(|inbox| {
            let came = inbox.len().saturating_sub(rest);
            let mut taken = 0;
            while let Some((task, word, length)) =
                binary::read(inbox.get(taken..).unwrap_or_default()).map_err(End::Malformed)?
            {
                taken += length;
                shared.borrow_mut().client_word(id, task, word);
                // Nothing more is taken from one that is to end. From one that has failed all is: what it said
                // of tasks that stand holds.
                if conn.dismissed() {
                    return Ok(());
                }
            }
            inbox.drain(..taken.min(inbox.len()));
            rest = inbox.len();
            shared
                .borrow_mut()
                .client_heard(id, came, taken > 0, !inbox.is_empty());
            Ok(())
        })
        .await;
    // No word is to be queued on it from here on.
    conn.stop(end);
    shared.borrow_mut().client_ended(id, end);
    if matches!(end, End::Malformed(_) | End::IdInUse) {
        shared.borrow_mut().clients.lingering += 1;
        conn.linger().await;
        shared.borrow_mut().clients.lingering -= 1;
    }
}

#[cfg(test)]
mod tests;

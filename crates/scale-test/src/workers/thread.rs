//! The event loop of the workers: accepts, reads, answers when answers are due, and tells the feeds what
//! has changed.

use super::connections::{ConnectionId, Connections};
use super::fleet::{ActiveTaskId, Fleet, OfferReply, ReleaseReply, TaskTimer};
use super::{WorkerCommand, WorkerReport, WorkerState, ZoneListener};
use crate::feeds::FeedCommand;
use crate::identity::{PlacerId, SetupId, WorkerId, ZoneId};
use crate::listener::is_loopback;
use crate::mailbox::{Receiver, Sender};
use crate::socket::{Connection, Liveness};
use crate::timers::TimerQueue;
use crate::timing::LatencyHistogram;
use crate::traffic::{PlacerCounters, TrafficKind};
use crate::wire::lines::{self, Offer, PlacerLine};
use crate::wire::{WireError, cause, description};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::collections::BTreeSet;
use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Where orders come in.
pub const MAILBOX: Token = Token(0);
/// The first of the listeners' tokens.
const FIRST_LISTENER: usize = 1;
/// The first of the connections: above all listeners.
const FIRST_CONNECTION: usize = 1 << 24;
/// Events taken in one turn.
const EVENTS_PER_POLL: usize = 128;
/// Connections of one listener that are accepted in one turn.
const MAX_ACCEPTS_PER_TURN: usize = 32;
/// The longest wait for events.
const MAX_POLL_WAIT: Duration = Duration::from_millis(100);
/// How soon accepting is tried again where the system had no descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// What no placer can read.
const GARBAGE: &[u8] = b"\x00\xffnot a message{{{\n";

/// What the workers share with others.
pub struct Shared {
    /// The counters of each placer.
    pub counters: Vec<Arc<PlacerCounters>>,
    /// Where changes of room are told.
    pub feeds: Sender<FeedCommand>,
    /// What the workers are told to do.
    pub orders: Receiver<WorkerCommand>,
    /// What they have in hand.
    pub state: Arc<Mutex<WorkerState>>,
}

/// What is due at a time.
enum TimerEvent {
    /// A step of a task, and the connection that its offer came on.
    Task(TaskTimer, ActiveTaskId, Option<ConnectionId>),
    /// Accepting is tried again.
    RetryAccept(usize),
}

struct Listener {
    /// Keeps the port, also while it refuses calls.
    zone: ZoneListener,
    /// What the event loop accepts from, while it takes calls.
    handle: Option<TcpListener>,
}

/// The workers' thread.
pub struct WorkerThread {
    poll: Poll,
    fleet: Fleet,
    listeners: Vec<Listener>,
    connections: Connections,
    timers: TimerQueue<TimerEvent>,
    shared: Shared,
    lateness: LatencyHistogram,
    stopped: bool,
}

impl WorkerThread {
    /// Workers with these listeners.
    pub fn new(
        poll: Poll,
        fleet: Fleet,
        listeners: Vec<ZoneListener>,
        shared: Shared,
    ) -> io::Result<WorkerThread> {
        let listeners = listeners
            .into_iter()
            .map(|zone| Listener { zone, handle: None })
            .collect();
        let (connections, timers) = (Connections::default(), TimerQueue::default());
        let (lateness, stopped) = (LatencyHistogram::new()?, false);
        let mut thread = WorkerThread {
            poll,
            fleet,
            listeners,
            connections,
            timers,
            shared,
            lateness,
            stopped,
        };
        for place in 0..thread.listeners.len() {
            thread.start_listening(place)?;
        }
        Ok(thread)
    }

    /// Runs until it is stopped; what was noted.
    pub fn run(mut self) -> io::Result<WorkerReport> {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        while !self.stopped {
            let wait = self.timers.wait(Instant::now(), MAX_POLL_WAIT);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() != ErrorKind::Interrupted => return Err(error),
                _ => {}
            }
            for event in &events {
                match event.token() {
                    MAILBOX => {}
                    Token(token) if token >= FIRST_CONNECTION => {
                        self.serve(token - FIRST_CONNECTION)
                    }
                    Token(token) => self.accept(token - FIRST_LISTENER)?,
                }
            }
            self.handle_commands()?;
            self.run_due_timers()?;
            self.publish_state();
        }
        self.fleet.audit.unacknowledged = self.fleet.unacknowledged_count() as u64;
        Ok(WorkerReport {
            audit: self.fleet.audit,
            lateness: self.lateness,
        })
    }

    /// Tells the feeds what has changed, and the run what is in hand.
    fn publish_state(&mut self) {
        let rooms = self.fleet.take_changed_resources();
        if !rooms.is_empty() {
            self.shared.feeds.send(FeedCommand::UpdateResources(rooms));
        }
        let state = WorkerState {
            active_tasks: self.fleet.active_count(),
            unacknowledged: self.fleet.unacknowledged_count(),
            connections: self.connections.len(),
        };
        *self
            .shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = state;
    }

    // ---- Orders ----

    fn handle_commands(&mut self) -> io::Result<()> {
        for order in self.shared.orders.take() {
            match order {
                WorkerCommand::StartLifetimes => self.begin(),
                WorkerCommand::CrashZone(zone) => self.vanish(zone)?,
                WorkerCommand::RestoreZone(zone) => self.restore_zone(zone)?,
                WorkerCommand::SendGarbage(workers) => self.send_garbage(workers),
                WorkerCommand::StopEndingTasks => self.fleet.freeze(),
                WorkerCommand::Stop => self.stopped = true,
            }
        }
        Ok(())
    }

    fn begin(&mut self) {
        let now = Instant::now();
        for (id, life) in self.fleet.lives() {
            self.timers
                .add(now + life, TimerEvent::Task(TaskTimer::End, id, None));
        }
    }

    fn vanish(&mut self, zone: ZoneId) -> io::Result<()> {
        let zones = self.fleet.setup().zones;
        for listener in self
            .listeners
            .iter_mut()
            .filter(|listener| listener.zone.zone == zone)
        {
            if let Some(mut handle) = listener.handle.take() {
                self.poll.registry().deregister(&mut handle)?;
            }
            listener.zone.socket.refuse()?;
        }
        self.fleet.vanish(zone);
        for place in self
            .connections
            .places(|found| found.worker.zone(zones) == zone)
        {
            if let Some(lost) = self.connections.remove(place) {
                lost.connection.reset();
            }
        }
        Ok(())
    }

    fn restore_zone(&mut self, zone: ZoneId) -> io::Result<()> {
        self.fleet.restore_zone(zone);
        for place in 0..self.listeners.len() {
            if self
                .listeners
                .get(place)
                .is_some_and(|listener| listener.zone.zone == zone)
            {
                self.start_listening(place)?;
            }
        }
        Ok(())
    }

    fn send_garbage(&mut self, workers: u32) {
        let all = self.connections.places(|found| !found.garbage);
        let named =
            |place: usize, connections: &mut Connections| Some(connections.get_mut(place)?.worker);
        let mut chosen: BTreeSet<WorkerId> = all
            .iter()
            .filter_map(|place| named(*place, &mut self.connections))
            .collect();
        while chosen.len() > workers as usize {
            chosen.pop_last();
        }
        for place in all {
            let Some(found) = self.connections.get_mut(place) else {
                continue;
            };
            if chosen.contains(&found.worker) {
                found.garbage = true;
                self.fleet.audit.garbage_sent += 1;
                self.send(place, GARBAGE, 1);
            }
        }
    }

    // ---- Connections ----

    /// A listener takes calls from now on.
    fn start_listening(&mut self, place: usize) -> io::Result<()> {
        let Some(listener) = self.listeners.get_mut(place) else {
            return Ok(());
        };
        listener.zone.socket.listen()?;
        let mut handle = listener.zone.socket.handle()?;
        let token = Token(FIRST_LISTENER + place);
        self.poll
            .registry()
            .register(&mut handle, token, Interest::READABLE)?;
        listener.handle = Some(handle);
        Ok(())
    }

    fn accept(&mut self, place: usize) -> io::Result<()> {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(listener) = self.listeners.get(place) else {
                return Ok(());
            };
            let Some(handle) = &listener.handle else {
                return Ok(());
            };
            let (placer, zone) = (listener.zone.placer, listener.zone.zone);
            match handle.accept() {
                Ok((stream, _)) => self.add_connection(stream, placer, zone)?,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(_) => {
                    // No descriptor is left. What waits makes no further event, so that it is looked at again.
                    self.timers.add(
                        Instant::now() + ACCEPT_RETRY_DELAY,
                        TimerEvent::RetryAccept(place),
                    );
                    return Ok(());
                }
            }
        }
        // More may wait, and makes no further event; others have their turn first.
        self.timers
            .add(Instant::now(), TimerEvent::RetryAccept(place));
        Ok(())
    }

    /// Takes a call that is for a worker of this zone; any other is dropped.
    fn add_connection(
        &mut self,
        stream: TcpStream,
        placer: PlacerId,
        zone: ZoneId,
    ) -> io::Result<()> {
        let setup = self.fleet.setup();
        let Ok(address) = stream.local_addr() else {
            return Ok(());
        };
        let called = WorkerId::from_address(address.ip(), setup.workers)
            .filter(|worker| worker.zone(setup.zones) == zone);
        let (Some(worker), Some(counters)) = (called, self.shared.counters.get(placer.index()))
        else {
            return Ok(());
        };
        if !is_loopback(address.ip()) || self.fleet.gone(worker) {
            return Ok(());
        }
        let place = self.connections.next_place();
        let token = Token(FIRST_CONNECTION + place);
        let connection =
            Connection::new(stream, token, self.poll.registry(), counters.clone(), None)?;
        self.connections.add(connection, worker, placer);
        self.resend_unacknowledged_ends(place, worker, placer);
        Ok(())
    }

    /// A new connection begins with the ends that its placer has not confirmed.
    fn resend_unacknowledged_ends(&mut self, place: usize, worker: WorkerId, placer: PlacerId) {
        let ends = self.fleet.unacknowledged(worker, placer);
        let mut bytes = Vec::new();
        ends.iter()
            .for_each(|(id, cause)| lines::down(&mut bytes, *id, *cause));
        if !ends.is_empty() {
            self.send(place, &bytes, ends.len() as u64);
        }
    }

    /// Sends messages that carry tasks on a connection.
    fn send(&mut self, place: usize, bytes: &[u8], messages: u64) {
        let Some(found) = self.connections.get_mut(place) else {
            return;
        };
        found.connection.assign_kind(TrafficKind::Worker);
        if found.connection.send(bytes, messages) == Liveness::Ended {
            self.close(place);
        }
    }

    fn close(&mut self, place: usize) {
        let Some(closed) = self.connections.remove(place) else {
            return;
        };
        if closed.garbage {
            self.fleet.audit.garbage_dropped += 1;
        }
        // A closed connection gives up the offers on it.
        closed
            .open
            .iter()
            .for_each(|id| self.fleet.forget_offer((closed.worker, *id)));
    }

    /// Something has happened on a connection.
    fn serve(&mut self, place: usize) {
        let Some(found) = self.connections.get_mut(place) else {
            return;
        };
        let flushed = found.connection.flush();
        let filled = found.connection.fill();
        let read = read_lines(&mut found.connection);
        let (worker, placer) = (found.worker, found.placer);
        let mut replies = Replies::default();
        match read {
            Ok(lines) => lines
                .into_iter()
                .for_each(|line| self.handle_message(place, worker, placer, line, &mut replies)),
            Err(_) => {
                self.fleet.audit.bad_messages += 1;
                return self.close(place);
            }
        }
        if flushed == Liveness::Ended || filled == Liveness::Ended {
            return self.close(place);
        }
        if replies.messages > 0 {
            self.send(place, &replies.bytes, replies.messages);
        }
    }

    fn handle_message(
        &mut self,
        place: usize,
        worker: WorkerId,
        placer: PlacerId,
        line: PlacerLine,
        replies: &mut Replies,
    ) {
        match line {
            PlacerLine::Offer(offer) => self.handle_offer(place, worker, placer, &offer, replies),
            PlacerLine::Release { id } => {
                self.answered(place, id);
                if let ReleaseReply::Ended(cause) = self.fleet.release((worker, id)) {
                    replies.add(|bytes| lines::down(bytes, id, cause));
                }
            }
            PlacerLine::EndAcknowledged { id } => self.fleet.heard((worker, id), Instant::now()),
            PlacerLine::HealthCheck { id } => replies.add(|bytes| lines::test_passed(bytes, id)),
            PlacerLine::Other => {}
        }
    }

    fn handle_offer(
        &mut self,
        place: usize,
        worker: WorkerId,
        placer: PlacerId,
        offer: &Offer,
        replies: &mut Replies,
    ) {
        match self.fleet.offer(worker, placer, offer) {
            OfferReply::Starts { after } => {
                let id = self.connections.id(place);
                let step = TimerEvent::Task(TaskTimer::Answer, (worker, offer.id), id);
                self.timers.add(Instant::now() + after, step);
                if let Some(found) = self.connections.get_mut(place) {
                    found.open.push(offer.id);
                    found.connection.assign_kind(TrafficKind::Worker);
                }
            }
            OfferReply::Full(why) => replies.add(|bytes| lines::full(bytes, offer.id, why)),
            OfferReply::Unreadable => {
                replies.add(|bytes| lines::down(bytes, offer.id, cause::FAILED))
            }
            OfferReply::Silent => {}
        }
    }

    /// An offer on a connection is no longer open.
    fn answered(&mut self, place: usize, id: SetupId) {
        if let Some(found) = self.connections.get_mut(place) {
            found.open.retain(|open| *open != id);
        }
    }

    // ---- Time ----

    fn run_due_timers(&mut self) -> io::Result<()> {
        let now = Instant::now();
        while let Some((at, due)) = self.timers.pop_due(now) {
            match due {
                TimerEvent::Task(TaskTimer::Answer, id, on) => self.answer(at, id, on),
                TimerEvent::Task(TaskTimer::End, id, on) => self.end(id, on),
                TimerEvent::RetryAccept(place) => self.accept(place)?,
            }
        }
        Ok(())
    }

    fn answer(&mut self, at: Instant, id: ActiveTaskId, on: Option<ConnectionId>) {
        let Some(life) = self.fleet.answer(id) else {
            return;
        };
        self.lateness.add(at.elapsed());
        self.timers
            .add(at + life, TimerEvent::Task(TaskTimer::End, id, on));
        // Its connection is there: the offer would be forgotten without it.
        let Some(on) = on else { return };
        self.answered(on.place, id.1);
        let mut bytes = Vec::new();
        lines::up(&mut bytes, id.1, &description::write_answer(id.0));
        self.send(on.place, &bytes, 1);
    }

    fn end(&mut self, id: ActiveTaskId, on: Option<ConnectionId>) {
        let Some(placer) = self.fleet.end(id) else {
            return;
        };
        if let Some(place) = self.connections.reach(id.0, placer, on) {
            let mut bytes = Vec::new();
            lines::down(&mut bytes, id.1, cause::NORMAL);
            self.send(place, &bytes, 1);
        }
    }
}

/// What is answered to the messages of one read.
#[derive(Default)]
struct Replies {
    bytes: Vec<u8>,
    messages: u64,
}

impl Replies {
    fn add(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        write(&mut self.bytes);
        self.messages += 1;
    }
}

/// Takes the whole lines off what has come.
fn read_lines(connection: &mut Connection) -> Result<Vec<PlacerLine>, WireError> {
    let mut found = Vec::new();
    let mut taken = 0;
    while let Some(end) = lines::line_end(connection.inbox().get(taken..).unwrap_or_default())? {
        let line = connection
            .inbox()
            .get(taken..taken + end)
            .unwrap_or_default();
        found.push(lines::read(line)?);
        taken += end + 1;
    }
    connection.consume(taken);
    connection.count_read(found.len() as u64);
    Ok(found)
}

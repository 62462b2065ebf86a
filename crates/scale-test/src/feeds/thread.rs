//! The event loop of the control feeds.

use super::cursor::{FeedBatch, FeedCursor, ListedWorkers};
use super::{FeedCommand, FreeResources};
use crate::identity::{WorkerId, ZoneId};
use crate::mailbox::Receiver;
use crate::settings::{FeedRule, Settings};
use crate::socket::{Connection, Liveness};
use crate::timers::TimerQueue;
use crate::traffic::{PlacerCounters, TrafficKind};
use crate::wire::feed;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Where commands come in.
pub const MAILBOX: Token = Token(0);
/// The first of the listeners, by placer.
const FIRST_LISTENER: usize = 1;
/// The first of the connections, by placer: above all listeners.
const FIRST_CONNECTION: usize = 1 << 16;
/// Events taken in one turn.
const EVENTS_PER_POLL: usize = 256;
/// The longest wait for events.
const MAX_POLL_WAIT: Duration = Duration::from_millis(100);
/// How often a line with just the number is told (the protocol's figure).
const NUMBER_PERIOD: Duration = Duration::from_secs(1);
/// With so many bytes waiting for a placer that reads slowly, changes are gathered until it has read them.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;
/// The longest line that a placer says.
const MAX_SUBSCRIPTION_BYTES: usize = 64;
/// Sets the draws of extra events apart from all other draws of a run.
const EVENTS_STREAM: u64 = 0x6576_656e_7473;

/// What is due at a time.
enum TimerEvent {
    /// Gathered changes.
    WriteChanges,
    /// Writes the sequence number alone.
    WriteNumber,
    /// The whole list.
    WriteCompleteList,
    /// An extra event.
    WriteExtraEvent,
}

struct PlacerFeed {
    listener: TcpListener,
    connection: Option<Connection>,
    subscribed: bool,
    cursor: FeedCursor,
    counters: Arc<PlacerCounters>,
}

impl PlacerFeed {
    /// Whether it can be told something now.
    fn takes_more(&self) -> bool {
        self.subscribed
            && self
                .connection
                .as_ref()
                .is_some_and(|found| found.queued() < MAX_QUEUED_BYTES)
    }

    fn send(&mut self, lines: &FeedBatch) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        self.counters.add_feed(lines.counts);
        if connection.send(&lines.bytes, lines.messages) == Liveness::Ended {
            self.end();
        }
    }

    fn end(&mut self) {
        self.connection = None;
        self.subscribed = false;
    }
}

/// The feeds' thread.
pub struct FeedThread {
    poll: Poll,
    commands: Receiver<FeedCommand>,
    workers: ListedWorkers,
    feeds: Vec<PlacerFeed>,
    timers: TimerQueue<TimerEvent>,
    rule: FeedRule,
    period: Duration,
    whole_every: Duration,
    /// The time from one extra event to the next, if there are any.
    extra_gap: Option<Duration>,
    draws: ChaCha8Rng,
    stopped: bool,
}

impl FeedThread {
    /// Feeds at these listeners, one for each placer.
    pub fn new(
        poll: Poll,
        settings: &Settings,
        listeners: Vec<TcpListener>,
        counters: Vec<Arc<PlacerCounters>>,
        commands: Receiver<FeedCommand>,
    ) -> io::Result<FeedThread> {
        let mut feeds = Vec::new();
        for (place, (mut listener, counters)) in listeners.into_iter().zip(counters).enumerate() {
            let token = Token(FIRST_LISTENER + place);
            poll.registry()
                .register(&mut listener, token, Interest::READABLE)?;
            let cursor = FeedCursor::default();
            feeds.push(PlacerFeed {
                listener,
                connection: None,
                subscribed: false,
                cursor,
                counters,
            });
        }
        let Settings {
            workers,
            worker_cores,
            worker_memory,
            ..
        } = *settings;
        Ok(FeedThread {
            poll,
            commands,
            workers: ListedWorkers::new(
                workers,
                settings.zone_names(),
                worker_cores,
                worker_memory,
            ),
            feeds,
            timers: TimerQueue::default(),
            rule: settings.feed,
            period: settings.feed_period,
            whole_every: settings.whole_list_every,
            extra_gap: (settings.events > 0.0)
                .then(|| Duration::from_secs_f64(1.0 / settings.events)),
            draws: ChaCha8Rng::seed_from_u64(settings.seed ^ EVENTS_STREAM),
            stopped: false,
        })
    }

    /// Runs until it is stopped.
    pub fn run(&mut self) -> io::Result<()> {
        self.set_timers(Instant::now());
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
            self.handle_commands();
            self.run_due_timers();
            if self.rule == FeedRule::EachChange {
                self.write_changes();
            }
        }
        Ok(())
    }

    fn set_timers(&mut self, now: Instant) {
        self.timers
            .add(now + NUMBER_PERIOD, TimerEvent::WriteNumber);
        if self.rule == FeedRule::Gathered {
            self.timers.add(now + self.period, TimerEvent::WriteChanges);
        }
        if !self.whole_every.is_zero() {
            self.timers
                .add(now + self.whole_every, TimerEvent::WriteCompleteList);
        }
        if let Some(gap) = self.extra_gap {
            self.timers.add(now + gap, TimerEvent::WriteExtraEvent);
        }
    }

    // ---- Orders ----

    fn handle_commands(&mut self) {
        for command in self.commands.take() {
            match command {
                FeedCommand::SetWorkerPorts(placer, ports) => {
                    if let Some(feed) = self.feeds.get_mut(placer.index()) {
                        feed.cursor.set_ports(ports);
                    }
                }
                FeedCommand::UpdateResources(rooms) => rooms
                    .into_iter()
                    .for_each(|room| self.set_free_resources(room)),
                FeedCommand::RemoveZone(zone) => self.set_zone(zone, false, 0),
                FeedCommand::RestoreZone(zone, born_ms) => self.set_zone(zone, true, born_ms),
                FeedCommand::StartPlacer(placer, reply) => {
                    if let Some(feed) = self.feeds.get_mut(placer.index()) {
                        feed.end();
                        // Who asked waits only so long, and may have gone.
                        let _ = reply.send(feed.cursor.start(&self.workers));
                    }
                }
                FeedCommand::Stop => self.stopped = true,
            }
        }
    }

    fn mark(&mut self, worker: WorkerId) {
        self.feeds
            .iter_mut()
            .for_each(|feed| feed.cursor.mark(worker));
    }

    fn set_free_resources(&mut self, room: FreeResources) {
        self.workers.set_free_resources(room);
        self.mark(room.worker);
    }

    fn set_zone(&mut self, zone: ZoneId, up: bool, born_ms: u64) {
        for worker in self.workers.in_zone(zone) {
            self.workers.set_up(worker, up, born_ms);
            self.mark(worker);
        }
    }

    // ---- Connections ----

    fn accept(&mut self, place: usize) -> io::Result<()> {
        while let Some(feed) = self.feeds.get_mut(place) {
            match feed.listener.accept() {
                Ok((stream, _)) => {
                    let (token, registry) = (Token(FIRST_CONNECTION + place), self.poll.registry());
                    let (counters, kind) = (feed.counters.clone(), Some(TrafficKind::Feed));
                    // A placer that calls again has given the connection before up.
                    feed.end();
                    feed.connection =
                        Some(Connection::new(stream, token, registry, counters, kind)?);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn serve(&mut self, place: usize) {
        let Some(feed) = self.feeds.get_mut(place) else {
            return;
        };
        let Some(connection) = &mut feed.connection else {
            return;
        };
        let flushed = connection.flush();
        let filled = connection.fill();
        let inbox = connection.inbox();
        let end = inbox.iter().position(|byte| *byte == b'\n');
        let number = end.and_then(|end| feed::subscription(inbox.get(..end)?));
        let too_long = inbox.len() > MAX_SUBSCRIPTION_BYTES;
        if flushed == Liveness::Ended || filled == Liveness::Ended || too_long {
            return feed.end();
        }
        let Some(end) = end else { return };
        let Some(number) = number else {
            return feed.end();
        };
        connection.consume(end + 1);
        connection.count_read(1);
        feed.subscribed = true;
        feed.cursor.subscribe(number, &self.workers);
        let mut lines = FeedBatch::default();
        feed.cursor
            .write_changes(self.rule, &self.workers, &mut lines);
        feed.cursor.write_sequence_number(&mut lines);
        feed.send(&lines);
    }

    // ---- Telling ----

    fn run_due_timers(&mut self) {
        let now = Instant::now();
        while let Some((at, due)) = self.timers.pop_due(now) {
            let next = match due {
                TimerEvent::WriteChanges => {
                    self.write_changes();
                    at + self.period
                }
                TimerEvent::WriteNumber => {
                    self.write_to_all(|cursor, _, lines| cursor.write_sequence_number(lines));
                    at + NUMBER_PERIOD
                }
                TimerEvent::WriteCompleteList => {
                    self.write_to_all(FeedCursor::write_complete_list);
                    at + self.whole_every
                }
                TimerEvent::WriteExtraEvent => {
                    self.write_extra();
                    at + self.extra_gap.unwrap_or(NUMBER_PERIOD)
                }
            };
            self.timers.add(next, due);
        }
    }

    fn write_to_all(&mut self, tell: impl Fn(&mut FeedCursor, &ListedWorkers, &mut FeedBatch)) {
        for feed in self.feeds.iter_mut().filter(|feed| feed.takes_more()) {
            let mut lines = FeedBatch::default();
            tell(&mut feed.cursor, &self.workers, &mut lines);
            feed.send(&lines);
        }
    }

    fn write_changes(&mut self) {
        let rule = self.rule;
        for feed in self
            .feeds
            .iter_mut()
            .filter(|feed| feed.cursor.has_pending_changes() && feed.takes_more())
        {
            let mut lines = FeedBatch::default();
            feed.cursor.write_changes(rule, &self.workers, &mut lines);
            feed.send(&lines);
        }
    }

    fn write_extra(&mut self) {
        let count = self.workers.ids().count();
        let drawn = self.draws.random_range(0..count.max(1));
        let worker = WorkerId(u32::try_from(drawn).unwrap_or(0));
        self.write_to_all(|cursor, workers, lines| cursor.write_repeat(worker, workers, lines));
    }
}

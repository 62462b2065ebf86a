//! The event loop of the control feeds.
//!
//! Owns the sockets and timers of all feeds. [`FeedCursor`] determines the content that is sent.

use super::cursor::{FeedBatch, FeedCursor};
use super::worker_list::WorkerList;
use super::{FeedCommand, FreeResources};
use crate::identity::{WorkerId, ZoneId};
use crate::mailbox::Receiver;
use crate::peer_thread::wait_for_events;
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

/// The token of the command mailbox.
pub const MAILBOX: Token = Token(0);
/// The token of the first placer's listener. The listeners of further placers have the tokens after it.
const FIRST_LISTENER: usize = 1;
/// The token of the first placer's connection, above the tokens of all listeners. The connections of further placers
/// have the tokens after it.
const FIRST_CONNECTION: usize = 1 << 16;
/// The maximum number of I/O events handled per poll.
const EVENTS_PER_POLL: usize = 256;
/// The maximum time that one poll waits for events.
const MAX_POLL_WAIT: Duration = Duration::from_millis(100);
/// The period of lines that hold only a sequence number, as the protocol specifies.
const SEQUENCE_NUMBER_PERIOD: Duration = Duration::from_secs(1);
/// The number of queued bytes from which a placer counts as reading slowly. Its changes are then collected, and sent
/// when its queue has become shorter.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;
/// The maximum number of unread bytes from a placer, which sends only short subscription lines.
const MAX_SUBSCRIPTION_BYTES: usize = 64;
/// Combined with the run's seed so that the random numbers of extra events are independent of all others in the run.
const EVENTS_STREAM: u64 = 0x6576_656e_7473;

/// What the feed sends when a timer fires.
enum FeedTimer {
    /// The changes collected since the last event.
    Changes,
    /// A line that holds only the sequence number of the last event.
    SequenceNumber,
    /// The complete list of workers.
    CompleteList,
    /// An additional event, which repeats the unchanged entry of a random worker.
    ExtraEvent,
}

/// The state of the feed of one placer.
struct PlacerFeed {
    listener: TcpListener,
    connection: Option<Connection>,
    is_subscribed: bool,
    cursor: FeedCursor,
    counters: Arc<PlacerCounters>,
}

impl PlacerFeed {
    /// Returns whether the placer is subscribed and its queue is below the limit for slow readers.
    fn accepts_more(&self) -> bool {
        self.is_subscribed
            && self
                .connection
                .as_ref()
                .is_some_and(|connection| connection.queued() < MAX_QUEUED_BYTES)
    }

    fn send(&mut self, batch: &FeedBatch) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        self.counters.add_feed(batch.counts);
        if connection.send(&batch.bytes, batch.messages) == Liveness::Ended {
            self.close();
        }
    }

    fn close(&mut self) {
        self.connection = None;
        self.is_subscribed = false;
    }
}

/// The state of the thread that serves all feeds.
pub struct FeedThread {
    poll: Poll,
    commands: Receiver<FeedCommand>,
    workers: WorkerList,
    feeds: Vec<PlacerFeed>,
    timers: TimerQueue<FeedTimer>,
    rule: FeedRule,
    change_period: Duration,
    complete_list_period: Duration,
    /// The period of additional events, if the settings ask for any.
    extra_event_period: Option<Duration>,
    random: ChaCha8Rng,
    stopped: bool,
}

impl FeedThread {
    /// Creates the thread's state, with one listener for each placer.
    pub fn new(
        poll: Poll,
        settings: &Settings,
        listeners: Vec<TcpListener>,
        counters: Vec<Arc<PlacerCounters>>,
        commands: Receiver<FeedCommand>,
    ) -> io::Result<FeedThread> {
        let mut feeds = Vec::new();
        for (index, (mut listener, counters)) in listeners.into_iter().zip(counters).enumerate() {
            let token = Token(FIRST_LISTENER + index);
            poll.registry()
                .register(&mut listener, token, Interest::READABLE)?;
            feeds.push(PlacerFeed {
                listener,
                connection: None,
                is_subscribed: false,
                cursor: FeedCursor::default(),
                counters,
            });
        }
        let workers = WorkerList::new(
            settings.workers,
            settings.zone_names(),
            settings.worker_cores,
            settings.worker_memory,
        );
        Ok(FeedThread {
            poll,
            commands,
            workers,
            feeds,
            timers: TimerQueue::default(),
            rule: settings.feed,
            change_period: settings.feed_period,
            complete_list_period: settings.whole_list_every,
            extra_event_period: (settings.events > 0.0)
                .then(|| Duration::from_secs_f64(1.0 / settings.events)),
            random: ChaCha8Rng::seed_from_u64(settings.seed ^ EVENTS_STREAM),
            stopped: false,
        })
    }

    /// Serves the feeds until the stop command arrives.
    pub fn run(&mut self) -> io::Result<()> {
        self.set_timers(Instant::now());
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        while !self.stopped {
            let wait = self.timers.wait(Instant::now(), MAX_POLL_WAIT);
            wait_for_events(&mut self.poll, &mut events, wait)?;
            for event in &events {
                match event.token() {
                    MAILBOX => {}
                    Token(token) if token >= FIRST_CONNECTION => {
                        self.handle_readiness(token - FIRST_CONNECTION)
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

    // ---- Commands ----

    fn handle_commands(&mut self) {
        for command in self.commands.take_all() {
            match command {
                FeedCommand::SetWorkerPorts(placer, ports) => {
                    if let Some(feed) = self.feeds.get_mut(placer.index()) {
                        feed.cursor.set_ports(ports);
                    }
                }
                FeedCommand::UpdateResources(changed) => changed
                    .into_iter()
                    .for_each(|resources| self.set_free_resources(resources)),
                FeedCommand::RemoveZone(zone) => self.remove_zone(zone),
                FeedCommand::RestoreZone(zone, started_at_unix_ms) => {
                    self.restore_zone(zone, started_at_unix_ms)
                }
                FeedCommand::StartPlacer(placer, reply) => {
                    if let Some(feed) = self.feeds.get_mut(placer.index()) {
                        feed.close();
                        // Sending fails if the caller has already timed out, which needs no handling here.
                        let _ = reply.send(feed.cursor.start(&self.workers));
                    }
                }
                FeedCommand::Stop => self.stopped = true,
            }
        }
    }

    fn mark_changed(&mut self, worker: WorkerId) {
        self.feeds
            .iter_mut()
            .for_each(|feed| feed.cursor.mark_changed(worker));
    }

    fn set_free_resources(&mut self, resources: FreeResources) {
        self.workers.set_free_resources(resources);
        self.mark_changed(resources.worker);
    }

    fn remove_zone(&mut self, zone: ZoneId) {
        for worker in self.workers.in_zone(zone) {
            self.workers.mark_removed(worker);
            self.mark_changed(worker);
        }
    }

    fn restore_zone(&mut self, zone: ZoneId, started_at_unix_ms: u64) {
        for worker in self.workers.in_zone(zone) {
            self.workers.mark_up(worker, started_at_unix_ms);
            self.mark_changed(worker);
        }
    }

    // ---- Connections ----

    fn accept(&mut self, index: usize) -> io::Result<()> {
        while let Some(feed) = self.feeds.get_mut(index) {
            match feed.listener.accept() {
                Ok((stream, _)) => {
                    let token = Token(FIRST_CONNECTION + index);
                    // A placer has one feed connection, so a new connection replaces its previous one.
                    feed.close();
                    feed.connection = Some(Connection::new(
                        stream,
                        token,
                        self.poll.registry(),
                        feed.counters.clone(),
                        Some(TrafficKind::Feed),
                    )?);
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

    /// Reads from and writes to a connection that is ready, and replies to a subscription with the pending changes and
    /// the sequence number.
    fn handle_readiness(&mut self, index: usize) {
        let Some(feed) = self.feeds.get_mut(index) else {
            return;
        };
        let Some(connection) = &mut feed.connection else {
            return;
        };
        let flushed = connection.flush();
        let filled = connection.fill();
        let inbox = connection.inbox();
        let line_end = inbox.iter().position(|byte| *byte == b'\n');
        let subscription = line_end.and_then(|end| feed::read_subscription(inbox.get(..end)?));
        let is_too_long = inbox.len() > MAX_SUBSCRIPTION_BYTES;
        if flushed == Liveness::Ended || filled == Liveness::Ended || is_too_long {
            return feed.close();
        }
        let Some(line_end) = line_end else { return };
        let Some(from) = subscription else {
            return feed.close();
        };
        connection.consume(line_end + 1);
        connection.count_read(1);
        feed.is_subscribed = true;
        feed.cursor.subscribe(from, &self.workers);
        let mut batch = FeedBatch::default();
        feed.cursor
            .write_changes(self.rule, &self.workers, &mut batch);
        feed.cursor.write_sequence_number(&mut batch);
        feed.send(&batch);
    }

    // ---- Timers ----

    fn set_timers(&mut self, now: Instant) {
        self.timers
            .add(now + SEQUENCE_NUMBER_PERIOD, FeedTimer::SequenceNumber);
        if self.rule == FeedRule::Gathered {
            self.timers
                .add(now + self.change_period, FeedTimer::Changes);
        }
        if !self.complete_list_period.is_zero() {
            let due = now + self.complete_list_period;
            self.timers.add(due, FeedTimer::CompleteList);
        }
        if let Some(period) = self.extra_event_period {
            self.timers.add(now + period, FeedTimer::ExtraEvent);
        }
    }

    /// Runs the timers that are due, and schedules each again one period later.
    fn run_due_timers(&mut self) {
        let now = Instant::now();
        while let Some((due, event)) = self.timers.pop_due(now) {
            let period = match event {
                FeedTimer::Changes => {
                    self.write_changes();
                    self.change_period
                }
                FeedTimer::SequenceNumber => {
                    self.write_to_all(|cursor, _, batch| cursor.write_sequence_number(batch));
                    SEQUENCE_NUMBER_PERIOD
                }
                FeedTimer::CompleteList => {
                    self.write_to_all(FeedCursor::write_complete_list);
                    self.complete_list_period
                }
                FeedTimer::ExtraEvent => {
                    self.write_extra_event();
                    self.extra_event_period.unwrap_or(SEQUENCE_NUMBER_PERIOD)
                }
            };
            self.timers.add(due + period, event);
        }
    }

    fn write_to_all(&mut self, write: impl Fn(&mut FeedCursor, &WorkerList, &mut FeedBatch)) {
        for feed in self.feeds.iter_mut().filter(|feed| feed.accepts_more()) {
            let mut batch = FeedBatch::default();
            write(&mut feed.cursor, &self.workers, &mut batch);
            feed.send(&batch);
        }
    }

    fn write_changes(&mut self) {
        let rule = self.rule;
        for feed in self
            .feeds
            .iter_mut()
            .filter(|feed| feed.cursor.has_pending_changes() && feed.accepts_more())
        {
            let mut batch = FeedBatch::default();
            feed.cursor.write_changes(rule, &self.workers, &mut batch);
            feed.send(&batch);
        }
    }

    /// Sends the unchanged entry of a random worker to all placers.
    fn write_extra_event(&mut self) {
        let count = self.workers.ids().count();
        let index = self.random.random_range(0..count.max(1));
        let worker = WorkerId(u32::try_from(index).unwrap_or(0));
        self.write_to_all(|cursor, workers, batch| cursor.write_repeat(worker, workers, batch));
    }
}

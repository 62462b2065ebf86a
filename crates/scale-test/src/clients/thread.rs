//! The event loop of the clients: sends what is due, reads what placers say, and tests them.

use super::arrivals::{Arrival, Arrivals};
use super::link::{FIRST_CONNECTION, Links, PendingSetUp};
use super::tasks::{AnswerEffect, ReleaseEffect, TaskRecord, TaskState, TaskTable};
use super::{ArrivalWindow, ClientAudit, ClientCommand, ClientState, Timings};
use crate::deployment::Class;
use crate::identity::{PlacerId, SetupId, TaskIndex, WorkerId};
use crate::mailbox::Receiver;
use crate::settings::Settings;
use crate::socket::{Connection, Liveness};
use crate::timers::TimerQueue;
use crate::timing::LatencyHistogram;
use crate::traffic::PlacerCounters;
use crate::wire::binary::{self, PlacerMessage, SetUp};
use crate::wire::{WireError, description};
use mio::{Events, Poll, Token};
use std::io::{self, ErrorKind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Where commands come in.
pub const MAILBOX: Token = Token(0);
/// Events taken in one turn.
const EVENTS_PER_POLL: usize = 1_024;
/// The longest wait for events.
const MAX_POLL_WAIT: Duration = Duration::from_millis(100);
/// How often a placer that starts is called until a test passes.
const STARTUP_CHECK_PERIOD: Duration = Duration::from_millis(10);
/// How often a placer in service is tested, as by a front.
const HEALTH_CHECK_PERIOD: Duration = Duration::from_secs(1);
/// How long an answer may be late before it counts as missing.
const ANSWER_GRACE: Duration = Duration::from_secs(1);
/// A set-up that crosses a close within this time goes out again, once (the protocol's figure).
const RESEND_WINDOW: Duration = Duration::from_millis(50);

/// What the clients share with others.
pub struct Shared {
    /// The counters of each placer.
    pub counters: Vec<Arc<PlacerCounters>>,
    /// What the clients are told to do.
    pub commands: Receiver<ClientCommand>,
    /// How they are.
    pub state: Arc<Mutex<ClientState>>,
    /// The placers that are about to be killed, or are.
    pub kill_announced: Arc<[AtomicBool]>,
}

/// What is due at a time.
enum TimerEvent {
    /// A placer is called or tested, if this is still its start.
    CheckHealth(PlacerId, u64),
    /// A task.
    TaskArrives(Arrival),
    /// The time of a set-up that was sent then.
    AnswerTimeout(SetupId, Instant),
}

/// The clients' thread.
pub struct ClientThread {
    poll: Poll,
    links: Links,
    tasks: TaskTable,
    arrivals: Arrivals,
    window: Option<ArrivalWindow>,
    timers: TimerQueue<TimerEvent>,
    tenant_names: Vec<String>,
    timings: Timings,
    state: ClientState,
    second_answers: u64,
    bad_messages: u64,
    shared: Shared,
    stopped: bool,
}

impl ClientThread {
    /// Clients that know these tasks.
    pub fn new(
        poll: Poll,
        settings: &Settings,
        tasks: TaskTable,
        arrivals: Arrivals,
        shared: Shared,
    ) -> io::Result<ClientThread> {
        let kept = usize::from(settings.client_connections);
        let state = ClientState {
            ready: vec![None; shared.counters.len()],
            ..ClientState::default()
        };
        let timings = Timings {
            to_start: [
                LatencyHistogram::new()?,
                LatencyHistogram::new()?,
                LatencyHistogram::new()?,
            ],
            lateness: LatencyHistogram::new()?,
        };
        Ok(ClientThread {
            poll,
            links: Links::new(shared.counters.clone(), kept),
            tasks,
            arrivals,
            window: None,
            timers: TimerQueue::default(),
            tenant_names: settings.tenant_names(),
            timings,
            state,
            second_answers: 0,
            bad_messages: 0,
            shared,
            stopped: false,
        })
    }

    /// Runs until it is stopped; the books.
    pub fn run(mut self) -> io::Result<ClientAudit> {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        while !self.stopped {
            let wait = self.timers.wait(Instant::now(), MAX_POLL_WAIT);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() != ErrorKind::Interrupted => return Err(error),
                _ => {}
            }
            // What is due goes first: the time of a task counts from when it was due.
            self.run_due_timers()?;
            for event in &events {
                if event.token() != MAILBOX {
                    self.serve(event.token().0 - FIRST_CONNECTION)?;
                }
            }
            self.handle_commands()?;
            self.publish_progress();
        }
        let ClientThread {
            tasks,
            timings,
            second_answers,
            bad_messages,
            ..
        } = self;
        Ok(ClientAudit {
            tasks,
            timings,
            second_answers,
            bad_messages,
        })
    }

    fn publish_progress(&mut self) {
        self.state.queued = self
            .links
            .connections()
            .map(|found| found.connection.queued())
            .sum();
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone_from(&self.state);
    }

    // ---- Orders ----

    fn handle_commands(&mut self) -> io::Result<()> {
        for command in self.shared.commands.take() {
            match command {
                ClientCommand::PlacerStarted(placer, address) => {
                    let Some(link) = self.links.get_mut(placer) else {
                        continue;
                    };
                    link.address = Some(address);
                    link.start += 1;
                    self.timers
                        .add(Instant::now(), TimerEvent::CheckHealth(placer, link.start));
                }
                ClientCommand::PlacerKilled(placer) => self.killed(placer)?,
                ClientCommand::StartArrivals(window) => {
                    self.window = Some(window);
                    self.add_arrival(window);
                }
                ClientCommand::Stop => self.stopped = true,
            }
        }
        Ok(())
    }

    /// A placer is gone, and with it what it owed.
    fn killed(&mut self, placer: PlacerId) -> io::Result<()> {
        if let Some(link) = self.links.get_mut(placer) {
            link.address = None;
            link.ready = false;
        }
        if let Some(ready) = self.state.ready.get_mut(placer.index()) {
            *ready = None;
        }
        for place in self.links.places(placer) {
            self.close(place)?;
        }
        Ok(())
    }

    // ---- Time ----

    fn run_due_timers(&mut self) -> io::Result<()> {
        // As of each look: what became due while another was sent is not left waiting.
        while let Some((at, due)) = self.timers.pop_due(Instant::now()) {
            match due {
                TimerEvent::CheckHealth(placer, start) => self.test(placer, start)?,
                TimerEvent::TaskArrives(arrival) => self.arrive(at, &arrival)?,
                TimerEvent::AnswerTimeout(id, sent) => self.overdue(id, sent),
            }
        }
        Ok(())
    }

    fn add_arrival(&mut self, window: ArrivalWindow) {
        let Some(arrival) = self.arrivals.next() else {
            return;
        };
        let due = window.start + arrival.due;
        if due < window.end {
            self.timers.add(due, TimerEvent::TaskArrives(arrival));
        }
    }

    /// A task is due.
    fn arrive(&mut self, due: Instant, arrival: &Arrival) -> io::Result<()> {
        let Some(window) = self.window else {
            return Ok(());
        };
        self.add_arrival(window);
        let measured = due >= window.measured_from;
        let Some(task) = self.tasks.add(arrival, due, measured) else {
            return Ok(());
        };
        if let Some(placer) = self.links.draw(arrival.lot) {
            self.set_up(task, placer)?;
        }
        if measured {
            let late = Instant::now().saturating_duration_since(due);
            self.timings.lateness.add(late);
        }
        Ok(())
    }

    fn set_up(&mut self, task: TaskIndex, placer: PlacerId) -> io::Result<()> {
        let now = Instant::now();
        let Some(id) = self.tasks.sent(task, placer, now) else {
            return Ok(());
        };
        let Some(record) = self.tasks.get(task) else {
            return Ok(());
        };
        let wait = Duration::from_millis(record.class.wait_ms());
        self.timers.add(
            now + wait + ANSWER_GRACE,
            TimerEvent::AnswerTimeout(id, now),
        );
        self.state.waiting += 1;
        self.send_set_up(
            PendingSetUp {
                id,
                is_resent: false,
            },
            placer,
        )
    }

    /// Sends the set-up of a task that waits.
    fn send_set_up(&mut self, set_up: PendingSetUp, placer: PlacerId) -> io::Result<()> {
        let id = set_up.id;
        let Some(record) = id.parts().and_then(|(task, _)| self.tasks.get(task)) else {
            return Ok(());
        };
        let mut bytes = Vec::new();
        write_set_up(&mut bytes, id, record, None, &self.tenant_names);
        let place = self.links.next_for_tasks(placer, self.poll.registry())?;
        let found = place.and_then(|place| self.links.connection(place));
        let Some(found) = found else {
            self.close_unanswered(id, TaskState::NoPlacer);
            return Ok(());
        };
        found.open.push(set_up);
        self.send(place, &bytes, 1)
    }

    /// The time of a set-up is over.
    fn overdue(&mut self, id: SetupId, sent: Instant) {
        if self.tasks.waiting_since(id) == Some(sent) {
            self.close_unanswered(id, TaskState::Unanswered);
        }
    }

    fn close_unanswered(&mut self, id: SetupId, how: TaskState) {
        if self.tasks.close_unanswered(id, how) {
            self.state.waiting = self.state.waiting.saturating_sub(1);
        }
    }

    // ---- Tests ----

    /// Calls and tests a placer, again and again for as long as it has not been started anew.
    fn test(&mut self, placer: PlacerId, start: u64) -> io::Result<()> {
        let Some(link) = self.links.get(placer) else {
            return Ok(());
        };
        if link.start != start || link.address.is_none() {
            return Ok(());
        }
        let period = if link.ready {
            HEALTH_CHECK_PERIOD
        } else {
            STARTUP_CHECK_PERIOD
        };
        self.timers.add(
            Instant::now() + period,
            TimerEvent::CheckHealth(placer, start),
        );
        let known = self.links.places(placer);
        let place = self.links.test(placer, self.poll.registry())?;
        let made = place.is_some_and(|place| !known.contains(&place));
        // Until it is ready there is one test on each call: the first answer counts.
        if made || self.links.get(placer).is_some_and(|link| link.ready) {
            let mut bytes = Vec::new();
            binary::test(&mut bytes);
            self.send(place, &bytes, 1)?;
        }
        Ok(())
    }

    /// A test has passed: the first since its start makes a placer ready, and it is told what stands.
    fn passed(&mut self, placer: PlacerId) -> io::Result<()> {
        let Some(link) = self.links.get_mut(placer) else {
            return Ok(());
        };
        if std::mem::replace(&mut link.ready, true) {
            return Ok(());
        }
        if let Some(ready) = self.state.ready.get_mut(placer.index()) {
            *ready = Some(Instant::now());
        }
        self.announce_running_tasks(placer)
    }

    /// Tells a placer that starts of the tasks that stand.
    fn announce_running_tasks(&mut self, placer: PlacerId) -> io::Result<()> {
        let mut bytes = Vec::new();
        let mut messages = 0;
        for (id, record, worker) in self.tasks.running_at(placer) {
            write_set_up(&mut bytes, id, record, Some(worker), &self.tenant_names);
            messages += 1;
        }
        if messages == 0 {
            return Ok(());
        }
        let place = self.links.next_for_tasks(placer, self.poll.registry())?;
        self.send(place, &bytes, messages)
    }

    // ---- Connections ----

    fn send(&mut self, place: Option<usize>, bytes: &[u8], messages: u64) -> io::Result<()> {
        let Some(place) = place else { return Ok(()) };
        let Some(found) = self.links.connection(place) else {
            return Ok(());
        };
        if found.connection.send(bytes, messages) == Liveness::Ended {
            self.close(place)?;
        }
        Ok(())
    }

    /// Something has happened on a connection.
    fn serve(&mut self, place: usize) -> io::Result<()> {
        let Some(found) = self.links.connection(place) else {
            return Ok(());
        };
        let placer = found.placer;
        let flushed = found.connection.flush();
        let filled = found.connection.fill();
        let read = read_messages(&mut found.connection);
        let Ok(messages) = read else {
            self.bad_messages += 1;
            return self.close(place);
        };
        let mut replies = Vec::new();
        let mut count = 0;
        for (id, message) in messages {
            if self.take(place, placer, id, message)? == Reply::Heard {
                binary::heard(&mut replies, id);
                count += 1;
            }
        }
        if flushed == Liveness::Ended || filled == Liveness::Ended {
            return self.close(place);
        }
        self.send(Some(place), &replies, count)
    }

    /// A connection is over: a set-up that crossed its end goes out again, the others are lost with it.
    fn close(&mut self, place: usize) -> io::Result<()> {
        let Some(closed) = self.links.close(place) else {
            return Ok(());
        };
        let placer = closed.placer;
        let there = self
            .links
            .get(placer)
            .is_some_and(|link| link.address.is_some());
        let kill_announced = self
            .shared
            .kill_announced
            .get(placer.index())
            .is_some_and(|kill_announced| kill_announced.load(Ordering::SeqCst));
        for PendingSetUp {
            id,
            is_resent: again,
        } in closed.open
        {
            let Some(sent) = self.tasks.waiting_since(id) else {
                continue;
            };
            if !there || kill_announced {
                self.close_unanswered(id, TaskState::PlacerKilled);
            } else if !again && sent.elapsed() <= RESEND_WINDOW {
                self.send_set_up(
                    PendingSetUp {
                        id,
                        is_resent: true,
                    },
                    placer,
                )?;
            } else {
                self.close_unanswered(id, TaskState::ConnectionLost);
            }
        }
        Ok(())
    }

    // ---- Messages ----

    fn take(
        &mut self,
        place: usize,
        placer: PlacerId,
        id: SetupId,
        message: PlacerMessage,
    ) -> io::Result<Reply> {
        match message {
            PlacerMessage::Answer(text) => match description::read_answer(&text) {
                Some(worker) => self.answered(place, id, worker),
                None => self.bad_messages += 1,
            },
            PlacerMessage::Release(cause) => return Ok(self.released(place, id, cause)),
            PlacerMessage::Migrate => {
                if let Some(task) = self.tasks.moved(id) {
                    self.set_up(task, placer)?;
                }
            }
            PlacerMessage::HealthChecked { passed: true } => self.passed(placer)?,
            PlacerMessage::HealthChecked { passed: false } | PlacerMessage::EndAcknowledged => {}
        }
        Ok(Reply::Nothing)
    }

    fn answered(&mut self, place: usize, id: SetupId, worker: WorkerId) {
        match self.tasks.answered(id, worker) {
            AnswerEffect::First => {
                self.no_longer_open(place, id);
                self.state.started += 1;
                let record = id.parts().and_then(|(task, _)| self.tasks.get(task));
                // The time of a task that has moved was taken when it first stood.
                if let Some(TaskRecord {
                    due: Some(due),
                    class,
                    measured: true,
                    moves: 0,
                    ..
                }) = record
                    && let Some(times) = self.timings.to_start.get_mut(place_of(*class))
                {
                    times.add(due.elapsed());
                }
            }
            AnswerEffect::Second => self.second_answers += 1,
            AnswerEffect::Stale => {}
        }
    }

    fn released(&mut self, place: usize, id: SetupId, cause: u8) -> Reply {
        match self.tasks.released(id, cause) {
            ReleaseEffect::Final => {
                self.no_longer_open(place, id);
                self.state.refused += 1;
                Reply::Nothing
            }
            ReleaseEffect::Ended | ReleaseEffect::Known => Reply::Heard,
        }
    }

    /// A set-up has its answer.
    fn no_longer_open(&mut self, place: usize, id: SetupId) {
        self.state.waiting = self.state.waiting.saturating_sub(1);
        if let Some(found) = self.links.connection(place) {
            found.open.retain(|open| open.id != id);
        }
    }
}

/// Whether a message wants to be confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reply {
    Nothing,
    Heard,
}

/// The place of a class among all.
fn place_of(class: Class) -> usize {
    Class::ALL
        .iter()
        .position(|other| *other == class)
        .unwrap_or(0)
}

fn write_set_up(
    out: &mut Vec<u8>,
    id: SetupId,
    record: &TaskRecord,
    at: Option<WorkerId>,
    tenant_names: &[String],
) {
    let tenant = tenant_names
        .get(record.tenant as usize)
        .map_or("", String::as_str);
    let key = id.parts().map_or(0, |(task, _)| task.key());
    let set_up = SetUp {
        id,
        class: record.class.name(),
        wait_ms: record.class.wait_ms(),
        tenant,
        key,
        cores: record.shape.cores,
        memory: record.shape.memory,
        service: u64::from(record.service),
        at,
        description: &record.shape.write(),
    };
    binary::set_up(out, &set_up);
}

/// Takes the whole messages off what has come.
fn read_messages(connection: &mut Connection) -> Result<Vec<(SetupId, PlacerMessage)>, WireError> {
    let mut found = Vec::new();
    let mut taken = 0;
    while let Some((id, message, length)) =
        binary::read(connection.inbox().get(taken..).unwrap_or_default())?
    {
        found.push((id, message));
        taken += length;
    }
    connection.consume(taken);
    connection.count_read(found.len() as u64);
    Ok(found)
}

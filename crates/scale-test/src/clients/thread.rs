//! The event loop of the simulated clients.
//!
//! The loop sends requests when they are due, reads messages from placers, and checks the health of placers.
//! [`TaskTable`] keeps the outcome of each task.

mod connections;
mod health_checks;
mod messages;
mod requests;

use super::arrivals::{Arrival, Arrivals};
use super::link::{FIRST_CONNECTION, Links};
use super::tasks::TaskTable;
use super::{ArrivalWindow, ClientAudit, ClientCommand, ClientState, Timings};
use crate::identity::{PlacerId, RequestId};
use crate::mailbox::Receiver;
use crate::peer_thread::wait_for_events;
use crate::settings::Settings;
use crate::timers::TimerQueue;
use crate::timing::LatencyHistogram;
use crate::traffic::PlacerCounters;
use mio::{Events, Poll, Token};
use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The token of the command mailbox.
pub const MAILBOX: Token = Token(0);
/// Maximum number of events taken from the poll at a time.
const EVENTS_PER_POLL: usize = 1_024;
/// Maximum time to wait for events.
const MAX_POLL_WAIT: Duration = Duration::from_millis(100);

/// State and channels that the client thread shares with other threads.
pub struct Shared {
    /// The traffic counters of each placer.
    pub counters: Vec<Arc<PlacerCounters>>,
    /// The commands to this thread.
    pub commands: Receiver<ClientCommand>,
    /// The state of the clients, which this thread publishes after each turn of the event loop.
    pub state: Arc<Mutex<ClientState>>,
    /// For each placer, whether it is about to be killed, or is killed and not restarted yet.
    pub kill_announced: Arc<[AtomicBool]>,
}

/// The event that a timer triggers.
enum TimerEvent {
    /// A health check of a placer. It is skipped if the placer has been restarted since, so that its number of starts
    /// differs.
    CheckHealth(PlacerId, u64),
    /// The arrival of a task.
    TaskArrives(Arrival),
    /// The timeout of the answer to a request that was sent at this time.
    AnswerTimeout(RequestId, Instant),
}

/// The state of the client thread.
pub struct ClientThread {
    poll: Poll,
    links: Links,
    tasks: TaskTable,
    arrivals: Arrivals,
    /// The arrival window, once the arrivals have started.
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
    /// Creates the state of the thread. `tasks` holds the tasks that run at the start.
    pub fn new(
        poll: Poll,
        settings: &Settings,
        tasks: TaskTable,
        arrivals: Arrivals,
        shared: Shared,
    ) -> io::Result<ClientThread> {
        let pool_size = usize::from(settings.client_connections);
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
            links: Links::new(shared.counters.clone(), pool_size),
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

    /// Runs the event loop until the stop command, and returns the records of the clients.
    pub fn run(mut self) -> io::Result<ClientAudit> {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        while !self.stopped {
            let wait = self.timers.wait(Instant::now(), MAX_POLL_WAIT);
            wait_for_events(&mut self.poll, &mut events, wait)?;
            // Due timers run before events, because the latency of a task counts from when it was due.
            self.run_due_timers()?;
            for event in &events {
                if event.token() != MAILBOX {
                    self.handle_readiness(event.token().0 - FIRST_CONNECTION)?;
                }
            }
            self.handle_commands()?;
            self.publish_state();
        }
        Ok(ClientAudit {
            tasks: self.tasks,
            timings: self.timings,
            second_answers: self.second_answers,
            bad_messages: self.bad_messages,
        })
    }

    fn publish_state(&mut self) {
        self.state.queued = self
            .links
            .connections()
            .map(|entry| entry.connection.queued())
            .sum();
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone_from(&self.state);
    }

    // ---- Commands ----

    fn handle_commands(&mut self) -> io::Result<()> {
        for command in self.shared.commands.take_all() {
            match command {
                ClientCommand::PlacerStarted(placer, address) => {
                    let Some(link) = self.links.get_mut(placer) else {
                        continue;
                    };
                    link.address = Some(address);
                    link.start_number += 1;
                    let event = TimerEvent::CheckHealth(placer, link.start_number);
                    self.timers.add(Instant::now(), event);
                }
                ClientCommand::PlacerKilled(placer) => self.remove_placer(placer)?,
                ClientCommand::StartArrivals(window) => {
                    self.window = Some(window);
                    self.schedule_next_arrival(window);
                }
                ClientCommand::Stop => self.stopped = true,
            }
        }
        Ok(())
    }

    /// Takes a killed placer out of service and closes its connections. Its pending answers are lost.
    fn remove_placer(&mut self, placer: PlacerId) -> io::Result<()> {
        if let Some(link) = self.links.get_mut(placer) {
            link.address = None;
            link.is_ready = false;
        }
        if let Some(ready) = self.state.ready.get_mut(placer.index()) {
            *ready = None;
        }
        for slot in self.links.slots_of(placer) {
            self.close(slot)?;
        }
        Ok(())
    }

    // ---- Timers ----

    fn run_due_timers(&mut self) -> io::Result<()> {
        // The clock is read for each timer, so that a timer that becomes due in the meantime also runs now.
        while let Some((due, event)) = self.timers.pop_due(Instant::now()) {
            match event {
                TimerEvent::CheckHealth(placer, start_number) => {
                    self.check_health(placer, start_number)?
                }
                TimerEvent::TaskArrives(arrival) => self.handle_arrival(due, &arrival)?,
                TimerEvent::AnswerTimeout(id, sent) => self.handle_answer_timeout(id, sent),
            }
        }
        Ok(())
    }
}

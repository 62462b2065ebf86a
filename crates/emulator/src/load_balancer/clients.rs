//! Clients that connect through the load balancer. They arrive in an open loop: each starts at its time, independent of
//! the progress of the earlier ones. Every client records the notices that it receives, so that a test can check each
//! task.

use super::polling::PollingLoadBalancer;
use crate::{Client, Message, TEST_TIMEOUT, TaskRequest};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// One in this many requests is for a non-idempotent task.
const NON_IDEMPOTENT_EVERY: u64 = 16;
const CLIENT_WAIT_MS: u64 = 6_000;
const READ_INTERVAL: Duration = Duration::from_millis(20);
/// Message types of the client protocol.
const PLACED: u8 = 9;
const RELEASED: u8 = 12;

/// The first answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The task was placed.
    Placed,
    /// The request was released with this cause.
    Released(u8),
}

/// The record of a client's task.
#[derive(Debug, Clone)]
pub struct TaskRecord {
    /// The id of the request.
    pub id: u64,
    /// The class of the task.
    pub class: String,
    /// The time at which the request was scheduled.
    pub due: Instant,
    /// The index of the placer that the load balancer picked, if any.
    pub server: Option<usize>,
    /// The first answer, with the time of its arrival.
    pub answer: Option<(Instant, Answer)>,
    /// The number of answers after the first.
    pub extra_answers: usize,
    /// The time at which the client was notified of the end of the task.
    pub ended_at: Option<Instant>,
}

impl TaskRecord {
    /// Returns the time from the scheduled request to the first answer.
    pub fn wait(&self) -> Option<Duration> {
        self.answer
            .map(|(at, _)| at.saturating_duration_since(self.due))
    }

    /// Returns whether the task was placed.
    pub fn is_placed(&self) -> bool {
        matches!(self.answer, Some((_, Answer::Placed)))
    }

    /// Returns whether the client expects no further messages.
    fn is_complete(&self) -> bool {
        self.ended_at.is_some() || (self.answer.is_some() && !self.is_placed())
    }

    /// Applies a message, and returns whether it reports the end of the task, which the client must acknowledge.
    fn apply(&mut self, message: &Message, now: Instant) -> bool {
        match (message.kind, self.answer) {
            (PLACED, None) => self.answer = Some((now, Answer::Placed)),
            (RELEASED, None) => self.answer = Some((now, Answer::Released(message.cause()))),
            (RELEASED, Some((_, Answer::Placed))) => {
                self.ended_at = Some(now);
                return true;
            }
            _ => self.extra_answers += 1,
        }
        false
    }
}

type Records = Mutex<Vec<TaskRecord>>;

fn lock(records: &Records) -> MutexGuard<'_, Vec<TaskRecord>> {
    records.lock().expect("a client has panicked")
}

/// Clients that arrive at a constant rate.
pub struct ClientPopulation {
    records: Arc<Records>,
    stop: Arc<AtomicBool>,
    arrivals: Option<JoinHandle<Vec<JoinHandle<()>>>>,
}

impl ClientPopulation {
    /// Starts the arrivals, with the given number of clients per second. The ids of their requests are consecutive.
    pub fn start(
        balancer: &Arc<PollingLoadBalancer>,
        rate: f64,
        first_id: u64,
    ) -> ClientPopulation {
        let records: Arc<Records> = Arc::default();
        let stop = Arc::new(AtomicBool::new(false));
        let (balancer, arrival_records, stopped) =
            (balancer.clone(), records.clone(), stop.clone());
        let arrivals = std::thread::spawn(move || {
            let start = Instant::now();
            let mut clients = Vec::new();
            for n in 0u64.. {
                let due = start + Duration::from_secs_f64(n as f64 / rate);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let (balancer, records) = (balancer.clone(), arrival_records.clone());
                let id = first_id + n;
                clients.push(std::thread::spawn(move || {
                    run_client(&balancer, id, due, &records);
                }));
            }
            clients
        });
        ClientPopulation {
            records,
            stop,
            arrivals: Some(arrivals),
        }
    }

    /// Returns the records of all tasks so far.
    pub fn records(&self) -> Vec<TaskRecord> {
        lock(&self.records).clone()
    }

    /// Ends the arrivals, waits until every client has finished, and returns the records of all tasks.
    ///
    /// # Panics
    ///
    /// If a thread of a client, or the one that starts them, has panicked.
    pub fn finish(mut self) -> Vec<TaskRecord> {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(arrivals) = self.arrivals.take() {
            for client in arrivals
                .join()
                .expect("the thread of arrivals has panicked")
            {
                client.join().expect("a client has panicked");
            }
        }
        self.records()
    }

    /// Returns for each server the number of its tasks that were scheduled at `since` or later.
    pub fn tasks_per_server(&self, servers: usize, since: Instant) -> Vec<usize> {
        let mut counts = vec![0; servers];
        for record in self.records().iter().filter(|record| record.due >= since) {
            if let Some(server) = record.server {
                counts[server] += 1;
            }
        }
        counts
    }
}

/// Runs one client: requests a task once, and stays connected until the task has ended or the time is over. The end of
/// a task may be reported on the connection of any client, so each client also records messages about the tasks of
/// others.
fn run_client(balancer: &PollingLoadBalancer, id: u64, due: Instant, records: &Records) {
    let class = if id.is_multiple_of(NON_IDEMPOTENT_EVERY) {
        "once"
    } else {
        "quick"
    };
    let server = balancer.pick();
    lock(records).push(TaskRecord {
        id,
        class: class.into(),
        due,
        server,
        answer: None,
        extra_answers: 0,
        ended_at: None,
    });
    let client = server.and_then(|server| Client::connect(balancer.client_address(server)));
    let Some(mut client) = client else {
        return;
    };
    let request = TaskRequest {
        class,
        wait_ms: CLIENT_WAIT_MS,
        service: id,
        running_at: None,
    };
    client.request_task(id, &request);
    let deadline = due + TEST_TIMEOUT;
    while Instant::now() < deadline {
        match client.message_within(READ_INTERVAL) {
            Ok(Some(message)) => {
                let mut records = lock(records);
                let record = records.iter_mut().find(|record| record.id == message.id);
                let Some(record) = record else { continue };
                if record.apply(&message, Instant::now()) {
                    client.acknowledge_end(message.id);
                }
            }
            Ok(None) => return,
            Err(_) => {}
        }
        let records = lock(records);
        let own = records.iter().find(|record| record.id == id);
        if own.is_some_and(TaskRecord::is_complete) {
            return;
        }
    }
}

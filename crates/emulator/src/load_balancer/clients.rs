//! A balancer on sockets, and clients that go through it.
//!
//! The balancer polls each placer's agent check and spreads clients by smooth weighted round robin. The
//! clients arrive open-loop: each at its time, whatever became of those before. Every client writes down
//! what it was told, so that a test can check each task.

use crate::load_balancer::{Admin, Balancer, read_agent};
use crate::{Ask, Client, LIMIT};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a poll has brought.
#[derive(Debug, Clone)]
pub struct Poll {
    /// When its answer was there.
    pub at: Instant,
    /// Of which server.
    pub server: usize,
    /// The line; none where there was no answer in time.
    pub line: Option<String>,
}

/// Asks an agent once: connects, says a line of its own, reads the answer to its end.
pub fn ask_agent(address: SocketAddr, line: &str, limit: Duration) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(line.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    (!answer.is_empty()).then_some(answer)
}

/// A balancer that polls by itself, until it is dropped.
pub struct Front {
    balancer: Arc<Mutex<Balancer>>,
    polls: Arc<Mutex<Vec<Poll>>>,
    addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
}

impl Front {
    /// Polls each of these placers, listed by where clients connect and where the agent check answers.
    pub fn start(
        placers: &[(SocketAddr, SocketAddr)],
        interval: Duration,
        limit: Duration,
    ) -> Front {
        let balancer = Arc::new(Mutex::new(Balancer::new(placers.len(), 2, 3)));
        let (polls, stop) = (
            Arc::new(Mutex::new(Vec::new())),
            Arc::new(AtomicBool::new(false)),
        );
        for (n, (_, agent)) in placers.iter().enumerate() {
            let (balancer, polls, stop, agent) =
                (balancer.clone(), polls.clone(), stop.clone(), *agent);
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let next = Instant::now() + interval;
                    let line = ask_agent(agent, &format!("front/p{n}\n"), limit);
                    // An answer that can't be read ends the test: it is the placer's fault.
                    let advice = line
                        .as_deref()
                        .map(|line| read_agent(line).expect("an agent's answer"));
                    if let Some(advice) = advice {
                        balancer.lock().expect("a balancer").advised(n, advice);
                    }
                    balancer
                        .lock()
                        .expect("a balancer")
                        .checked(n, line.is_some());
                    polls.lock().expect("polls").push(Poll {
                        at: Instant::now(),
                        server: n,
                        line,
                    });
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            });
        }
        Front {
            balancer,
            polls,
            addresses: placers.iter().map(|(clients, _)| *clients).collect(),
            stop,
        }
    }

    /// The server for the next client.
    pub fn pick(&self) -> Option<usize> {
        self.balancer.lock().expect("a balancer").pick()
    }

    /// The weight that it holds of a server; 0 where the server gets nothing.
    pub fn weight(&self, server: usize) -> u32 {
        let balancer = self.balancer.lock().expect("a balancer");
        let server = &balancer.servers[server];
        if server.up && server.admin == Admin::Ready {
            server.weight
        } else {
            0
        }
    }

    /// The administrative state that it holds of a server.
    pub fn admin(&self, server: usize) -> Admin {
        self.balancer.lock().expect("a balancer").servers[server].admin
    }

    /// All polls so far.
    pub fn polls(&self) -> Vec<Poll> {
        self.polls.lock().expect("polls").clone()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// What became of a client's task.
#[derive(Debug, Clone)]
pub struct Record {
    /// Its id.
    pub id: u64,
    /// Its class.
    pub class: String,
    /// When it was due to be sent.
    pub due: Instant,
    /// The placer that it went to.
    pub server: Option<usize>,
    /// When it was answered, and how: 9 for placed, else the cause of the release.
    pub answer: Option<(Instant, u8)>,
    /// Answers beyond the first.
    pub more_answers: usize,
    /// When the end of the task was told.
    pub end: Option<Instant>,
}

impl Record {
    /// From the time that it was due until it was answered.
    pub fn wait(&self) -> Option<Duration> {
        self.answer
            .map(|(at, _)| at.saturating_duration_since(self.due))
    }

    /// Whether it was placed.
    pub fn placed(&self) -> bool {
        self.answer.is_some_and(|(_, how)| how == 9)
    }
}

/// Clients that arrive at a steady rate.
pub struct Clients {
    records: Arc<Mutex<Vec<Record>>>,
    stop: Arc<AtomicBool>,
    running: Vec<std::thread::JoinHandle<()>>,
    arrivals: Option<std::thread::JoinHandle<Vec<std::thread::JoinHandle<()>>>>,
}

impl Clients {
    /// Starts so many a second; each 16th asks for a task that must not start twice.
    pub fn start(front: &Arc<Front>, rate: f64, first_id: u64) -> Clients {
        let records: Arc<Mutex<Vec<Record>>> = Arc::default();
        let stop = Arc::new(AtomicBool::new(false));
        let (front, told, stopped) = (front.clone(), records.clone(), stop.clone());
        let arrivals = std::thread::spawn(move || {
            let (start, mut clients) = (Instant::now(), Vec::new());
            for n in 0u64.. {
                let due = start + Duration::from_secs_f64(n as f64 / rate);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let (front, told) = (front.clone(), told.clone());
                let id = first_id + n;
                clients.push(std::thread::spawn(move || client(&front, id, due, &told)));
            }
            clients
        });
        Clients {
            records,
            stop,
            running: Vec::new(),
            arrivals: Some(arrivals),
        }
    }

    /// What became of all tasks so far.
    pub fn records(&self) -> Vec<Record> {
        self.records.lock().expect("records").clone()
    }

    /// No more arrivals; waits until every client is done.
    pub fn finish(mut self) -> Vec<Record> {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(arrivals) = self.arrivals.take() {
            self.running.extend(arrivals.join().expect("arrivals"));
        }
        for client in self.running.drain(..) {
            client.join().expect("a client");
        }
        self.records()
    }

    /// Tasks that came to each of so many servers since then.
    pub fn came(&self, servers: usize, since: Instant) -> Vec<usize> {
        let mut counts = vec![0; servers];
        for record in self.records().iter().filter(|r| r.due >= since) {
            if let Some(n) = record.server {
                counts[n] += 1;
            }
        }
        counts
    }
}

/// One client: asks once, and stays until its task has ended, or its time is over by far. The end of a
/// task may be told on any client's connection, so each reads for all.
fn client(front: &Front, id: u64, due: Instant, records: &Mutex<Vec<Record>>) {
    let class = if id.is_multiple_of(16) {
        "once"
    } else {
        "quick"
    };
    let server = front.pick();
    let fresh = Record {
        id,
        class: class.into(),
        due,
        server,
        answer: None,
        more_answers: 0,
        end: None,
    };
    records.lock().expect("records").push(fresh);
    let Some(mut client) = server.and_then(|n| Client::connect(front.addresses[n])) else {
        return;
    };
    client.set_up(
        id,
        &Ask {
            class,
            wait_ms: 6_000,
            service: id,
            at: None,
        },
    );
    let give_up = due + LIMIT;
    while Instant::now() < give_up {
        match client.message_within(Duration::from_millis(20)) {
            Ok(Some(message)) => {
                let mut records = records.lock().expect("records");
                let Some(record) = records.iter_mut().find(|r| r.id == message.id) else {
                    continue;
                };
                let now = Instant::now();
                match (message.kind, record.answer) {
                    (9, None) => record.answer = Some((now, 9)),
                    (12, None) => record.answer = Some((now, message.cause())),
                    (12, Some((_, 9))) => {
                        record.end = Some(now);
                        client.heard(message.id);
                    }
                    _ => record.more_answers += 1,
                }
            }
            Ok(None) => return,
            Err(_) => {}
        }
        let records = records.lock().expect("records");
        let own = records.iter().find(|r| r.id == id);
        if own.is_some_and(|r| r.end.is_some() || (r.answer.is_some() && !r.placed())) {
            return;
        }
    }
}

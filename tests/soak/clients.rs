//! Clients that request tasks all the time, on connections that they keep, and a crowd of connections of no use.

use crate::registry::Registry;
use crate::{CLIENT_WAIT, Dice};
use emulator::{Client, IDEMPOTENT_TASK, NON_IDEMPOTENT_TASK, TaskRequest, encode_message};
use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a read waits for the next message; requests are sent in between.
const READ_TIME: Duration = Duration::from_millis(2);
/// How long a client still reads once it is to stop.
const LAST_READS: Duration = Duration::from_secs(1);
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

#[derive(Default)]
struct Switches {
    paused: AtomicBool,
    /// No more connections are opened: the front sends none to a placer that ends.
    keeps_connections: AtomicBool,
    stopped: AtomicBool,
}

/// All clients of one seed.
pub struct Clients {
    switches: Arc<Switches>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    pub fn start(seed: u64, count: u64, address: SocketAddr, registry: &Arc<Registry>) -> Clients {
        let switches = Arc::<Switches>::default();
        let threads = (0..count)
            .map(|number| {
                let party = Party {
                    address,
                    registry: registry.clone(),
                    switches: switches.clone(),
                    dice: Dice::new(seed, 100 + number),
                    next_id: (number + 1) << 32,
                    // The first client's connections fall silent one after the other.
                    falls_silent: number == 0,
                };
                std::thread::spawn(move || party.run())
            })
            .collect();
        Clients { switches, threads }
    }

    /// Sends no more requests until resumed; what arrives is read.
    pub fn pause(&self) {
        self.switches.paused.store(true, Ordering::Relaxed);
    }

    pub fn resume(&self) {
        self.switches.paused.store(false, Ordering::Relaxed);
    }

    /// Goes on sending on open connections, and opens no more.
    pub fn keep_connections(&self) {
        self.switches
            .keeps_connections
            .store(true, Ordering::Relaxed);
    }

    /// Reads what is left, and ends.
    pub fn stop(self) {
        self.switches.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no client panicked");
        }
    }
}

struct Party {
    address: SocketAddr,
    registry: Arc<Registry>,
    switches: Arc<Switches>,
    dice: Dice,
    next_id: u64,
    falls_silent: bool,
}

/// What is open on one connection.
struct Session {
    client: Client,
    open: Vec<u64>,
    /// When the next request is sent.
    next_at: Instant,
    silent_at: Option<Instant>,
}

impl Party {
    fn run(mut self) {
        let mut silent = Vec::new();
        let may_connect = |switches: &Switches| {
            !switches.stopped.load(Ordering::Relaxed)
                && !switches.keeps_connections.load(Ordering::Relaxed)
        };
        while may_connect(&self.switches) {
            let Some(client) = Client::connect(self.address) else {
                std::thread::sleep(RECONNECT_PAUSE);
                continue;
            };
            let silent_at = self
                .falls_silent
                .then(|| Instant::now() + self.dice.millis(300, 900));
            let mut session = Session {
                client,
                open: Vec::new(),
                next_at: Instant::now(),
                silent_at,
            };
            self.serve(&mut session);
            if session.silent_at.is_some_and(|at| Instant::now() >= at) {
                self.registry.unheard(&session.open);
                // Open and never read again.
                silent.push(session.client);
            } else {
                self.registry.closed(&session.open);
            }
        }
    }

    /// Requests tasks and reads until the connection closes, falls silent, or the client is to stop.
    fn serve(&mut self, session: &mut Session) {
        let mut stop_at = None;
        loop {
            let now = Instant::now();
            if session.silent_at.is_some_and(|at| now >= at) {
                return;
            }
            if self.switches.stopped.load(Ordering::Relaxed)
                && now > *stop_at.get_or_insert(now + LAST_READS)
            {
                return;
            }
            let may_send = stop_at.is_none() && !self.switches.paused.load(Ordering::Relaxed);
            if may_send && now >= session.next_at {
                self.request(session);
            }
            match session.client.message_within(READ_TIME) {
                Ok(Some(message)) => self.received(session, message.kind, message.id),
                Ok(None) => return,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return,
            }
        }
    }

    fn received(&self, session: &mut Session, kind: u8, id: u64) {
        match kind {
            9 => self.registry.placed(id),
            12 => {
                self.registry.released(id);
                session.client.acknowledge_end(id);
            }
            _ => return,
        }
        session.open.retain(|open| *open != id);
    }

    fn request(&mut self, session: &mut Session) {
        session.next_at = Instant::now() + self.dice.millis(10, 80);
        let id = self.next_id;
        self.next_id += 1;
        let once = self.dice.percent(15);
        let template = if once {
            NON_IDEMPOTENT_TASK
        } else {
            IDEMPOTENT_TASK
        };
        let request = TaskRequest {
            service: id,
            wait_ms: CLIENT_WAIT.as_millis() as u64,
            ..template
        };
        let bytes = emulator::encode_task_request(id, &request, "runs");
        // Before it is written: the host may be faster than this thread.
        self.registry.written(id, once);
        if session.client.0.write_all(&bytes).is_err() {
            // Nothing was taken: the connection had closed.
            return self.registry.unheard(&[id]);
        }
        session.open.push(id);
        if self.dice.percent(5) {
            std::thread::sleep(self.dice.millis(0, 30));
            self.registry.cancelled(id);
            let cancel = encode_message(12, id, &[(171, &[16])]);
            let _ = session.client.0.write_all(&cancel);
            session.open.retain(|open| *open != id);
        }
    }
}

/// Opens connections that say nothing, half a message, or name a task that no host knows and read nothing.
pub fn crowd(address: SocketAddr, count: usize) -> Vec<Client> {
    (0..count)
        .filter_map(|number| {
            let mut client = Client::connect(address)?;
            let adoption = TaskRequest {
                running_at: Some("h0"),
                ..IDEMPOTENT_TASK
            };
            let message = emulator::encode_task_request(0xc0de_0000 + number as u64, &adoption, "");
            let sent = match number % 3 {
                0 => &[][..],
                1 => &message[..message.len() / 2],
                _ => &message[..],
            };
            let _ = client.0.write_all(sent);
            Some(client)
        })
        .collect()
}

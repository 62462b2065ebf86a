//! Clients that continuously request tasks on connections that they keep, and a large number of useless connections.

use crate::registry::Registry;
use crate::{CLIENT_WAIT, SeededRng};
use emulator::{Client, IDEMPOTENT_TASK, NON_IDEMPOTENT_TASK, TaskRequest, encode_message};
use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time for which a read waits for the next message; requests are sent between reads.
const READ_TIMEOUT: Duration = Duration::from_millis(2);
/// Time for which a client keeps reading after it was told to stop.
const FINAL_READ_TIME: Duration = Duration::from_secs(1);
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

#[derive(Default)]
struct Controls {
    paused: AtomicBool,
    /// Whether no more connections are opened, since the load balancer sends none to a placer that is shutting down.
    keeps_connections: AtomicBool,
    stopped: AtomicBool,
}

/// The clients of one seed.
pub struct Clients {
    controls: Arc<Controls>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    pub fn start(seed: u64, count: u64, address: SocketAddr, registry: &Arc<Registry>) -> Clients {
        let controls = Arc::<Controls>::default();
        let threads = (0..count)
            .map(|number| {
                let client = ClientThread {
                    address,
                    registry: registry.clone(),
                    controls: controls.clone(),
                    rng: SeededRng::new(seed, 100 + number),
                    next_id: (number + 1) << 32,
                    // The connections of the first client fall silent one after the other.
                    falls_silent: number == 0,
                };
                std::thread::spawn(move || client.run())
            })
            .collect();
        Clients { controls, threads }
    }

    /// Stops sending requests until resumed; responses are still read.
    pub fn pause(&self) {
        self.controls.paused.store(true, Ordering::Relaxed);
    }

    pub fn resume(&self) {
        self.controls.paused.store(false, Ordering::Relaxed);
    }

    /// Keeps sending on open connections, but opens no new ones.
    pub fn keep_connections(&self) {
        self.controls
            .keeps_connections
            .store(true, Ordering::Relaxed);
    }

    /// Reads the remaining messages for a bounded time, and waits for all clients to end.
    pub fn stop(self) {
        self.controls.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a client thread panicked");
        }
    }
}

struct ClientThread {
    address: SocketAddr,
    registry: Arc<Registry>,
    controls: Arc<Controls>,
    rng: SeededRng,
    next_id: u64,
    falls_silent: bool,
}

/// One connection of a client and its open requests.
struct Session {
    client: Client,
    open: Vec<u64>,
    /// When the next request is sent.
    next_at: Instant,
    /// When the client stops reading, if it does.
    silent_at: Option<Instant>,
}

impl ClientThread {
    fn run(mut self) {
        let mut silent = Vec::new();
        let may_connect = |controls: &Controls| {
            !controls.stopped.load(Ordering::Relaxed)
                && !controls.keeps_connections.load(Ordering::Relaxed)
        };
        while may_connect(&self.controls) {
            let Some(client) = Client::connect(self.address) else {
                std::thread::sleep(RECONNECT_PAUSE);
                continue;
            };
            let silent_at = self
                .falls_silent
                .then(|| Instant::now() + self.rng.millis(300, 900));
            let mut session = Session {
                client,
                open: Vec::new(),
                next_at: Instant::now(),
                silent_at,
            };
            self.serve(&mut session);
            if session.silent_at.is_some_and(|at| Instant::now() >= at) {
                self.registry.client_stopped_reading(&session.open);
                // The connection stays open and is never read again.
                silent.push(session.client);
            } else {
                self.registry.closed(&session.open);
            }
        }
    }

    /// Requests tasks and reads messages until the connection closes or falls silent, or the client has to stop.
    fn serve(&mut self, session: &mut Session) {
        let mut stop_at = None;
        loop {
            let now = Instant::now();
            if session.silent_at.is_some_and(|at| now >= at) {
                return;
            }
            if self.controls.stopped.load(Ordering::Relaxed)
                && now > *stop_at.get_or_insert(now + FINAL_READ_TIME)
            {
                return;
            }
            let may_send = stop_at.is_none() && !self.controls.paused.load(Ordering::Relaxed);
            if may_send && now >= session.next_at {
                self.request(session);
            }
            match session.client.message_within(READ_TIMEOUT) {
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
        session.next_at = Instant::now() + self.rng.millis(10, 80);
        let id = self.next_id;
        self.next_id += 1;
        let non_idempotent = self.rng.percent(15);
        let template = if non_idempotent {
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
        // Recorded before the request is written, since the host may answer faster than this thread continues.
        self.registry.written(id, non_idempotent);
        if session.client.0.write_all(&bytes).is_err() {
            // The placer took nothing: the connection had closed.
            return self.registry.client_stopped_reading(&[id]);
        }
        session.open.push(id);
        if self.rng.percent(5) {
            std::thread::sleep(self.rng.millis(0, 30));
            self.registry.cancelled(id);
            let cancel = encode_message(12, id, &[(171, &[16])]);
            let _ = session.client.0.write_all(&cancel);
            session.open.retain(|open| *open != id);
        }
    }
}

/// Opens connections that send nothing, send half a message, or name a task that no host knows and are never read.
pub fn open_useless_connections(address: SocketAddr, count: usize) -> Vec<Client> {
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

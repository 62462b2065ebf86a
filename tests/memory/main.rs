//! Tests of the placer's memory limit: whatever clients send, the process stays below it, and usual clients keep their
//! answers.

mod adoptions;
mod bursts;
mod clients;
mod connections;
mod floods;

use emulator::*;
use simd_json::json;
use simd_json::prelude::*;
use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Lets one test run at a time: floods that run at once would take each other's processor time, and that of the placers
/// whose usual clients wait for their answers.
fn take_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Samples the memory of a program until it is stopped.
struct MemoryWatch {
    stop: Arc<AtomicBool>,
    watching: JoinHandle<u64>,
}

impl MemoryWatch {
    const INTERVAL: Duration = Duration::from_millis(5);

    fn start(program: &Arc<Program>) -> MemoryWatch {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, program) = (stop.clone(), program.clone());
        let watching = std::thread::spawn(move || {
            let mut peak = 0;
            while !stopped.load(Ordering::Relaxed) {
                peak = peak.max(program.anonymous_memory_kb());
                std::thread::sleep(MemoryWatch::INTERVAL);
            }
            peak
        });
        MemoryWatch { stop, watching }
    }

    /// Returns the most memory seen, in kB.
    fn finish(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.watching.join().expect("the watch does not panic")
    }
}

/// A connection that writes as fast as the placer reads, and reads all that it is sent.
struct Flood {
    stream: TcpStream,
    ids: Range<u64>,
    output: Vec<u8>,
    written: usize,
    input: Vec<u8>,
    /// The tasks that were placed.
    placed: BTreeSet<u64>,
    /// The requests that were rejected or failed.
    unplaced: BTreeSet<u64>,
    has_ended: bool,
}

impl Flood {
    /// Connects a client that sends requests with the ids `ids`.
    fn new(program: &Program, ids: Range<u64>, output: Vec<u8>) -> Flood {
        let stream = program.client().0;
        stream
            .set_nonblocking(true)
            .expect("cannot set a socket option");
        Flood {
            stream,
            ids,
            output,
            written: 0,
            input: Vec::new(),
            placed: BTreeSet::new(),
            unplaced: BTreeSet::new(),
            has_ended: false,
        }
    }

    /// Writes and reads what is possible at once, and returns whether there was anything to do.
    fn step(&mut self) -> bool {
        let written = self.write_some();
        let read = self.read_some();
        while let Some((message, length)) = Message::decode(&self.input) {
            self.input.drain(..length);
            self.handle(&message);
        }
        written || read
    }

    fn handle(&mut self, message: &Message) {
        match message.kind {
            9 => assert!(self.placed.insert(message.id), "{message:?}"),
            12 if !self.ids.contains(&message.id) || self.placed.contains(&message.id) => {
                let acknowledgement = encode_message(16, message.id, &[]);
                self.output.extend(acknowledgement);
            }
            12 => assert!(self.unplaced.insert(message.id), "{message:?}"),
            _ => panic!("{message:?}"),
        }
    }

    fn write_some(&mut self) -> bool {
        let rest = &self.output[self.written..];
        if rest.is_empty() || self.has_ended {
            return false;
        }
        match self.stream.write(rest) {
            Ok(count) => {
                self.written += count;
                count > 0
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => false,
            Err(_) => {
                self.has_ended = true;
                false
            }
        }
    }

    fn read_some(&mut self) -> bool {
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) => {
                self.has_ended = true;
                false
            }
            Ok(count) => {
                self.input.extend_from_slice(&chunk[..count]);
                true
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => false,
            Err(_) => {
                self.has_ended = true;
                false
            }
        }
    }

    /// Drops the part of the output that has been written.
    fn drop_written(&mut self) {
        self.output.drain(..self.written);
        self.written = 0;
    }

    /// Returns the number of final answers.
    fn answers(&self) -> u64 {
        (self.placed.len() + self.unplaced.len()) as u64
    }
}

/// Drives all floods until `is_done` or the time is over.
fn drive(floods: &mut [Flood], limit: Duration, is_done: impl Fn(&[Flood]) -> bool) {
    let end = Instant::now() + limit;
    while Instant::now() < end && !is_done(floods) {
        let mut was_active = false;
        for flood in floods.iter_mut() {
            was_active |= flood.step();
        }
        if !was_active {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// A client that requests a task of its own service every 100 ms, as usual clients do.
struct UsualClient {
    stop: Arc<AtomicBool>,
    working: JoinHandle<UsualResults>,
}

/// What a usual client has seen.
struct UsualResults {
    /// The requests that were not placed.
    unplaced: Vec<u64>,
    /// The longest time to an answer.
    longest_wait: Duration,
}

impl UsualClient {
    const INTERVAL: Duration = Duration::from_millis(100);

    fn start(program: &Arc<Program>) -> UsualClient {
        static NEXT_ID: AtomicU64 = AtomicU64::new(0x1000);
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, program) = (stop.clone(), program.clone());
        let mut client = program.client();
        assert!(client.health_check());
        let working = std::thread::spawn(move || {
            let mut unplaced = Vec::new();
            let mut longest_wait = Duration::ZERO;
            while !stopped.load(Ordering::Relaxed) {
                let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
                let request = TaskRequest {
                    service: id,
                    ..IDEMPOTENT_TASK
                };
                let asked_at = Instant::now();
                client.request_task(id, &request);
                if !UsualClient::is_placed(&mut client, id) {
                    unplaced.push(id);
                }
                longest_wait = longest_wait.max(asked_at.elapsed());
                std::thread::sleep(UsualClient::INTERVAL);
            }
            UsualResults {
                unplaced,
                longest_wait,
            }
        });
        UsualClient { stop, working }
    }

    /// Waits for the answer to a request, and acknowledges the ends of earlier tasks meanwhile.
    fn is_placed(client: &mut Client, id: u64) -> bool {
        loop {
            let message = client.expect_message();
            if message.id == id {
                return message.kind == 9;
            }
            client.acknowledge_end(message.id);
        }
    }

    /// Returns the requests that were not placed.
    fn finish(self) -> Vec<u64> {
        self.finish_with_wait().unplaced
    }

    /// Returns what the client has seen.
    fn finish_with_wait(self) -> UsualResults {
        self.stop.store(true, Ordering::Relaxed);
        self.working.join().expect("every request is answered")
    }
}

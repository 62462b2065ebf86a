//! A service discovery feed that runs by itself.

use crate::{Feed, UpdateKind, endpoint_event};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ACCEPT_INTERVAL: Duration = Duration::from_millis(200);
const SEND_INTERVAL: Duration = Duration::from_millis(20);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The number of the first event that the feed sends. Event 1 is the endpoint list in the configuration.
const FIRST_EVENT: u64 = 2;

/// The state that the threads of a feed share.
#[derive(Default)]
struct FeedState {
    silent: AtomicBool,
    stop: AtomicBool,
    events: Mutex<Vec<OwnedValue>>,
}

/// A feed that sends its events, and a heartbeat every second, until it is dropped.
pub struct EmulatedFeed {
    address: String,
    state: Arc<FeedState>,
}

impl Default for EmulatedFeed {
    fn default() -> EmulatedFeed {
        EmulatedFeed::start()
    }
}

impl EmulatedFeed {
    /// Starts a feed without events. Its events are numbered from 2, as event 1 is in the configuration.
    pub fn start() -> EmulatedFeed {
        let feed = Feed::new();
        let address = feed.address();
        let listener = feed.into_listener();
        let state = Arc::<FeedState>::default();
        let thread_state = state.clone();
        std::thread::spawn(move || accept_subscriptions(&listener, &thread_state));
        EmulatedFeed { address, state }
    }

    /// Returns the address at which the feed listens.
    pub fn address(&self) -> String {
        self.address.clone()
    }

    /// Makes the feed send nothing, not even heartbeats, until [`resume`](EmulatedFeed::resume) is called.
    pub fn silence(&self) {
        self.state.silent.store(true, Ordering::Relaxed);
    }

    /// Makes the feed send again, starting with the events that were withheld.
    pub fn resume(&self) {
        self.state.silent.store(false, Ordering::Relaxed);
    }

    /// Adds an event with these changed endpoints.
    ///
    /// # Panics
    ///
    /// If a thread of the feed has panicked while it held the lock of the events.
    pub fn send_update(&self, endpoints: Vec<OwnedValue>) {
        let mut events = self
            .state
            .events
            .lock()
            .expect("the lock of the feed's events is poisoned");
        let number = events.len() as u64 + FIRST_EVENT;
        events.push(endpoint_event(number, UpdateKind::Delta, endpoints));
    }
}

impl Drop for EmulatedFeed {
    fn drop(&mut self) {
        self.state.stop.store(true, Ordering::Relaxed);
    }
}

fn accept_subscriptions(listener: &TcpListener, state: &Arc<FeedState>) {
    while !state.stop.load(Ordering::Relaxed) {
        let Some(stream) = crate::accept(listener, ACCEPT_INTERVAL) else {
            continue;
        };
        let state = state.clone();
        std::thread::spawn(move || serve_subscription(stream, &state));
    }
}

fn serve_subscription(mut stream: TcpStream, state: &FeedState) {
    let mut line = String::new();
    if BufReader::new(&stream).read_line(&mut line).is_err() {
        return;
    }
    let first_event = line
        .strip_prefix("SUB ")
        .and_then(|number| number.trim_end().parse::<u64>().ok())
        .unwrap_or(1);
    let mut sent_events = first_event.saturating_sub(1) as usize;
    let mut last_heartbeat = None::<Instant>;
    while !state.stop.load(Ordering::Relaxed) {
        if !state.silent.load(Ordering::Relaxed) {
            let events = state
                .events
                .lock()
                .expect("the lock of the feed's events is poisoned")
                .clone();
            let mut text = String::new();
            for event in events.iter().skip(sent_events) {
                text.push_str(&format!("{}\n", event.encode()));
            }
            sent_events = sent_events.max(events.len());
            if last_heartbeat.is_none_or(|at| at.elapsed() >= HEARTBEAT_INTERVAL) {
                text.push_str(&format!("{{\"n\":{}}}\n", sent_events + 1));
                last_heartbeat = Some(Instant::now());
            }
            if !text.is_empty() && stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
        std::thread::sleep(SEND_INTERVAL);
    }
}

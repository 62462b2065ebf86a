//! The service discovery feeds of a cluster: one per placer, with a random delay before each event.

use super::FeedFault;
use super::runtime::{Runtime, listen_anywhere};
use super::state::{EndpointChange, State};
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::io::BufReader;
use futures_lite::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, FutureExt};
use rand::RngExt;
use simd_json::prelude::*;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The interval at which a subscription is served if no new event wakes it earlier.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The progress of a placer's subscription.
struct Subscription {
    placer: usize,
    /// The generation of the feed at the time of the subscription, which ends when the feed restarts.
    generation: Option<u64>,
    sent_events: usize,
    last_heartbeat: Option<Instant>,
}

impl Subscription {
    /// Returns the lines to send now, or `None` if the subscription ends.
    fn next_lines(&mut self, state: &State) -> Option<String> {
        let feed = state
            .feeds
            .get(self.placer)
            .filter(|feed| Some(feed.generation) == self.generation)?;
        let copies = match feed.fault {
            FeedFault::Disconnected => return None,
            FeedFault::Silent => return Some(String::new()),
            FeedFault::Duplicated => 2,
            FeedFault::None => 1,
        };
        let mut lines = String::new();
        for event in feed.events.iter().skip(self.sent_events) {
            for _ in 0..copies {
                lines.push_str(&event.encode());
                lines.push('\n');
            }
        }
        self.sent_events = self.sent_events.max(feed.events.len());
        let heartbeat_due = self
            .last_heartbeat
            .is_none_or(|at| at.elapsed() >= HEARTBEAT_INTERVAL);
        if heartbeat_due {
            lines.push_str(&format!("{{\"n\":{}}}\n", self.sent_events + 1));
            self.last_heartbeat = Some(Instant::now());
        }
        Some(lines)
    }
}

impl Runtime {
    /// Reports the current state of the host in a slot through all feeds, and publishes the endpoint list.
    pub(super) fn notify_state(&self, slot: usize) {
        if let Some(change) = self.with(|state| state.endpoint_change(slot)) {
            self.notify_feeds(vec![change]);
        }
        self.with(|state| state.publish_endpoints());
    }

    /// Appends an event with these changes to each feed, after a separate random delay for each of them.
    pub(super) fn notify_feeds(&self, changes: Vec<EndpointChange>) {
        let placers = self.with(|state| state.feeds.len());
        for placer in 0..placers {
            let (delay, generation) = self.with(|state| {
                let (min, max) = (state.config.min_feed_delay, state.config.max_feed_delay);
                let delay = state.rng.random_range(min..=max.max(min));
                let generation = state.feeds.get(placer).map_or(0, |feed| feed.generation);
                (delay, generation)
            });
            let (runtime, changes) = (self.clone(), changes.clone());
            self.spawn(async move {
                Timer::after(Duration::from_micros(u64::try_from(delay).unwrap_or(0))).await;
                runtime.with(|state| state.append_feed_event(placer, generation, &changes));
            });
        }
    }

    /// Moves the feed of a placer to a new address.
    pub(super) fn move_feed(&self, placer: usize) {
        let Ok(listener) = listen_anywhere() else {
            return;
        };
        let address = listener.get_ref().local_addr();
        self.with(|state| {
            if let (Ok(address), Some(current)) =
                (address, state.shared().feed_addresses.get_mut(placer))
            {
                *current = address;
            }
        });
        let runtime = self.clone();
        self.spawn(async move { runtime.accept_subscriptions(placer, listener).await });
    }

    /// Serves subscriptions at this listener until the feed has moved to another address.
    pub(super) async fn accept_subscriptions(&self, placer: usize, listener: Async<TcpListener>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let own_address = listener.get_ref().local_addr().ok();
            let (fault, address) = self.with(|state| {
                let feed = state.feeds.get(placer);
                let address = state.shared().feed_addresses.get(placer).copied();
                (feed.map_or(FeedFault::None, |feed| feed.fault), address)
            });
            if address != own_address {
                return;
            }
            if fault != FeedFault::Disconnected {
                let runtime = self.clone();
                self.spawn(async move { runtime.serve_subscription(placer, stream).await });
            }
        }
    }

    async fn serve_subscription(&self, placer: usize, stream: Async<TcpStream>) {
        let Some(first_event) = read_subscription(&stream).await else {
            return;
        };
        let (wake, woken) = async_channel::bounded(1);
        let generation = self.with(|state| {
            state.feeds.get_mut(placer).map(|feed| {
                feed.subscribers.push(wake);
                feed.generation
            })
        });
        let mut subscription = Subscription {
            placer,
            generation,
            sent_events: first_event.saturating_sub(1),
            last_heartbeat: None,
        };
        let mut writer = &stream;
        while let Some(lines) = self.with(|state| subscription.next_lines(state)) {
            if !lines.is_empty() && writer.write_all(lines.as_bytes()).await.is_err() {
                return;
            }
            if !wait_for_more(&stream, &woken).await {
                return;
            }
        }
    }
}

/// Reads the number of the first event that a subscription requests. It is 1 if the line is malformed, and `None` if
/// the connection fails.
async fn read_subscription(stream: &Async<TcpStream>) -> Option<usize> {
    let mut line = Vec::new();
    let read = BufReader::new(stream).read_until(b'\n', &mut line).await;
    read.ok()?;
    let text = String::from_utf8_lossy(&line).into_owned();
    let number = text
        .strip_prefix("SUB ")
        .and_then(|number| number.trim_end().parse().ok());
    Some(number.unwrap_or(1))
}

/// Waits for an event or the next poll. Returns false if the subscription has ended.
async fn wait_for_more(stream: &Async<TcpStream>, woken: &Receiver<()>) -> bool {
    let poll = async {
        Timer::after(POLL_INTERVAL).await;
        true
    };
    let event = async { woken.recv().await.is_ok() };
    let closed = async {
        let mut buffer = [0; 16];
        let mut reader = stream;
        let _ = reader.read(&mut buffer).await;
        false
    };
    event.or(poll).or(closed).await
}

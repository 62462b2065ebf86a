//! Where operators call: one line a connection, and its reply.

use super::clients::AcceptFailed;
use super::codec;
use super::dispatch::{Dispatch, MAX_ADMIN_CONNECTIONS, Shared};
use super::health::gate::{Gate, Place};
use super::health::linger;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use task_placer::Micros;
use task_placer::operation::calls::{self, Call};
use task_placer::operation::duty;
use task_placer::operation::tally::Counts;
use tracing::{debug, info};

/// How long a caller may take for its line, and to read its reply and close.
const PATIENCE: Micros = 5_000_000;

/// Opens the listener.
pub fn open(
    address: SocketAddr,
    executor: &Rc<LocalExecutor<'static>>,
    shared: &Shared,
) -> io::Result<Rc<Gate>> {
    let bound = Async::<TcpListener>::bind(address);
    let listener = bound.map_err(|e| io::Error::new(e.kind(), format!("admin: {address}: {e}")))?;
    let gate = Rc::new(Gate::new(MAX_ADMIN_CONNECTIONS));
    executor
        .spawn(accept(listener, gate.clone(), shared.clone()))
        .detach();
    info!(%address, "takes calls");
    Ok(gate)
}

async fn accept(listener: Async<TcpListener>, gate: Rc<Gate>, shared: Shared) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let dispatch = shared.borrow();
                let place = gate.enter(dispatch.clock.now() + PATIENCE);
                dispatch
                    .tasks
                    .spawn(serve(stream, peer, place, gate.clone(), shared.clone()));
            }
            Err(e) => AcceptFailed::pause(&shared, &e).await,
        }
        // Those that were sent away give their descriptors back before the next is taken.
        future::yield_now().await;
    }
}

async fn serve(
    stream: Async<TcpStream>,
    peer: SocketAddr,
    place: Place,
    gate: Rc<Gate>,
    shared: Shared,
) {
    let away = async {
        place.away().await;
        "sent-away"
    };
    let called = async {
        let reason = call(&stream, &shared).await;
        linger(&stream).await;
        reason
    };
    let reason = future::or(called, away).await;
    gate.leave(&place);
    // The platform asks ten times a second.
    match reason {
        "answered" => debug!(%peer, reason, "admin connection ended"),
        _ => info!(%peer, reason, "admin connection ended"),
    }
}

async fn call(mut stream: &Async<TcpStream>, shared: &Shared) -> &'static str {
    let (mut inbox, mut scratch) = (Vec::new(), [0; calls::MOST_CALL]);
    loop {
        let (reply, reason) = match codec::next_line(&mut inbox, calls::MOST_CALL) {
            Ok(Some(line)) => (shared.borrow_mut().called(&line), "answered"),
            Err(_) => (calls::reply(Err("longer than any call")), "too-long"),
            Ok(None) => match stream.read(&mut scratch).await {
                Ok(0) => return "closed",
                Ok(n) => {
                    inbox.extend_from_slice(scratch.get(..n).unwrap_or_default());
                    continue;
                }
                Err(_) => return "failed",
            },
        };
        return if stream.write_all(&reply).await.is_ok() {
            reason
        } else {
            "failed"
        };
    }
}

impl Dispatch {
    /// The reply to a call.
    fn called(&mut self, line: &[u8]) -> Vec<u8> {
        let now = self.clock.now();
        let call = match Call::read(line) {
            Ok(call) => call,
            Err(why) => return calls::reply(Err(why)),
        };
        match call {
            Call::Vars => return calls::figures(&self.figures().encode()),
            Call::Check => {
                let serves = self.serves();
                self.handle_lifecycle_event(now, duty::Event::Asked);
                return calls::reply(if serves {
                    Ok(())
                } else {
                    Err("takes no requests")
                });
            }
            // Nothing takes back what the module has been told to give up.
            Call::DrainOn | Call::DrainOff if self.ends() => {
                return calls::reply(Err("the process ends"));
            }
            Call::DrainOn => self.handle_lifecycle_event(now, duty::Event::DrainOn),
            Call::DrainOff => self.handle_lifecycle_event(now, duty::Event::DrainOff),
        }
        calls::reply(Ok(()))
    }

    /// What this process has done, and has in hand.
    fn figures(&self) -> OwnedValue {
        let counts = |c: &Counts| json!({ "served": c.served, "refused": c.refused, "failed": c.failed, "attempts": c.attempts });
        let classes = self.names().classes.iter().zip(self.counters.classes());
        let requests: simd_json::owned::Object =
            classes.map(|(name, c)| (name.clone(), counts(c))).collect();
        let attempts: u64 = self.counters.classes().iter().map(|c| c.attempts).sum();
        let mut figures = json!({
            "attempts": attempts,
            "in_flight": self.unfinished_requests(),
            "hosts_known": self.active_host_count(),
            "hosts_excluded": self.unavailable_hosts(),
        });
        let _ = figures.insert("requests", OwnedValue::from(requests));
        figures
    }
}

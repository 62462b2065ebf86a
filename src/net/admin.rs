//! Where operators call: one line a connection, and its reply.

use super::clients::AcceptFailed;
use super::codec;
use super::dispatch::{Dispatch, MOST_CALLERS, Shared};
use super::health::connection_limiter::{ConnectionLimiter, ConnectionPermit};
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
use task_placer::operation::admin::{self, AdminCommand, AdminError};
use task_placer::operation::counters::ClassCounters;
use task_placer::operation::lifecycle;
use tracing::{debug, info};

/// How long a caller may take for its line, and to read its reply and close.
const PATIENCE: Micros = 5_000_000;

/// Opens the listener.
pub fn open(
    address: SocketAddr,
    executor: &Rc<LocalExecutor<'static>>,
    shared: &Shared,
) -> io::Result<Rc<ConnectionLimiter>> {
    let bound = Async::<TcpListener>::bind(address);
    let listener = bound.map_err(|e| io::Error::new(e.kind(), format!("admin: {address}: {e}")))?;
    let gate = Rc::new(ConnectionLimiter::new(MOST_CALLERS));
    executor
        .spawn(accept(listener, gate.clone(), shared.clone()))
        .detach();
    info!(%address, "takes calls");
    Ok(gate)
}

async fn accept(listener: Async<TcpListener>, gate: Rc<ConnectionLimiter>, shared: Shared) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let dispatch = shared.borrow();
                let place = gate.admit(dispatch.clock.now() + PATIENCE);
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
    place: ConnectionPermit,
    gate: Rc<ConnectionLimiter>,
    shared: Shared,
) {
    let away = async {
        place.evicted().await;
        "sent-away"
    };
    let called = async {
        let reason = call(&stream, &shared).await;
        linger(&stream).await;
        reason
    };
    let reason = future::or(called, away).await;
    gate.release(&place);
    // The platform asks ten times a second.
    match reason {
        "answered" => debug!(%peer, reason, "admin connection ended"),
        _ => info!(%peer, reason, "admin connection ended"),
    }
}

async fn call(mut stream: &Async<TcpStream>, shared: &Shared) -> &'static str {
    let (mut inbox, mut scratch) = (Vec::new(), [0; admin::MAX_COMMAND_BYTES]);
    loop {
        let (reply, reason) = match codec::next_line(&mut inbox, admin::MAX_COMMAND_BYTES) {
            Ok(Some(line)) => (shared.borrow_mut().called(&line), "answered"),
            Err(_) => (admin::encode_reply(Err(AdminError::TooLong)), "too-long"),
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
        let command = match AdminCommand::parse(line) {
            Ok(command) => command,
            Err(error) => return admin::encode_reply(Err(error)),
        };
        match command {
            AdminCommand::Vars => return admin::encode_vars_reply(&self.figures().encode()),
            AdminCommand::Check => {
                let serves = self.serves();
                self.on_duty(now, lifecycle::Event::Checked);
                return admin::encode_reply(if serves {
                    Ok(())
                } else {
                    Err(AdminError::NotServing)
                });
            }
            // Nothing takes back what the module has been told to give up.
            AdminCommand::DrainOn | AdminCommand::DrainOff if self.ends() => {
                return admin::encode_reply(Err(AdminError::ShuttingDown));
            }
            AdminCommand::DrainOn => self.on_duty(now, lifecycle::Event::DrainRequested),
            AdminCommand::DrainOff => self.on_duty(now, lifecycle::Event::DrainCancelled),
        }
        admin::encode_reply(Ok(()))
    }

    /// What this process has done, and has in hand.
    fn figures(&self) -> OwnedValue {
        let counts = |c: &ClassCounters| json!({ "served": c.started, "refused": c.rejected, "failed": c.failed, "attempts": c.attempts });
        let classes = self.names().classes.iter().zip(self.counters.by_class());
        let requests: simd_json::owned::Object =
            classes.map(|(name, c)| (name.clone(), counts(c))).collect();
        let attempts: u64 = self.counters.by_class().iter().map(|c| c.attempts).sum();
        let mut figures = json!({
            "attempts": attempts,
            "in_flight": self.in_hand(),
            "hosts_known": self.hosts_in_use(),
            "hosts_excluded": self.hosts_avoided(),
        });
        let _ = figures.insert("requests", OwnedValue::from(requests));
        figures
    }
}

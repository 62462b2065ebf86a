//! The network side: one thread, one local executor, and [`dispatch::Dispatch`] in the middle.

mod admin;
mod clients;
mod clock;
mod codec;
pub mod config;
mod conn;
mod ctl;
mod dispatch;
mod feed;
pub mod health;
mod hosts;
mod inherit;
pub mod log;
mod wheel;

use crate::operator::Operator;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use config::Config;
use dispatch::{Dispatch, Shared};
use futures_lite::StreamExt;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Takes the signals over. Guards against one that comes during the start: a configuration to be read again would
/// end the process.
pub fn signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Serves until a signal asks for the end and all that is owed is answered. `path` is where the
/// configuration came from, for reading it again.
pub fn serve(
    config: Config,
    path: Option<PathBuf>,
    operator: Operator,
    mut signals: Signals,
) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let name = config.name.clone();
    let (listen, admin, feed, known_to) =
        (config.listen, config.admin, config.feed, config.known_to);
    let shared: Shared = Rc::new_cyclic(|me| {
        RefCell::new(Dispatch::new(
            config,
            &operator,
            dispatch::Tasks::new(me.clone(), executor.clone()),
        ))
    });
    async_io::block_on(executor.run(async {
        // The known hosts are taken in before anyone can connect: a test that passes means ready.
        shared.borrow_mut().start();
        health::open(&operator.health, &executor, &shared)?;
        if let Some(socket) = &operator.control_socket {
            let orders = ctl::open(socket, &executor, &shared)?;
            shared.borrow_mut().orders.push(orders);
        }
        if let Some(address) = admin {
            let calls = admin::open(address, &executor, &shared)?;
            shared.borrow_mut().orders.push(calls);
        }
        // Last: whoever can connect finds all else open.
        let inherited = inherit::listener(listen)?;
        if inherited.is_some() {
            shared.borrow_mut().inherits = true;
            inherit::meet(&name, &executor, &shared);
        }
        let listener = match inherited {
            Some(listener) => listener,
            None => clients::listen(listen)
                .map_err(|e| io::Error::new(e.kind(), format!("listen: {listen}: {e}")))?,
        };
        let listener = Rc::new(listener);
        executor
            .spawn(clients::accept(listener.clone(), shared.clone()))
            .detach();
        shared.borrow_mut().listens = true;
        let (moves, moved) = async_channel::unbounded();
        executor
            .spawn(feed::follow(feed, known_to, moved, shared.clone()))
            .detach();
        let signalled = shared.clone();
        let on_signal = async move {
            while let Some(signal) = signals.next().await {
                let mut dispatch = signalled.borrow_mut();
                match signal {
                    Ok(Signal::Hup) => reload(&mut dispatch, path.as_deref(), &moves),
                    _ => dispatch.terminate(),
                }
            }
        };
        executor.spawn(on_signal).detach();
        let mut ticks = Timer::interval(Duration::from_micros(wheel::TICK.unsigned_abs()));
        while ticks.next().await.is_some() {
            log::pump();
            let mut dispatch = shared.borrow_mut();
            dispatch.tick();
            if dispatch.finished() {
                drop(dispatch);
                if clients::last_call(&listener, &shared) {
                    continue;
                }
                break;
            }
        }
        clients::linger(&shared).await;
        if let Some(socket) = &operator.control_socket {
            let _ = std::fs::remove_file(socket);
        }
        Ok(())
    }))
}

/// Reads the configuration again: the feed and the limits are taken over, all else stays as it was at
/// the start. Guards against a file that can't be read: the one before stays in force.
fn reload(dispatch: &mut Dispatch, path: Option<&Path>, moves: &Sender<SocketAddr>) {
    match config::load(path) {
        Ok(config) => {
            info!(feed = %config.feed, "configuration read again");
            dispatch.limit(config.limits);
            let _ = moves.try_send(config.feed);
        }
        Err(problem) => warn!(%problem, "configuration not read again"),
    }
}

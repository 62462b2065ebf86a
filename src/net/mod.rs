//! The network side: one thread, one local executor, and [`dispatch::Dispatch`] in the middle.

mod clock;
mod codec;
pub mod config;
mod conn;
mod dispatch;
mod feed;
mod hosts;
mod log;
mod owners;
mod wheel;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use config::Config;
use dispatch::{Dispatch, Shared};
use futures_lite::StreamExt;
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Serves until a signal asks for the end and all that is owed is answered.
pub fn serve(config: Config) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let (listen, feed, known_to) = (config.listen, config.feed, config.known_to);
    let shared: Shared = Rc::new_cyclic(|me| {
        RefCell::new(Dispatch::new(config, dispatch::Tasks::new(me.clone(), executor.clone())))
    });
    async_io::block_on(executor.run(async {
        // The known hosts are taken in before anyone can connect: a test that passes means ready.
        shared.borrow_mut().start();
        let listener = Async::<TcpListener>::bind(listen)?;
        executor.spawn(owners::accept(listener, shared.clone())).detach();
        let (moves, moved) = async_channel::unbounded();
        executor.spawn(feed::follow(feed, known_to, moved, shared.clone())).detach();
        let signalled = shared.clone();
        let on_signal = async move {
            while let Some(signal) = signals.next().await {
                let mut dispatch = signalled.borrow_mut();
                match signal {
                    Ok(Signal::Hup) => reload(&mut dispatch, &moves),
                    _ => dispatch.close_down(),
                }
            }
        };
        executor.spawn(on_signal).detach();
        let mut ticks = Timer::interval(Duration::from_micros(wheel::TICK.unsigned_abs()));
        while ticks.next().await.is_some() {
            let mut dispatch = shared.borrow_mut();
            dispatch.tick();
            if dispatch.finished() {
                break;
            }
        }
        Ok(())
    }))
}

/// Reads the configuration again: the feed and the limits are taken over, all else stays as it was at
/// the start. Guards against a file that can't be read: the one before stays in force.
fn reload(dispatch: &mut Dispatch, moves: &Sender<SocketAddr>) {
    match config::load() {
        Ok(config) => {
            dispatch.note(format_args!("configuration read again, feed at {}", config.feed));
            dispatch.limit(config.limits);
            let _ = moves.try_send(config.feed);
        }
        Err(problem) => dispatch.note(format_args!("not read again: {problem}")),
    }
}

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

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use config::Config;
use dispatch::{Dispatch, Shared};
use futures_lite::StreamExt;
use std::cell::RefCell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Serves until a signal asks for the end and all that is owed is answered.
pub fn serve(config: Config) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let (listen, feed, known_to) = (config.listen, config.feed, config.known_to);
    let shared: Shared = Rc::new_cyclic(|me| {
        RefCell::new(Dispatch::new(config, dispatch::Tasks::new(me.clone(), executor.clone())))
    });
    async_io::block_on(executor.run(async {
        // The known hosts are taken in before anyone can connect: a test that passes means ready.
        shared.borrow_mut().start();
        let listener = Async::<TcpListener>::bind(listen)?;
        executor.spawn(owners::accept(listener, shared.clone())).detach();
        executor.spawn(feed::follow(feed, known_to, shared.clone())).detach();
        let closing = shared.clone();
        let on_signal = async move {
            while signals.next().await.is_some() {
                closing.borrow_mut().close_down();
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

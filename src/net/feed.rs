//! The control feed: subscribes, follows, and subscribes again from the last event it has.

use super::codec::{feed, next_line};
use super::conn::{CloseReason, Conn};
use super::dispatch::Shared;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A line comes each second; a feed that tells nothing for so many looks is dead.
const LOOK: Duration = Duration::from_millis(250);
const SILENT_LOOKS: u32 = 7;
/// A connection may take a second to come up, and what a silent feed would tell counts as told after 4 s (the
/// protocol's figures): of these the silence takes 2 s.
const CONNECT: Duration = Duration::from_millis(1_200);
/// Pause after a call that brought nothing of use. After one that did the feed is called again at once: what
/// it tells counts as told soon after it broke off.
const PAUSE: Duration = Duration::from_millis(150);

/// Follows the feed for the life of the process. `last` is the number of the last event known. Another
/// address that comes in takes the place of the old one at once, and the numbers go on.
pub async fn follow(
    mut address: SocketAddr,
    mut last: u64,
    moves: Receiver<SocketAddr>,
    shared: Shared,
) {
    loop {
        let moved = async {
            match moves.recv().await {
                Ok(next) => next,
                Err(_) => future::pending().await,
            }
        };
        let called = async {
            let told = call(address, &mut last, &shared).await;
            if !told {
                Timer::after(PAUSE).await;
            }
            address
        };
        address = future::or(moved, called).await;
    }
}

/// One call, until it ends: whether it brought a line that could be used. Guards against a feed that leaves the
/// same gap, or says the same bad line, each time that it is called: it is not called without a pause.
async fn call(address: SocketAddr, last: &mut u64, shared: &Shared) -> bool {
    let connect = async {
        Async::<TcpStream>::connect(address)
            .await
            .map_err(CloseReason::from)
    };
    let limit = async {
        Timer::after(CONNECT).await;
        Err(CloseReason::Silent)
    };
    let told = Cell::new(0);
    let end = match future::or(connect, limit).await {
        Ok(stream) => subscribe(Rc::new(Conn::new(stream)), last, &told, shared).await,
        Err(end) => end,
    };
    shared.borrow_mut().feed_closed(*last, end);
    told.get() > 0
}

/// One subscription, until it ends. Guards against a feed that falls silent on an open connection,
/// events that come twice, and gaps: each ends it, and the next one resumes after the last event.
async fn subscribe(
    conn: Rc<Conn>,
    last: &mut u64,
    told: &Cell<u64>,
    shared: &Shared,
) -> CloseReason {
    let now = shared.borrow().clock.now();
    conn.send(now, format!("SUB {last}\n").as_bytes());
    let take = |inbox: &mut Vec<u8>| {
        while let Some(mut line) =
            next_line(inbox, feed::MAX_MESSAGE_BYTES).map_err(CloseReason::Malformed)?
        {
            let mut dispatch = shared.borrow_mut();
            let line = feed::read(&mut line, dispatch.names()).map_err(CloseReason::Malformed)?;
            dispatch.log_rejected_endpoints(&line.aside);
            match line.members {
                Some(_) if line.number <= *last => {}
                Some((whole, hosts)) if whole || line.number == *last + 1 => {
                    *last = line.number;
                    dispatch.endpoints_changed(whole, hosts);
                }
                None if line.number <= *last => dispatch.feed_alive(),
                _ => return Err(CloseReason::SequenceGap),
            }
            told.set(told.get() + 1);
        }
        Ok(())
    };
    let silence = async {
        let (mut silent, mut seen) = (0, 0);
        while silent < SILENT_LOOKS {
            Timer::after(LOOK).await;
            silent = if told.get() > seen { 0 } else { silent + 1 };
            seen = told.get();
        }
        CloseReason::Silent
    };
    future::or(conn.run(take), silence).await
}

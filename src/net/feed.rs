//! Follows the service discovery feed: subscribes, reads, and subscribes again from the last event that it has. It knows
//! nothing of dispatch: what the feed sends goes to whoever implements [`FeedEvents`].

use super::codec::feed::{self, EndpointUpdate, FeedMessage, RejectedEndpoint};
use super::codec::next_line;
use super::conn::{CloseReason, Connection};
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use task_placer::Micros;
use task_placer::settings::Names;

/// How often it is looked at whether the feed has sent anything; it sends a line each second.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A feed that sent nothing for so many checks is dead.
const MAX_SILENT_CHECKS: u32 = 7;
/// How long a connection may take to come up. It may take a second, and what a silent feed would send counts as sent
/// after 4 s (the protocol's figures): of these the silence takes 2 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause after a connection that brought nothing of use. After one that did, the feed is connected to again at once:
/// what it sends counts as sent soon after it broke off.
const RECONNECT_PAUSE: Duration = Duration::from_millis(150);

/// Handles what the feed sends. Each call is handled before it returns.
pub trait FeedEvents {
    /// Returns the time now.
    fn now(&self) -> Micros;

    /// Returns the names that the settings state, by which endpoints are read.
    fn names(&self) -> &Names;

    /// A message names endpoints that cannot be right.
    fn endpoints_rejected(&mut self, rejected: &[RejectedEndpoint]);

    /// The endpoint list has changed.
    fn endpoints_changed(&mut self, update: EndpointUpdate);

    /// A message shows that the feed is up and no event is missing.
    fn feed_alive(&mut self);

    /// The connection has ended, or was not made; it is made again.
    fn feed_closed(&mut self, last_sequence: u64, reason: CloseReason);
}

/// Follows the feed for the life of the process, from the event after `last_sequence`. Another address from
/// `new_addresses` takes the place of the old one at once, and the sequence goes on.
pub async fn follow<H: FeedEvents>(
    mut address: SocketAddr,
    mut last_sequence: u64,
    new_addresses: Receiver<SocketAddr>,
    handler: Rc<RefCell<H>>,
) {
    loop {
        let moved = async {
            match new_addresses.recv().await {
                Ok(address) => address,
                Err(_) => future::pending().await,
            }
        };
        let connected = async {
            let was_useful = connect(address, &mut last_sequence, &handler).await;
            if !was_useful {
                Timer::after(RECONNECT_PAUSE).await;
            }
            address
        };
        address = future::or(moved, connected).await;
    }
}

/// Serves one connection until it ends, and returns whether it brought a message that could be used. Guards against a
/// feed that leaves the same gap, or sends the same bad line, on each connection: it is not connected to without a pause.
async fn connect<H: FeedEvents>(
    address: SocketAddr,
    last_sequence: &mut u64,
    handler: &Rc<RefCell<H>>,
) -> bool {
    let connecting = async {
        let stream = Async::<TcpStream>::connect(address).await;
        stream.map_err(CloseReason::from)
    };
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(CloseReason::Silent)
    };
    let useful_messages = Cell::new(0);
    let reason = match future::or(connecting, timeout).await {
        Ok(stream) => {
            let conn = Connection::new(stream);
            subscribe(&conn, last_sequence, &useful_messages, handler).await
        }
        Err(reason) => reason,
    };
    handler.borrow_mut().feed_closed(*last_sequence, reason);
    useful_messages.get() > 0
}

/// Serves one subscription until it ends. Guards against a feed that falls silent on an open connection, events that
/// come twice, and gaps: each ends it, and the next one resumes after the last event.
async fn subscribe<H: FeedEvents>(
    conn: &Connection,
    last_sequence: &mut u64,
    useful_messages: &Cell<u64>,
    handler: &Rc<RefCell<H>>,
) -> CloseReason {
    let now = handler.borrow().now();
    conn.send(now, format!("SUB {last_sequence}\n").as_bytes());
    let consume = |inbox: &mut Vec<u8>| {
        while let Some(mut line) =
            next_line(inbox, feed::MAX_LINE_BYTES).map_err(CloseReason::Malformed)?
        {
            let mut handler = handler.borrow_mut();
            let message = feed::read(&mut line, handler.names()).map_err(CloseReason::Malformed)?;
            handle_message(&mut *handler, last_sequence, message)?;
            useful_messages.set(useful_messages.get() + 1);
        }
        Ok(())
    };
    let silence = async {
        let (mut silent_checks, mut seen) = (0, 0);
        while silent_checks < MAX_SILENT_CHECKS {
            Timer::after(SILENCE_CHECK_INTERVAL).await;
            silent_checks = if useful_messages.get() > seen {
                0
            } else {
                silent_checks + 1
            };
            seen = useful_messages.get();
        }
        CloseReason::Silent
    };
    future::or(conn.run(consume), silence).await
}

/// Hands one message over, unless it has come before; fails if an event before it is missing.
fn handle_message<H: FeedEvents>(
    handler: &mut H,
    last_sequence: &mut u64,
    message: FeedMessage,
) -> Result<(), CloseReason> {
    handler.endpoints_rejected(&message.rejected);
    match message.update {
        Some(_) if message.sequence <= *last_sequence => {}
        Some(update) if update.is_complete || message.sequence == *last_sequence + 1 => {
            *last_sequence = message.sequence;
            handler.endpoints_changed(update);
        }
        None if message.sequence <= *last_sequence => handler.feed_alive(),
        _ => return Err(CloseReason::SequenceGap),
    }
    Ok(())
}

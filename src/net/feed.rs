//! Follows the service discovery feed: subscribes, reads events, and after a disconnect subscribes again from the last
//! received event. This module does not depend on dispatch: events are passed to the implementation of [`FeedEvents`].

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

/// The interval between two checks of whether the feed has sent anything. The feed sends a line every second.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The number of consecutive checks without a message after which the feed counts as silent, and its connection is
/// closed.
const MAX_SILENT_CHECKS: u32 = 7;
/// How long a connect may take. According to the protocol, a connect may take one second, and an event that a silent
/// feed failed to deliver counts as sent after 4 s, of which the detection of the silence takes 2 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The pause before reconnecting after a connection that delivered no usable message. After any other connection, the
/// feed is reconnected to at once, because its events count as sent soon after the connection broke.
const RECONNECT_PAUSE: Duration = Duration::from_millis(150);

/// Handles the events of the feed. Each event is handled completely before the call returns.
pub trait FeedEvents {
    /// Returns the current time.
    fn now(&self) -> Micros;

    /// Returns the names defined in the settings, which are needed to decode endpoints.
    fn names(&self) -> &Names;

    /// A message contains endpoint entries that are invalid.
    fn endpoints_rejected(&mut self, rejected: &[RejectedEndpoint]);

    /// The endpoint list has changed.
    fn endpoints_changed(&mut self, update: EndpointUpdate);

    /// A message without an update shows that the feed is up and no event is missing.
    fn feed_alive(&mut self);

    /// The connection has ended, or could not be established; it will be made again.
    fn feed_closed(&mut self, last_sequence: u64, reason: CloseReason);
}

/// Follows the feed for the life of the process, starting with the event after `last_sequence`. An address received
/// from `new_addresses` replaces the current one at once, and the sequence numbers continue.
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

/// Serves one connection until it ends, and returns whether it delivered a usable message. A feed that leaves the same
/// gap, or sends the same malformed line, on each connection delivers none, so it is not reconnected to without a
/// pause.
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

/// Serves one subscription until it ends, and returns why. Silence on an open connection, a malformed line and a gap in
/// the sequence numbers each end the subscription, and the next one resumes after the last received event. An event
/// that arrives twice is applied only once.
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

/// Passes one message to the handler, unless its event has been received before.
///
/// # Errors
///
/// Returns [`CloseReason::SequenceGap`] if an earlier event is missing.
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

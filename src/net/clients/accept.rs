//! Listens for clients, accepts their connections within the limit, and serves each until it ends.

use super::accept_delay::AcceptDelay;
use super::accept_fault::{ACCEPT_RETRY_PAUSE, log_accept_error, make_room};
use super::events::{AcceptWait, ClientEvents};
use super::id::ClientId;
use super::read_summary::ReadSummary;
use crate::net::codec::binary;
use crate::net::conn::{CloseReason, Connection};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// Connections that may wait to be accepted. The standard library asks for 128, and clients come back by hundreds where
/// placers were killed together; the system takes off what exceeds its own limit.
const LISTEN_BACKLOG: i32 = 4_096;
/// Connections that are accepted in one turn.
const MAX_ACCEPTS_PER_TURN: usize = 16;
/// How often at most, at the exit of the process, it is looked at whether peers have closed after us.
const MAX_SHUTDOWN_CHECKS: u32 = 10;
/// The time between two of these checks.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Accepts connections from clients on one listening socket.
pub struct Acceptor<H> {
    listener: Async<TcpListener>,
    handler: Rc<RefCell<H>>,
    executor: Rc<LocalExecutor<'static>>,
    delay: Cell<AcceptDelay>,
}

/// Listens for clients.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(address)?;
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Ok(listener)
}

impl<H: ClientEvents + 'static> Acceptor<H> {
    /// Creates an acceptor on a listening socket.
    pub fn new(
        listener: Async<TcpListener>,
        handler: Rc<RefCell<H>>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Acceptor<H> {
        Acceptor {
            listener,
            handler,
            executor,
            delay: Cell::default(),
        }
    }

    /// Accepts for the life of the process.
    ///
    /// Guards against a process out of descriptors: an idle connection is evicted for the next, and the loop goes on.
    /// Guards also what has been sent on a connection that waits here: the machine has accepted it, so that its request
    /// counts as taken. While all others are busy it waits for the first that is not, and is never closed unread.
    pub async fn run(&self) {
        loop {
            if let Err(error) = self.listener.readable().await {
                self.recover(&error).await;
                continue;
            }
            for turn in 0..MAX_ACCEPTS_PER_TURN {
                // What waits here from now on is another process's to accept.
                if !self.handler.borrow().accepts_connections() {
                    return;
                }
                // A connection is evicted for one that is there, not for one that may come.
                if turn > 0 && self.handler.borrow().client_limit_reached() {
                    break;
                }
                self.wait_for_descriptor().await;
                match self.accept_one() {
                    Ok(()) => {}
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        self.update_delay(|delay| delay.queue_emptied());
                        break;
                    }
                    Err(error) => {
                        self.recover(&error).await;
                        break;
                    }
                }
            }
            future::yield_now().await;
        }
    }

    /// Waits until another connection is within the limit.
    async fn wait_for_descriptor(&self) {
        let handler = &self.handler;
        let mut wait = AcceptWait::None;
        loop {
            let is_full = handler.borrow().client_limit_reached();
            let now = handler.borrow().now();
            if !is_full || handler.borrow().clients().evict_idle(now, 1) > 0 {
                handler.borrow_mut().client_accepted(now, wait);
                if is_full {
                    // The evicted one gives its descriptor back first.
                    future::yield_now().await;
                }
                return;
            }
            if wait == AcceptWait::None {
                info!(peer = "client", reason = %CloseReason::Evicted, "connection waits");
            }
            wait = AcceptWait::Waited;
            self.update_delay(|delay| delay.waits_for_descriptor(now));
            Timer::after(ACCEPT_RETRY_PAUSE).await;
        }
    }

    /// Pauses after a failure, unless it may be gone at the next try. Connections are evicted only for one that lasts.
    async fn recover(&self, error: &io::Error) {
        let now = self.handler.borrow().now();
        let pause = self.update_delay(|delay| delay.failed(now));
        if pause.is_zero() {
            return future::yield_now().await;
        }
        log_accept_error(error);
        if !make_room(&self.handler, error) {
            Timer::after(pause).await;
        }
    }

    fn update_delay<T>(&self, update: impl FnOnce(&mut AcceptDelay) -> T) -> T {
        let mut delay = self.delay.get();
        let result = update(&mut delay);
        self.delay.set(delay);
        result
    }

    /// Accepts a connection that waits. It counts from here on, not from when its task first runs.
    fn accept_one(&self) -> io::Result<()> {
        let (stream, _) = self.listener.get_ref().accept()?;
        let conn = Rc::new(Connection::new(Async::new(stream)?));
        let mut handler = self.handler.borrow_mut();
        let now = handler.now();
        let waits_since = self.update_delay(|delay| delay.accepted(now));
        let id = handler.client_opened(conn.clone(), waits_since);
        self.executor
            .spawn(serve(id, conn, self.handler.clone()))
            .detach();
        Ok(())
    }

    /// Before the exit of the process: accepts a connection that waits, and returns whether there was one or anything
    /// waits to be read. Guards what has been sent on a connection that waits here or arrived since the last look: it
    /// counts as taken.
    pub fn accept_before_exit(&self) -> bool {
        if self.handler.borrow().exit_is_overdue() {
            return false;
        }
        let accepts = self.handler.borrow().accepts_connections();
        (accepts && self.may_have_waiting_connection())
            || !self.handler.borrow().clients().has_no_unread_input()
    }

    /// Accepts a connection that waits, and returns whether there was or may have been one: an accept that failed for a
    /// moment proves nothing.
    fn may_have_waiting_connection(&self) -> bool {
        !matches!(self.accept_one(), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

/// At the exit of the process: closes all connections for writing, and gives peers a while to close. Guards against the
/// reset that exiting with unread input sends: it can take a response along that was written, and not read yet.
pub async fn shutdown_connections<H: ClientEvents>(handler: &Rc<RefCell<H>>) {
    handler.borrow().clients().shutdown_unread();
    for _ in 0..MAX_SHUTDOWN_CHECKS {
        let is_closed = {
            let handler = handler.borrow();
            handler.clients().connections.is_empty() && handler.clients().shutting_down == 0
        };
        if is_closed {
            return;
        }
        Timer::after(SHUTDOWN_CHECK_INTERVAL).await;
    }
}

/// Serves a connection until it ends.
async fn serve<H: ClientEvents>(id: ClientId, conn: Rc<Connection>, handler: Rc<RefCell<H>>) {
    let mut partial_bytes = 0;
    let reason = conn
        .run(|inbox| {
            let bytes = inbox.len().saturating_sub(partial_bytes);
            let mut consumed = 0;
            while let Some((task, message, length)) =
                binary::read(inbox.get(consumed..).unwrap_or_default())
                    .map_err(CloseReason::Malformed)?
            {
                consumed += length;
                handler.borrow_mut().client_message(id, task, message);
                // Nothing more is taken from one that is closed deliberately. From one that has failed all is: what it
                // sent about running tasks holds.
                if conn.is_closed_deliberately() {
                    return Ok(());
                }
            }
            inbox.drain(..consumed.min(inbox.len()));
            partial_bytes = inbox.len();
            let summary = ReadSummary {
                bytes,
                has_message: consumed > 0,
                has_partial_message: !inbox.is_empty(),
            };
            handler.borrow_mut().client_read(id, summary);
            Ok(())
        })
        .await;
    // Nothing is to be queued on it from here on.
    conn.close(reason);
    handler.borrow_mut().client_closed(id, reason);
    let is_fault = matches!(reason, CloseReason::Malformed(_) | CloseReason::IdInUse);
    if is_fault || matches!(reason, CloseReason::Draining | CloseReason::Idle) {
        handler.borrow_mut().clients_mut().shutting_down += 1;
        if is_fault {
            conn.shutdown_gracefully().await;
        } else {
            conn.close_unread().await;
        }
        handler.borrow_mut().clients_mut().shutting_down -= 1;
    }
}

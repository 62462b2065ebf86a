//! Listens for clients, accepts their connections within the connection limit, and serves each one until it ends.

use super::accept_delay::AcceptDelay;
use super::accept_fault::{ACCEPT_RETRY_PAUSE, log_accept_error, recover_from_accept_error};
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

/// Length of the accept queue. The standard library asks for 128, but hundreds of clients reconnect at once when
/// several placers are killed together. The kernel lowers the value to its own limit.
const LISTEN_BACKLOG: i32 = 4_096;
/// Limit of connections accepted before the acceptor yields to other tasks.
const MAX_ACCEPTS_PER_TURN: usize = 16;
/// Limit of checks, at process exit, whether peers have closed their connections after this process closed its side.
const MAX_SHUTDOWN_CHECKS: u32 = 10;
/// Interval between two checks whether peers have closed their connections at process exit.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Accepts connections from clients on one listening socket.
pub struct Acceptor<H> {
    listener: Async<TcpListener>,
    handler: Rc<RefCell<H>>,
    executor: Rc<LocalExecutor<'static>>,
    delay: Cell<AcceptDelay>,
}

/// Opens a listening socket for clients with an accept queue of `LISTEN_BACKLOG` connections.
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

    /// Accepts connections for the life of the process, or until this process no longer accepts connections.
    ///
    /// When the process runs out of descriptors, an idle connection is evicted for the next one and the loop continues.
    /// If all connections are busy, the acceptor waits until one becomes idle. A connection in the accept queue is
    /// never closed unread: the kernel has already accepted it, so a request sent on it counts as taken.
    pub async fn run(&self) {
        loop {
            if let Err(error) = self.listener.readable().await {
                self.recover(&error).await;
                continue;
            }
            for turn in 0..MAX_ACCEPTS_PER_TURN {
                // Connections that arrive from now on are accepted by another process.
                if !self.handler.borrow().accepts_connections() {
                    return;
                }
                // After the first accept the queue may be empty: an idle connection is evicted only for a connection
                // that is known to wait, not for one that may arrive.
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

    /// Waits until another connection is within the connection limit, evicting an idle connection if necessary.
    async fn wait_for_descriptor(&self) {
        let handler = &self.handler;
        let mut wait = AcceptWait::None;
        loop {
            let is_full = handler.borrow().client_limit_reached();
            let now = handler.borrow().now();
            if !is_full || handler.borrow().clients().evict_idle(now, 1) > 0 {
                handler.borrow_mut().client_accepted(now, wait);
                if is_full {
                    // Lets the evicted connection release its descriptor first.
                    future::yield_now().await;
                }
                return;
            }
            if wait == AcceptWait::None {
                info!(peer = "client", reason = %CloseReason::Evicted, "connection waits for a free descriptor");
            }
            wait = AcceptWait::Waited;
            self.update_delay(|delay| delay.waits_for_descriptor(now));
            Timer::after(ACCEPT_RETRY_PAUSE).await;
        }
    }

    /// Pauses after a failed accept, unless the failure may be gone at the next attempt. Connections are evicted only
    /// for a failure that persists.
    async fn recover(&self, error: &io::Error) {
        let now = self.handler.borrow().now();
        let pause = self.update_delay(|delay| delay.failed(now));
        if pause.is_zero() {
            return future::yield_now().await;
        }
        log_accept_error(error);
        if !recover_from_accept_error(&self.handler, error) {
            Timer::after(pause).await;
        }
    }

    fn update_delay<T>(&self, update: impl FnOnce(&mut AcceptDelay) -> T) -> T {
        let mut delay = self.delay.get();
        let result = update(&mut delay);
        self.delay.set(delay);
        result
    }

    /// Accepts one connection from the queue. The connection counts towards the limit from now on, not from the first
    /// run of the task that serves it.
    fn accept_one(&self) -> io::Result<()> {
        let (stream, _) = self.listener.get_ref().accept()?;
        let conn = Rc::new(Connection::new(Async::new(stream)?));
        conn.limit_unfinished_input();
        let mut handler = self.handler.borrow_mut();
        let now = handler.now();
        let waits_since = self.update_delay(|delay| delay.accepted(now));
        let id = handler.client_opened(conn.clone(), waits_since);
        self.executor
            .spawn(serve(id, conn, self.handler.clone()))
            .detach();
        Ok(())
    }

    /// Called before the process exits: accepts one connection from the queue, and returns whether there was one or any
    /// connection has unread input. Requests that were sent on a queued connection, or that arrived since the last
    /// check, count as taken and must not be lost.
    pub fn accept_before_exit(&self) -> bool {
        if self.handler.borrow().exit_is_overdue() {
            return false;
        }
        let accepts = self.handler.borrow().accepts_connections();
        (accepts && self.may_have_waiting_connection())
            || !self.handler.borrow().clients().has_no_unread_input()
    }

    /// Accepts one connection from the queue, and returns whether there was or may have been one: an accept that failed
    /// temporarily does not prove that the queue is empty.
    fn may_have_waiting_connection(&self) -> bool {
        !matches!(self.accept_one(), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

/// Called when the process exits: shuts down the write side of all connections, and waits for a bounded time for peers
/// to close. Exiting with unread input would send a reset, which can destroy a response that was written but not yet
/// read by the peer.
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
                // No more messages are taken from a connection that is closed deliberately. From a connection that has
                // failed, all messages are taken: what the client sent about running tasks remains valid.
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
    // No message may be queued on the connection from here on.
    conn.close(reason);
    handler.borrow_mut().client_closed(id, reason);
    let is_fault = matches!(reason, CloseReason::Malformed(_) | CloseReason::IdInUse);
    let leaves_unread = matches!(
        reason,
        CloseReason::Draining | CloseReason::Idle | CloseReason::TooManyTasks
    );
    if is_fault || leaves_unread {
        handler.borrow_mut().clients_mut().shutting_down += 1;
        if is_fault {
            conn.shutdown_gracefully().await;
        } else {
            conn.close_unread().await;
        }
        handler.borrow_mut().clients_mut().shutting_down -= 1;
    }
}

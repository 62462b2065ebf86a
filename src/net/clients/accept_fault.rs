//! Handling of failed accepts, shared by all listeners.

use super::events::ClientEvents;
use crate::net::system_error::is_out_of_descriptors;
use async_io::Timer;
use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Pause before accepting is retried.
pub(super) const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Logs a failed accept, and then evicts an idle connection or pauses, as the failure requires.
pub async fn pause_after_accept_error<H: ClientEvents>(
    handler: &Rc<RefCell<H>>,
    error: &io::Error,
) {
    log_accept_error(error);
    if !recover_from_accept_error(handler, error) {
        Timer::after(ACCEPT_RETRY_PAUSE).await;
    }
}

pub(super) fn log_accept_error(error: &io::Error) {
    warn!(reason = %error.kind(), code = error.raw_os_error(), "accept failed");
}

/// Evicts an idle client connection if no descriptor is left. Returns whether accepting may be retried at once: either
/// a connection was evicted, or the failure concerned a single connection that has already ended.
pub(super) fn recover_from_accept_error<H: ClientEvents>(
    handler: &Rc<RefCell<H>>,
    error: &io::Error,
) -> bool {
    match AcceptFault::of(error) {
        AcceptFault::ConnectionEnded => true,
        AcceptFault::NoDescriptor => {
            let now = handler.borrow().now();
            handler.borrow().clients().evict_idle(now, 1) > 0
        }
        AcceptFault::Temporary => false,
    }
}

/// Classifies why an accept failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AcceptFault {
    /// The queued connection has ended, or the call was interrupted: the next connection may be accepted at once.
    ConnectionEnded,
    /// The process or the system has no descriptor left.
    NoDescriptor,
    /// The kernel is temporarily short of another resource.
    Temporary,
}

impl AcceptFault {
    fn of(error: &io::Error) -> AcceptFault {
        if is_out_of_descriptors(error) {
            return AcceptFault::NoDescriptor;
        }
        match error.kind() {
            ErrorKind::ConnectionAborted | ErrorKind::Interrupted => AcceptFault::ConnectionEnded,
            _ => AcceptFault::Temporary,
        }
    }
}

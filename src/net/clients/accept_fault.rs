//! What every listener does where accepting fails.

use super::events::ClientEvents;
use crate::net::system_error::is_out_of_descriptors;
use async_io::Timer;
use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// The pause until accepting is tried again.
pub(super) const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Makes room or pauses, as the failure requires it.
pub async fn pause_after_accept_error<H: ClientEvents>(
    handler: &Rc<RefCell<H>>,
    error: &io::Error,
) {
    log_accept_error(error);
    if !make_room(handler, error) {
        Timer::after(ACCEPT_RETRY_PAUSE).await;
    }
}

pub(super) fn log_accept_error(error: &io::Error) {
    warn!(reason = %error.kind(), code = error.raw_os_error(), "accept failed");
}

/// Returns whether accepting may be tried again at once: the failure concerned one connection that has ended already, or
/// no descriptor is left, and an idle connection of a client was evicted for the next.
pub(super) fn make_room<H: ClientEvents>(handler: &Rc<RefCell<H>>, error: &io::Error) -> bool {
    match AcceptFault::of(error) {
        AcceptFault::ConnectionEnded => true,
        AcceptFault::NoDescriptor => {
            let now = handler.borrow().now();
            handler.borrow().clients().evict_idle(now, 1) > 0
        }
        AcceptFault::Temporary => false,
    }
}

/// What a failed accept is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AcceptFault {
    /// The connection that waited has ended, or the call was interrupted: the next one may be accepted at once.
    ConnectionEnded,
    /// The process or the system has no descriptor left.
    NoDescriptor,
    /// The system is out of something for a moment.
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

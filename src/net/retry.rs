//! Repeats what the process needs of the system while the system fails for a moment.

use super::system_error::is_temporary;
use async_io::Timer;
use std::io;
use std::time::{Duration, Instant};
use tracing::warn;

/// How long a call of the system may fail until the failure counts.
const MAX_RETRY_TIME: Duration = Duration::from_secs(3);
/// The pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Tries this operation until it succeeds, fails for good, or has failed for a few seconds. `what` names it in the log.
///
/// # Errors
///
/// Returns the error of the last try.
pub async fn retry<T>(what: &str, mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let began = Instant::now();
    let mut is_first = true;
    loop {
        let error = match operation() {
            Err(error) if is_temporary(&error) && began.elapsed() < MAX_RETRY_TIME => error,
            result => return result,
        };
        if std::mem::take(&mut is_first) {
            warn!(what, %error, "tried again");
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

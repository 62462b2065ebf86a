//! Retries system calls that fail temporarily.

use super::system_error::is_temporary;
use async_io::Timer;
use std::io;
use std::time::{Duration, Instant};
use tracing::warn;

/// Time for which a system call that keeps failing temporarily is retried.
const MAX_RETRY_TIME: Duration = Duration::from_secs(3);
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Calls the operation until it succeeds, fails permanently, or has failed temporarily for `MAX_RETRY_TIME`. `what`
/// names the operation in the log.
///
/// # Errors
///
/// Returns the error of the last attempt.
pub async fn retry<T>(what: &str, mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let began = Instant::now();
    let mut is_first = true;
    loop {
        let error = match operation() {
            Err(error) if is_temporary(&error) && began.elapsed() < MAX_RETRY_TIME => error,
            result => return result,
        };
        if std::mem::take(&mut is_first) {
            warn!(what, %error, "operation failed temporarily and is retried");
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

//! The log: `tracing` events, one per line on standard error, as text or as JSON.
//!
//! The placer's only thread must not block on a slow reader of the log. Standard error is polled before each write, and
//! a write has at most as many bytes as a pipe that is ready takes without blocking. The other bytes wait in a bounded
//! queue, which is written at each tick of the timer wheel. Lines that exceed the queue are dropped and counted, and
//! the count is logged once the queue is empty. Lines also stay queued while the disk is full. Once the reader of
//! standard error has closed it, all lines are dropped, and the placer continues without a log.

use crate::operator::{self, LogFormat, LogLevel};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::Level;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

/// The number of bytes that a pipe which is ready for writing takes without blocking (`PIPE_BUF` in POSIX; 4096 on
/// Linux).
const PIPE_BUF_BYTES: usize = 4_096;
/// How long the process waits at its exit for standard error to become ready.
const EXIT_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static LOG: OnceLock<LogWriter> = OnceLock::new();

/// The lines that wait to be written.
#[derive(Debug)]
struct LineQueue {
    bytes: Vec<u8>,
    max_bytes: usize,
    /// The number of lines dropped since this number was last reported in the log.
    dropped: u64,
    format: LogFormat,
    /// Whether standard error is closed, so that nothing more can be written.
    is_closed: bool,
}

impl LineQueue {
    fn new(settings: &operator::LogSettings) -> LineQueue {
        LineQueue {
            bytes: Vec::new(),
            max_bytes: settings.queue_bytes,
            dropped: 0,
            format: settings.format,
            is_closed: false,
        }
    }

    /// Adds a complete line, or counts it as dropped if the queue has no room for it.
    fn push(&mut self, line: &[u8]) {
        if self.is_closed || self.bytes.len() + line.len() > self.max_bytes {
            self.dropped += 1;
            return;
        }
        self.bytes.extend_from_slice(line);
    }

    /// Writes queued bytes to `out` while `is_ready` returns true, and then queues a report of dropped lines if the
    /// queue is empty.
    fn write_ready(&mut self, out: &mut impl Write, mut is_ready: impl FnMut() -> bool) {
        while !self.is_closed && !self.bytes.is_empty() && is_ready() {
            let chunk = self.bytes.get(..PIPE_BUF_BYTES).unwrap_or(&self.bytes);
            match out.write(chunk) {
                Ok(0) => self.is_closed = true,
                Ok(count) => {
                    self.bytes.drain(..count.min(self.bytes.len()));
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::BrokenPipe => self.is_closed = true,
                // Other errors, such as a full disk, may be temporary, so the lines stay queued.
                Err(_) => return,
            }
        }
        if self.is_closed {
            self.bytes = Vec::new();
        } else if self.bytes.is_empty() && self.dropped > 0 {
            let line = self.dropped_line();
            self.dropped = 0;
            self.bytes.extend_from_slice(line.as_bytes());
        }
    }

    /// Returns the line that reports how many lines were dropped.
    fn dropped_line(&self) -> String {
        let (seconds, micros) = unix_now();
        let dropped = self.dropped;
        match self.format {
            LogFormat::Json => format!(
                "{{\"timestamp\":\"{seconds}.{micros:06}\",\"level\":\"WARN\",\"message\":\"log lines dropped\",\"dropped\":{dropped}}}\n"
            ),
            LogFormat::Text => {
                format!("{seconds}.{micros:06}  WARN log lines dropped dropped={dropped}\n")
            }
        }
    }
}

/// Writes lines to standard error through the queue, which all clones share.
#[derive(Clone)]
struct LogWriter(Arc<Mutex<LineQueue>>);

impl LogWriter {
    fn queue(&self) -> MutexGuard<'_, LineQueue> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes queued bytes to standard error, and waits for at most `timeout` before each write until it is ready.
    fn write_ready(&self, timeout: Duration) {
        let stderr = io::stderr();
        let timeout = Timespec {
            tv_sec: 0,
            tv_nsec: timeout.subsec_nanos().into(),
        };
        let is_ready = || {
            let mut fds = [PollFd::new(&stderr, PollFlags::OUT)];
            // A pipe whose reader has closed it also polls as ready, and the write then fails.
            poll(&mut fds, Some(&timeout)).is_ok_and(|ready| ready > 0)
        };
        self.queue().write_ready(&mut stderr.lock(), is_ready);
    }
}

/// Adds a line to the queue, and writes queued bytes as far as standard error takes them without blocking.
struct LineWriter(LogWriter);

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.0.queue().push(line);
        self.0.write_ready(Duration::ZERO);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        LineWriter(self.clone())
    }
}

/// Returns the time since the Unix epoch in whole seconds, and the remaining microseconds.
fn unix_now() -> (u64, u32) {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    (now.as_secs(), now.subsec_micros())
}

/// Formats timestamps as seconds since the Unix epoch, with six decimals.
struct UnixTime;

impl FormatTime for UnixTime {
    fn format_time(&self, w: &mut Writer<'_>) -> std::fmt::Result {
        let (seconds, micros) = unix_now();
        write!(w, "{seconds}.{micros:06}")
    }
}

/// Installs the log for the whole process. A second call has no effect.
pub fn start(settings: &operator::LogSettings) {
    let writer = LOG
        .get_or_init(|| LogWriter(Arc::new(Mutex::new(LineQueue::new(settings)))))
        .clone();
    let level = match settings.level {
        LogLevel::Error => Level::ERROR,
        LogLevel::Warn => Level::WARN,
        LogLevel::Info => Level::INFO,
        LogLevel::Debug => Level::DEBUG,
    };
    let builder = tracing_subscriber::fmt()
        .with_writer(writer)
        .with_max_level(level)
        .with_ansi(false)
        .with_target(false)
        .with_timer(UnixTime);
    // An error means that a subscriber is already set, which then stays.
    let _ = match settings.format {
        LogFormat::Text => tracing::subscriber::set_global_default(builder.finish()),
        LogFormat::Json => {
            let json = builder
                .json()
                .flatten_event(true)
                .with_current_span(false)
                .with_span_list(false);
            tracing::subscriber::set_global_default(json.finish())
        }
    };
}

/// Writes queued lines as far as standard error takes them without blocking.
pub fn write_queued() {
    if let Some(writer) = LOG.get() {
        if writer.queue().bytes.is_empty() {
            return;
        }
        writer.write_ready(Duration::ZERO);
    }
}

/// Writes the queued lines before the process exits, and waits up to [`EXIT_FLUSH_TIMEOUT`] before each write.
pub fn flush_at_exit() {
    if let Some(writer) = LOG.get() {
        writer.write_ready(EXIT_FLUSH_TIMEOUT);
    }
}

#[cfg(test)]
mod tests;

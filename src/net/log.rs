//! The log: `tracing` events, one a line on standard error, as text or as JSON.
//!
//! The one thread must not wait for whoever reads the log. A line is written only where the system takes it at once:
//! standard error is polled first, and at most as many bytes are written as a pipe that is ready takes without a wait.
//! The rest waits in a bounded queue that the wheel's ticks empty. Lines beyond the limit are dropped and counted, and the
//! count is logged once there is capacity. A full disk is waited for likewise. A standard error whose reader is gone drops
//! all, and stops nothing.

use crate::operator::{self, LogFormat, LogLevel};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::Level;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

/// Bytes that a pipe which is ready for writing takes without a wait (POSIX: `PIPE_BUF`, on Linux 4096).
const PIPE_BUF_BYTES: usize = 4_096;
/// How long the exit of the process waits for the log's reader.
const EXIT_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static LOG: OnceLock<LogWriter> = OnceLock::new();

/// Lines that wait to be written.
#[derive(Debug)]
struct LineQueue {
    bytes: Vec<u8>,
    max_bytes: usize,
    /// Lines dropped since the last line that reported them.
    dropped: u64,
    format: LogFormat,
    /// Standard error takes nothing any more.
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

    /// Adds a whole line, or counts it as dropped.
    fn push(&mut self, line: &[u8]) {
        if self.is_closed || self.bytes.len() + line.len() > self.max_bytes {
            self.dropped += 1;
            return;
        }
        self.bytes.extend_from_slice(line);
    }

    /// Writes what `out` takes at once, for as long as `is_ready` says that it takes anything.
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
                // What fails now, as on a full disk, may pass: the lines wait like those of a slow reader.
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

    /// The line that reports how many lines were dropped.
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

/// Writes lines to standard error through the queue.
#[derive(Clone)]
struct LogWriter(Arc<Mutex<LineQueue>>);

impl LogWriter {
    fn queue(&self) -> MutexGuard<'_, LineQueue> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes what standard error takes, and waits for it to be ready for at most `timeout`.
    fn write_ready(&self, timeout: Duration) {
        let stderr = io::stderr();
        let timeout = Timespec {
            tv_sec: 0,
            tv_nsec: timeout.subsec_nanos().into(),
        };
        let is_ready = || {
            let mut fds = [PollFd::new(&stderr, PollFlags::OUT)];
            // A reader that is gone counts as ready: the write fails then.
            poll(&mut fds, Some(&timeout)).is_ok_and(|ready| ready > 0)
        };
        self.queue().write_ready(&mut stderr.lock(), is_ready);
    }
}

/// One line that is being written.
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

/// Returns the seconds of the system's Unix clock, and the microseconds beside them.
fn unix_now() -> (u64, u32) {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    (now.as_secs(), now.subsec_micros())
}

/// Writes timestamps as seconds of the Unix clock, with the microseconds.
struct UnixTime;

impl FormatTime for UnixTime {
    fn format_time(&self, w: &mut Writer<'_>) -> std::fmt::Result {
        let (seconds, micros) = unix_now();
        write!(w, "{seconds}.{micros:06}")
    }
}

/// Sets up the log for the life of the process. A second call keeps the first.
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
    // A subscriber that is set already stays.
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

/// Writes what waits, as far as standard error takes it at once.
pub fn write_queued() {
    if let Some(writer) = LOG.get() {
        if writer.queue().bytes.is_empty() {
            return;
        }
        writer.write_ready(Duration::ZERO);
    }
}

/// Writes what waits before the process exits, and waits a little for the reader.
pub fn flush_at_exit() {
    if let Some(writer) = LOG.get() {
        writer.write_ready(EXIT_FLUSH_TIMEOUT);
    }
}

#[cfg(test)]
mod tests;

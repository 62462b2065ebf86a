//! The log: `tracing` events, one a line on standard error, as text or as JSON.
//!
//! The one thread must not wait for whoever reads the log. A line is handed to the system only where it
//! takes it at once: standard error is asked with `poll` first, and at most as many bytes are written as
//! a pipe that says 'ready' takes whole. The rest waits in a bounded queue that the wheel's ticks empty.
//! Lines beyond the bound are dropped and counted, and the count is told once there is room. A standard
//! error that is closed drops all, and stops nothing.

use crate::operator::{self, LogFormat, LogLevel};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::Level;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

/// What a pipe that is ready for writing takes without a wait (POSIX: `PIPE_BUF`, on Linux 4096).
const AT_ONCE: usize = 4_096;
/// How long the end of the process waits for the log's reader.
const LINGER: Duration = Duration::from_millis(200);

static SINK: OnceLock<Sink> = OnceLock::new();

/// Lines on their way out.
#[derive(Debug)]
struct Queue {
    waiting: Vec<u8>,
    most: usize,
    dropped: u64,
    json: bool,
    /// Whether standard error takes anything at all.
    closed: bool,
}

impl Queue {
    fn new(settings: &operator::LogSettings) -> Queue {
        let json = settings.format == LogFormat::Json;
        Queue {
            waiting: Vec::new(),
            most: settings.queue_bytes,
            dropped: 0,
            json,
            closed: false,
        }
    }

    /// Takes a whole line, or counts it as dropped.
    fn push(&mut self, line: &[u8]) {
        if self.closed || self.waiting.len() + line.len() > self.most {
            self.dropped += 1;
            return;
        }
        self.waiting.extend_from_slice(line);
    }

    /// Writes what `out` takes at once; `ready` tells whether it takes anything.
    fn pump(&mut self, out: &mut impl Write, mut ready: impl FnMut() -> bool) {
        while !self.closed && !self.waiting.is_empty() && ready() {
            let chunk = self.waiting.get(..AT_ONCE).unwrap_or(&self.waiting);
            match out.write(chunk) {
                Ok(0) => self.closed = true,
                Ok(n) => {
                    self.waiting.drain(..n.min(self.waiting.len()));
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => self.closed = true,
            }
        }
        if self.closed {
            self.waiting = Vec::new();
        } else if self.waiting.is_empty() && self.dropped > 0 {
            let (seconds, micros) = unix();
            let dropped = std::mem::take(&mut self.dropped);
            let line = if self.json {
                format!(
                    "{{\"timestamp\":\"{seconds}.{micros:06}\",\"level\":\"WARN\",\"message\":\"log lines dropped\",\"dropped\":{dropped}}}\n"
                )
            } else {
                format!("{seconds}.{micros:06}  WARN log lines dropped dropped={dropped}\n")
            };
            self.waiting.extend_from_slice(line.as_bytes());
        }
    }
}

#[derive(Clone)]
struct Sink(Arc<Mutex<Queue>>);

impl Sink {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pump(&self, patience: Duration) {
        let stderr = io::stderr();
        let wait = Timespec {
            tv_sec: 0,
            tv_nsec: patience.subsec_nanos().into(),
        };
        let ready = || {
            let mut fds = [PollFd::new(&stderr, PollFlags::OUT)];
            // A reader that is gone counts as ready: the write tells.
            poll(&mut fds, Some(&wait)).is_ok_and(|n| n > 0)
        };
        self.lock().pump(&mut stderr.lock(), ready);
    }
}

/// One line that is being written.
struct Line(Sink);

impl Write for Line {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.0.lock().push(line);
        self.0.pump(Duration::ZERO);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Sink {
    type Writer = Line;

    fn make_writer(&'a self) -> Line {
        Line(self.clone())
    }
}

fn unix() -> (u64, u32) {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    (now.as_secs(), now.subsec_micros())
}

/// Seconds of the Unix clock, with the microseconds.
struct UnixTime;

impl FormatTime for UnixTime {
    fn format_time(&self, w: &mut Writer<'_>) -> std::fmt::Result {
        let (seconds, micros) = unix();
        write!(w, "{seconds}.{micros:06}")
    }
}

/// Sets the log up for the life of the process.
pub fn start(settings: &operator::LogSettings) {
    let sink = SINK
        .get_or_init(|| Sink(Arc::new(Mutex::new(Queue::new(settings)))))
        .clone();
    let level = match settings.level {
        LogLevel::Error => Level::ERROR,
        LogLevel::Warn => Level::WARN,
        LogLevel::Info => Level::INFO,
        LogLevel::Debug => Level::DEBUG,
    };
    let plain = tracing_subscriber::fmt()
        .with_writer(sink)
        .with_max_level(level)
        .with_ansi(false)
        .with_target(false)
        .with_timer(UnixTime);
    let set = match settings.format {
        LogFormat::Text => tracing::subscriber::set_global_default(plain.finish()),
        LogFormat::Json => {
            let json = plain
                .json()
                .flatten_event(true)
                .with_current_span(false)
                .with_span_list(false);
            tracing::subscriber::set_global_default(json.finish())
        }
    };
    // It is set once; a second start keeps the first.
    let _ = set;
}

/// Writes what waits, as far as it is taken at once.
pub fn pump() {
    if let Some(sink) = SINK.get() {
        if sink.lock().waiting.is_empty() {
            return;
        }
        sink.pump(Duration::ZERO);
    }
}

/// The last words: waits for the reader a little.
pub fn finish() {
    if let Some(sink) = SINK.get() {
        sink.pump(LINGER);
    }
}

#[cfg(test)]
mod tests;

//! Progress display on the terminal, and handling of the signals that stop a run.

use crate::run::{Progress, Watcher};
use crate::sweep;
use std::cell::RefCell;
use std::io::{IsTerminal, Write};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The control sequence that moves the cursor to the start of the line and clears the line.
const CLEAR_LINE: &str = "\r\x1b[K";

/// Displays progress on a terminal, and stops the run on SIGINT and SIGTERM. Clones share their state.
#[derive(Clone)]
pub struct Terminal {
    stop: Arc<AtomicBool>,
    is_terminal: bool,
    /// The prefix of progress lines that names the current run of a sweep; empty outside of a sweep.
    label: Rc<RefCell<String>>,
}

impl Terminal {
    /// Registers the signal handlers.
    pub fn new() -> std::io::Result<Terminal> {
        let stop = Arc::new(AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            signal_hook::flag::register(signal, stop.clone())?;
        }
        Ok(Terminal {
            stop,
            is_terminal: std::io::stderr().is_terminal(),
            label: Rc::default(),
        })
    }

    /// Clears the progress line.
    pub fn clear(&self) {
        if self.is_terminal {
            eprint!("{CLEAR_LINE}");
        }
    }

    /// Displays the progress of a sweep.
    pub fn sweep_progress(&self, progress: &sweep::Progress) {
        let sweep::Progress {
            axis,
            value,
            repeat,
            done,
            total,
            event,
        } = progress;
        let retry_note = if matches!(event, sweep::RunEvent::Retried { .. }) {
            " again"
        } else {
            ""
        };
        let label = format!(
            "[{}/{total}] {axis} {value}, repeat {}{retry_note}: ",
            done + 1,
            repeat + 1
        );
        self.show(&label);
        self.label.replace(label);
    }

    fn show(&self, line: &str) {
        if self.is_terminal {
            eprint!("{CLEAR_LINE}{line}");
            // Progress display is optional, so a failed flush is ignored.
            let _ = std::io::stderr().flush();
        }
    }
}

impl Watcher for Terminal {
    fn progress(&mut self, progress: &Progress) {
        let Progress {
            phase,
            seconds,
            started,
            refused,
            waiting,
            active_tasks,
            connections,
        } = progress;
        let label = self.label.borrow();
        self.show(&format!(
            "{label}{phase} {seconds} s: {started} started, {refused} refused, {waiting} waiting, \
             {active_tasks} at workers, {connections} connections"
        ));
    }

    fn should_stop(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

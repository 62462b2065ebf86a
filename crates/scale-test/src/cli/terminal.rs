//! What people see and do while runs go on.

use crate::run::{Progress, Watcher};
use crate::sweep;
use std::cell::RefCell;
use std::io::{IsTerminal, Write};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Goes to the start of the line and empties it.
const EMPTY_LINE: &str = "\r\x1b[K";

/// Shows progress on a terminal, and takes Ctrl-C and SIGTERM as the wish to end. Clones share all of it.
#[derive(Clone)]
pub struct Terminal {
    stop: Arc<AtomicBool>,
    shows: bool,
    /// Which run of a sweep goes on; empty outside of one.
    label: Rc<RefCell<String>>,
}

impl Terminal {
    /// Takes over the signals.
    pub fn new() -> std::io::Result<Terminal> {
        let stop = Arc::new(AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            signal_hook::flag::register(signal, stop.clone())?;
        }
        Ok(Terminal {
            stop,
            shows: std::io::stderr().is_terminal(),
            label: Rc::default(),
        })
    }

    /// Takes the line of progress away.
    pub fn clear(&self) {
        if self.shows {
            eprint!("{EMPTY_LINE}");
        }
    }

    /// Shows how far a sweep is.
    pub fn sweep_progress(&self, progress: &sweep::Progress) {
        let sweep::Progress {
            axis,
            value,
            repeat,
            done,
            total,
            event,
        } = progress;
        let again = if matches!(event, sweep::RunEvent::Retried { .. }) {
            " again"
        } else {
            ""
        };
        let label = format!(
            "[{}/{total}] {axis} {value}, repeat {}{again}: ",
            done + 1,
            repeat + 1
        );
        self.show(&label);
        self.label.replace(label);
    }

    fn show(&self, line: &str) {
        if self.shows {
            eprint!("{EMPTY_LINE}{line}");
            // A terminal that takes nothing shows nothing.
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
            active_tasks: held,
            connections,
        } = progress;
        let label = self.label.borrow();
        self.show(&format!(
            "{label}{phase} {seconds} s: {started} started, {refused} refused, {waiting} wait, \
             {held} held, {connections} connections"
        ));
    }

    fn should_stop(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

//! Where everybody writes down what they sent and saw.

use crate::host_model::Micros;
use crate::rule_check::Note;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// A task that runs at a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Running {
    /// The id under which it was set up there.
    pub id: u64,
    /// The host, by its number.
    pub host: usize,
}

#[derive(Debug, Default)]
struct Book {
    notes: Vec<(Micros, Note)>,
    running: HashMap<u64, Running>,
    names: Vec<String>,
}

/// The notes of one run, shared by all parties, with its clock.
#[derive(Debug, Clone)]
pub struct Notes {
    start: Instant,
    book: Arc<Mutex<Book>>,
}

impl Default for Notes {
    fn default() -> Notes {
        Notes {
            start: Instant::now(),
            book: Arc::default(),
        }
    }
}

impl Notes {
    /// The time of the run.
    pub fn now(&self) -> Micros {
        Micros::try_from(self.start.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// When a time of the run is.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + std::time::Duration::from_micros(u64::try_from(at).unwrap_or(0))
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a note now.
    pub fn add(&self, note: Note) {
        let now = self.now();
        self.book().notes.push((now, note));
    }

    /// Writes a note of another time.
    pub fn add_at(&self, at: Micros, note: Note) {
        self.book().notes.push((at, note));
    }

    /// All notes so far.
    pub fn all(&self) -> Vec<(Micros, Note)> {
        self.book().notes.clone()
    }

    /// Names the next host; its number.
    pub fn name_host(&self, name: &str) -> usize {
        let mut book = self.book();
        book.names.push(name.to_string());
        book.names.len() - 1
    }

    /// The name of a host.
    pub fn host_name(&self, host: usize) -> Option<String> {
        self.book().names.get(host).cloned()
    }

    /// A task runs at a host from now on.
    pub fn runs(&self, key: u64, running: Running) {
        self.book().running.insert(key, running);
    }

    /// It does no more.
    pub fn ran(&self, key: u64, host: usize) {
        let mut book = self.book();
        if book
            .running
            .get(&key)
            .is_some_and(|running| running.host == host)
        {
            book.running.remove(&key);
        }
    }

    /// A host's process died.
    pub fn died(&self, host: usize) {
        self.add(Note::Died(host));
        self.book()
            .running
            .retain(|_, running| running.host != host);
    }

    /// Where a task runs.
    pub fn running(&self, key: u64) -> Option<Running> {
        self.book().running.get(&key).copied()
    }
}

/// A fingerprint of a text, the same in every process (FNV-1a, 64 bits).
pub fn fingerprint(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

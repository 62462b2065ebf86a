//! Request counters of one process since its start, by task class.

/// How a request ended, as its client was notified.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A host has started the task.
    Started,
    /// Rejected with a promise of no effect, so a retry is harmless.
    Rejected,
    /// Failed with nothing promised.
    Failed,
}

/// The counters of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Requests whose task a host has started.
    pub started: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Attempts written completely to a host's connection.
    pub attempts: u64,
}

/// The counters of all classes, in the order of the settings.
///
/// Methods take the index of the class; requests of a class that the settings do not define are not counted.
#[derive(Debug, Clone, Default)]
pub struct RequestCounters {
    by_class: Vec<ClassCounters>,
}

impl RequestCounters {
    /// Creates zeroed counters for `class_count` classes.
    pub fn new(class_count: usize) -> RequestCounters {
        RequestCounters {
            by_class: vec![ClassCounters::default(); class_count],
        }
    }

    /// Counts the final response to a request.
    pub fn record_response(&mut self, class: Option<usize>, outcome: RequestOutcome) {
        let Some(counters) = self.class_mut(class) else {
            return;
        };
        match outcome {
            RequestOutcome::Started => counters.started += 1,
            RequestOutcome::Rejected => counters.rejected += 1,
            RequestOutcome::Failed => counters.failed += 1,
        }
    }

    /// Counts an attempt that was sent to a host.
    pub fn record_attempt(&mut self, class: Option<usize>) {
        if let Some(counters) = self.class_mut(class) {
            counters.attempts += 1;
        }
    }

    /// Returns the counters by class.
    pub fn by_class(&self) -> &[ClassCounters] {
        &self.by_class
    }

    fn class_mut(&mut self, class: Option<usize>) -> Option<&mut ClassCounters> {
        self.by_class.get_mut(class?)
    }
}

#[cfg(test)]
mod tests;

//! Counts the requests of one process since its start, by task class.

/// The final response that a client received for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A host has started the task.
    Started,
    /// The request was rejected. The response guarantees that the task was not started, so a retry is safe.
    Rejected,
    /// The request failed, and the response does not say whether the task was started.
    Failed,
}

/// The request counters of one task class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// The number of requests whose task a host has started.
    pub started: u64,
    /// The number of rejected requests.
    pub rejected: u64,
    /// The number of failed requests.
    pub failed: u64,
    /// The number of attempts that were written completely to a host's connection.
    pub attempts: u64,
}

/// The request counters of all task classes, in the order in which the settings define the classes.
///
/// The methods take the index of a class. Requests of a class that the settings do not define are not counted.
#[derive(Debug, Clone, Default)]
pub struct RequestCounters {
    by_class: Vec<ClassCounters>,
}

impl RequestCounters {
    /// Creates counters of zero for `class_count` classes.
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

    /// Returns the counters of each class, indexed by class.
    pub fn by_class(&self) -> &[ClassCounters] {
        &self.by_class
    }

    fn class_mut(&mut self, class: Option<usize>) -> Option<&mut ClassCounters> {
        self.by_class.get_mut(class?)
    }
}

#[cfg(test)]
mod tests;

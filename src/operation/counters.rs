//! What this process has done since its start, by class.

/// How a request ended, as its client was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// A host has started the task.
    Served,
    /// Turned away; trying again is harmless.
    Refused,
    /// Nothing is promised.
    Failed,
}

/// The counts of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests answered with a host's start.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Offers that were handed whole to a host's connection.
    pub attempts: u64,
}

/// The counts of all classes, in the order in which the settings state them.
#[derive(Debug, Clone, Default)]
pub struct Tally(Vec<Counts>);

impl Tally {
    /// Nothing yet, for so many classes.
    pub fn new(classes: usize) -> Tally {
        Tally(vec![Counts::default(); classes])
    }

    /// A request of this class was answered. One of a class that the settings do not state counts nowhere.
    pub fn ended(&mut self, class: Option<usize>, how: Ended) {
        let Some(counts) = class.and_then(|class| self.0.get_mut(class)) else {
            return;
        };
        match how {
            Ended::Served => counts.served += 1,
            Ended::Refused => counts.refused += 1,
            Ended::Failed => counts.failed += 1,
        }
    }

    /// An offer of this class has left.
    pub fn offered(&mut self, class: Option<usize>) {
        if let Some(counts) = class.and_then(|class| self.0.get_mut(class)) {
            counts.attempts += 1;
        }
    }

    /// The counts by class.
    pub fn classes(&self) -> &[Counts] {
        &self.0
    }
}

#[cfg(test)]
mod tests;

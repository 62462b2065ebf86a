//! Limits imposed on the whole placer from outside the decision module. [`Limit`](crate::types::Limit) lists all
//! limits; those of a single host or request are stored with the host or request.

/// Admission rule: which tasks are admitted, and how long they may wait.
#[derive(Debug)]
pub(crate) struct Admission {
    /// Tasks whose shed rank is below this value are admitted.
    pub admit_below: f64,
    /// A task that has waited longer than this fraction of its latency objective is given up; `None` disables this.
    pub give_up_after: Option<f64>,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission {
            admit_below: f64::INFINITY,
            give_up_after: None,
        }
    }
}

/// The limits currently imposed on the placer.
#[derive(Debug, Default)]
pub(crate) struct ImposedLimits {
    /// Maximum number of this placer's attempts in flight at all hosts together; `None` is unlimited.
    pub max_in_flight: Option<u32>,
    pub admission: Admission,
    /// Number of other processes that serve as this placer, as during a rolling upgrade.
    pub peer_processes: u32,
    /// Index of this process among all processes that serve as this placer, from 0.
    pub process_index: u32,
}

impl ImposedLimits {
    /// Returns whether another attempt may be sent while `in_flight` attempts are in flight.
    pub fn allows_attempt(&self, in_flight: u32) -> bool {
        self.max_in_flight
            .is_none_or(|max_in_flight| in_flight < max_in_flight)
    }

    /// Sets the maximum number of attempts in flight at all hosts together. Returns whether it is higher than before;
    /// the first limit never is.
    pub fn limit_total(&mut self, max_in_flight: u32) -> bool {
        let before = self.max_in_flight.replace(max_in_flight);
        before.is_some_and(|before| max_in_flight > before)
    }

    /// Sets the admission rule. Returns whether it admits tasks with higher shed ranks than before.
    pub fn limit_admission(&mut self, admission: Admission) -> bool {
        let before = std::mem::replace(&mut self.admission, admission);
        self.admission.admit_below > before.admit_below
    }

    /// Records how many processes serve as this placer, and which of them this is.
    pub fn set_processes(&mut self, process_count: u32, process_index: u32) {
        self.peer_processes = process_count.saturating_sub(1);
        self.process_index = process_index;
    }
}

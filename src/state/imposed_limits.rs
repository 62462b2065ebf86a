//! Limits imposed on the whole placer from outside the decision module; see [`Limit`](crate::types::Limit).

/// Which tasks are admitted.
#[derive(Debug)]
pub(crate) struct Admission {
    /// Tasks whose shed rank is below this are admitted.
    pub admit_below: f64,
    /// A task that has waited for this fraction of its latency objective is given up.
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

/// The limits in force.
#[derive(Debug, Default)]
pub(crate) struct ImposedLimits {
    /// The most own attempts in flight at all hosts together.
    pub max_in_flight: Option<u32>,
    pub admission: Admission,
    /// Other processes that serve as this placer.
    pub peer_processes: u32,
    /// The number of this process among them.
    pub process_index: u32,
}

impl ImposedLimits {
    /// Whether another attempt may be in flight besides these.
    pub fn allows_attempt(&self, in_flight: u32) -> bool {
        self.max_in_flight
            .is_none_or(|max_in_flight| in_flight < max_in_flight)
    }

    /// Imposes the total. Returns whether it is higher than before.
    pub fn limit_total(&mut self, max_in_flight: u32) -> bool {
        let before = self.max_in_flight.replace(max_in_flight);
        before.is_some_and(|before| max_in_flight > before)
    }

    /// Imposes the admission. Returns whether it admits more than before.
    pub fn limit_admission(&mut self, admission: Admission) -> bool {
        let before = std::mem::replace(&mut self.admission, admission);
        self.admission.admit_below > before.admit_below
    }

    /// Records how many processes serve as this placer.
    pub fn set_processes(&mut self, process_count: u32, process_index: u32) {
        self.peer_processes = process_count.saturating_sub(1);
        self.process_index = process_index;
    }
}

//! What the overload controller reports to logs and operators.

use crate::{HostId, Micros};

/// Decisions since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// First requests.
    pub first_requests: u64,
    /// Requests that their clients marked as retries.
    pub client_retries: u64,
    /// Requests shed at once.
    pub shed: u64,
    /// Client retries before their Retry-After had passed.
    pub early_retries: u64,
    /// Admitted requests that were given up: too late to start in time, or out of attempts.
    pub given_up: u64,
    /// First attempts.
    pub first_attempts: u64,
    /// Further attempts.
    pub retries: u64,
    /// Retries denied by this placer's budget.
    pub retries_denied_by_placer: u64,
    /// Retries denied by the budget of a host, a cell or a zone.
    pub retries_denied_by_domain: u64,
    /// Attempts to suspect hosts in the time slots of this placer.
    pub health_checks: u64,
    /// Hosts that became suspect.
    pub suspect_hosts: u64,
    /// Zones that became suspect.
    pub suspect_zones: u64,
    /// Rises of the shed level.
    pub level_rises: u64,
    /// Falls of the shed level.
    pub level_falls: u64,
    /// The highest shed level.
    pub highest_level: u64,
}

impl Counters {
    /// Returns each counter with its name in the log and in the reply to `ctl overload`.
    pub fn named(&self) -> [(&'static str, u64); 15] {
        [
            ("fresh", self.first_requests),
            ("repeats", self.client_retries),
            ("shed", self.shed),
            ("early", self.early_retries),
            ("given-up", self.given_up),
            ("first", self.first_attempts),
            ("again", self.retries),
            ("again-placer", self.retries_denied_by_placer),
            ("again-domain", self.retries_denied_by_domain),
            ("trials", self.health_checks),
            ("doubts", self.suspect_hosts),
            ("rooms", self.suspect_zones),
            ("rises", self.level_rises),
            ("falls", self.level_falls),
            ("highest", self.highest_level),
        ]
    }
}

/// The state of one host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostReport {
    /// Which host.
    pub host: HostId,
    /// The congestion window.
    pub window: f64,
    /// Attempts in flight.
    pub in_flight: u32,
    /// The mean delay of starts.
    pub mean_delay: Micros,
    /// Whether the host is suspect.
    pub is_suspect: bool,
    /// Time until this placer's next slot to check the host, if it is suspect.
    pub next_slot_in: Option<Micros>,
}

/// The state of the controller.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The shed level.
    pub shed_level: u8,
    /// The fraction of the requests that is admitted.
    pub admitted_fraction: f64,
    /// Retries that are left; `None` if they are not limited.
    pub retries_left: Option<f64>,
    /// Clients whose Retry-After has not passed.
    pub backed_off_clients: usize,
    /// The counters.
    pub counters: Counters,
    /// The hosts that are up.
    pub hosts: Vec<HostReport>,
}

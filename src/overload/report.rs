//! The state and the counters that the overload controller reports in logs and to operators.

use crate::{HostId, Micros};

/// Counts of requests, attempts and decisions since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that clients sent for the first time.
    pub first_requests: u64,
    /// Requests that their clients marked as retries.
    pub client_retries: u64,
    /// Requests shed on arrival.
    pub shed: u64,
    /// Client retries that arrived before their Retry-After had passed.
    pub early_retries: u64,
    /// Admitted requests that were given up, because they could not start in time any more or had no attempts left.
    pub given_up: u64,
    /// First attempts of requests.
    pub first_attempts: u64,
    /// Attempts of requests beyond their first.
    pub retries: u64,
    /// Retries that were not allowed because the retry budget of this placer was used up.
    pub retries_denied_by_placer: u64,
    /// Retries that were not allowed because the retry budget of a host, a cell or a zone was used up.
    pub retries_denied_by_domain: u64,
    /// Attempts sent to suspect hosts as health checks, in the time slots of this placer.
    pub health_checks: u64,
    /// Number of times that a host became suspect after lost attempts.
    pub suspect_hosts: u64,
    /// Number of times that a whole zone became suspect because several of its cells were suspect.
    pub suspect_zones: u64,
    /// Number of times that the shed level rose.
    pub level_rises: u64,
    /// Number of times that the shed level fell.
    pub level_falls: u64,
    /// The highest shed level reached.
    pub highest_level: u64,
}

impl Counters {
    /// Returns each counter with the name that it has in the log and in the reply to `ctl overload`.
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

/// The state of one host as the overload controller knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct HostReport {
    /// The host's id.
    pub host: HostId,
    /// The congestion window: how many of this placer's attempts may be in flight at the host.
    pub window: f64,
    /// This placer's attempts in flight at the host.
    pub in_flight: u32,
    /// The moving average of the delay of starts, in microseconds.
    pub mean_delay: Micros,
    /// Whether the host is suspect and gets health checks only.
    pub is_suspect: bool,
    /// The time until this placer's next slot for a health check of the host, in microseconds, if it is suspect.
    pub next_slot_in: Option<Micros>,
}

/// The state of the overload controller and of its hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The shed level; at level 0 every request is admitted.
    pub shed_level: u8,
    /// The fraction of the requests that is admitted.
    pub admitted_fraction: f64,
    /// Retries left in this placer's budget; `None` if retries are not limited.
    pub retries_left: Option<f64>,
    /// The number of clients whose Retry-After has not passed yet.
    pub backed_off_clients: usize,
    /// The counters since the start of the process.
    pub counters: Counters,
    /// The state of each host that is up.
    pub hosts: Vec<HostReport>,
}

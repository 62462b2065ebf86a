//! Schedules in time slots which placers may connect to a suspect host, or send it an attempt as a health check.
//!
//! Every placer detects by itself that a host, cell or zone does not answer. If each placer then connected and probed
//! at any time, the load on the host would grow with the number of placers. Instead the placers are ranked for each
//! host by rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998) and
//! divided by rank into groups of `concurrent_placers`. Time is divided into rounds with one slot for each group. At
//! most one group has an active slot at any moment, and every group gets its slot in each round, so a group whose
//! placers are down costs only one slot. No messages are exchanged: a placer knows only its index and the number of
//! placers.
//!
//! The schedule uses the wall clock as read at the start of the process and advanced evenly since (`net::clock`). If
//! the clocks of two placers differ by up to a slot, the slots of two groups may overlap, and up to twice
//! `concurrent_placers` then check a host at a time.

use crate::Micros;
use crate::state::hash::combine_hashes;

/// The maximum number of times that failed health checks double the interval between the slots that a placer uses. The
/// placer still uses at least one in 2^`MAX_BACKOFF_DOUBLINGS` of its slots.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Salt of the hash that makes the rounds of different hosts start at different times.
const ROUND_OFFSET_SALT: u64 = 0x7475_726e;

/// Settings of the schedule of health checks.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The number of placers that may check one host at a time.
    pub concurrent_placers: usize,
    /// The length of the time slot in which one group of placers may check a host, in microseconds.
    pub slot_length: Micros,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            concurrent_placers: 2,
            slot_length: 250_000,
        }
    }
}

/// The state of a placer's time slot at one host, at a given time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeSlot {
    /// Whether the placer's slot is active at that time.
    pub is_active: bool,
    /// When the placer's next slot begins, as wall-clock time in microseconds.
    pub next_starts_at: Micros,
}

/// The schedule of the time slots of one placer.
#[derive(Debug, Clone)]
pub struct HealthCheckSchedule {
    settings: Settings,
    placer_index: usize,
    placer_count: usize,
}

impl HealthCheckSchedule {
    /// Creates the schedule of the placer with the index `placer_index` among `placer_count` placers.
    pub fn new(
        settings: Settings,
        placer_index: usize,
        placer_count: usize,
    ) -> HealthCheckSchedule {
        HealthCheckSchedule {
            settings: Settings {
                concurrent_placers: settings.concurrent_placers.max(1),
                slot_length: settings.slot_length.max(1),
            },
            placer_index,
            placer_count: placer_count.max(placer_index + 1),
        }
    }

    /// Returns the rank of this placer for a host among all placers, from 0.
    pub fn rank(&self, host_hash: u64) -> usize {
        let score = |placer: usize| (combine_hashes(host_hash, placer as u64), placer);
        let own_score = score(self.placer_index);
        (0..self.placer_count)
            .filter(|placer| score(*placer) < own_score)
            .count()
    }

    /// Returns the length of a round: the time between the starts of two successive slots of a placer at a host.
    pub fn round_length(&self) -> Micros {
        let groups = self.placer_count.div_ceil(self.settings.concurrent_placers) as i64;
        groups * self.settings.slot_length
    }

    /// Returns the state of this placer's slot at a host at the time `wall_clock`, as if no health check had failed.
    pub fn slot(&self, host_hash: u64, wall_clock: Micros) -> TimeSlot {
        self.slot_with_backoff(host_hash, wall_clock, 0)
    }

    /// Returns the state of this placer's slot at a host at the time `wall_clock`, after `failed_checks` consecutive
    /// failed health checks.
    ///
    /// After failures, only every second, fourth or eighth slot is used, so that few tasks lose time at a host that
    /// stays down. The placer therefore gets a slot at least once in two, four or eight rounds.
    pub fn slot_with_backoff(
        &self,
        host_hash: u64,
        wall_clock: Micros,
        failed_checks: u32,
    ) -> TimeSlot {
        let slot = self.slot_in_round(host_hash, wall_clock);
        let used_every = 1i64 << failed_checks.min(MAX_BACKOFF_DOUBLINGS);
        // Shifts the count of rounds by the group's number, so that different groups skip different rounds.
        let group_skew = self.rank(host_hash) as i64 / self.settings.concurrent_placers as i64;
        let is_used = |at: Micros| {
            (self.round_number(host_hash, at) + group_skew).rem_euclid(used_every) == 0
        };
        let mut next_starts_at = slot.next_starts_at;
        while !is_used(next_starts_at) {
            next_starts_at += self.round_length();
        }
        TimeSlot {
            is_active: slot.is_active && is_used(wall_clock),
            next_starts_at,
        }
    }

    fn slot_in_round(&self, host_hash: u64, wall_clock: Micros) -> TimeSlot {
        let group = (self.rank(host_hash) / self.settings.concurrent_placers) as i64;
        let time_in_round =
            (wall_clock + self.round_offset(host_hash)).rem_euclid(self.round_length());
        let starts = group * self.settings.slot_length;
        let ends = starts + self.settings.slot_length;
        let wait = (starts - time_in_round).rem_euclid(self.round_length());
        TimeSlot {
            is_active: time_in_round >= starts && time_in_round < ends,
            next_starts_at: wall_clock + if wait == 0 { self.round_length() } else { wait },
        }
    }

    fn round_number(&self, host_hash: u64, wall_clock: Micros) -> i64 {
        (wall_clock + self.round_offset(host_hash)).div_euclid(self.round_length())
    }

    /// Returns an offset of the rounds that depends on the host, so that rounds of different hosts start at different
    /// times.
    fn round_offset(&self, host_hash: u64) -> Micros {
        let round_length = self.round_length().unsigned_abs().max(1);
        (combine_hashes(host_hash, ROUND_OFFSET_SALT) % round_length) as Micros
    }
}

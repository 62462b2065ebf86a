//! Splits the slow-start budget among the processes of one placer.
//!
//! During a rolling upgrade an old and a new process serve under one placer name. Limits apply to the placer as a
//! whole, so each process may use only its share. The share of the remaining process grows back once the attempts of
//! a process that has exited no longer count against the limit.
//!
//! The process that was running first has index 0, and a process that finds it running at its own start has index 1.
//! The module is deterministic: time is an argument, and there is no I/O.

use crate::Micros;

/// The share of a placer-wide limit that one process may use: `1 / process_count`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetShare {
    /// The number of processes whose attempts count against the limit, including this one.
    pub process_count: u32,
    /// The index of this process, from 0 to `process_count - 1`.
    pub process_index: u32,
}

impl BudgetShare {
    /// The whole limit, which a process without peers may use.
    pub const WHOLE: BudgetShare = BudgetShare {
        process_count: 1,
        process_index: 0,
    };
}

/// Whether a peer process was running before this one started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerAge {
    /// The peer was running before this process started.
    Older,
    /// The peer started after this process.
    Younger,
}

/// Counts the peer processes of this process and derives its budget share from their number.
#[derive(Debug, Clone)]
pub struct ProcessGroup {
    /// How long an attempt counts against the slow-start budget.
    accounting_window: Micros,
    live_peers: u32,
    share: BudgetShare,
    /// When the attempts of the last peer that exited stop counting against the limit.
    share_may_grow_at: Micros,
}

impl ProcessGroup {
    /// Creates a group without peers, in which this process may use the whole limit.
    pub fn new(accounting_window: Micros) -> ProcessGroup {
        ProcessGroup {
            accounting_window: accounting_window.max(0),
            live_peers: 0,
            share: BudgetShare::WHOLE,
            share_may_grow_at: 0,
        }
    }

    /// Returns the number of peer processes that are running.
    pub fn live_peers(&self) -> u32 {
        self.live_peers
    }

    /// Registers a peer process and returns the resulting share, which applies immediately.
    pub fn peer_joined(&mut self, age: PeerAge) -> BudgetShare {
        self.live_peers = self.live_peers.saturating_add(1);
        let process_count = self.share.process_count.max(self.live_processes());
        let process_index = match age {
            PeerAge::Older => 1,
            PeerAge::Younger => self.share.process_index.min(process_count - 1),
        };
        self.share = BudgetShare {
            process_count,
            process_index,
        };
        self.share
    }

    /// Records that a peer exited. Its past attempts still count against the limit for the accounting window.
    pub fn peer_exited(&mut self, now: Micros) {
        self.live_peers = self.live_peers.saturating_sub(1);
        self.share_may_grow_at = now.saturating_add(self.accounting_window);
    }

    /// Returns the new share if it has grown since the last call.
    pub fn refresh(&mut self, now: Micros) -> Option<BudgetShare> {
        let process_count = self.live_processes();
        if process_count >= self.share.process_count || now < self.share_may_grow_at {
            return None;
        }
        self.share = if process_count == 1 {
            BudgetShare::WHOLE
        } else {
            BudgetShare {
                process_count,
                process_index: self.share.process_index.min(process_count - 1),
            }
        };
        Some(self.share)
    }

    /// Returns the number of running processes: the peers and this process.
    fn live_processes(&self) -> u32 {
        self.live_peers.saturating_add(1)
    }
}

#[cfg(test)]
mod tests;

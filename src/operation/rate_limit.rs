//! Limits the rate of requests from one connection, and from all of them together.
//!
//! What the placer remembers of requests that are over, such as recent arrivals and the changes of a host's load, is kept
//! for a time, so its memory grows with the rate of requests. The limits are far above the rates of usual clients.
//! Beyond the limit of all connections, those that have sent few requests lately are still served.
//!
//! The module is deterministic: time is an argument, and there is no I/O.

use crate::Micros;

/// How far ahead of its rate a connection, or all of them, may be.
const MAX_AHEAD: Micros = 500_000;
/// The mean time between two requests of one connection at its limit: 1,000 requests in a second.
const CONNECTION_INTERVAL: Micros = 1_000;
/// The mean time between two requests at the limit of all connections: 4,000 requests in a second.
const TOTAL_INTERVAL: Micros = 250;
/// How far ahead of its rate a connection may be while the limit of all connections is reached: 16 requests.
const MAX_AHEAD_WHILE_FULL: Micros = 16 * CONNECTION_INTERVAL;

/// The requests admitted at a rate: when they would all have arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdmittedRequests {
    used_until: Micros,
}

impl AdmittedRequests {
    fn is_ahead_by(self, now: Micros, limit: Micros) -> bool {
        self.used_until.saturating_sub(now) >= limit
    }

    fn add(&mut self, now: Micros, interval: Micros) {
        self.used_until = self.used_until.max(now) + interval;
    }
}

/// The limit on the rate of requests from all connections together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RateLimit {
    total: AdmittedRequests,
}

impl RateLimit {
    /// Returns whether a request that arrives now on a connection is within the limits, and counts it if it is.
    pub fn admit(&mut self, now: Micros, connection: &mut AdmittedRequests) -> bool {
        let max_ahead = if self.total.is_ahead_by(now, MAX_AHEAD) {
            MAX_AHEAD_WHILE_FULL
        } else {
            MAX_AHEAD
        };
        if connection.is_ahead_by(now, max_ahead) {
            return false;
        }
        connection.add(now, CONNECTION_INTERVAL);
        self.total.add(now, TOTAL_INTERVAL);
        true
    }
}

#[cfg(test)]
mod tests;

//! Retry budget: a token bucket that limits the attempts beyond a task's first.
//!
//! The first attempt of each task earns a fraction of a token, unless the request is itself a client's retry. Each
//! retry costs one token. The number of tokens that can be saved is bounded. Every placer starts with its part of a
//! small number of tokens for the whole fleet, so all placers together never make more retries than
//! `ratio` × first attempts + `fleet_burst`, whatever the number of placers.
//!
//! A retry is also charged to the failure domains of the attempt that failed: its host, cell and zone. A domain in
//! which every attempt fails cannot use up more than its initial tokens and those that its own first attempts have
//! earned, and it does not use up the budget of other zones. The code is pure: the time is an argument, and there is
//! no I/O.

use super::ShedState;
use crate::{CellId, HostId, Micros, ZoneId};
use std::collections::BTreeMap;

/// Settings of the retry budget.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Retries earned by each first attempt while nothing is shed.
    pub ratio: f64,
    /// Retries earned by each first attempt while load is shed.
    pub ratio_while_shedding: f64,
    /// Retries that each first attempt earns in the budgets of its host, cell and zone.
    pub domain_ratio: f64,
    /// Number of retries that the budgets of the whole fleet hold at the start, which is also the most that they can
    /// hold.
    pub fleet_burst: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            ratio: 0.5,
            ratio_while_shedding: 0.1,
            domain_ratio: 1.0,
            fleet_burst: 30.0,
        }
    }
}

/// A failure domain: one or more hosts that fail together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureDomain {
    /// A single host.
    Host(HostId),
    /// All hosts of a cell.
    Cell(CellId),
    /// All hosts of a zone.
    Zone(ZoneId),
}

impl FailureDomain {
    /// Returns the fraction of [`Settings::fleet_burst`] that a domain of this kind starts with and can save at most.
    fn burst_fraction(&self) -> f64 {
        match self {
            FailureDomain::Host(_) => 0.125,
            FailureDomain::Cell(_) => 0.25,
            FailureDomain::Zone(_) => 0.5,
        }
    }
}

/// Why a retry is not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RetryDenied {
    /// The placer's own budget is used up.
    #[error("the retry budget of this placer is used up")]
    PlacerBudget,
    /// The budget of a failure domain is used up.
    #[error("the retry budget of the host, its cell or its zone is used up")]
    DomainBudget,
}

/// The retry budget of one failure domain, and when it was last used.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    last_used: Micros,
}

/// How long a domain may be unused before it can be evicted, in microseconds. An evicted domain has a full budget
/// when it is used again.
const DOMAIN_EXPIRY: Micros = 60_000_000;
/// The largest number of domains that are tracked. Beyond it the least recently used domain is evicted.
pub const MAX_DOMAINS: usize = 4_096;

/// The retry budgets of one placer and of the failure domains that it has sent attempts to.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: Settings,
    tokens: f64,
    max_tokens: f64,
    domains: BTreeMap<FailureDomain, Bucket>,
}

impl RetryBudget {
    /// Creates the budget of one of `placer_count` placers.
    pub fn new(settings: Settings, placer_count: usize) -> RetryBudget {
        let own_burst = settings.fleet_burst / placer_count.max(1) as f64;
        RetryBudget {
            tokens: own_burst,
            // A retry costs a whole token, so the bucket must hold at least one for earned fractions to add up.
            max_tokens: own_burst.max(1.0),
            domains: BTreeMap::new(),
            settings,
        }
    }

    /// Returns the number of retries left in the placer's own budget.
    pub fn available(&self) -> f64 {
        self.tokens
    }

    /// Records a task's first attempt, sent to a host in the failure domains `domains`. Must not be called for a task
    /// whose request is a client's retry.
    pub fn record_first_attempt(
        &mut self,
        now: Micros,
        shedding: ShedState,
        domains: &[FailureDomain],
    ) {
        let earned = match shedding {
            ShedState::Shedding => self.settings.ratio_while_shedding,
            ShedState::NotShedding => self.settings.ratio,
        };
        self.tokens = (self.tokens + earned).min(self.max_tokens);
        let earned = self.settings.domain_ratio;
        for domain in domains {
            let max_tokens = self.max_domain_tokens(domain);
            let bucket = self.bucket(now, domain);
            bucket.tokens = (bucket.tokens + earned).min(max_tokens);
        }
    }

    /// Spends one retry after an attempt failed at a host in the failure domains `domains`.
    ///
    /// # Errors
    ///
    /// Returns [`RetryDenied`] and spends nothing if the budget of the placer or of a domain is used up.
    pub fn try_spend(&mut self, now: Micros, domains: &[FailureDomain]) -> Result<(), RetryDenied> {
        if self.tokens < 1.0 {
            return Err(RetryDenied::PlacerBudget);
        }
        if domains
            .iter()
            .any(|domain| self.bucket(now, domain).tokens < 1.0)
        {
            return Err(RetryDenied::DomainBudget);
        }
        self.tokens -= 1.0;
        for domain in domains {
            self.bucket(now, domain).tokens -= 1.0;
        }
        Ok(())
    }

    fn max_domain_tokens(&self, domain: &FailureDomain) -> f64 {
        (domain.burst_fraction() * self.settings.fleet_burst).max(1.0)
    }

    fn bucket(&mut self, now: Micros, domain: &FailureDomain) -> &mut Bucket {
        if !self.domains.contains_key(domain) {
            self.evict_domains(now);
        }
        let full = Bucket {
            tokens: self.max_domain_tokens(domain),
            last_used: now,
        };
        let bucket = self.domains.entry(domain.clone()).or_insert(full);
        bucket.last_used = now;
        bucket
    }

    /// Evicts expired domains, and then the least recently used ones, until there is space for another domain.
    fn evict_domains(&mut self, now: Micros) {
        if self.domains.len() < MAX_DOMAINS {
            return;
        }
        self.domains
            .retain(|_, bucket| now - bucket.last_used < DOMAIN_EXPIRY);
        while self.domains.len() >= MAX_DOMAINS {
            let least_recently_used = self
                .domains
                .iter()
                .min_by_key(|(_, bucket)| bucket.last_used)
                .map(|(domain, _)| domain.clone());
            let Some(domain) = least_recently_used else {
                return;
            };
            self.domains.remove(&domain);
        }
    }
}

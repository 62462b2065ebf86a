//! Retry budget: how many attempts beyond a task's first may be made.
//!
//! Each task that is attempted for the first time, and is not itself a client's retry, earns a fraction of a
//! retry; each retry costs a whole one. Savings are bounded. Every placer starts with its part of a small stock
//! that belongs to the fleet, so all placers together never make more retries than
//! `ratio` × first attempts + `stock`, whatever their number.
//!
//! A retry is also charged to the failure domains of the attempt that failed: its host, cell and zone. A domain
//! in which everything fails can use up no more than its own first attempts have earned, and leaves the budget
//! of other zones alone. Pure: time is an argument, and there is no I/O.

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
    /// Retries earned by each first attempt in its host, cell and zone.
    pub domain_ratio: f64,
    /// Retries that the whole fleet has at its start, and may save.
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

/// A failure domain: what fails together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureDomain {
    /// One host.
    Host(HostId),
    /// A cell.
    Cell(CellId),
    /// A zone.
    Zone(ZoneId),
}

impl FailureDomain {
    /// The part of the fleet's stock that a domain of this kind starts with and may save.
    fn stock_fraction(&self) -> f64 {
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

/// The budget of one failure domain.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    last_used: Micros,
}

/// Domains unused for so long are forgotten: their budget is full again.
const DOMAIN_EXPIRY: Micros = 60_000_000;
/// The most domains that are remembered; beyond them the least recently used is forgotten.
pub const MAX_DOMAINS: usize = 4_096;

/// The retry budget of one placer, and of the failure domains that it has used.
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
        let stock = settings.fleet_burst / placer_count.max(1) as f64;
        RetryBudget {
            tokens: stock,
            // Less than one cannot be spent, and what is earned has to be kept until it can.
            max_tokens: stock.max(1.0),
            domains: BTreeMap::new(),
            settings,
        }
    }

    /// Returns the retries that are left.
    pub fn available(&self) -> f64 {
        self.tokens
    }

    /// Records the first attempt of a task that is not a client's retry, to a host of these domains.
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

    /// Spends one retry after an attempt failed in these domains.
    ///
    /// # Errors
    ///
    /// Returns [`RetryDenied`] and spends nothing if a budget is used up.
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
        (domain.stock_fraction() * self.settings.fleet_burst).max(1.0)
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

    /// Forgets domains until another fits.
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

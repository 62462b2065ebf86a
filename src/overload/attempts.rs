//! How many attempts beyond a task's first there may be.
//!
//! A retry budget: each fresh task that is offered for the first time earns a part of an attempt, and each
//! further attempt of any task costs a whole one. What is saved is bounded. Every placer begins with its part
//! of a small stock of the fleet, so that all of them together never make more further attempts than
//! `ratio` × first ones + `stock`, whatever their number.
//!
//! A further attempt is charged where the one before failed, too: to its host, its cell and its room. One
//! that fails everybody can take no more than its own first attempts have earned, and its room's budget is
//! not the others'.

use crate::{CellId, HostId, Micros, ZoneId};
use std::collections::BTreeMap;

/// What budgets go by.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Further attempts for each first one, while all is let through.
    pub ratio: f64,
    /// The same while something is shed.
    pub pressed: f64,
    /// Further attempts for each first one in a host, a cell or a room.
    pub domain: f64,
    /// Further attempts that the whole fleet has at its beginning, and may save.
    pub stock: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            ratio: 0.5,
            pressed: 0.1,
            domain: 1.0,
            stock: 30.0,
        }
    }
}

/// What fails together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Domain {
    /// One host.
    Host(HostId),
    /// A cell.
    Cell(CellId),
    /// A room.
    Room(ZoneId),
}

impl Domain {
    /// Its kind, for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Domain::Host(_) => "host",
            Domain::Cell(_) => "cell",
            Domain::Room(_) => "room",
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    used: Micros,
}

/// Domains of which nothing was heard for so long are forgotten: they are full again.
const FORGET: Micros = 60_000_000;
/// The most domains that are remembered; beyond them the one used longest ago goes.
pub const MOST_DOMAINS: usize = 4_096;

/// The budgets of one placer.
#[derive(Debug, Clone)]
pub struct Budget {
    settings: Settings,
    tokens: f64,
    most: f64,
    domains: BTreeMap<Domain, Bucket>,
}

impl Budget {
    /// The budgets of one of so many placers.
    pub fn new(settings: Settings, placers: usize) -> Budget {
        let part = settings.stock / placers.max(1) as f64;
        // Less than one can't be spent, and what is earned has to be kept until it can.
        Budget {
            tokens: part,
            most: part.max(1.0),
            domains: BTreeMap::new(),
            settings,
        }
    }

    /// What is left.
    pub fn left(&self) -> f64 {
        self.tokens
    }

    /// A fresh task was offered for the first time, to a host of these domains.
    pub fn first(&mut self, now: Micros, pressed: bool, domains: &[Domain]) {
        let ratio = if pressed {
            self.settings.pressed
        } else {
            self.settings.ratio
        };
        self.tokens = (self.tokens + ratio).min(self.most);
        let earned = self.settings.domain;
        for domain in domains {
            let bucket = self.bucket(now, domain);
            bucket.tokens += earned;
            let most = self.most_of(domain);
            let bucket = self.bucket(now, domain);
            bucket.tokens = bucket.tokens.min(most);
        }
    }

    /// May a task be attempted again whose attempt has failed there? Charged where it may; else the answer is
    /// what has no budget left.
    pub fn again(&mut self, now: Micros, domains: &[Domain]) -> Result<(), &'static str> {
        if self.tokens < 1.0 {
            return Err("placer");
        }
        if let Some(spent) = domains
            .iter()
            .find(|domain| self.bucket(now, domain).tokens < 1.0)
        {
            return Err(spent.kind());
        }
        self.tokens -= 1.0;
        for domain in domains {
            self.bucket(now, domain).tokens -= 1.0;
        }
        Ok(())
    }

    fn most_of(&self, domain: &Domain) -> f64 {
        let part = match domain {
            Domain::Host(_) => 0.125,
            Domain::Cell(_) => 0.25,
            Domain::Room(_) => 0.5,
        };
        (part * self.settings.stock).max(1.0)
    }

    fn bucket(&mut self, now: Micros, domain: &Domain) -> &mut Bucket {
        if !self.domains.contains_key(domain) {
            self.make_room(now);
        }
        let tokens = self.most_of(domain);
        let bucket = self
            .domains
            .entry(domain.clone())
            .or_insert(Bucket { tokens, used: now });
        bucket.used = now;
        bucket
    }

    fn make_room(&mut self, now: Micros) {
        if self.domains.len() < MOST_DOMAINS {
            return;
        }
        self.domains.retain(|_, bucket| now - bucket.used < FORGET);
        while self.domains.len() >= MOST_DOMAINS {
            let Some(oldest) = self
                .domains
                .iter()
                .min_by_key(|(_, b)| b.used)
                .map(|(d, _)| d.clone())
            else {
                return;
            };
            self.domains.remove(&oldest);
        }
    }
}

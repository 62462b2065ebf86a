//! The processes of one placer that live at the same time, as in an upgrade. The rules see a single placer, so
//! what counts over a span is shared out: offers to cold hosts, whose sum over all placers is bounded.
//!
//! The process that was there first is number 0, one that finds it there is number 1. When the other has ended,
//! what it offered still counts for as long as the rule looks back, so the share is whole again only after that.

use crate::Micros;

/// A process's part of what the placer may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Processes that count.
    pub of: u32,
    /// The number of this one among them.
    pub me: u32,
}

impl Share {
    /// All of it.
    pub const WHOLE: Share = Share { of: 1, me: 0 };
}

/// Who else is there.
#[derive(Debug, Clone)]
pub struct Company {
    /// How long what a process has offered counts.
    span: Micros,
    /// Others that live.
    others: u32,
    /// The share in force, and when it may grow again.
    share: Share,
    grows_at: Micros,
}

impl Company {
    /// Nobody yet; what is offered counts for so long.
    pub fn new(span: Micros) -> Company {
        Company {
            span: span.max(0),
            others: 0,
            share: Share::WHOLE,
            grows_at: 0,
        }
    }

    /// Others that live.
    pub fn others(&self) -> u32 {
        self.others
    }

    /// Another process is there, which was there `first` or came later. Answers the share from now on.
    pub fn met(&mut self, first: bool) -> Share {
        self.others = self.others.saturating_add(1);
        let of = self.share.of.max(self.others.saturating_add(1));
        self.share = Share {
            of,
            me: if first { 1 } else { self.share.me.min(of - 1) },
        };
        self.share
    }

    /// One of them has ended.
    pub fn left(&mut self, now: Micros) {
        self.others = self.others.saturating_sub(1);
        self.grows_at = now.saturating_add(self.span);
    }

    /// Time has passed: the share, where it has changed.
    pub fn look(&mut self, now: Micros) -> Option<Share> {
        let of = self.others.saturating_add(1);
        if of >= self.share.of || now < self.grows_at {
            return None;
        }
        self.share = if of == 1 {
            Share::WHOLE
        } else {
            Share {
                of,
                me: self.share.me.min(of - 1),
            }
        };
        Some(self.share)
    }
}

#[cfg(test)]
mod tests;

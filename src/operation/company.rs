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
        Company { span: span.max(0), others: 0, share: Share::WHOLE, grows_at: 0 }
    }

    /// Others that live.
    pub fn others(&self) -> u32 {
        self.others
    }

    /// Another process is there, which was there `first` or came later. Answers the share from now on.
    pub fn met(&mut self, first: bool) -> Share {
        self.others = self.others.saturating_add(1);
        let of = self.share.of.max(self.others.saturating_add(1));
        self.share = Share { of, me: if first { 1 } else { self.share.me.min(of - 1) } };
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
        self.share = if of == 1 { Share::WHOLE } else { Share { of, me: self.share.me.min(of - 1) } };
        Some(self.share)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_upgrade_shares_out_at_once_and_is_whole_again_once_nothing_of_the_other_counts() {
        let (mut old, mut new) = (Company::new(1_000), Company::new(1_000));
        assert_eq!((new.met(true), old.met(false)), (Share { of: 2, me: 1 }, Share { of: 2, me: 0 }));
        assert_eq!((old.look(500), new.look(500)), (None, None));
        new.left(600);
        assert_eq!((new.others(), new.look(1_599)), (0, None), "what the old one offered still counts");
        assert_eq!((new.look(1_600), new.look(1_601)), (Some(Share::WHOLE), None), "told once");
        // The next upgrade: this one is the first now, also where it comes before the share has grown.
        assert_eq!(new.met(false), Share { of: 2, me: 0 });
        new.left(2_000);
        assert_eq!(new.met(false), Share { of: 2, me: 0 });
        assert_eq!(new.look(9_000), None, "one is there");
    }

    #[test]
    fn numbers_are_always_among_those_that_count() {
        let mut company = Company::new(10);
        for n in 0..40_i64 {
            match n % 5 {
                0 | 3 => drop(company.met(n % 2 == 0)),
                1 | 4 => company.left(n * 7),
                _ => drop(company.look(n * 7)),
            }
            let Share { of, me } = company.share;
            assert!(me < of && of > company.others(), "{company:?}");
        }
    }
}

//! What a fleet of placers does to its hosts, counted over all placers together from the log of a run.
//!
//! What is sensible in one placer shows its harm only in the sum: offers that hosts refuse or throw away,
//! clients that come again, calls, and trials at a host that is in trouble. Growth of these with the number of
//! placers, at the same load, is what a fleet does wrong.

use crate::plan::{FaultKind, Plan};
use crate::shape::Micros;
use emulator::event_log::{Event as LogEvent, HostReport};
use std::collections::{BTreeMap, HashMap, HashSet};

const SECOND: Micros = 1_000_000;

/// One second of a run, over all placers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Second {
    /// Offers that came to hosts.
    pub offers: u32,
    /// Of these, refused by the host.
    pub refused: u32,
    /// Of these, given up or cut off before they ran.
    pub in_vain: u32,
    /// Set-ups of tasks that had been set up before.
    pub returns: u32,
    /// Connections that came up at hosts.
    pub calls: u32,
    /// Starts of what was offered in it, and the time that these took at hosts and, before, at placers, in
    /// milliseconds, summed up.
    pub starts: u32,
    /// At hosts.
    pub line_ms: u32,
    /// At placers.
    pub held_ms: u32,
    /// Offers of tasks whose clients had asked before.
    pub repeated: u32,
}

/// The harm of a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Harm {
    /// Tasks that were set up at all.
    pub tasks: u64,
    /// Second by second, from the beginning of the plan.
    pub seconds: Vec<Second>,
    /// Offers by place of a host and second.
    pub at: Vec<Vec<u32>>,
    /// Connections that came up, likewise.
    pub called: Vec<Vec<u32>>,
    /// The most offers that came within a second to one host while it was in trouble by the plan.
    pub most_trials: u32,
    /// Offers to hosts in trouble, altogether.
    pub trials: u64,
}

impl Harm {
    /// Offers for each task.
    pub fn offers_a_task(&self) -> f64 {
        self.sum(|s| s.offers) as f64 / self.tasks.max(1) as f64
    }

    /// A figure over the whole run.
    pub fn sum(&self, of: fn(&Second) -> u32) -> u64 {
        self.seconds
            .iter()
            .map(|second| u64::from(of(second)))
            .sum()
    }

    /// The most of a figure within a second.
    pub fn most(&self, of: fn(&Second) -> u32) -> u32 {
        self.seconds.iter().map(of).max().unwrap_or(0)
    }

    /// How uneven a figure is over the seconds that have any: the largest over the mean.
    pub fn unevenness(&self, of: fn(&Second) -> u32) -> f64 {
        let values: Vec<u32> = self.seconds.iter().map(of).filter(|v| *v > 0).collect();
        let mean = values.iter().sum::<u32>() as f64 / values.len().max(1) as f64;
        if mean > 0.0 {
            f64::from(values.iter().copied().max().unwrap_or(0)) / mean
        } else {
            0.0
        }
    }

    /// As text for a terminal.
    pub fn text(&self) -> String {
        format!(
            "harm: {:.2} offers a task, {} refused, {} in vain; {} returns, at most {} a second; {} calls; \
             {} offers to hosts in trouble, at most {} a second at one\n",
            self.offers_a_task(),
            self.sum(|s| s.refused),
            self.sum(|s| s.in_vain),
            self.sum(|s| s.returns),
            self.most(|s| s.returns),
            self.sum(|s| s.calls),
            self.trials,
            self.most_trials
        )
    }

    /// Second by second, with the offers to each place of a host. What was due in a second, started, and
    /// started in its aim stands beside what was done in it.
    pub fn table(&self, due: &[crate::results::Second]) -> String {
        let mut text = format!(
            "{:>6}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}   offers by host\n",
            "second",
            "due",
            "started",
            "in aim",
            "p50 ms",
            "offers",
            "repeats",
            "held ms",
            "line ms",
            "refused",
            "in vain",
            "returns",
            "calls"
        );
        for (n, second) in self.seconds.iter().enumerate() {
            let Second {
                offers,
                refused,
                in_vain,
                returns,
                calls,
                starts,
                line_ms,
                held_ms,
                repeated,
            } = second;
            let mean = |sum: &u32| f64::from(*sum) / f64::from((*starts).max(1));
            let of = due.get(n).copied().unwrap_or_default();
            text.push_str(&format!(
                "{n:>6}{:>8}{:>8}{:>8}{:>8.0}",
                of.due, of.started, of.in_aim, of.p50_ms
            ));
            text.push_str(&format!(
                "{offers:>8}{repeated:>8}{:>8.0}{:>8.0}",
                mean(held_ms),
                mean(line_ms)
            ));
            text.push_str(&format!("{refused:>8}{in_vain:>8}{returns:>8}{calls:>8}  "));
            for line in &self.at {
                text.push_str(&format!("{:>5}", line.get(n).copied().unwrap_or(0)));
            }
            text.push('\n');
        }
        text
    }

    /// Counts the harm of a run that began then; `place` is the place of a host's process.
    pub fn of(
        plan: &Plan,
        log: &[(Micros, LogEvent)],
        begun: Micros,
        ended: Micros,
        place: impl Fn(usize) -> Option<usize>,
    ) -> Harm {
        let length = ((ended - begun).max(0) / SECOND) as usize + 1;
        let mut harm = Harm {
            seconds: vec![Second::default(); length],
            at: vec![vec![0; length]; plan.hosts.count],
            called: vec![vec![0; length]; plan.hosts.count],
            ..Harm::default()
        };
        let mut tasks: HashSet<u64> = HashSet::new();
        // Offers by id and host that have not come to anything yet; when and whether again each id was set up.
        let mut open: HashMap<(u64, usize), Micros> = HashMap::new();
        let mut set_up: HashMap<u64, (Micros, bool)> = HashMap::new();
        let mut troubled: BTreeMap<(usize, usize), u32> = BTreeMap::new();
        for (at, note) in log.iter().filter(|(at, _)| *at >= begun) {
            let second = ((at - begun) / SECOND) as usize;
            let Some(sums) = harm.seconds.get_mut(second) else {
                continue;
            };
            match note {
                LogEvent::TaskRequested {
                    id,
                    key,
                    running_at: None,
                    ..
                } => {
                    let again = !tasks.insert(*key);
                    sums.returns += u32::from(again);
                    set_up.insert(*id, (*at, again));
                }
                LogEvent::OfferReceived { id, host, .. } => {
                    sums.offers += 1;
                    open.insert((*id, *host), *at);
                    sums.repeated += u32::from(set_up.get(id).is_some_and(|(_, again)| *again));
                    let Some(place) = place(*host) else { continue };
                    if let Some(count) =
                        harm.at.get_mut(place).and_then(|line| line.get_mut(second))
                    {
                        *count += 1;
                    }
                    if in_trouble(plan, place, at - begun) {
                        harm.trials += 1;
                        *troubled.entry((place, second)).or_default() += 1;
                    }
                }
                LogEvent::HostReported {
                    id,
                    host,
                    report: HostReport::Running(_),
                } => {
                    let Some(offered) = open.remove(&(*id, *host)) else {
                        continue;
                    };
                    let sent = set_up.get(id).map_or(offered, |(sent, _)| *sent);
                    let of = ((offered - begun) / SECOND) as usize;
                    if let Some(sums) = harm.seconds.get_mut(of) {
                        let ms = |span: Micros| u32::try_from(span / 1_000).unwrap_or(0);
                        sums.starts += 1;
                        sums.line_ms += ms(at - offered);
                        sums.held_ms += ms(offered - sent);
                    }
                }
                LogEvent::HostReported {
                    id,
                    host,
                    report: HostReport::Ended(_) | HostReport::EndedUndelivered(_),
                } => {
                    sums.refused += u32::from(open.remove(&(*id, *host)).is_some());
                }
                LogEvent::AttemptStopped { id, host }
                | LogEvent::OfferConnectionClosed { id, host }
                | LogEvent::HostReported {
                    id,
                    host,
                    report: HostReport::ConnectionReset,
                } => {
                    sums.in_vain += u32::from(open.remove(&(*id, *host)).is_some());
                }
                LogEvent::HostConnected { host } => {
                    sums.calls += 1;
                    let place = place(*host);
                    let line = place.and_then(|place| harm.called.get_mut(place));
                    if let Some(count) = line.and_then(|line| line.get_mut(second)) {
                        *count += 1;
                    }
                }
                _ => {}
            }
        }
        harm.tasks = tasks.len() as u64;
        harm.most_trials = troubled.values().copied().max().unwrap_or(0);
        harm
    }
}

/// Whether a place is in trouble by the plan: silent, refusing, resetting or spoiling, so that an offer there
/// is a trial.
fn in_trouble(plan: &Plan, place: usize, at: Micros) -> bool {
    use FaultKind::*;
    plan.faults.iter().any(|fault| {
        let from = Micros::try_from(fault.at.as_micros()).unwrap_or(Micros::MAX);
        let until = from.saturating_add(Micros::try_from(fault.length.as_micros()).unwrap_or(0));
        let kind = matches!(
            fault.kind,
            HostSilent | HostRefuse | HostResetBefore | HostResetAfter | HostSpoilt
        );
        kind && fault.targets().contains(&place) && (from..until).contains(&at)
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn offers_refusals_returns_and_trials_are_counted_over_all_placers() {
        let plan = Plan::parse(
            "[hosts]\ncount = 2\n[[fault]]\nat = \"1s\"\nlength = \"1s\"\nkind = \"host-silent\"\nwhich = 1\n",
        )
        .expect("a plan");
        let sent = |id, key| LogEvent::TaskRequested {
            id,
            key,
            class: 0,
            service: 1,
            placer: id as usize % 2,
            wait: SECOND,
            description: 0,
            running_at: None,
        };
        let offered = |id, host| LogEvent::OfferReceived {
            id,
            host,
            description: 0,
        };
        let reported = |id, host, report| LogEvent::HostReported { id, host, report };
        let begun = 5 * SECOND;
        let log: Vec<(Micros, LogEvent)> = [
            (-100, sent(9, 9)),
            (0, LogEvent::HostConnected { host: 0 }),
            (10, sent(1, 1)),
            (20, offered(1, 0)),
            (30, reported(1, 0, HostReport::Ended(34))),
            (40, offered(1, 1)),
            (50, reported(1, 1, HostReport::Running(0))),
            // The end of a task that ran is no refusal.
            (900, reported(1, 1, HostReport::Ended(16))),
            (1_100, sent(2, 2)),
            (1_200, offered(2, 1)),
            (1_700, LogEvent::AttemptStopped { id: 2, host: 1 }),
            (1_800, sent(3, 2)),
            (1_900, offered(3, 1)),
            (1_950, LogEvent::OfferConnectionClosed { id: 3, host: 1 }),
        ]
        .map(|(at, note)| (begun + at * 1_000, note))
        .to_vec();
        let harm = Harm::of(&plan, &log, begun, begun + 3 * SECOND, Some);
        let zero = Second::default();
        let expected = [
            Second {
                offers: 2,
                refused: 1,
                calls: 1,
                starts: 1,
                line_ms: 10,
                held_ms: 30,
                ..zero
            },
            Second {
                offers: 2,
                in_vain: 2,
                returns: 1,
                repeated: 1,
                ..zero
            },
            zero,
            zero,
        ];
        assert_eq!(harm.seconds, expected);
        assert_eq!((harm.tasks, harm.trials, harm.most_trials), (2, 2, 2));
        assert_eq!(harm.at, [[1, 0, 0, 0], [1, 2, 0, 0]]);
        assert!((harm.offers_a_task() - 2.0).abs() < 1e-9);
        assert!((harm.unevenness(|s| s.offers) - 1.0).abs() < 1e-9);
    }
}

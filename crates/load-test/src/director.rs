//! The time line of a plan: which placer, host or feed has what happen to it, and when. The line is pure; the
//! director carries it out on a thread of its own, so that starting a process does not make the generator
//! late.

use crate::network::Network;
use crate::plan::{FaultKind, Plan};
use crate::shape::Micros;
use emulator::cluster::{FeedFault, HostFault, Order, Site};
use emulator::event_log::Notes;
use emulator::supervisor::Keeper;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// What is done at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Act {
    /// An order to the installation.
    Site(Order),
    /// A placer is killed.
    Kill(usize),
    /// It is stopped.
    Pause(usize),
    /// It goes on.
    Resume(usize),
    /// It is told to end.
    Terminate(usize),
    /// It is started, as soon as its place is free.
    Launch(usize),
    /// Its feed moves, and it is told.
    MoveFeed(usize),
    /// A fault of links begins or ends, by its number in the plan.
    Link(usize, bool),
}

/// The acts of a plan, in the order of their times.
pub fn line(plan: &Plan) -> Vec<(Micros, Act)> {
    let mut acts = Vec::new();
    for (number, fault) in plan.faults.iter().enumerate() {
        let length = micros(fault.length);
        for (place, target) in fault.targets().into_iter().enumerate() {
            for time in 0..fault.times {
                let late =
                    place as Micros * micros(fault.stagger) + 2 * Micros::from(time) * length;
                let start = micros(fault.at) + late;
                for (begins, ends) in both(fault.kind, target, number, plan) {
                    acts.push((start, begins));
                    if let Some(ends) = ends.filter(|_| length > 0) {
                        acts.push((start + length, ends));
                    }
                }
            }
        }
    }
    acts.sort_by_key(|(at, _)| *at);
    acts
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}

/// What a fault begins with, and what ends it.
fn both(kind: FaultKind, n: usize, number: usize, plan: &Plan) -> Vec<(Act, Option<Act>)> {
    let host = |kind| {
        let (set, clear) = (Order::Host(n, kind), Order::Host(n, HostFault::None));
        vec![(Act::Site(set), Some(Act::Site(clear)))]
    };
    let feed = |kind| {
        let (set, clear) = (Order::Feed(n, kind), Order::Feed(n, FeedFault::None));
        vec![(Act::Site(set), Some(Act::Site(clear)))]
    };
    match kind {
        FaultKind::PlacerKill => vec![(Act::Kill(n), Some(Act::Launch(n)))],
        FaultKind::PlacerStop => vec![(Act::Pause(n), Some(Act::Resume(n)))],
        FaultKind::PlacerRestart => vec![(Act::Terminate(n), Some(Act::Launch(n)))],
        FaultKind::HostDie => vec![(Act::Site(Order::Die(n)), Some(Act::Site(Order::Rise(n))))],
        FaultKind::RackDie => {
            let rack = plan.hosts.rack.max(1);
            let hosts = (n * rack..(n + 1) * rack).filter(|host| *host < plan.hosts.count);
            hosts
                .map(|host| {
                    (
                        Act::Site(Order::Die(host)),
                        Some(Act::Site(Order::Rise(host))),
                    )
                })
                .collect()
        }
        FaultKind::HostSilent => host(HostFault::Silent),
        FaultKind::HostRefuse => host(HostFault::Refuse),
        FaultKind::HostResetBefore => host(HostFault::ResetBefore),
        FaultKind::HostResetAfter => host(HostFault::ResetAfter),
        FaultKind::HostSpoilt => host(HostFault::Spoilt),
        FaultKind::HostSlow => host(HostFault::Slow),
        FaultKind::HostDrain => {
            vec![(
                Act::Site(Order::Drain(n, true)),
                Some(Act::Site(Order::Drain(n, false))),
            )]
        }
        FaultKind::FeedCut => feed(FeedFault::Cut),
        FaultKind::FeedSilent => feed(FeedFault::Silent),
        FaultKind::FeedDoubled => feed(FeedFault::Doubled),
        FaultKind::FeedMoved => vec![(Act::MoveFeed(n), None)],
        FaultKind::LinkCut
        | FaultKind::LinkCutTo
        | FaultKind::LinkCutFrom
        | FaultKind::LinkStall
        | FaultKind::LinkSlow
        | FaultKind::LinkReset
        | FaultKind::LinkBlackHole => {
            vec![(Act::Link(number, true), Some(Act::Link(number, false)))]
        }
    }
}

/// How often placers are looked at.
const LOOK: Duration = Duration::from_millis(50);

/// How long placers may take to end at the end of a run.
const FINISH: Duration = Duration::from_secs(10);

/// Carries the acts out until told to stop, ends the placers, and gives their keeper back. The thread that
/// has started a placer must outlive it: the system ends a guarded process with that thread.
pub fn direct(
    acts: Vec<(Micros, Act)>,
    begun: Micros,
    mut keeper: Keeper,
    site: Arc<Site>,
    network: Option<Network>,
    notes: Notes,
    stop: Arc<AtomicBool>,
) -> std::thread::JoinHandle<Keeper> {
    std::thread::spawn(move || {
        let mut acts = acts.into_iter().peekable();
        // Placers that are to be started once their place is free.
        let mut waiting: Vec<usize> = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            keeper.look();
            waiting.retain(|n| {
                if keeper.runs(*n) {
                    return true;
                }
                // A placer that can't be started is missed by the audit and the report.
                let _ = keeper.launch(*n, &site);
                false
            });
            while let Some((_, act)) = acts.next_if(|(at, _)| begun + at <= notes.now()) {
                match act {
                    Act::Site(order) => site.order(order),
                    Act::Kill(n) => keeper.kill(n),
                    Act::Pause(n) => keeper.pause(n),
                    Act::Resume(n) => keeper.resume(n),
                    Act::Terminate(n) => keeper.terminate(n),
                    Act::Launch(n) => waiting.push(n),
                    Act::Link(n, begins) => {
                        network.iter().for_each(|network| network.strike(n, begins))
                    }
                    Act::MoveFeed(n) => {
                        let before = site.feed(n);
                        site.order(Order::MoveFeed(n));
                        for _ in 0..100 {
                            if site.feed(n) != before {
                                break;
                            }
                            std::thread::sleep(Duration::from_millis(1));
                        }
                        let _ = keeper.reload(n, &site);
                    }
                }
            }
            let next = acts.peek().map_or(LOOK, |(at, _)| {
                Duration::from_micros(u64::try_from(begun + at - notes.now()).unwrap_or(0))
                    .min(LOOK)
            });
            std::thread::sleep(next);
        }
        keeper.finish(FINISH);
        keeper
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn faults_become_acts_in_the_order_of_their_times() {
        let text = "[hosts]\ncount = 5\nrack = 2\n\
                    [[fault]]\nat = \"3s\"\nlength = \"2s\"\nkind = \"rack-die\"\nwhich = 2\n\
                    [[fault]]\nat = \"1s\"\nlength = \"3s\"\nkind = \"placer-stop\"\nwhich = 1\n\
                    [[fault]]\nat = \"2s\"\nkind = \"placer-kill\"\n\
                    [[fault]]\nat = \"2s\"\nlength = \"9s\"\nkind = \"feed-moved\"\n";
        let plan = Plan::parse(text).expect("a plan");
        let acts: Vec<(Micros, Act)> = line(&plan)
            .into_iter()
            .map(|(at, act)| (at / 1_000, act))
            .collect();
        let expected = [
            (1_000, Act::Pause(1)),
            (2_000, Act::Kill(0)),
            (2_000, Act::MoveFeed(0)),
            (3_000, Act::Site(Order::Die(4))),
            (4_000, Act::Resume(1)),
            (5_000, Act::Site(Order::Rise(4))),
        ];
        assert_eq!(acts, expected, "the last rack has one host");
    }
}

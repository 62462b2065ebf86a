//! The time line of a plan: which placer, host or feed has what happen to it, and when. The line is pure; the
//! director carries it out on a thread of its own, so that starting a process does not make the generator
//! late.

use crate::network::Network;
use crate::plan::{FaultKind, Plan};
use crate::shape::Micros;
use emulator::cluster::{Cluster, ClusterCommand, FeedFault, HostFault};
use emulator::event_log::EventLog;
use emulator::supervisor::Supervisor;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// What is done at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Act {
    /// An order to the installation.
    Cluster(ClusterCommand),
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
        let (set, clear) = (
            ClusterCommand::SetHostFault(n, kind),
            ClusterCommand::SetHostFault(n, HostFault::None),
        );
        vec![(Act::Cluster(set), Some(Act::Cluster(clear)))]
    };
    let feed = |kind| {
        let (set, clear) = (
            ClusterCommand::SetFeedFault(n, kind),
            ClusterCommand::SetFeedFault(n, FeedFault::None),
        );
        vec![(Act::Cluster(set), Some(Act::Cluster(clear)))]
    };
    match kind {
        FaultKind::PlacerKill => vec![(Act::Kill(n), Some(Act::Launch(n)))],
        FaultKind::PlacerStop => vec![(Act::Pause(n), Some(Act::Resume(n)))],
        FaultKind::PlacerRestart => vec![(Act::Terminate(n), Some(Act::Launch(n)))],
        FaultKind::HostDie => vec![(
            Act::Cluster(ClusterCommand::KillHost(n)),
            Some(Act::Cluster(ClusterCommand::StartHost(n))),
        )],
        FaultKind::RackDie => {
            let rack = plan.hosts.rack.max(1);
            let hosts = (n * rack..(n + 1) * rack).filter(|host| *host < plan.hosts.count);
            hosts
                .map(|host| {
                    (
                        Act::Cluster(ClusterCommand::KillHost(host)),
                        Some(Act::Cluster(ClusterCommand::StartHost(host))),
                    )
                })
                .collect()
        }
        FaultKind::HostSilent => host(HostFault::Silent),
        FaultKind::HostRefuse => host(HostFault::Reject),
        FaultKind::HostResetBefore => host(HostFault::ResetBeforeRead),
        FaultKind::HostResetAfter => host(HostFault::ResetAfterRead),
        FaultKind::HostSpoilt => host(HostFault::MalformedReports),
        FaultKind::HostSlow => host(HostFault::Slow),
        FaultKind::HostDrain => {
            vec![(
                Act::Cluster(ClusterCommand::StartDraining(n)),
                Some(Act::Cluster(ClusterCommand::StopDraining(n))),
            )]
        }
        FaultKind::FeedCut => feed(FeedFault::Disconnected),
        FaultKind::FeedSilent => feed(FeedFault::Silent),
        FaultKind::FeedDoubled => feed(FeedFault::Duplicated),
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

/// Carries the acts out until told to stop, ends the placers, and gives their supervisor back. The thread that
/// has started a placer must outlive it: the system ends a guarded process with that thread.
pub fn direct(
    acts: Vec<(Micros, Act)>,
    begun: Micros,
    mut supervisor: Supervisor,
    cluster: Arc<Cluster>,
    network: Option<Network>,
    log: EventLog,
    stop: Arc<AtomicBool>,
) -> std::thread::JoinHandle<Supervisor> {
    std::thread::spawn(move || {
        let mut acts = acts.into_iter().peekable();
        // Placers that are to be started once their place is free.
        let mut waiting: Vec<usize> = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            supervisor.poll();
            waiting.retain(|n| {
                if supervisor.is_running(*n) {
                    return true;
                }
                // A placer that can't be started is missed by the audit and the report.
                let _ = supervisor.launch(*n, &cluster);
                false
            });
            while let Some((_, act)) = acts.next_if(|(at, _)| begun + at <= log.now()) {
                match act {
                    Act::Cluster(order) => cluster.command(order),
                    Act::Kill(n) => supervisor.kill(n),
                    Act::Pause(n) => supervisor.pause(n),
                    Act::Resume(n) => supervisor.resume(n),
                    Act::Terminate(n) => supervisor.terminate(n),
                    Act::Launch(n) => waiting.push(n),
                    Act::Link(n, begins) => {
                        network.iter().for_each(|network| network.strike(n, begins))
                    }
                    Act::MoveFeed(n) => {
                        let before = cluster.feed_address(n);
                        cluster.command(ClusterCommand::MoveFeed(n));
                        for _ in 0..100 {
                            if cluster.feed_address(n) != before {
                                break;
                            }
                            std::thread::sleep(Duration::from_millis(1));
                        }
                        let _ = supervisor.reload(n, &cluster);
                    }
                }
            }
            let next = acts.peek().map_or(LOOK, |(at, _)| {
                Duration::from_micros(u64::try_from(begun + at - log.now()).unwrap_or(0)).min(LOOK)
            });
            std::thread::sleep(next);
        }
        supervisor.finish(FINISH);
        supervisor
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
            (3_000, Act::Cluster(ClusterCommand::KillHost(4))),
            (4_000, Act::Resume(1)),
            (5_000, Act::Cluster(ClusterCommand::StartHost(4))),
        ];
        assert_eq!(acts, expected, "the last rack has one host");
    }
}

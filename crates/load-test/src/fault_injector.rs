//! Injects the faults of a plan. The schedule is pure; it is carried out on a thread of its own, so that starting a
//! process does not make the generator late.

use crate::fault_proxies::{FaultEdge, FaultNetwork};
use crate::load_profile::Micros;
use crate::plan::{Fault, FaultKind, Plan};
use emulator::cluster::{Cluster, ClusterCommand, FeedFault, HostFault};
use emulator::event_log::EventLog;
use emulator::supervisor::Supervisor;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// How often the placers are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long placers may take to shut down at the end of a run.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
/// How often, and how many times, the move of a feed is waited for.
const FEED_MOVE_POLL_INTERVAL: Duration = Duration::from_millis(1);
const FEED_MOVE_POLLS: usize = 100;

/// What is done at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Sends a command to the cluster.
    Cluster(ClusterCommand),
    /// Kills a placer.
    Kill(usize),
    /// Stops a placer by a signal.
    Pause(usize),
    /// Continues it.
    Resume(usize),
    /// Requests the shutdown of a placer.
    Terminate(usize),
    /// Launches a placer, as soon as its slot is free.
    Launch(usize),
    /// Moves the feed of a placer, and notifies the placer.
    MoveFeed(usize),
    /// Begins or ends a fault of links, by its number in the plan.
    Links(usize, FaultEdge),
}

/// The actions with which a fault begins and ends.
struct FaultActions {
    begin: Action,
    end: Option<Action>,
}

impl FaultActions {
    fn new(begin: Action, end: Action) -> FaultActions {
        FaultActions {
            begin,
            end: Some(end),
        }
    }

    fn cluster(begin: ClusterCommand, end: ClusterCommand) -> FaultActions {
        FaultActions::new(Action::Cluster(begin), Action::Cluster(end))
    }

    fn host(slot: usize, fault: HostFault) -> FaultActions {
        FaultActions::cluster(
            ClusterCommand::SetHostFault(slot, fault),
            ClusterCommand::SetHostFault(slot, HostFault::None),
        )
    }

    fn host_restart(slot: usize) -> FaultActions {
        FaultActions::cluster(
            ClusterCommand::KillHost(slot),
            ClusterCommand::StartHost(slot),
        )
    }

    fn feed(placer: usize, fault: FeedFault) -> FaultActions {
        FaultActions::cluster(
            ClusterCommand::SetFeedFault(placer, fault),
            ClusterCommand::SetFeedFault(placer, FeedFault::None),
        )
    }
}

/// Returns the actions of a plan, in the order of their times.
pub fn schedule(plan: &Plan) -> Vec<(Micros, Action)> {
    let mut actions = Vec::new();
    for (number, fault) in plan.faults.iter().enumerate() {
        let duration = micros(fault.duration);
        for (position, target) in fault.targets().into_iter().enumerate() {
            for occurrence in 0..fault.occurrences {
                let stagger = position as Micros * micros(fault.stagger);
                let start = micros(fault.start) + stagger + 2 * Micros::from(occurrence) * duration;
                for FaultActions { begin, end } in fault_actions(fault, target, number, plan) {
                    actions.push((start, begin));
                    if let Some(end) = end.filter(|_| duration > 0) {
                        actions.push((start + duration, end));
                    }
                }
            }
        }
    }
    actions.sort_by_key(|(at, _)| *at);
    actions
}

fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// The actions of a fault at one of its targets.
fn fault_actions(fault: &Fault, target: usize, number: usize, plan: &Plan) -> Vec<FaultActions> {
    let actions = match fault.kind {
        FaultKind::PlacerKill => FaultActions::new(Action::Kill(target), Action::Launch(target)),
        FaultKind::PlacerStop => FaultActions::new(Action::Pause(target), Action::Resume(target)),
        FaultKind::PlacerRestart => {
            FaultActions::new(Action::Terminate(target), Action::Launch(target))
        }
        FaultKind::HostDie => FaultActions::host_restart(target),
        FaultKind::RackDie => {
            let size = plan.hosts.rack_size.max(1);
            let slots =
                (target * size..(target + 1) * size).filter(|slot| *slot < plan.hosts.count);
            return slots.map(FaultActions::host_restart).collect();
        }
        FaultKind::HostSilent => FaultActions::host(target, HostFault::Silent),
        FaultKind::HostRefuse => FaultActions::host(target, HostFault::Reject),
        FaultKind::HostResetBefore => FaultActions::host(target, HostFault::ResetBeforeRead),
        FaultKind::HostResetAfter => FaultActions::host(target, HostFault::ResetAfterRead),
        FaultKind::HostSpoilt => FaultActions::host(target, HostFault::MalformedReports),
        FaultKind::HostSlow => FaultActions::host(target, HostFault::Slow),
        FaultKind::HostDrain => FaultActions::cluster(
            ClusterCommand::StartDraining(target),
            ClusterCommand::StopDraining(target),
        ),
        FaultKind::FeedCut => FaultActions::feed(target, FeedFault::Disconnected),
        FaultKind::FeedSilent => FaultActions::feed(target, FeedFault::Silent),
        FaultKind::FeedDoubled => FaultActions::feed(target, FeedFault::Duplicated),
        FaultKind::FeedMoved => FaultActions {
            begin: Action::MoveFeed(target),
            end: None,
        },
        FaultKind::LinkCut
        | FaultKind::LinkCutTo
        | FaultKind::LinkCutFrom
        | FaultKind::LinkStall
        | FaultKind::LinkSlow
        | FaultKind::LinkReset
        | FaultKind::LinkBlackHole => FaultActions::new(
            Action::Links(number, FaultEdge::Begin),
            Action::Links(number, FaultEdge::End),
        ),
    };
    vec![actions]
}

/// Everything that faults are injected into.
pub struct FaultInjector {
    /// The placers.
    pub supervisor: Supervisor,
    /// Hosts and feeds.
    pub cluster: Arc<Cluster>,
    /// The proxies, if the plan has faults of links.
    pub network: Option<FaultNetwork>,
    /// The clock of the run.
    pub log: EventLog,
}

impl FaultInjector {
    /// Carries a schedule out on a thread until `stop`, then shuts the placers down and returns their supervisor.
    ///
    /// That thread must outlive the placers that it has launched: the kernel kills a guarded process with the
    /// thread that started it.
    pub fn start(
        mut self,
        schedule: Vec<(Micros, Action)>,
        begin: Micros,
        stop: Arc<AtomicBool>,
    ) -> JoinHandle<Supervisor> {
        std::thread::spawn(move || {
            self.run(schedule, begin, &stop);
            self.supervisor.finish(SHUTDOWN_TIMEOUT);
            self.supervisor
        })
    }

    fn run(&mut self, schedule: Vec<(Micros, Action)>, begin: Micros, stop: &AtomicBool) {
        let mut schedule = schedule.into_iter().peekable();
        // Placers to launch once their slot is free.
        let mut to_launch: Vec<usize> = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            self.supervisor.poll();
            to_launch.retain(|placer| {
                if self.supervisor.is_running(*placer) {
                    return true;
                }
                // A placer that can't be launched shows in the findings and the report.
                let _ = self.supervisor.launch(*placer, &self.cluster);
                false
            });
            while let Some((_, action)) = schedule.next_if(|(at, _)| begin + at <= self.log.now()) {
                self.act(action, &mut to_launch);
            }
            let pause = schedule.peek().map_or(POLL_INTERVAL, |(at, _)| {
                Duration::from_micros(u64::try_from(begin + at - self.log.now()).unwrap_or(0))
                    .min(POLL_INTERVAL)
            });
            std::thread::sleep(pause);
        }
    }

    fn act(&mut self, action: Action, to_launch: &mut Vec<usize>) {
        match action {
            Action::Cluster(command) => self.cluster.command(command),
            Action::Kill(placer) => self.supervisor.kill(placer),
            Action::Pause(placer) => self.supervisor.pause(placer),
            Action::Resume(placer) => self.supervisor.resume(placer),
            Action::Terminate(placer) => self.supervisor.terminate(placer),
            Action::Launch(placer) => to_launch.push(placer),
            Action::Links(number, edge) => {
                if let Some(network) = &self.network {
                    network.apply(number, edge);
                }
            }
            Action::MoveFeed(placer) => self.move_feed(placer),
        }
    }

    fn move_feed(&mut self, placer: usize) {
        let before = self.cluster.feed_address(placer);
        self.cluster.command(ClusterCommand::MoveFeed(placer));
        for _ in 0..FEED_MOVE_POLLS {
            if self.cluster.feed_address(placer) != before {
                break;
            }
            std::thread::sleep(FEED_MOVE_POLL_INTERVAL);
        }
        let _ = self.supervisor.reload(placer, &self.cluster);
    }
}

#[cfg(test)]
mod tests;

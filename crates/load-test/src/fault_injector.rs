//! Injects the faults of a plan. The schedule is computed from the plan in advance and carried out on a separate thread,
//! so that starting a process does not delay the generator.

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

/// Maximum interval between two polls of the placers.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long placers may take to shut down at the end of a run.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the injector checks whether a feed has moved.
const FEED_MOVE_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum number of checks whether a feed has moved.
const FEED_MOVE_POLLS: usize = 100;

/// An action of the fault injector.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Sends a command to the cluster.
    Cluster(ClusterCommand),
    /// Kills a placer.
    Kill(usize),
    /// Pauses a placer by a signal.
    Pause(usize),
    /// Resumes a paused placer.
    Resume(usize),
    /// Requests the shutdown of a placer.
    Terminate(usize),
    /// Launches a placer as soon as the previous process in its slot has exited.
    Launch(usize),
    /// Moves the feed of a placer to another address, and has the placer reload its configuration.
    MoveFeed(usize),
    /// Begins or ends a fault of links, which is given by its index among the faults of the plan.
    Links(usize, FaultEdge),
}

/// The actions that begin and end a fault.
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

/// Returns the actions for all faults of a plan, in the order of their times. Times are in microseconds from the start
/// of the plan.
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

/// Returns the actions of a fault on one of its targets.
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

/// The parts of a deployment into which faults are injected.
pub struct FaultInjector {
    /// Supervisor of the placer processes.
    pub supervisor: Supervisor,
    /// Emulated hosts and feeds.
    pub cluster: Arc<Cluster>,
    /// Proxies on the links that the plan affects; `None` if it has no faults of links.
    pub network: Option<FaultNetwork>,
    /// Event log, whose clock is the clock of the run.
    pub log: EventLog,
}

impl FaultInjector {
    /// Carries out a schedule on a new thread until `stop` is set. The thread then shuts the placers down and returns
    /// their supervisor.
    ///
    /// The placers are shut down on this thread because it must outlive those that it has launched: the kernel kills a
    /// guarded process when the thread that started it ends.
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
        // Placers to launch once their previous process has exited.
        let mut to_launch: Vec<usize> = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            self.supervisor.poll();
            to_launch.retain(|placer| {
                if self.supervisor.is_running(*placer) {
                    return true;
                }
                // The error is ignored: a placer that can't be launched is visible in the findings and the report.
                let _ = self.supervisor.launch(*placer, &self.cluster);
                false
            });
            while let Some((_, action)) = schedule.next_if(|(at, _)| begin + at <= self.log.now()) {
                self.perform(action, &mut to_launch);
            }
            let pause = schedule.peek().map_or(POLL_INTERVAL, |(at, _)| {
                Duration::from_micros(u64::try_from(begin + at - self.log.now()).unwrap_or(0))
                    .min(POLL_INTERVAL)
            });
            std::thread::sleep(pause);
        }
    }

    fn perform(&mut self, action: Action, to_launch: &mut Vec<usize>) {
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

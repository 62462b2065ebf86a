//! Cooperates with the other processes of this placer on the ends of tasks: announces those that no client has
//! acknowledged, takes over those that wait for a client at another process, and passes on the releases of hosts that
//! concern tasks of another process.
//!
//! ```text
//!             announced                  claim, if a client is connected here          grant
//!  ┌─────────────────────────┐   ─────────────────────────────────────────▶   ┌───────────────────┐
//!  │ waits for a client at   │                                                │ sent from here,   │
//!  │ the responsible process │   ─────────────────────────────────────────▶   │ announced to the  │
//!  └─────────────────────────┘    that process exits, or does not reply in    │ other processes   │
//!                                 time                                        └───────────────────┘
//! ```
//!
//! At any time one process sends the end of a task. A process announces what it sends until a client has acknowledged
//! it, so that another one can continue if the process is killed.

use super::request::{HostRelease, RequestState};
use super::timer_event::TimerEvent;
use super::{Dispatch, MILLISECOND};
use crate::net::codec::lines::HostMessage;
use crate::net::codec::peer::{EndDelivery, PeerMessage, PeerTaskState};
use crate::net::codec::{Cause, TaskEnd, TaskId};
use crate::net::hosts::ConnectionState;
use crate::net::peers::PeerId;
use crate::net::peers::remote_tasks::{Responsible, WaitingEnd};
use std::collections::BTreeSet;
use task_placer::facade::{PlacementEvent, Ticket};
use task_placer::{HostId, Micros, Outcome, OutcomeDetail};
use tracing::info;

/// How long a process may take to reply to a claim. The end of a task has to reach its client within 1 s.
const CLAIM_TIMEOUT: Micros = 500 * MILLISECOND;
/// How long after a process has exited its hosts are connected to again. Until they have noticed that their connections
/// to it have ended, they may write to these.
const REPEATED_ENDS_DELAY: Micros = 50 * MILLISECOND;

impl Dispatch {
    // ---- Announcements ----

    /// Announces to the other processes how far the ends of tasks are, and which tasks this process is no longer
    /// responsible for.
    pub fn announce_task_ends(&mut self) {
        let mut finished = std::mem::take(&mut self.ended_since_announcement);
        finished.extend(self.clients.drain_finished_task_ends());
        if self.peers.is_empty() {
            return;
        }
        for (task, end, delivery) in self.clients.announce_task_end_changes() {
            self.announce(&PeerMessage::Task(
                task,
                PeerTaskState::Ended(end, delivery),
            ));
        }
        for task in finished {
            let is_responsible =
                self.tickets_by_task.contains_key(&task) || self.clients.has_pending_end(task);
            if !is_responsible {
                self.announce(&PeerMessage::Done(task));
            }
        }
    }

    /// Sends a process all ends of tasks that no client has acknowledged.
    pub(super) fn send_task_ends_to_peer(&mut self, peer: PeerId) {
        for (task, end, delivery) in self.clients.announce_all_task_ends() {
            let state = PeerTaskState::Ended(end, delivery);
            self.send_to_peer(peer, &PeerMessage::Task(task, state));
        }
    }

    /// Handles the announcement of a task that another process is responsible for.
    pub(super) fn handle_peer_task(&mut self, peer: PeerId, task: TaskId, state: PeerTaskState) {
        if let PeerTaskState::Ended(end, _) = state
            && let Some(ticket) = self.started_task(task)
        {
            // The task ended there while its client named it here, so the client is told from here.
            let cause = match end {
                TaskEnd::Released(cause) => cause,
                TaskEnd::Migrated => Cause::CANCELLED,
            };
            self.end_running_task(self.clock.now(), ticket, cause, OutcomeDetail::Unknown);
            return self.send_to_peer(peer, &PeerMessage::Adopted(task));
        }
        // The host may have released the task here before this process knew of the other one.
        if state
            .host()
            .is_some_and(|host| self.cause_of_release(host, task).is_some())
        {
            self.send_known_release(peer, task);
        }
        self.remote_tasks.announce(peer, task, state);
    }

    /// Returns the cause with which this host has released a task here, if it has while the task was not in the table.
    pub(super) fn cause_of_release(&self, host: &HostId, task: TaskId) -> Option<Cause> {
        let release = self.ended_tasks.release(task)?;
        (release.host == *host).then_some(release.cause)
    }

    /// Returns the ticket of a task that runs or is being released, and for which this process is responsible.
    fn started_task(&self, task: TaskId) -> Option<Ticket> {
        let ticket = self.tickets_by_task.get(&task).copied()?;
        let request = self.requests.get(&ticket)?;
        (!request.awaits_response()).then_some(ticket)
    }

    /// Handles the message that another process is no longer responsible for a task.
    pub(super) fn handle_peer_done(&mut self, peer: PeerId, task: TaskId) {
        self.remote_tasks.withdraw(peer, task);
        self.clients.forget_taken_over_end(task);
    }

    // ---- Ends that wait for a client at another process ----

    /// Claims the ends that wait for a client at other processes, if a client is connected here. An end whose process
    /// does not reply in time is sent from here without its consent.
    pub(super) fn claim_waiting_ends(&mut self, now: Micros) {
        if self.is_shutting_down() {
            return;
        }
        let deliverable = |(task, _): &(TaskId, WaitingEnd)| self.clients.can_deliver_end_of(*task);
        let waiting: Vec<(TaskId, WaitingEnd)> = self
            .remote_tasks
            .waiting_ends()
            .filter(deliverable)
            .collect();
        for (task, waiting) in waiting {
            match waiting.claimed_at {
                None => {
                    self.remote_tasks.end_claimed(now, task);
                    self.send_to_peer(waiting.peer, &PeerMessage::Claim(task));
                }
                Some(at) if now - at >= CLAIM_TIMEOUT => {
                    self.take_over_end(now, task, waiting.end);
                }
                Some(_) => {}
            }
        }
    }

    /// Handles the claim of another process to an end: it is granted if the end still waits for a client here.
    pub(super) fn handle_claim(&mut self, peer: PeerId, task: TaskId) {
        if let Some(end) = self.clients.hand_over_waiting_end(task) {
            let state = PeerTaskState::Ended(end, EndDelivery::InProgress);
            self.remote_tasks.announce(peer, task, state);
            self.send_to_peer(peer, &PeerMessage::Grant(task));
        }
    }

    /// Handles the grant of an end that this process has claimed.
    pub(super) fn handle_grant(&mut self, now: Micros, peer: PeerId, task: TaskId) {
        let Some(remote) = self.remote_tasks.get(task) else {
            return;
        };
        if let PeerTaskState::Ended(end, _) = remote.state
            && remote.responsible == Responsible::Peer(peer)
        {
            self.take_over_end(now, task, end);
        }
    }

    /// Sends the end of a task from here, for which another process was responsible.
    fn take_over_end(&mut self, now: Micros, task: TaskId, end: TaskEnd) {
        info!(task = %task, "task end taken over");
        self.remote_tasks.take(task);
        self.clients.send_task_end(now, task, end);
    }

    // ---- Exits of other processes ----

    /// Takes over what a process has left unfinished at its exit.
    pub(super) fn take_over_from_exited(
        &mut self,
        now: Micros,
        orphans: Vec<(TaskId, PeerTaskState)>,
    ) {
        let mut hosts = BTreeSet::new();
        for (task, state) in orphans {
            match state {
                _ if self.tickets_by_task.contains_key(&task) => {
                    self.remote_tasks.take(task);
                }
                PeerTaskState::Running(host) => match self.cause_of_release(&host, task) {
                    // The release was passed on, but the process has exited before it could handle it.
                    Some(cause) => self.take_over_end(now, task, TaskEnd::Released(cause)),
                    None => {
                        // Another process keeps the task too, in case this one exits next.
                        let state = PeerTaskState::Running(host.clone());
                        self.announce(&PeerMessage::Task(task, state));
                        hosts.insert(host);
                    }
                },
                PeerTaskState::Releasing(host, cause) => {
                    self.remote_tasks.take(task);
                    self.continue_release(now, task, host, cause);
                }
                PeerTaskState::Ended(end, _) => self.take_over_end(now, task, end),
            }
        }
        // What hosts have written to the connections of that process is lost. They repeat it on the next connection.
        for host in hosts {
            let timer = TimerEvent::RepeatedEnds(host);
            self.add_timer(now + REPEATED_ENDS_DELAY, timer);
        }
    }

    /// Connects again to a host that may have written ends of tasks to a process that has exited.
    pub(super) fn reconnect_for_repeated_ends(&mut self, now: Micros, host: &HostId) {
        self.request_repeated_ends(now, host);
        let link = self.hosts.get(host);
        if link.is_some_and(|link| matches!(link.connection, ConnectionState::Disconnected)) {
            self.request_connection(now, host);
        }
    }

    // ---- Releases by hosts ----

    /// Handles a host's release of a task that is not in the table: the task may be one of another process, or of one
    /// that has exited. `from` is the process that has passed the release on, if any.
    pub(super) fn handle_unknown_release(
        &mut self,
        now: Micros,
        task: TaskId,
        release: HostRelease,
        detail: OutcomeDetail,
        from: Option<PeerId>,
    ) {
        if self.end_untracked_task(now, task, &release.host, release.cause) {
            return;
        }
        let remote = self.remote_tasks.get(task);
        let is_remote = remote.is_some_and(|remote| remote.state.host() == Some(&release.host));
        if is_remote && self.remote_tasks.take_orphan(task).is_some() {
            let HostRelease { host, cause } = &release;
            info!(task = %task, host = &*host.0, cause = cause.0, "task of an exited process ended");
            self.clients
                .send_task_end(now, task, TaskEnd::Released(*cause));
        } else if is_remote || !self.ended_tasks.contains(task) {
            let HostRelease { host, cause } = &release;
            info!(task = %task, host = &*host.0, cause = cause.0, is_remote, "release of a task that does not run here");
            self.pass_on_host_release(task, &release, detail, from);
        }
        self.ended_tasks.insert_released(now, task, release);
    }

    fn pass_on_host_release(
        &self,
        task: TaskId,
        release: &HostRelease,
        detail: OutcomeDetail,
        from: Option<PeerId>,
    ) {
        let message = PeerMessage::HostRelease {
            task,
            host: release.host.clone(),
            cause: release.cause,
            detail,
        };
        for peer in self.active_peers().filter(|peer| Some(*peer) != from) {
            self.send_to_peer(peer, &message);
        }
    }

    /// Handles a host's release that another process has passed on.
    pub(super) fn handle_forwarded_host_release(
        &mut self,
        now: Micros,
        peer: PeerId,
        task: TaskId,
        release: HostRelease,
        detail: OutcomeDetail,
    ) {
        let HostRelease { host, cause } = &release;
        if self.tickets_by_task.contains_key(&task) {
            let message = HostMessage::Released(*cause, detail);
            return self.handle_message_of_assigned_host(&host.clone(), task, message);
        }
        if !self.ended_tasks.contains(task) || self.remote_tasks.get(task).is_some() {
            self.handle_unknown_release(now, task, release, detail, Some(peer));
        }
    }

    // ---- Adoptions ----

    /// Prepares the adoption of a task that a client has named: the process that was responsible for it no longer is.
    /// Returns the end of the task, if it is over and its client was still to be told.
    pub(super) fn take_over_adopted(&mut self, task: TaskId) -> Option<TaskEnd> {
        if let PeerTaskState::Releasing(_, cause) = self.remote_tasks.get(task)?.state {
            // A client has released the task, and the responsible process is about to end it.
            return Some(TaskEnd::Released(cause));
        }
        let remote = self.remote_tasks.take(task)?;
        if let Responsible::Peer(peer) = remote.responsible {
            self.send_to_peer(peer, &PeerMessage::Adopted(task));
        }
        match remote.state {
            PeerTaskState::Ended(end, _) => Some(end),
            PeerTaskState::Running(_) | PeerTaskState::Releasing(..) => None,
        }
    }

    /// Handles the message that a client has named a task to another process, which is responsible for it from now on.
    pub(super) fn handle_adopted(&mut self, now: Micros, peer: PeerId, task: TaskId) {
        self.clients.discard_task_end(task);
        let ticket = self.tickets_by_task.get(&task).copied();
        let Some(ticket) = ticket else {
            return self.send_known_release(peer, task);
        };
        let state = self.requests.get(&ticket).map(|request| &request.state);
        let Some(RequestState::Running {
            attempt,
            host,
            since,
        }) = state
        else {
            return;
        };
        let event = PlacementEvent::AttemptEnded {
            ticket,
            attempt: *attempt,
            host: host.clone(),
            outcome: Outcome::Cancelled,
            detail: OutcomeDetail::Unknown,
            elapsed: now - since,
        };
        info!(task = %task, peer = %peer, "task adopted by another process");
        self.remove_request(ticket);
        self.report_event(now, event);
    }

    /// Sends a process the host's release of a task, if it is remembered here.
    fn send_known_release(&self, peer: PeerId, task: TaskId) {
        if let Some(release) = self.ended_tasks.release(task) {
            let message = PeerMessage::HostRelease {
                task,
                host: release.host.clone(),
                cause: release.cause,
                detail: OutcomeDetail::Unknown,
            };
            self.send_to_peer(peer, &message);
        }
    }

    /// Whether ends of tasks are awaited from a host: of running tasks, or of those of a process that has exited.
    pub(super) fn awaits_task_ends(&self, host: &HostId) -> bool {
        self.request_index.has_running_tasks(host) || self.remote_tasks.has_orphans_at(host)
    }
    /// Returns the hosts from which ends of tasks are awaited. A host may be returned twice.
    pub(super) fn hosts_awaiting_task_ends(&self) -> impl Iterator<Item = &HostId> {
        let running = self.request_index.hosts_with_running_tasks();
        running.chain(self.remote_tasks.hosts_with_orphans())
    }

    /// Whether a host may send the end of a task on a connection of this process. It may do so also for a task of another
    /// process, if the connection of that task has ended.
    pub(super) fn may_read_task_ends(&self, host: &HostId) -> bool {
        self.request_index.has_running_tasks(host) || self.remote_tasks.has_tasks_at(host)
    }

    /// Returns the hosts that may send the end of a task. A host may be returned twice.
    pub(super) fn hosts_of_task_ends(&self) -> impl Iterator<Item = &HostId> {
        let running = self.request_index.hosts_with_running_tasks();
        running.chain(self.remote_tasks.hosts_with_tasks())
    }
}

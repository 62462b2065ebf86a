//! Cooperates with the other processes of this placer during a rolling upgrade: announces the tasks that this process is
//! responsible for, passes on the releases of tasks that it does not know, and continues the releases of a process that
//! has exited.
//!
//! A running task belongs to no connection, so its client may release it on a connection that another process has
//! accepted. That process asks the others, and replies to the client once one of them has handled the release. If the
//! responsible process exits or does not reply, the release is sent to the task's host from here.

use super::ended_tasks::WasSent;
use super::request::{HostRelease, Request, RequestState};
use super::{Dispatch, MILLISECOND};
use crate::net::codec::peer::{self, PeerMessage, PeerTaskState};
use crate::net::codec::{Cause, TaskId, binary};
use crate::net::peers::forwarded_releases::{ReleaseSender, Settled};
use crate::net::peers::{PeerEvents, PeerId, PeerLink};
use std::collections::BTreeSet;
use std::rc::Rc;
use task_placer::operation::process_group::PeerAge;
use task_placer::{HostId, Micros};
use tracing::info;

/// How long after it has connected another process may take to show that it exchanges messages. Processes of earlier
/// versions never do.
const HELLO_TIMEOUT: Micros = 500 * MILLISECOND;

/// Whether another process exchanges messages with this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exchange {
    /// The other process has sent nothing yet, and counts as one of an earlier version from this time on.
    AwaitsHello(Micros),
    /// The other process exchanges messages.
    Active,
    /// The other process is of an earlier version.
    Unsupported,
}

/// Another process of this placer.
pub(super) struct PeerProcess {
    link: Rc<PeerLink>,
    exchange: Exchange,
}

/// What has become of the release of a task that this process does not know.
enum ForwardResult {
    /// The release has been passed on, and its sender gets the reply later.
    Forwarded,
    /// The release has been handled here.
    Handled,
    /// No process knows the task.
    Unknown,
}

impl PeerEvents for Dispatch {
    fn peer_joined(&mut self, age: PeerAge, link: Rc<PeerLink>) -> PeerId {
        let now = self.clock.now();
        let peer = PeerId(self.next_peer);
        self.next_peer += 1;
        let process = PeerProcess {
            link,
            exchange: Exchange::AwaitsHello(now + HELLO_TIMEOUT),
        };
        self.peers.insert(peer, process);
        self.send_to_peer(peer, &PeerMessage::Hello);
        self.share_with_peer(now, age);
        peer
    }

    fn peer_message(&mut self, peer: PeerId, message: PeerMessage) {
        let now = self.clock.now();
        match message {
            PeerMessage::Hello => self.handle_hello(peer),
            PeerMessage::Task(task, state) => self.handle_peer_task(peer, task, state),
            PeerMessage::Done(task) => self.handle_peer_done(peer, task),
            PeerMessage::Release(task, cause) => {
                self.handle_forwarded_release(now, peer, task, cause);
            }
            PeerMessage::ReleaseReply { task, is_known } => {
                let settled = self.forwarded_releases.replied(peer, task, is_known);
                self.settle_releases(now, settled);
            }
            PeerMessage::Claim(task) => self.handle_claim(peer, task),
            PeerMessage::Grant(task) => self.handle_grant(now, peer, task),
            PeerMessage::HostRelease {
                task,
                host,
                cause,
                detail,
            } => {
                let release = HostRelease { host, cause };
                self.handle_forwarded_host_release(now, peer, task, release, detail);
            }
            PeerMessage::Adopted(task) => self.handle_adopted(now, peer, task),
            PeerMessage::Tried(task) => self.tried_by_peers.insert(now, task, WasSent::No),
            PeerMessage::Other => {}
        }
    }

    fn peer_caught_up(&mut self, peer: PeerId) {
        self.send_to_peer(peer, &PeerMessage::Hello);
        self.send_all_to_peer(peer);
    }

    fn peer_exited(&mut self, peer: PeerId) {
        let now = self.clock.now();
        self.peers.remove(&peer);
        let orphans = self.remote_tasks.peer_exited(now, peer);
        info!(peer = %peer, tasks = orphans.len(), "other process exited");
        self.take_over_from_exited(now, orphans);
        let settled = self.forwarded_releases.peer_gone(peer);
        self.settle_releases(now, settled);
        self.share_without_peer(now);
    }
}

impl Dispatch {
    // ---- Messages to other processes ----

    pub(super) fn send_to_peer(&self, peer: PeerId, message: &PeerMessage) {
        let process = self.peers.get(&peer);
        if let (Some(process), Some(line)) = (process, peer::write(message)) {
            process.link.send(&line);
        }
    }

    /// Returns the processes that exchange messages.
    pub(super) fn active_peers(&self) -> impl Iterator<Item = PeerId> + '_ {
        let peers = self.peers.iter();
        let active = peers.filter(|(_, process)| process.exchange == Exchange::Active);
        active.map(|(peer, _)| *peer)
    }

    /// Sends a message to all processes that exchange messages.
    pub(super) fn announce(&self, message: &PeerMessage) {
        for peer in self.active_peers() {
            self.send_to_peer(peer, message);
        }
    }

    /// Whether all messages to other processes have been handed to the kernel.
    pub fn peers_are_flushed(&self) -> bool {
        self.peers.values().all(|process| process.link.is_flushed())
    }

    /// Announces the task of a request, if it has started.
    pub(super) fn announce_task(&self, request: &Request) {
        if !self.peers.is_empty()
            && let Some(message) = task_message(request)
        {
            self.announce(&message);
        }
    }

    /// Sends a process all tasks that this process has sent to a host, is responsible for, or keeps for a process that has
    /// exited, and the releases that may concern it.
    fn send_all_to_peer(&mut self, peer: PeerId) {
        let open = self
            .requests
            .values()
            .filter(|request| request.attempts > 0);
        let open = open.map(|request| request.id);
        for task in open.chain(self.ended_tasks.sent()) {
            self.send_to_peer(peer, &PeerMessage::Tried(task));
        }
        let requests = self.requests.values();
        for message in requests.filter_map(task_message) {
            self.send_to_peer(peer, &message);
        }
        for (task, state) in self.remote_tasks.orphans() {
            self.send_to_peer(peer, &PeerMessage::Task(task, state.clone()));
        }
        self.send_task_ends_to_peer(peer);
        for (task, cause) in self.forwarded_releases.for_peer(peer) {
            self.send_to_peer(peer, &PeerMessage::Release(task, cause));
        }
    }

    fn handle_hello(&mut self, peer: PeerId) {
        self.remote_tasks.withdraw_all(peer);
        let Some(process) = self.peers.get_mut(&peer) else {
            return;
        };
        let before = std::mem::replace(&mut process.exchange, Exchange::Active);
        if before != Exchange::Active {
            info!(peer = %peer, "exchanges messages with another process");
            self.send_all_to_peer(peer);
        }
    }

    // ---- Releases of tasks that other processes are responsible for ----

    /// Handles a client's release of a task that is not in the table. Returns whether the client gets the reply later.
    pub(super) fn release_unknown_task(
        &mut self,
        now: Micros,
        task: TaskId,
        cause: Cause,
        sender: ReleaseSender,
    ) -> bool {
        matches!(
            self.forward_release(now, task, cause, sender),
            ForwardResult::Forwarded
        )
    }

    /// Passes a release on to the other processes, except the one that sent it.
    fn forward_release(
        &mut self,
        now: Micros,
        task: TaskId,
        cause: Cause,
        sender: ReleaseSender,
    ) -> ForwardResult {
        if let Some(remote) = self.remote_tasks.take_orphan(task) {
            self.release_in_place_of_peer(now, task, &remote.state, cause);
            return ForwardResult::Handled;
        }
        let is_announced = self.remote_tasks.get(task).is_some();
        let may_run = is_announced
            || (!self.ended_tasks.contains(task)
                && self.forwarded_releases.has_room_for_unannounced());
        if !self.shares_listener || !may_run {
            return ForwardResult::Unknown;
        }
        let awaited: BTreeSet<PeerId> = self
            .peers
            .iter()
            .filter(|(peer, _)| ReleaseSender::Peer(**peer) != sender)
            .filter(|(_, process)| process.exchange != Exchange::Unsupported)
            .map(|(peer, _)| *peer)
            .collect();
        let waiting = (!awaited.is_empty()).then_some(sender);
        let releases = &mut self.forwarded_releases;
        if !releases.insert(now, task, cause, waiting, awaited.clone()) || awaited.is_empty() {
            return ForwardResult::Unknown;
        }
        info!(task = %task, cause = cause.0, "release passed on");
        for peer in awaited {
            self.send_to_peer(peer, &PeerMessage::Release(task, cause));
        }
        ForwardResult::Forwarded
    }

    /// Handles a release that another process has passed on.
    fn handle_forwarded_release(&mut self, now: Micros, peer: PeerId, task: TaskId, cause: Cause) {
        let ticket = self.tickets_by_task.get(&task).copied();
        if let Some(ticket) = ticket {
            self.release_running_task(now, ticket, cause);
        }
        let is_over = self.ended_tasks.contains(task) && self.remote_tasks.get(task).is_none();
        let is_known = ticket.is_some() || is_over;
        let is_known = is_known
            || match self.forward_release(now, task, cause, ReleaseSender::Peer(peer)) {
                ForwardResult::Forwarded => return,
                ForwardResult::Handled => true,
                ForwardResult::Unknown => false,
            };
        self.send_to_peer(peer, &PeerMessage::ReleaseReply { task, is_known });
    }

    /// Sends the replies to releases on which all other processes have replied, or failed to. A release that was not
    /// handled is continued here if the task has been announced.
    fn settle_releases(&mut self, now: Micros, settled: impl IntoIterator<Item = Settled>) {
        for release in settled {
            let Settled {
                task,
                cause,
                senders,
                is_handled,
            } = release;
            let is_known = is_handled || self.release_announced_task(now, task, cause);
            for sender in senders {
                match sender {
                    ReleaseSender::Client(client) => {
                        self.clients.send(now, client, &binary::release_ack(task));
                    }
                    ReleaseSender::Peer(peer) => {
                        let reply = PeerMessage::ReleaseReply { task, is_known };
                        self.send_to_peer(peer, &reply);
                    }
                }
            }
        }
    }

    /// Releases a task in place of the process that has announced it. Returns whether the task has been announced.
    fn release_announced_task(&mut self, now: Micros, task: TaskId, cause: Cause) -> bool {
        let Some(remote) = self.remote_tasks.take(task) else {
            return self.tickets_by_task.contains_key(&task);
        };
        self.release_in_place_of_peer(now, task, &remote.state, cause);
        self.forwarded_releases.remove(task);
        true
    }

    fn release_in_place_of_peer(
        &mut self,
        now: Micros,
        task: TaskId,
        state: &PeerTaskState,
        cause: Cause,
    ) {
        if let Some(host) = state.host() {
            self.continue_release(now, task, host.clone(), cause);
        }
    }

    /// Releases a task at its host in place of another process of the placer.
    pub(super) fn continue_release(
        &mut self,
        now: Micros,
        task: TaskId,
        host: HostId,
        cause: Cause,
    ) {
        if self.tickets_by_task.contains_key(&task) {
            return;
        }
        info!(task = %task, host = &*host.0, cause = cause.0, "release continued");
        let state = RequestState::Running {
            attempt: 0,
            host,
            since: now,
        };
        let ticket = self.insert_request(now, task, None, "", state);
        self.release_running_task(now, ticket, cause);
    }

    /// Handles what is due about other processes: those that have not shown in time that they exchange messages, replies
    /// that have not come in time, and tasks that were kept for long enough.
    pub(super) fn check_peers(&mut self, now: Micros) {
        let mut unsupported = Vec::new();
        for (peer, process) in &mut self.peers {
            if matches!(process.exchange, Exchange::AwaitsHello(until) if now >= until) {
                process.exchange = Exchange::Unsupported;
                unsupported.push(*peer);
            }
        }
        for peer in unsupported {
            let settled = self.forwarded_releases.peer_gone(peer);
            self.settle_releases(now, settled);
        }
        let settled = self.forwarded_releases.expire(now);
        self.settle_releases(now, settled);
        for task in self.remote_tasks.expire(now) {
            self.announce(&PeerMessage::Done(task));
        }
    }
}

/// Returns the announcement of a request's task, if it has started.
fn task_message(request: &Request) -> Option<PeerMessage> {
    let state = match &request.state {
        RequestState::Queued | RequestState::InFlight { .. } => return None,
        RequestState::Running { host, .. } => PeerTaskState::Running(host.clone()),
        RequestState::Releasing { host, cause, .. } => {
            PeerTaskState::Releasing(host.clone(), *cause)
        }
    };
    Some(PeerMessage::Task(request.id, state))
}

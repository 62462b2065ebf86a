//! A connection of the generator to a placer: what waits to be written, and which requests and tasks it carries.

use crate::load_profile::Micros;
use async_channel::Sender;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of bytes of one write.
const MAX_WRITE_BYTES: usize = 16 * 1024;

/// A request that is not written completely.
struct PartialRequest {
    id: u64,
    /// The position of its last byte in everything ever queued.
    end: u64,
}

/// The state of a connection.
pub(super) struct Connection {
    pub(super) placer: usize,
    /// Bytes that the socket has yet to take.
    queue: VecDeque<u8>,
    /// Bytes ever queued.
    queued_bytes: u64,
    /// Bytes that the socket took.
    written_bytes: u64,
    partial_requests: VecDeque<PartialRequest>,
    /// Requests that wait for their answer, and when they were written.
    pub(super) open_requests: BTreeMap<u64, Micros>,
    /// Tasks that run and were requested, or reconnected to, on this connection. It is kept for them, since their
    /// ends are notified on connections that carry tasks.
    pub(super) running_tasks: BTreeSet<u64>,
    wake: Sender<()>,
}

/// The requests that were on a connection when it ended.
pub(super) struct InterruptedRequests {
    /// Ids of those that were not written completely, so that no placer can have accepted them.
    pub(super) unsent: Vec<u64>,
    /// Those that were written, and when.
    pub(super) written: BTreeMap<u64, Micros>,
}

impl Connection {
    /// Returns a connection whose writer is woken through `wake`.
    pub(super) fn new(placer: usize, wake: Sender<()>) -> Connection {
        Connection {
            placer,
            queue: VecDeque::new(),
            queued_bytes: 0,
            written_bytes: 0,
            partial_requests: VecDeque::new(),
            open_requests: BTreeMap::new(),
            running_tasks: BTreeSet::new(),
            wake,
        }
    }

    /// Whether it carries no request and no task.
    pub(super) fn is_idle(&self) -> bool {
        self.open_requests.is_empty() && self.running_tasks.is_empty() && self.queue.is_empty()
    }

    /// Returns the number of requests that are being written or wait for their answer.
    pub(super) fn request_count(&self) -> usize {
        self.open_requests.len() + self.partial_requests.len()
    }

    /// Queues bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.queue.extend(bytes);
        self.queued_bytes += bytes.len() as u64;
        let _ = self.wake.try_send(());
    }

    /// Queues a request.
    pub(super) fn push_request(&mut self, id: u64, bytes: &[u8]) {
        self.push(bytes);
        let end = self.queued_bytes;
        self.partial_requests.push_back(PartialRequest { id, end });
    }

    /// Returns the bytes to write next.
    pub(super) fn next_write(&self) -> Vec<u8> {
        let (front, _) = self.queue.as_slices();
        let length = front.len().min(MAX_WRITE_BYTES);
        front.get(..length).unwrap_or_default().to_vec()
    }

    /// Removes bytes that the socket took, and returns the requests that are complete with them.
    pub(super) fn written(&mut self, count: usize, now: Micros) -> Vec<u64> {
        self.queue.drain(..count.min(self.queue.len()));
        self.written_bytes += count as u64;
        let mut complete = Vec::new();
        while let Some(request) = self.partial_requests.front()
            && request.end <= self.written_bytes
        {
            self.open_requests.insert(request.id, now);
            complete.push(request.id);
            self.partial_requests.pop_front();
        }
        complete
    }

    /// Ends it, and returns its requests.
    pub(super) fn into_requests(self) -> InterruptedRequests {
        InterruptedRequests {
            unsent: self
                .partial_requests
                .into_iter()
                .map(|request| request.id)
                .collect(),
            written: self.open_requests,
        }
    }
}

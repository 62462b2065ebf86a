//! State of a connection of the generator to a placer: the bytes that wait to be written, and the requests and running
//! tasks that the connection carries.

use crate::load_profile::Micros;
use async_channel::Sender;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of bytes in one write.
const MAX_WRITE_BYTES: usize = 16 * 1024;

/// A request that has not been written completely.
struct PartialRequest {
    id: u64,
    /// Number of bytes queued on the connection up to the end of this request.
    end: u64,
}

/// The state of a connection.
pub(super) struct Connection {
    pub(super) placer: usize,
    /// Bytes that have not been written to the socket.
    queue: VecDeque<u8>,
    /// Total number of bytes queued so far.
    queued_bytes: u64,
    /// Total number of bytes written to the socket so far.
    written_bytes: u64,
    partial_requests: VecDeque<PartialRequest>,
    /// Ids of the requests that wait for their answer, and when each was written completely.
    pub(super) open_requests: BTreeMap<u64, Micros>,
    /// Ids of the running tasks that were requested, or reconnected to, on this connection. The connection stays open
    /// for them, since placers send notices of task ends on connections that carry tasks.
    pub(super) running_tasks: BTreeSet<u64>,
    wake: Sender<()>,
}

/// The open requests of a connection that has ended.
pub(super) struct InterruptedRequests {
    /// Ids of the requests that were not written completely, so that no placer can have accepted them.
    pub(super) unsent: Vec<u64>,
    /// Ids of the requests that were written completely, and when.
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

    /// Returns whether the connection carries no request and no running task, and has nothing to write.
    pub(super) fn is_idle(&self) -> bool {
        self.open_requests.is_empty() && self.running_tasks.is_empty() && self.queue.is_empty()
    }

    /// Returns the number of requests that are being written or wait for their answer.
    pub(super) fn request_count(&self) -> usize {
        self.open_requests.len() + self.partial_requests.len()
    }

    /// Queues bytes and wakes the writer.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.queue.extend(bytes);
        self.queued_bytes += bytes.len() as u64;
        let _ = self.wake.try_send(());
    }

    /// Queues the bytes of a request.
    pub(super) fn push_request(&mut self, id: u64, bytes: &[u8]) {
        self.push(bytes);
        let end = self.queued_bytes;
        self.partial_requests.push_back(PartialRequest { id, end });
    }

    /// Returns the bytes to write next, or none if nothing is queued.
    pub(super) fn next_write(&self) -> Vec<u8> {
        let (front, _) = self.queue.as_slices();
        let length = front.len().min(MAX_WRITE_BYTES);
        front.get(..length).unwrap_or_default().to_vec()
    }

    /// Removes bytes that were written to the socket, and returns the ids of the requests that they complete.
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

    /// Consumes the connection, and returns its open requests.
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

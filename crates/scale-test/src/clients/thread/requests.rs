//! Sends the requests for tasks, and closes requests that get no answer.

use super::{ClientThread, TimerEvent};
use crate::clients::ArrivalWindow;
use crate::clients::arrivals::Arrival;
use crate::clients::link::PendingRequest;
use crate::clients::tasks::{TaskRecord, TaskState};
use crate::identity::{PlacerId, RequestId, TaskIndex, WorkerId};
use crate::wire::binary::{self, TaskRequest};
use std::io;
use std::time::{Duration, Instant};

/// How long after the wait time of its class an answer may arrive before it counts as missing.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

impl ClientThread {
    /// Sets the timer of the next arrival, unless it is due at or after the end of the window.
    pub(super) fn schedule_next_arrival(&mut self, window: ArrivalWindow) {
        let Some(arrival) = self.arrivals.next() else {
            return;
        };
        let due = window.start + arrival.due;
        if due < window.end {
            self.timers.add(due, TimerEvent::TaskArrives(arrival));
        }
    }

    /// Adds a task that is due, sends its request to a placer in service, and schedules the next arrival.
    pub(super) fn handle_arrival(&mut self, due: Instant, arrival: &Arrival) -> io::Result<()> {
        let Some(window) = self.window else {
            return Ok(());
        };
        self.schedule_next_arrival(window);
        let measured = due >= window.measured_from;
        let Some(task) = self.tasks.add(arrival, due, measured) else {
            return Ok(());
        };
        if let Some(placer) = self.links.choose_in_service(arrival.placer_choice) {
            self.send_new_request(task, placer)?;
        }
        if measured {
            let lateness = Instant::now().saturating_duration_since(due);
            self.timings.lateness.add(lateness);
        }
        Ok(())
    }

    /// Sends the request for a new attempt of a task to a placer, and sets the timeout of the answer.
    pub(super) fn send_new_request(&mut self, task: TaskIndex, placer: PlacerId) -> io::Result<()> {
        let now = Instant::now();
        let Some(id) = self.tasks.record_sent(task, placer, now) else {
            return Ok(());
        };
        let Some(record) = self.tasks.get(task) else {
            return Ok(());
        };
        let wait = Duration::from_millis(record.class.wait_ms());
        let timeout = TimerEvent::AnswerTimeout(id, now);
        self.timers.add(now + wait + ANSWER_GRACE, timeout);
        self.state.waiting += 1;
        let pending = PendingRequest {
            id,
            is_resent: false,
        };
        self.send_request(pending, placer)
    }

    /// Sends a request on the next pooled connection to a placer. Closes the request if there is no connection.
    pub(super) fn send_request(
        &mut self,
        pending: PendingRequest,
        placer: PlacerId,
    ) -> io::Result<()> {
        let id = pending.id;
        let Some(record) = id.parts().and_then(|(task, _)| self.tasks.get(task)) else {
            return Ok(());
        };
        let mut bytes = Vec::new();
        write_request(&mut bytes, id, record, None, &self.tenant_names);
        let slot = self
            .links
            .next_task_connection(placer, self.poll.registry())?;
        let Some(entry) = slot.and_then(|slot| self.links.connection(slot)) else {
            self.close_unanswered(id, TaskState::NoPlacer);
            return Ok(());
        };
        entry.pending.push(pending);
        self.send(slot, &bytes, 1)
    }

    /// Closes a request whose answer has timed out, if it still waits and was sent at this time.
    pub(super) fn handle_answer_timeout(&mut self, id: RequestId, sent: Instant) {
        if self.tasks.waiting_since(id) == Some(sent) {
            self.close_unanswered(id, TaskState::Unanswered);
        }
    }

    /// Closes a request without an answer, if it still waits for one.
    pub(super) fn close_unanswered(&mut self, id: RequestId, state: TaskState) {
        if self.tasks.close_unanswered(id, state) {
            self.state.waiting = self.state.waiting.saturating_sub(1);
        }
    }
}

/// Writes the request for a task. `running_at` is the worker that already runs the task, if any.
pub(super) fn write_request(
    out: &mut Vec<u8>,
    id: RequestId,
    record: &TaskRecord,
    running_at: Option<WorkerId>,
    tenant_names: &[String],
) {
    let tenant = tenant_names
        .get(record.tenant as usize)
        .map_or("", String::as_str);
    let key = id.parts().map_or(0, |(task, _)| task.key());
    let request = TaskRequest {
        id,
        class: record.class.name(),
        wait_ms: record.class.wait_ms(),
        tenant,
        key,
        cores: record.shape.cores,
        memory: record.shape.memory,
        service: u64::from(record.service),
        running_at,
        description: &record.shape.write(),
    };
    binary::write_task_request(out, &request);
}

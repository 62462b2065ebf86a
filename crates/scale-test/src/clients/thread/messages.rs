//! Handles the messages from placers.

use super::ClientThread;
use crate::clients::tasks::{AnswerEffect, ReleaseEffect, TaskRecord};
use crate::deployment::Class;
use crate::identity::{PlacerId, RequestId, WorkerId};
use crate::socket::Connection;
use crate::wire::binary::{self, PlacerMessage};
use crate::wire::{WireError, description};
use std::io;

/// The reply to a message from a placer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reply {
    Nothing,
    AcknowledgeEnd,
}

impl ClientThread {
    /// Handles one message, and returns the reply to it.
    pub(super) fn handle_message(
        &mut self,
        slot: usize,
        placer: PlacerId,
        id: RequestId,
        message: PlacerMessage,
    ) -> io::Result<Reply> {
        match message {
            PlacerMessage::Answer(text) => match description::read_answer(&text) {
                Some(worker) => self.handle_answer(slot, id, worker),
                None => self.bad_messages += 1,
            },
            PlacerMessage::Release(cause) => return Ok(self.handle_release(slot, id, cause)),
            PlacerMessage::Migrate => {
                if let Some(task) = self.tasks.begin_migration(id) {
                    self.send_new_request(task, placer)?;
                }
            }
            PlacerMessage::HealthChecked { passed: true } => self.handle_passed_check(placer)?,
            PlacerMessage::HealthChecked { passed: false } | PlacerMessage::EndAcknowledged => {}
        }
        Ok(Reply::Nothing)
    }

    fn handle_answer(&mut self, slot: usize, id: RequestId, worker: WorkerId) {
        match self.tasks.record_answer(id, worker) {
            AnswerEffect::First => {
                self.remove_pending(slot, id);
                self.state.started += 1;
                self.measure_start(id);
            }
            AnswerEffect::Second => self.second_answers += 1,
            AnswerEffect::Stale => {}
        }
    }

    /// Records the time to start of a task, if the task is measured and this is its first start.
    fn measure_start(&mut self, id: RequestId) {
        let record = id.parts().and_then(|(task, _)| self.tasks.get(task));
        // A task that has migrated was already measured at its first start.
        if let Some(TaskRecord {
            due: Some(due),
            class,
            measured: true,
            moves: 0,
            ..
        }) = record
            && let Some(times) = self.timings.to_start.get_mut(class_index(*class))
        {
            times.add(due.elapsed());
        }
    }

    fn handle_release(&mut self, slot: usize, id: RequestId, cause: u8) -> Reply {
        match self.tasks.record_release(id, cause) {
            ReleaseEffect::Final => {
                self.remove_pending(slot, id);
                self.state.refused += 1;
                Reply::Nothing
            }
            ReleaseEffect::Ended | ReleaseEffect::Known => Reply::AcknowledgeEnd,
        }
    }

    /// Removes an answered or refused request from the pending requests of its connection.
    fn remove_pending(&mut self, slot: usize, id: RequestId) {
        self.state.waiting = self.state.waiting.saturating_sub(1);
        if let Some(entry) = self.links.connection(slot) {
            entry.pending.retain(|pending| pending.id != id);
        }
    }
}

/// Returns the index of a class in [`Class::ALL`].
fn class_index(class: Class) -> usize {
    Class::ALL
        .iter()
        .position(|other| *other == class)
        .unwrap_or(0)
}

/// Removes the complete messages from a connection's inbox and parses them.
pub(super) fn read_messages(
    connection: &mut Connection,
) -> Result<Vec<(RequestId, PlacerMessage)>, WireError> {
    let mut messages = Vec::new();
    let mut consumed = 0;
    while let Some((id, message, length)) =
        binary::read(connection.inbox().get(consumed..).unwrap_or_default())?
    {
        messages.push((id, message));
        consumed += length;
    }
    connection.consume(consumed);
    connection.count_read(messages.len() as u64);
    Ok(messages)
}

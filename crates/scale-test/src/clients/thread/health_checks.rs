//! Checks the health of placers, as a load balancer does, and announces running tasks to a placer once it is ready.

use super::requests::write_request;
use super::{ClientThread, TimerEvent};
use crate::identity::PlacerId;
use crate::wire::binary;
use std::io;
use std::time::{Duration, Instant};

/// The interval between health checks of a placer that has started and is not ready yet.
const STARTUP_CHECK_PERIOD: Duration = Duration::from_millis(10);
/// The interval between health checks of a placer that is ready.
const HEALTH_CHECK_PERIOD: Duration = Duration::from_secs(1);

impl ClientThread {
    /// Sends a health check to a placer and schedules the next one, unless the placer was killed or restarted since the
    /// check was scheduled.
    pub(super) fn check_health(&mut self, placer: PlacerId, start_number: u64) -> io::Result<()> {
        let Some(link) = self.links.get(placer) else {
            return Ok(());
        };
        if link.start_number != start_number || link.address.is_none() {
            return Ok(());
        }
        let period = if link.is_ready {
            HEALTH_CHECK_PERIOD
        } else {
            STARTUP_CHECK_PERIOD
        };
        let event = TimerEvent::CheckHealth(placer, start_number);
        self.timers.add(Instant::now() + period, event);
        let slots_before = self.links.slots_of(placer);
        let slot = self
            .links
            .health_check_connection(placer, self.poll.registry())?;
        let is_new = slot.is_some_and(|slot| !slots_before.contains(&slot));
        // Until the placer is ready, each connection carries only one check, because the first passed check is enough.
        if is_new || self.links.get(placer).is_some_and(|link| link.is_ready) {
            let mut bytes = Vec::new();
            binary::write_health_check(&mut bytes);
            self.send(slot, &bytes, 1)?;
        }
        Ok(())
    }

    /// Handles a passed health check. The first one after a start makes the placer ready.
    pub(super) fn handle_passed_check(&mut self, placer: PlacerId) -> io::Result<()> {
        let Some(link) = self.links.get_mut(placer) else {
            return Ok(());
        };
        if std::mem::replace(&mut link.is_ready, true) {
            return Ok(());
        }
        if let Some(ready) = self.state.ready.get_mut(placer.index()) {
            *ready = Some(Instant::now());
        }
        self.announce_running_tasks(placer)
    }

    /// Sends a placer the requests for its running tasks, as their clients do after a restart of the placer.
    fn announce_running_tasks(&mut self, placer: PlacerId) -> io::Result<()> {
        let mut bytes = Vec::new();
        let mut messages = 0;
        for (id, record, worker) in self.tasks.running_at(placer) {
            write_request(&mut bytes, id, record, Some(worker), &self.tenant_names);
            messages += 1;
        }
        if messages == 0 {
            return Ok(());
        }
        let slot = self
            .links
            .next_task_connection(placer, self.poll.registry())?;
        self.send(slot, &bytes, messages)
    }
}

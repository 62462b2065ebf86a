//! Suspect hosts: health checks in slots, and zones of which several cells are silent.

use super::HostTable;
use crate::overload::health_check_schedule::TimeSlot;
use crate::overload::host::Host;
use crate::{CellId, HostId, Limit, Micros, ZoneId};
use std::collections::BTreeMap;

/// So many suspect cells of a zone make the whole zone suspect.
const SUSPECT_CELLS_OF_ZONE: usize = 2;
/// The fraction of a cell's hosts that must be suspect for the cell to be.
const SUSPECT_FRACTION_OF_CELL: f64 = 0.5;

/// The hosts of one cell that are up.
#[derive(Debug, Default)]
struct CellCount {
    hosts: usize,
    suspect_hosts: usize,
}

impl CellCount {
    fn is_suspect(&self) -> bool {
        self.suspect_hosts as f64 >= SUSPECT_FRACTION_OF_CELL * self.hosts as f64
    }
}

impl HostTable {
    /// Closes a suspect host again once its health check is sent. Returns whether the attempt was one.
    pub fn begin_health_check(&mut self, id: &HostId, limits: &mut Vec<Limit>) -> bool {
        if self.schedule.is_none() {
            return false;
        }
        let Some(host) = self.hosts.get_mut(id) else {
            return false;
        };
        if !host.limit.is_suspect() {
            return false;
        }
        host.notified = Some(Some(0));
        limits.push(Limit::HostConcurrency {
            host: id.clone(),
            max_in_flight: Some(0),
            health_check: false,
        });
        true
    }

    /// Marks the other hosts of a zone as suspect if several of its cells are, and returns whether it did. The
    /// fault is then the zone's, and its other hosts get health checks only, before each of them has lost
    /// attempts of every placer.
    pub fn check_zone(&mut self, now: Micros, id: &HostId, limits: &mut Vec<Limit>) -> bool {
        if self.schedule.is_none() {
            return false;
        }
        let Some(zone) = self.hosts.get(id).map(|host| host.zone) else {
            return false;
        };
        if !self.zone_is_suspect(zone) {
            return false;
        }
        let others: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|(_, host)| host.is_up && host.zone == zone && !host.limit.is_suspect())
            .map(|(id, _)| id.clone())
            .collect();
        for other in others {
            if let Some(host) = self.hosts.get_mut(&other) {
                host.limit.mark_suspect();
            }
            self.refresh(now, &other, limits);
        }
        true
    }

    /// Whether several cells of a zone are suspect, but not all: then the fault may be this placer's.
    fn zone_is_suspect(&self, zone: ZoneId) -> bool {
        let mut cells: BTreeMap<CellId, CellCount> = BTreeMap::new();
        for host in self.hosts.values() {
            if host.is_up && host.zone == zone {
                let cell = cells.entry(host.cell).or_default();
                cell.hosts += 1;
                cell.suspect_hosts += usize::from(host.limit.is_suspect());
            }
        }
        let suspect_cells = cells.values().filter(|cell| cell.is_suspect()).count();
        suspect_cells >= SUSPECT_CELLS_OF_ZONE && suspect_cells < cells.len()
    }

    /// The time until this placer's next slot at a host; `None` if the slot is now or the host is not scheduled.
    pub fn time_until_slot(&self, now: Micros, id: &HostId) -> Option<Micros> {
        let slot = self.slot(now, self.hosts.get(id)?)?;
        (!slot.is_active).then(|| slot.next_starts_at - self.wall_clock_offset - now)
    }

    fn slot(&self, now: Micros, host: &Host) -> Option<TimeSlot> {
        let wall_clock = self.wall_clock_offset + now;
        self.schedule
            .as_ref()
            .map(|schedule| schedule.slot_with_backoff(host.hash, wall_clock, host.failed_checks))
    }
}

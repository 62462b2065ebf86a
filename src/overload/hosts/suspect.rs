//! Suspect hosts: health checks in time slots, and zones in which several cells do not answer.

use super::HostTable;
use crate::overload::health_check_schedule::TimeSlot;
use crate::overload::host::Host;
use crate::{CellId, HostId, Limit, Micros, ZoneId};
use std::collections::BTreeMap;

/// The number of suspect cells that makes a whole zone suspect.
const SUSPECT_CELLS_OF_ZONE: usize = 2;
/// The fraction of a cell's hosts that must be suspect for the cell to be suspect.
const SUSPECT_FRACTION_OF_CELL: f64 = 0.5;

/// The number of hosts of one cell that are up, and how many of these are suspect.
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
    /// Called when an attempt was sent to a host. If the host is suspect, the attempt is its health check, and no
    /// further attempts to the host are permitted. Returns whether the attempt is a health check.
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

    /// Marks all hosts that are up in the zone of the host `id` as suspect if several cells of the zone are suspect,
    /// and returns whether it did. The fault is then assumed to affect the whole zone, so its other hosts get only
    /// health checks from now on instead of each losing attempts of every placer first.
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

    /// Returns whether several cells of a zone are suspect, but not all cells known to this placer. If all are suspect,
    /// the fault may be on the side of this placer.
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

    /// Returns the time until this placer's next slot at a host, or `None` if the slot is active, the host is unknown
    /// or there is no schedule.
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

//! Owns what the health engine is told and shown. It never judges what it shows, and has no part in placing tasks.

use super::{Dispatch, MILLI};
use crate::net::conn;
use std::collections::BTreeMap;
use task_placer::health::{Event, Gauges, Zone};
use task_placer::{EndpointState, Micros};

/// How long a host's word that it is full counts.
const FULL: Micros = 15_000 * MILLI;

impl Dispatch {
    /// Tells the health engine, where one runs.
    pub fn record_health_event(&mut self, now: Micros, event: Event) {
        if let Some(watch) = &mut self.watch {
            watch.tell(now, event);
        }
    }

    /// What the health engine looks at, and the drain.
    pub(super) fn update_health(&mut self, now: Micros) {
        if self.watch.is_none() {
            return;
        }
        let mut zones: BTreeMap<task_placer::ZoneId, Zone> = BTreeMap::new();
        let (mut listed, mut roomy, mut full) = (0u32, 0u32, 0u32);
        let ordinary = self.facade.mean_task();
        for link in self
            .hosts
            .values()
            .filter(|link| link.state == EndpointState::Up)
        {
            let zone = zones.entry(link.zone).or_default();
            zone.listed += 1;
            zone.refused += u32::from(link.unreachable_since.is_some() && link.was_refused);
            zone.silent += u32::from(link.unreachable_since.is_some() && !link.was_refused);
            listed += 1;
            let fits = ordinary.is_none_or(|size| size.fits_in(link.free_resources));
            roomy += u32::from(fits);
            full += u32::from(link.rejected_full_at.is_some_and(|at| now - at < FULL));
        }
        let ages = self
            .requests
            .values()
            .filter(|r| r.awaits_response())
            .map(|r| (now - r.since) as f64 / r.aim as f64);
        let gauges = Gauges {
            oldest: ages.fold(0.0, f64::max),
            zones: zones.into_values().collect(),
            roomy: ordinary
                .filter(|_| listed > 0)
                .map(|_| f64::from(roomy) / f64::from(listed)),
            full: f64::from(full) / f64::from(listed.max(1)),
            descriptors: self.clients.live() as f64
                / self.clients.budget(self.active_host_count()) as f64,
            queues: conn::queued_share(),
        };
        let hand = self.pending_work();
        if let Some(watch) = &mut self.watch {
            watch.tell(now, Event::Look(gauges));
            let tasks = watch.look(now, hand);
            self.run_drain_tasks(now, tasks);
        }
    }
}

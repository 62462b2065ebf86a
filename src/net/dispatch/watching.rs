//! Owns what the health engine is told and shown. It never judges what it shows, and has no part in placing tasks.

use super::{Dispatch, MILLI};
use crate::net::conn;
use std::collections::BTreeMap;
use task_placer::health::{Event, Gauges, ZoneReachability};
use task_placer::{EndpointState, Micros};

/// How long a host's word that it is full counts.
const FULL: Micros = 15_000 * MILLI;

impl Dispatch {
    /// Tells the health engine, where one runs.
    pub fn watch(&mut self, now: Micros, event: Event) {
        if let Some(watch) = &mut self.watch {
            watch.notify(now, event);
        }
    }

    /// What the health engine looks at, and the drain.
    pub(super) fn look(&mut self, now: Micros) {
        if self.watch.is_none() {
            return;
        }
        let mut zones: BTreeMap<task_placer::ZoneId, ZoneReachability> = BTreeMap::new();
        let (mut listed, mut roomy, mut full) = (0u32, 0u32, 0u32);
        let ordinary = self.facade.mean_task();
        for link in self
            .hosts
            .values()
            .filter(|link| link.state == EndpointState::Up)
        {
            let zone = zones.entry(link.zone).or_default();
            zone.listed += 1;
            zone.refused += u32::from(link.down_since.is_some() && link.refused);
            zone.silent += u32::from(link.down_since.is_some() && !link.refused);
            listed += 1;
            let fits = ordinary.is_none_or(|size| size.fits_in(link.free));
            roomy += u32::from(fits);
            full += u32::from(link.full_at.is_some_and(|at| now - at < FULL));
        }
        let ages = self
            .requests
            .values()
            .filter(|r| r.awaits_answer())
            .map(|r| (now - r.since) as f64 / r.aim as f64);
        let gauges = Gauges {
            oldest_request: ages.fold(0.0, f64::max),
            zones: zones.into_values().collect(),
            hosts_with_capacity: ordinary
                .filter(|_| listed > 0)
                .map(|_| f64::from(roomy) / f64::from(listed)),
            full_hosts: f64::from(full) / f64::from(listed.max(1)),
            descriptors: self.clients.live() as f64
                / self.clients.budget(self.hosts_in_use()) as f64,
            queues: conn::queued_share(),
        };
        let hand = self.hand();
        if let Some(watch) = &mut self.watch {
            watch.notify(now, Event::GaugesSampled(gauges));
            let tasks = watch.advance_drain(now, hand);
            self.follow(now, tasks);
        }
    }
}

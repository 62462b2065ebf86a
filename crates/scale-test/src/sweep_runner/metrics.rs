//! Extracts from the result of a run the metrics that a sweep fits.

use crate::deployment::Class;
use crate::results::{PlacerResult, RunResult};
use crate::sweep::Metric;
use std::collections::BTreeMap;

const PERCENT: f64 = 100.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// Returns the metrics of a run: means over its placers, and times to start over all tasks. A metric without a value
/// is absent. [`Metric::ControlCpu`] is always absent, because a run cannot separate the CPU time spent on the control
/// feed from the rest.
pub fn metrics(result: &RunResult) -> BTreeMap<Metric, f64> {
    let mut values = BTreeMap::new();
    for (metric, value_of) in PLACER_METRICS {
        if let Some(mean) = mean(result.placers.iter().filter_map(value_of)) {
            values.insert(metric, mean);
        }
    }
    values.extend(start_times(result));
    values.extend(cpu_per_event(result).map(|micros| (Metric::CpuPerEventMicros, micros)));
    values
}

/// A function that reads a metric from the result of a placer.
type PlacerValue = fn(&PlacerResult) -> Option<f64>;

/// The metrics of a placer, each with the function that reads it.
const PLACER_METRICS: [(Metric, PlacerValue); 11] = [
    (Metric::CpuShare, |placer| {
        Some(PERCENT * placer.totals.cpu_share)
    }),
    (Metric::PeakRssKb, |placer| {
        Some(placer.totals.peak_kb as f64)
    }),
    (Metric::PssKb, |placer| {
        Some(placer.totals.pss_peak_kb as f64)
    }),
    (Metric::ControlInBytes, |placer| {
        Some(placer.totals.control.feed.to_bytes_per_s)
    }),
    (Metric::ControlOutBytes, |placer| {
        Some(placer.totals.control.feed.from_bytes_per_s)
    }),
    (Metric::ControlMessages, |placer| {
        let feed = placer.totals.control.feed;
        Some(feed.to_messages_per_s + feed.from_messages_per_s)
    }),
    (Metric::ServiceBytes, |placer| {
        let service = placer.totals.service.total;
        Some(service.to_bytes_per_s + service.from_bytes_per_s)
    }),
    (Metric::FeedEvents, |placer| {
        Some(placer.totals.feed.events_per_s)
    }),
    (Metric::FeedEntries, |placer| {
        Some(placer.totals.feed.entries_per_s)
    }),
    (Metric::Descriptors, |placer| {
        Some(placer.totals.descriptors_peak as f64)
    }),
    (Metric::ReadyMs, |placer| placer.ready_ms.first().copied()),
];

/// Returns the percentiles of the times to start, over all tasks and over urgent tasks.
fn start_times(result: &RunResult) -> Vec<(Metric, f64)> {
    let mut metrics = Vec::new();
    let all = result.fleet.all_start_times;
    if all.count > 0 {
        metrics.extend([
            (Metric::StartP50Ms, all.p50_ms),
            (Metric::StartP99Ms, all.p99_ms),
        ]);
    }
    let urgent = result
        .fleet
        .start_times
        .iter()
        .find(|class| class.class == Class::Urgent.name());
    metrics.extend(urgent.map(|class| (Metric::UrgentP99Ms, class.times.p99_ms)));
    metrics
}

/// Returns the CPU time of all placers per event of their feeds, or `None` if there were no events.
fn cpu_per_event(result: &RunResult) -> Option<f64> {
    let sum = |value_of: fn(&PlacerResult) -> f64| result.placers.iter().map(value_of).sum::<f64>();
    let cores = sum(|placer| placer.totals.cpu_share);
    let events_per_s = sum(|placer| placer.totals.feed.events_per_s);
    (events_per_s > 0.0).then(|| MICROS_PER_SECOND * cores / events_per_s)
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let values: Vec<f64> = values.collect();
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}

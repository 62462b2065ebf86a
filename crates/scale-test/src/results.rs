//! The result of a run: typed, written as JSON, and printed as a table.
//!
//! The names in the JSON are those of earlier versions, whose results are still read.

mod table;

pub use table::print;

use crate::settings::Settings;
use crate::timing::LatencyHistogram;
use crate::traffic::{ControlTraffic, FeedCounts, ServiceTraffic, Traffic};
use serde::{Deserialize, Serialize};

/// The result of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// The settings that were used.
    pub settings: Settings,
    /// Whether the measurements can be used.
    pub usable: bool,
    /// Why the measurements cannot be used, if so.
    pub reason: Option<String>,
    /// The duration of the measurement, in seconds.
    pub duration_s: f64,
    /// The number of processes of the run: its own and the placers'.
    pub processes: usize,
    /// The fraction of the machine's processor time that was busy during the measurement, by any process.
    pub machine_busy: f64,
    /// Peak memory of the run.
    pub memory: MemoryTotals,
    /// The outcomes of all tasks.
    pub fleet: FleetTotals,
    /// The results of the real placers.
    pub placers: Vec<PlacerResult>,
}

/// Peak memory of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryTotals {
    /// Resident memory of the hollow peers' process, in kB.
    pub own_peak_kb: u64,
    /// Proportional memory of all processes together, in kB.
    pub all_peak_kb: u64,
}

/// The number of tasks by outcome, and times over all placers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetTotals {
    /// Tasks that ran at the start.
    #[serde(rename = "standing")]
    pub running_at_start: u64,
    /// Tasks that arrived, over the whole run.
    pub due: u64,
    /// Arrived tasks that have started.
    pub started: u64,
    /// Arrived tasks that were refused.
    pub refused: u64,
    /// Arrived tasks whose set-up failed.
    pub failed: u64,
    /// Arrived tasks whose placer was killed before it answered.
    #[serde(rename = "cut")]
    pub placer_killed: u64,
    /// Tasks that arrived when no placer was in service.
    pub no_placer: u64,
    /// Tasks that were never answered, or ended without a notification of the client, and not because of the client,
    /// the worker or a kill.
    pub lost: u64,
    /// Tasks that ended without a notification because the placer was killed just before sending it.
    pub lost_with_placer: u64,
    /// Tasks reported as ended while a worker still ran them.
    pub ended_wrongly: u64,
    /// Tasks answered more than once.
    pub answered_twice: u64,
    /// Tasks answered though no worker has started them.
    pub never_started: u64,
    /// Non-idempotent tasks that were started more often than they were set up.
    pub started_twice: u64,
    /// Idempotent tasks that were started again at another worker.
    #[serde(rename = "started_again")]
    pub restarted: u64,
    /// Migrations by placers.
    pub moved: u64,
    /// Tasks that ended by themselves, with a notification.
    pub ended: u64,
    /// Tasks lost with their workers, with a notification.
    pub reset: u64,
    /// Offers that workers refused for lack of capacity.
    pub worker_refusals: u64,
    /// Tasks started at workers that were restored after a crash.
    pub starts_after_return: u64,
    /// Connections on which workers sent invalid bytes.
    pub garbage_sent: u64,
    /// Those of them that placers closed.
    pub garbage_dropped: u64,
    /// Messages of placers that cannot be read, and offers that no client has requested.
    pub bad_messages: u64,
    /// Measured starts per second.
    pub starts_per_s: f64,
    /// Times to start of all measured tasks.
    pub all_start_times: Percentiles,
    /// Times to start of the measured tasks, by class.
    pub start_times: Vec<ClassTimes>,
    /// The load generator's own lateness: from when tasks were due to when their set-ups were sent.
    pub lateness: Percentiles,
    /// The workers' own lateness: from when answers were due to when they were sent, over the whole run.
    pub worker_lateness: Percentiles,
}

impl FleetTotals {
    /// Returns the number of violations of the rules that every placer must keep.
    pub fn rules_broken(&self) -> u64 {
        self.lost
            + self.started_twice
            + self.answered_twice
            + self.never_started
            + self.ended_wrongly
    }
}

/// Times to start of one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassTimes {
    /// The name of the class.
    pub class: String,
    /// The times.
    pub times: Percentiles,
}

/// Percentiles of times, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// The number of times.
    pub count: u64,
    /// The mean.
    pub mean_ms: f64,
    /// The median.
    pub p50_ms: f64,
    /// The 90th percentile.
    pub p90_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
    /// The maximum.
    pub max_ms: f64,
}

/// The result of one real placer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacerResult {
    /// The name of the placer.
    pub name: String,
    /// The milliseconds from each start to the first passed health check.
    pub ready_ms: Vec<f64>,
    /// Totals over the measurement.
    pub totals: PlacerTotals,
    /// One row for each second from the start of the load.
    pub seconds: Vec<PlacerSecond>,
    /// All traffic from its first start to the end of the run.
    pub all_traffic: Traffic,
}

/// The resource usage of a placer over the measurement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacerTotals {
    /// Processor time as a fraction of one core.
    pub cpu_share: f64,
    /// Peak of the resident memory at the ends of the rows, in kB.
    pub rss_peak_kb: u64,
    /// Peak of the proportional memory at the ends of the rows, in kB.
    pub pss_peak_kb: u64,
    /// Peak resident memory as recorded by the system, in kB.
    pub peak_kb: u64,
    /// Peak of the open descriptors at the ends of the rows.
    pub descriptors_peak: usize,
    /// Control traffic per second, by kind.
    pub control: ControlRates,
    /// Service traffic per second, by kind.
    pub service: ServiceRates,
    /// Content of the feed per second.
    pub feed: FeedRates,
}

/// Traffic per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct FlowRate {
    /// Bytes to the placer.
    pub to_bytes_per_s: f64,
    /// Messages to the placer.
    pub to_messages_per_s: f64,
    /// Bytes from the placer.
    pub from_bytes_per_s: f64,
    /// Messages from the placer.
    pub from_messages_per_s: f64,
    /// Connections opened.
    pub connections_per_s: f64,
}

/// Control traffic per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlRates {
    /// The sum of all kinds.
    pub total: FlowRate,
    /// The control feed.
    pub feed: FlowRate,
    /// Health checks and their results.
    #[serde(rename = "test")]
    pub health_check: FlowRate,
    /// Connections to workers that have carried no task.
    pub idle_worker: FlowRate,
    /// The configuration.
    pub configuration: FlowRate,
}

/// Service traffic per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceRates {
    /// The sum of all kinds.
    pub total: FlowRate,
    /// Connections to workers that have carried tasks.
    pub worker: FlowRate,
    /// Connections of clients.
    pub client: FlowRate,
}

/// Content of the feed per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct FeedRates {
    /// Events of all kinds.
    pub events_per_s: f64,
    /// Entries of all kinds.
    pub entries_per_s: f64,
    /// Events with the complete list.
    #[serde(rename = "whole_events_per_s")]
    pub complete_list_events_per_s: f64,
    /// Entries of workers that are up.
    pub entries_up_per_s: f64,
    /// Entries of workers that were removed.
    pub entries_removed_per_s: f64,
}

/// One second of a placer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PlacerSecond {
    /// The number of the row, from 0 at the start of the load.
    pub second: u32,
    /// Whether the row is part of the measurement.
    pub measured: bool,
    /// The length of the row, in seconds.
    pub length_s: f64,
    /// Whether the placer was running at the end of the row; otherwise the figures of its process are 0.
    #[serde(rename = "runs")]
    pub is_running: bool,
    /// Processor time as a fraction of one core.
    pub cpu_share: f64,
    /// Resident memory at the end of the row, in kB.
    pub rss_kb: u64,
    /// Proportional memory at the end of the row, in kB.
    pub pss_kb: u64,
    /// Peak resident memory so far, in kB.
    pub peak_kb: u64,
    /// Open descriptors at the end of the row.
    pub descriptors: usize,
    /// The traffic of the row.
    pub traffic: Traffic,
    /// The content of the feed in the row.
    pub feed: FeedCounts,
}

impl FlowRate {
    /// Returns the rates of a flow over so many seconds.
    pub fn of(flow: crate::traffic::Flow, seconds: f64) -> FlowRate {
        let per_second = |count: u64| {
            if seconds > 0.0 {
                count as f64 / seconds
            } else {
                0.0
            }
        };
        FlowRate {
            to_bytes_per_s: per_second(flow.to_placer.bytes),
            to_messages_per_s: per_second(flow.to_placer.messages),
            from_bytes_per_s: per_second(flow.from_placer.bytes),
            from_messages_per_s: per_second(flow.from_placer.messages),
            connections_per_s: per_second(flow.connections),
        }
    }
}

impl ControlRates {
    /// Returns the rates of control traffic over so many seconds.
    pub fn of(traffic: &ControlTraffic, seconds: f64) -> ControlRates {
        ControlRates {
            total: FlowRate::of(traffic.total(), seconds),
            feed: FlowRate::of(traffic.feed, seconds),
            health_check: FlowRate::of(traffic.health_check, seconds),
            idle_worker: FlowRate::of(traffic.idle_worker, seconds),
            configuration: FlowRate::of(traffic.configuration, seconds),
        }
    }
}

impl ServiceRates {
    /// Returns the rates of service traffic over so many seconds.
    pub fn of(traffic: &ServiceTraffic, seconds: f64) -> ServiceRates {
        ServiceRates {
            total: FlowRate::of(traffic.total(), seconds),
            worker: FlowRate::of(traffic.worker, seconds),
            client: FlowRate::of(traffic.client, seconds),
        }
    }
}

impl FeedRates {
    /// Returns the rates of a feed over so many seconds.
    pub fn of(counts: FeedCounts, seconds: f64) -> FeedRates {
        let per_second = |count: u64| {
            if seconds > 0.0 {
                count as f64 / seconds
            } else {
                0.0
            }
        };
        FeedRates {
            events_per_s: per_second(counts.change_events + counts.complete_list_events),
            entries_per_s: per_second(counts.entries_up + counts.entries_removed),
            complete_list_events_per_s: per_second(counts.complete_list_events),
            entries_up_per_s: per_second(counts.entries_up),
            entries_removed_per_s: per_second(counts.entries_removed),
        }
    }
}

impl Percentiles {
    /// Returns the percentiles of these times.
    pub fn of(times: &LatencyHistogram) -> Percentiles {
        let times = times.histogram();
        let at = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1e3;
        if times.is_empty() {
            return Percentiles::default();
        }
        Percentiles {
            count: times.len(),
            mean_ms: times.mean() / 1e3,
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: times.max() as f64 / 1e3,
        }
    }
}

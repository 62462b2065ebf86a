//! The result of a run as typed data that is serialized as JSON and printed as a table.
//!
//! The JSON keeps the field names of earlier versions, so that results written by those versions can still be read.

mod table;

pub use table::print;

use crate::settings::Settings;
use crate::timing::LatencyHistogram;
use crate::traffic::{ControlTraffic, FeedCounts, ServiceTraffic, Traffic};
use serde::{Deserialize, Serialize};

/// The result of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// The settings of the run.
    pub settings: Settings,
    /// Whether the measurements are valid.
    pub usable: bool,
    /// Why the measurements are invalid; `None` if they are valid.
    pub reason: Option<String>,
    /// The duration of the measurement, in seconds.
    pub duration_s: f64,
    /// The number of processes of the run: the scale test itself and the placers.
    pub processes: usize,
    /// The fraction of the machine's processor time that was busy during the measurement, by any process.
    pub machine_busy: f64,
    /// The peak memory of the run's processes.
    pub memory: MemoryTotals,
    /// The task outcomes and times to start, over all placers.
    pub fleet: FleetTotals,
    /// The results of the real placers.
    pub placers: Vec<PlacerResult>,
}

/// Peak memory of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryTotals {
    /// Peak resident memory of the process that simulates workers and clients, in kB.
    pub own_peak_kb: u64,
    /// Peak of the summed proportional set sizes (PSS) of all processes of the run, in kB.
    pub all_peak_kb: u64,
}

/// The number of tasks by outcome, and times to start, over all placers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetTotals {
    /// Tasks that were already running when the run started.
    #[serde(rename = "standing")]
    pub running_at_start: u64,
    /// Tasks that arrived, over the whole run.
    pub due: u64,
    /// Arrived tasks that were started.
    pub started: u64,
    /// Arrived tasks that were refused.
    pub refused: u64,
    /// Arrived tasks whose request failed.
    pub failed: u64,
    /// Arrived tasks whose placer was killed before it answered.
    #[serde(rename = "cut")]
    pub placer_killed: u64,
    /// Tasks that arrived when no placer was in service.
    pub no_placer: u64,
    /// Tasks whose request was never answered, or whose end was not reported to the client although neither the
    /// client nor a kill of the placer caused that.
    pub lost: u64,
    /// Tasks whose end was not reported to the client because the placer was killed shortly before it sent the report.
    pub lost_with_placer: u64,
    /// Tasks reported as ended while a worker still ran them.
    pub ended_wrongly: u64,
    /// Tasks whose request was answered more than once.
    pub answered_twice: u64,
    /// Tasks reported as started although no worker started them.
    pub never_started: u64,
    /// Non-idempotent tasks that were started more often than their request and migrations account for.
    pub started_twice: u64,
    /// Idempotent tasks that were started more often than their request and migrations account for, which is allowed.
    #[serde(rename = "started_again")]
    pub restarted: u64,
    /// Migrations of tasks by placers.
    pub moved: u64,
    /// Tasks that ended regularly and whose end was reported to the client.
    pub ended: u64,
    /// Tasks that ended for another cause, such as a lost worker, and whose end was reported to the client.
    pub reset: u64,
    /// Offers that workers refused because they had no free capacity.
    pub worker_refusals: u64,
    /// Tasks started on workers that were restored after a crash.
    pub starts_after_return: u64,
    /// Connections on which workers sent invalid bytes.
    pub garbage_sent: u64,
    /// Connections that placers closed after workers sent invalid bytes on them.
    pub garbage_dropped: u64,
    /// Messages from placers that cannot be parsed, and offers of tasks that no client requested.
    pub bad_messages: u64,
    /// Task starts per second during the measurement.
    pub starts_per_s: f64,
    /// Times from arrival to start, over all measured tasks.
    pub all_start_times: Percentiles,
    /// Times from arrival to start of the measured tasks, by class.
    pub start_times: Vec<ClassTimes>,
    /// The lateness of the load generator: the time from when a task was due until its request was sent.
    pub lateness: Percentiles,
    /// The lateness of the workers, over the whole run: the time from when an answer was due until it was sent.
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

/// The times from arrival to start of one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassTimes {
    /// The name of the class.
    pub class: String,
    /// The percentiles of the times.
    pub times: Percentiles,
}

/// Percentiles of a distribution of times, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// The number of recorded times.
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
    /// For each start of the placer, the time until it first passed a health check, in milliseconds.
    pub ready_ms: Vec<f64>,
    /// Totals and rates over the measurement.
    pub totals: PlacerTotals,
    /// One row for each second from the start of the load.
    pub seconds: Vec<PlacerSecond>,
    /// All traffic of the placer, from its first start to the end of the run.
    pub all_traffic: Traffic,
}

/// The resource usage of a placer over the measurement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacerTotals {
    /// Processor time as a fraction of one core.
    pub cpu_share: f64,
    /// The largest resident memory sampled at the end of a row, in kB.
    pub rss_peak_kb: u64,
    /// The largest proportional set size (PSS) sampled at the end of a row, in kB.
    pub pss_peak_kb: u64,
    /// The peak resident memory as recorded by the kernel, in kB.
    pub peak_kb: u64,
    /// The largest number of open descriptors sampled at the end of a row.
    pub descriptors_peak: usize,
    /// Control traffic per second, by kind.
    pub control: ControlRates,
    /// Service traffic per second, by kind.
    pub service: ServiceRates,
    /// Events and entries of the control feed per second.
    pub feed: FeedRates,
}

/// Bytes, messages and connections per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct FlowRate {
    /// Bytes sent to the placer.
    pub to_bytes_per_s: f64,
    /// Messages sent to the placer.
    pub to_messages_per_s: f64,
    /// Bytes received from the placer.
    pub from_bytes_per_s: f64,
    /// Messages received from the placer.
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
    /// Deliveries of the configuration.
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

/// Events and entries of the control feed per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct FeedRates {
    /// Events of all kinds.
    pub events_per_s: f64,
    /// Entries of all kinds.
    pub entries_per_s: f64,
    /// Events that carry the complete list of workers.
    #[serde(rename = "whole_events_per_s")]
    pub complete_list_events_per_s: f64,
    /// Entries that report a worker as up.
    pub entries_up_per_s: f64,
    /// Entries that report a worker as removed.
    pub entries_removed_per_s: f64,
}

/// The resource usage and traffic of a placer in one row, which is about one second long.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PlacerSecond {
    /// The number of the row, from 0 at the start of the load.
    pub second: u32,
    /// Whether the row is part of the measurement.
    pub measured: bool,
    /// The length of the row, in seconds.
    pub length_s: f64,
    /// Whether the placer was running at the end of the row. If not, the values sampled from its process are 0.
    #[serde(rename = "runs")]
    pub is_running: bool,
    /// Processor time as a fraction of one core.
    pub cpu_share: f64,
    /// Resident memory at the end of the row, in kB.
    pub rss_kb: u64,
    /// Proportional set size (PSS) at the end of the row, in kB.
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
    /// Returns the rates of a flow over a period, or zeros if the period is empty.
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
    /// Returns the rates of control traffic over a period, or zeros if the period is empty.
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
    /// Returns the rates of service traffic over a period, or zeros if the period is empty.
    pub fn of(traffic: &ServiceTraffic, seconds: f64) -> ServiceRates {
        ServiceRates {
            total: FlowRate::of(traffic.total(), seconds),
            worker: FlowRate::of(traffic.worker, seconds),
            client: FlowRate::of(traffic.client, seconds),
        }
    }
}

impl FeedRates {
    /// Returns the rates of a feed over a period, or zeros if the period is empty.
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
    /// Returns the percentiles of a histogram, or zeros if it is empty.
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

//! What a run has found: typed, written as JSON, and printed as a table.

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
    /// Whether the figures can be used.
    pub usable: bool,
    /// Why not, if so.
    pub reason: Option<String>,
    /// The measured time, in seconds.
    pub duration_s: f64,
    /// Processes of the run: its own and the placers'.
    pub processes: usize,
    /// The part of the machine's processors that was busy over the measured time, whoever used them.
    pub machine_busy: f64,
    /// Memory of the run.
    pub memory: MemoryTotals,
    /// All tasks.
    pub fleet: FleetTotals,
    /// Each real placer.
    pub placers: Vec<PlacerResult>,
}

/// Memory of a run, at its most.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryTotals {
    /// Resident memory of the hollow peers' process, in kB.
    pub own_peak_kb: u64,
    /// Proportional memory of all processes together, in kB.
    pub all_peak_kb: u64,
}

/// What became of all tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetTotals {
    /// Tasks that stood at the start.
    #[serde(rename = "standing")]
    pub running_at_start: u64,
    /// Tasks that were due, over the whole run.
    pub due: u64,
    /// Of these, tasks that were answered: they stood.
    pub started: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Cut with a placer that was killed before it answered.
    pub cut: u64,
    /// TimerEvent when no placer was in service.
    pub no_placer: u64,
    /// Lost: never answered, or over with no word to the client, through no fault of the client's, the
    /// worker's or a kill.
    pub lost: u64,
    /// Over with no word to the client, since the placer was killed while it had the word.
    pub lost_with_placer: u64,
    /// Told to be over while their workers still held them.
    pub ended_wrongly: u64,
    /// Answered more than once.
    pub answered_twice: u64,
    /// Answered, though no worker has started them.
    pub never_started: u64,
    /// Of the class that must not start twice: started more often than they were set up.
    pub started_twice: u64,
    /// Of the classes that may: started again at another worker.
    #[serde(rename = "started_again")]
    pub restarted: u64,
    /// Moved by their placer.
    pub moved: u64,
    /// Ended by themselves, and told so.
    pub ended: u64,
    /// Lost with their workers, and told so.
    pub reset: u64,
    /// Offers that workers refused for want of room.
    pub worker_refusals: u64,
    /// Tasks started at workers that had come back cold.
    pub starts_after_return: u64,
    /// Connections on which workers sent bytes that are no message.
    pub garbage_sent: u64,
    /// Those of them that placers have closed.
    pub garbage_dropped: u64,
    /// Messages of placers that can't be read, and offers that no client has set up.
    pub bad_messages: u64,
    /// Measured starts a second.
    pub starts_per_s: f64,
    /// Times to start of all measured tasks.
    pub all_start_times: Percentiles,
    /// Times to start of the measured tasks, by class.
    pub start_times: Vec<ClassTimes>,
    /// The generator's own lateness: from when tasks were due to when their set-ups were sent.
    pub lateness: Percentiles,
    /// The workers' own lateness: from when answers were due to when they were sent, over the whole run.
    pub worker_lateness: Percentiles,
}

impl FleetTotals {
    /// Tasks with which a placer has broken a rule.
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
    /// Its name.
    pub class: String,
    /// The times.
    pub times: Percentiles,
}

/// Percentiles of times, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// How many times there are.
    pub count: u64,
    /// The mean.
    pub mean_ms: f64,
    /// Half of them are at most this.
    pub p50_ms: f64,
    /// Nine of ten.
    pub p90_ms: f64,
    /// 99 of 100.
    pub p99_ms: f64,
    /// 999 of 1,000.
    pub p999_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

/// One real placer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacerResult {
    /// Its name.
    pub name: String,
    /// From each start to the first passed test, in milliseconds.
    pub ready_ms: Vec<f64>,
    /// Its totals over the measured time.
    pub totals: PlacerTotals,
    /// Its rows, one for each second from the start of the load.
    pub seconds: Vec<PlacerSecond>,
    /// All that went to and from it from its first start to the end of the run.
    pub all_traffic: Traffic,
}

/// What a placer cost over the measured time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacerTotals {
    /// Its share of one core.
    pub cpu_share: f64,
    /// The most resident memory of any second, in kB.
    pub rss_peak_kb: u64,
    /// The most proportional memory of any second, in kB.
    pub pss_peak_kb: u64,
    /// The most resident memory that the system has seen, in kB.
    pub peak_kb: u64,
    /// The most descriptors of any second.
    pub descriptors_peak: usize,
    /// What kept it informed and tested, by kind, a second.
    pub control: ControlRates,
    /// What carried tasks, by kind, a second.
    pub service: ServiceRates,
    /// What the feed told, a second.
    pub feed: FeedRates,
}

/// Volume a second.
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

/// Control, a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlRates {
    /// All kinds together.
    pub total: FlowRate,
    /// The control feed.
    pub feed: FlowRate,
    /// Tests and their results.
    pub test: FlowRate,
    /// Calls to workers that never carried a task.
    pub idle_worker: FlowRate,
    /// The configuration.
    pub configuration: FlowRate,
}

/// Service, a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceRates {
    /// All kinds together.
    pub total: FlowRate,
    /// Connections to workers that carried tasks.
    pub worker: FlowRate,
    /// Connections of clients.
    pub client: FlowRate,
}

/// What the feed told, a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct FeedRates {
    /// Events of all kinds.
    pub events_per_s: f64,
    /// Entries of all kinds.
    pub entries_per_s: f64,
    /// Events that hold the whole list.
    pub whole_events_per_s: f64,
    /// Entries of workers that are up.
    pub entries_up_per_s: f64,
    /// Entries of workers that were removed.
    pub entries_removed_per_s: f64,
}

/// One second of a placer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PlacerSecond {
    /// Its place, from the start of the load.
    pub second: u32,
    /// Whether it counts.
    pub measured: bool,
    /// Its length, in seconds.
    pub length_s: f64,
    /// Whether the placer ran at its end; else its figures are those of no process.
    pub runs: bool,
    /// Share of one core.
    pub cpu_share: f64,
    /// Resident memory at its end, in kB.
    pub rss_kb: u64,
    /// Proportional memory at its end, in kB.
    pub pss_kb: u64,
    /// The most resident memory so far, in kB.
    pub peak_kb: u64,
    /// Descriptors at its end.
    pub descriptors: usize,
    /// What went to and from it.
    pub traffic: Traffic,
    /// What the feed told.
    pub feed: FeedCounts,
}

impl FlowRate {
    /// A flow over so many seconds.
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
    /// Control over so many seconds.
    pub fn of(traffic: &ControlTraffic, seconds: f64) -> ControlRates {
        ControlRates {
            total: FlowRate::of(traffic.total(), seconds),
            feed: FlowRate::of(traffic.feed, seconds),
            test: FlowRate::of(traffic.test, seconds),
            idle_worker: FlowRate::of(traffic.idle_worker, seconds),
            configuration: FlowRate::of(traffic.configuration, seconds),
        }
    }
}

impl ServiceRates {
    /// Service over so many seconds.
    pub fn of(traffic: &ServiceTraffic, seconds: f64) -> ServiceRates {
        ServiceRates {
            total: FlowRate::of(traffic.total(), seconds),
            worker: FlowRate::of(traffic.worker, seconds),
            client: FlowRate::of(traffic.client, seconds),
        }
    }
}

impl FeedRates {
    /// What a feed told over so many seconds.
    pub fn of(counts: FeedCounts, seconds: f64) -> FeedRates {
        let per_second = |count: u64| {
            if seconds > 0.0 {
                count as f64 / seconds
            } else {
                0.0
            }
        };
        FeedRates {
            events_per_s: per_second(counts.change_events + counts.whole_events),
            entries_per_s: per_second(counts.entries_up + counts.entries_removed),
            whole_events_per_s: per_second(counts.whole_events),
            entries_up_per_s: per_second(counts.entries_up),
            entries_removed_per_s: per_second(counts.entries_removed),
        }
    }
}

impl Percentiles {
    /// Of these times.
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

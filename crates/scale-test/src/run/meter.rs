//! Measures each placer once a second: the resource usage of its process, and the traffic to and from it.
//!
//! [`Meter`] owns the rows of the result. It reads processes and counters, and changes nothing in the environment.

use super::CHECK_INTERVAL;
use super::environment::TestEnvironment;
use super::machine::MachineTime;
use crate::identity::PlacerId;
use crate::process_sample::{ProcessSample, Sampler};
use crate::results::{
    ControlRates, FeedRates, MemoryTotals, PlacerResult, PlacerSecond, PlacerTotals, ServiceRates,
};
use crate::traffic::{FeedCounts, PlacerCounters, Traffic};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The rows of one placer, and the latest readings, from which the next row is computed.
struct PlacerMeter {
    /// The id of the process that was sampled last, if it was running. A restart changes it.
    process: Option<u32>,
    sample: ProcessSample,
    traffic: Traffic,
    feed: FeedCounts,
    rows: Vec<PlacerSecond>,
    /// Processor time used during the measured rows.
    cpu: Duration,
}

/// Measures all placers and the machine.
pub struct Meter {
    counters: Vec<Arc<PlacerCounters>>,
    placers: Vec<PlacerMeter>,
    measured_from: Instant,
    last_sample_at: Instant,
    second: u32,
    memory: MemoryTotals,
    /// The machine's processor time over the measured rows; `None` before the first of them.
    machine: Option<MachineSpan>,
}

/// The machine's processor time at the start and at the end of a span.
#[derive(Debug, Clone, Copy)]
struct MachineSpan {
    start: MachineTime,
    end: MachineTime,
}

impl Meter {
    /// Returns a meter for the placers with these counters. Rows that start before `measured_from` are not measured.
    pub fn new(counters: Vec<Arc<PlacerCounters>>, measured_from: Instant) -> Meter {
        let meter = |_: &Arc<PlacerCounters>| PlacerMeter {
            process: None,
            sample: ProcessSample::default(),
            traffic: Traffic::default(),
            feed: FeedCounts::default(),
            rows: Vec::new(),
            cpu: Duration::ZERO,
        };
        Meter {
            placers: counters.iter().map(meter).collect(),
            counters,
            measured_from,
            last_sample_at: Instant::now(),
            second: 0,
            memory: MemoryTotals::default(),
            machine: None,
        }
    }

    /// Starts the first row by reading every process and counter.
    pub fn start_rows(&mut self, environment: &TestEnvironment, sampler: &mut dyn Sampler) {
        self.last_sample_at = Instant::now();
        self.start_measured();
        for ((placer, counters), process) in self
            .placers
            .iter_mut()
            .zip(&self.counters)
            .zip(environment.process_ids())
        {
            (placer.process, placer.sample) = sampled(process, sampler);
            (placer.traffic, placer.feed) = (counters.traffic(), counters.feed());
        }
    }

    /// Completes the current row of each placer, and starts the next one.
    pub fn complete_row(&mut self, environment: &TestEnvironment, sampler: &mut dyn Sampler) {
        let start = std::mem::replace(&mut self.last_sample_at, Instant::now());
        let length = self.last_sample_at.saturating_duration_since(start);
        let measured = is_measured(start, self.measured_from);
        match &mut self.machine {
            Some(span) if measured => span.end = MachineTime::now(),
            _ => {}
        }
        let mut all_kb = 0;
        for ((placer, counters), process) in self
            .placers
            .iter_mut()
            .zip(&self.counters)
            .zip(environment.process_ids())
        {
            let row = placer.next_row(counters, process, sampler, length);
            let row = PlacerSecond {
                second: self.second,
                measured,
                ..row
            };
            all_kb += row.pss_kb;
            if measured {
                placer.cpu += length.mul_f64(row.cpu_share);
            }
            placer.rows.push(row);
        }
        if let Ok(own) = sampler.sample(std::process::id()) {
            self.memory.own_peak_kb = self.memory.own_peak_kb.max(own.peak_kb);
            self.memory.all_peak_kb = self.memory.all_peak_kb.max(all_kb + own.pss_kb);
        }
        self.second += 1;
        self.start_measured();
    }

    /// Starts measuring the machine if the row that now starts is the first measured one.
    fn start_measured(&mut self) {
        if self.machine.is_none() && is_measured(self.last_sample_at, self.measured_from) {
            let now = MachineTime::now();
            self.machine = Some(MachineSpan {
                start: now,
                end: now,
            });
        }
    }

    /// Returns the fraction of the machine's processor time that was busy over the measured rows.
    pub fn machine_busy(&self) -> f64 {
        self.machine
            .map_or(0.0, |span| span.end.busy_since(span.start))
    }

    /// Returns the peak memory of this process and of the whole run.
    pub fn memory(&self) -> MemoryTotals {
        self.memory
    }

    /// Returns the results of all placers. `ready_ms` holds, for each placer, its times from start to ready, in
    /// milliseconds.
    pub fn finish(self, ready_ms: Vec<Vec<f64>>) -> Vec<PlacerResult> {
        let mut results = Vec::new();
        for (index, ((placer, counters), ready_ms)) in
            (0..).zip(self.placers.into_iter().zip(self.counters).zip(ready_ms))
        {
            results.push(PlacerResult {
                name: PlacerId(index).to_string(),
                ready_ms,
                totals: totals(&placer),
                all_traffic: counters.traffic(),
                seconds: placer.rows,
            });
        }
        results
    }
}

/// Returns whether a row that starts at this time is measured. A measured row may start earlier than the measured time
/// by up to [`CHECK_INTERVAL`].
fn is_measured(start: Instant, measured_from: Instant) -> bool {
    start + CHECK_INTERVAL >= measured_from
}

/// Samples a process. Returns `None` and zeros if it is not running.
fn sampled(process: Option<u32>, sampler: &mut dyn Sampler) -> (Option<u32>, ProcessSample) {
    // Sampling fails while a process exits.
    let sample = process.and_then(|id| sampler.sample(id).ok());
    (
        process.filter(|_| sample.is_some()),
        sample.unwrap_or_default(),
    )
}

impl PlacerMeter {
    /// Returns the row from the previous readings to the current ones, and stores the current ones for the next row.
    /// The caller sets `second` and `measured`.
    fn next_row(
        &mut self,
        counters: &PlacerCounters,
        process: Option<u32>,
        sampler: &mut dyn Sampler,
        length: Duration,
    ) -> PlacerSecond {
        let (process, sample) = sampled(process, sampler);
        // A restarted placer's process was started within this row, so all of its processor time counts. The time that
        // the previous process used after its last sample is unknown and does not count.
        let before = if process == self.process {
            self.sample.cpu
        } else {
            Duration::ZERO
        };
        let cpu = sample.cpu.saturating_sub(before);
        let traffic = counters.traffic();
        let feed = counters.feed();
        let row = PlacerSecond {
            second: 0,
            measured: false,
            length_s: length.as_secs_f64(),
            is_running: process.is_some(),
            cpu_share: cpu.as_secs_f64() / length.as_secs_f64().max(f64::MIN_POSITIVE),
            rss_kb: sample.rss_kb,
            pss_kb: sample.pss_kb,
            peak_kb: sample.peak_kb,
            descriptors: sample.descriptors,
            traffic: traffic - self.traffic,
            feed: feed - self.feed,
        };
        (self.process, self.sample, self.traffic, self.feed) = (process, sample, traffic, feed);
        row
    }
}

/// Returns the totals of a placer over its measured rows.
fn totals(placer: &PlacerMeter) -> PlacerTotals {
    let rows: Vec<&PlacerSecond> = placer.rows.iter().filter(|row| row.measured).collect();
    let seconds: f64 = rows.iter().map(|row| row.length_s).sum();
    let (mut traffic, mut feed) = (Traffic::default(), FeedCounts::default());
    for row in &rows {
        traffic += row.traffic;
        feed += row.feed;
    }
    let peak =
        |figure: fn(&PlacerSecond) -> u64| rows.iter().map(|row| figure(row)).max().unwrap_or(0);
    PlacerTotals {
        cpu_share: if seconds > 0.0 {
            placer.cpu.as_secs_f64() / seconds
        } else {
            0.0
        },
        rss_peak_kb: peak(|row| row.rss_kb),
        pss_peak_kb: peak(|row| row.pss_kb),
        peak_kb: peak(|row| row.peak_kb),
        descriptors_peak: rows.iter().map(|row| row.descriptors).max().unwrap_or(0),
        control: ControlRates::of(&traffic.control, seconds),
        service: ServiceRates::of(&traffic.service, seconds),
        feed: FeedRates::of(feed, seconds),
    }
}

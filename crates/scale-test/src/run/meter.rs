//! A row for each placer and second: what it used, and what went to and from it.

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

/// One placer as it was last seen.
struct PlacerMeter {
    process: Option<u32>,
    sample: ProcessSample,
    traffic: Traffic,
    feed: FeedCounts,
    rows: Vec<PlacerSecond>,
    /// Processor time within the rows that count.
    cpu: Duration,
}

/// Makes the rows.
pub struct Meter {
    counters: Vec<Arc<PlacerCounters>>,
    placers: Vec<PlacerMeter>,
    measured_from: Instant,
    last_sample_at: Instant,
    second: u32,
    memory: MemoryTotals,
    /// The machine's time at the start and at the end of the rows that count.
    machine: Option<(MachineTime, MachineTime)>,
}

impl Meter {
    /// A meter of placers with these counters.
    pub fn new(counters: Vec<Arc<PlacerCounters>>, measured_from: Instant) -> Meter {
        let seen = |_: &Arc<PlacerCounters>| PlacerMeter {
            process: None,
            sample: ProcessSample::default(),
            traffic: Traffic::default(),
            feed: FeedCounts::default(),
            rows: Vec::new(),
            cpu: Duration::ZERO,
        };
        Meter {
            placers: counters.iter().map(seen).collect(),
            counters,
            measured_from,
            last_sample_at: Instant::now(),
            second: 0,
            memory: MemoryTotals::default(),
            machine: None,
        }
    }

    /// The first row begins.
    pub fn begin(&mut self, environment: &TestEnvironment, sampler: &mut dyn Sampler) {
        self.last_sample_at = Instant::now();
        self.begin_measured();
        for ((seen, counters), process) in self
            .placers
            .iter_mut()
            .zip(&self.counters)
            .zip(environment.process_ids())
        {
            (seen.process, seen.sample) = sampled(process, sampler);
            (seen.traffic, seen.feed) = (counters.traffic(), counters.feed());
        }
    }

    /// A row ends, and the next begins.
    pub fn row(&mut self, environment: &TestEnvironment, sampler: &mut dyn Sampler) {
        let start = std::mem::replace(&mut self.last_sample_at, Instant::now());
        let length = self.last_sample_at.saturating_duration_since(start);
        let measured = counts(start, self.measured_from);
        match &mut self.machine {
            Some((_, end)) if measured => *end = MachineTime::now(),
            _ => {}
        }
        let mut all_kb = 0;
        for ((seen, counters), process) in self
            .placers
            .iter_mut()
            .zip(&self.counters)
            .zip(environment.process_ids())
        {
            let row = seen.row(counters, process, sampler, length);
            let row = PlacerSecond {
                second: self.second,
                measured,
                ..row
            };
            all_kb += row.pss_kb;
            if measured {
                seen.cpu += length.mul_f64(row.cpu_share);
            }
            seen.rows.push(row);
        }
        if let Ok(own) = sampler.sample(std::process::id()) {
            self.memory.own_peak_kb = self.memory.own_peak_kb.max(own.peak_kb);
            self.memory.all_peak_kb = self.memory.all_peak_kb.max(all_kb + own.pss_kb);
        }
        self.second += 1;
        self.begin_measured();
    }

    /// The rows that count begin, if this is their time and they have not begun.
    fn begin_measured(&mut self) {
        if self.machine.is_none() && counts(self.last_sample_at, self.measured_from) {
            let now = MachineTime::now();
            self.machine = Some((now, now));
        }
    }

    /// The part of the machine's processors that was busy while the rows counted.
    pub fn machine_busy(&self) -> f64 {
        self.machine
            .map_or(0.0, |(start, end)| end.busy_since(start))
    }

    /// Memory at its most.
    pub fn memory(&self) -> MemoryTotals {
        self.memory
    }

    /// The results of all placers, with their times from start to ready.
    pub fn finish(self, ready: Vec<Vec<f64>>) -> Vec<PlacerResult> {
        let all = self.placers.into_iter().zip(self.counters).zip(ready);
        let result = |(place, ((seen, counters), ready_ms)): (
            u16,
            ((PlacerMeter, Arc<PlacerCounters>), _),
        )| {
            PlacerResult {
                name: PlacerId(place).to_string(),
                ready_ms,
                totals: totals(&seen),
                all_traffic: counters.traffic(),
                seconds: seen.rows,
            }
        };
        (0..).zip(all).map(result).collect()
    }
}

/// Whether a row that begins at this time counts. None reaches over the start of the measured time, but for
/// the time of a look.
fn counts(start: Instant, measured_from: Instant) -> bool {
    start + CHECK_INTERVAL >= measured_from
}

/// A process's figures; none where it does not run.
fn sampled(process: Option<u32>, sampler: &mut dyn Sampler) -> (Option<u32>, ProcessSample) {
    // A process that ends just now has none.
    let sample = process.and_then(|id| sampler.sample(id).ok());
    (
        process.filter(|_| sample.is_some()),
        sample.unwrap_or_default(),
    )
}

impl PlacerMeter {
    fn row(
        &mut self,
        counters: &PlacerCounters,
        process: Option<u32>,
        sampler: &mut dyn Sampler,
        length: Duration,
    ) -> PlacerSecond {
        let (process, sample) = sampled(process, sampler);
        // Of a process that is new all its time is of this row; what one that is gone had used is not known.
        let before = if process == self.process {
            self.sample.cpu
        } else {
            Duration::ZERO
        };
        let cpu = sample.cpu.saturating_sub(before);
        let (traffic, feed) = (counters.traffic(), counters.feed());
        let row = PlacerSecond {
            second: 0,
            measured: false,
            length_s: length.as_secs_f64(),
            runs: process.is_some(),
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

fn totals(seen: &PlacerMeter) -> PlacerTotals {
    let rows: Vec<&PlacerSecond> = seen.rows.iter().filter(|row| row.measured).collect();
    let seconds: f64 = rows.iter().map(|row| row.length_s).sum();
    let (mut traffic, mut feed) = (Traffic::default(), FeedCounts::default());
    for row in &rows {
        traffic += row.traffic;
        feed += row.feed;
    }
    let most =
        |figure: fn(&PlacerSecond) -> u64| rows.iter().map(|row| figure(row)).max().unwrap_or(0);
    PlacerTotals {
        cpu_share: if seconds > 0.0 {
            seen.cpu.as_secs_f64() / seconds
        } else {
            0.0
        },
        rss_peak_kb: most(|row| row.rss_kb),
        pss_peak_kb: most(|row| row.pss_kb),
        peak_kb: most(|row| row.peak_kb),
        descriptors_peak: rows.iter().map(|row| row.descriptors).max().unwrap_or(0),
        control: ControlRates::of(&traffic.control, seconds),
        service: ServiceRates::of(&traffic.service, seconds),
        feed: FeedRates::of(feed, seconds),
    }
}

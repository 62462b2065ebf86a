//! Writes latencies as an interval log of HDR histograms (version 2, deflated), the format that HdrHistogram tools read.

use super::{SECOND, latency_histogram, record_latency};
use crate::outcome::Outcome;
use hdrhistogram::serialization::V2DeflateSerializer;
use hdrhistogram::serialization::interval_log::{IntervalLogWriterBuilder, Tag};
use std::io::Write;
use std::time::Duration;

const INTERVAL: Duration = Duration::from_secs(1);

/// Writes one latency histogram for each class and each second in which tasks of the class were due, tagged with the
/// class.
///
/// The latency of a task is the time from when it was due until it started.
///
/// # Errors
///
/// Writing to `output` fails.
pub fn write_interval_log(outcome: &Outcome, output: &mut impl Write) -> std::io::Result<()> {
    let mut serializer = V2DeflateSerializer::new();
    let mut log = IntervalLogWriterBuilder::new()
        .add_comment("latency from due to start, microseconds")
        .begin_log_with(output, &mut serializer)?;
    let seconds = outcome.profile.length() / SECOND + 1;
    for second in 0..seconds {
        for (index, class) in outcome.plan.classes.iter().enumerate() {
            let mut histogram = latency_histogram();
            let tasks = outcome
                .tasks
                .iter()
                .filter(|task| task.arrival.class == index && task.arrival.due / SECOND == second);
            for latency in tasks.filter_map(|task| task.start_latency) {
                record_latency(&mut histogram, latency);
            }
            if histogram.is_empty() {
                continue;
            }
            let start = Duration::from_secs(second as u64);
            log.write_histogram(&histogram, start, INTERVAL, Tag::new(&class.name))
                .map_err(|e| std::io::Error::other(format!("{e:?}")))?;
        }
    }
    Ok(())
}

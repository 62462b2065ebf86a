//! A plain reader of one process's figures under `/proc`.

use crate::process_sample::{ProcessSample, Sampler};
use rustix::param::clock_ticks_per_second;
use std::fs;
use std::io;
use std::time::Duration;

/// Fields of `/proc/PID/stat` after the program's name, from 0: time in user and in system mode.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Reads `/proc`.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlainSampler;

impl Sampler for PlainSampler {
    fn sample(&mut self, pid: u32) -> io::Result<ProcessSample> {
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let rollup = fs::read_to_string(format!("/proc/{pid}/smaps_rollup"))?;
        Ok(ProcessSample {
            cpu: cpu(&fs::read_to_string(format!("/proc/{pid}/stat"))?)?,
            rss_kb: kilobytes(&status, "VmRSS:")?,
            pss_kb: kilobytes(&rollup, "Pss:")?,
            peak_kb: kilobytes(&status, "VmHWM:")?,
            descriptors: fs::read_dir(format!("/proc/{pid}/fd"))?.count(),
        })
    }
}

fn cpu(stat: &str) -> io::Result<Duration> {
    let fields: Vec<&str> =
        stat.rsplit_once(") ").map(|(_, rest)| rest.split(' ').collect()).unwrap_or_default();
    let ticks = |place: usize| fields.get(place).and_then(|field| field.parse::<u64>().ok());
    let (Some(user), Some(system)) = (ticks(USER_TIME), ticks(SYSTEM_TIME)) else {
        return Err(io::Error::other("no times in /proc/PID/stat"));
    };
    Ok(Duration::from_secs_f64((user + system) as f64 / clock_ticks_per_second() as f64))
}

fn kilobytes(text: &str, name: &str) -> io::Result<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|rest| rest.split_whitespace().next()).and_then(|number| number.parse().ok());
    number.ok_or_else(|| io::Error::other(format!("no {name} of the process")))
}

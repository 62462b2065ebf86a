//! The resource usage of a process, read from the Linux kernel.

use std::io;
use std::time::Duration;

use nix::time::clock_getcpuclockid;
use nix::unistd::Pid;
use procfs::ProcError;
use procfs::process::{MMapExtension, Process};

use crate::process_sample::{ProcessSample, Sampler};

#[cfg(test)]
mod tests;

/// Bytes in the unit of [`ProcessSample`]'s memory figures.
const BYTES_PER_KB: u64 = 1024;

/// The field of `smaps_rollup` with the pages that are in memory.
const RSS_FIELD: &str = "Rss";

/// The field of `smaps_rollup` with the same pages, each divided by the number of processes that share it.
const PSS_FIELD: &str = "Pss";

/// Samples any process of the same user by its process id.
///
/// CPU time comes from the process's CPU-time clock (`clock_getcpuclockid(3)`): nanoseconds, up to the
/// moment of the call, and with the threads that have ended. `/proc/PID/stat` counts in ticks of 10 ms, and a
/// sum over `/proc/PID/task/*/schedstat` loses what ended threads used.
///
/// RSS and PSS come from `/proc/PID/smaps_rollup`. The kernel walks all pages that are mapped by the process,
/// under the lock that its own mapping calls wait for, so the cost grows with its memory and is partly borne
/// by the sampled process. Sample at the ends of a measurement, or some times a minute, and not in a tight loop.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcSampler;

impl Sampler for ProcSampler {
    fn sample(&mut self, pid: u32) -> io::Result<ProcessSample> {
        let pid = i32::try_from(pid).map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
        let process = Process::new(pid).map_err(io_error)?;
        let cpu = cpu_time(pid)?;
        let memory = memory_map_totals(&process)?;
        let rss_kb = kilobytes(&memory, RSS_FIELD)?;
        let pss_kb = kilobytes(&memory, PSS_FIELD)?;
        let peak_kb = peak_kb(&process)?.max(rss_kb);
        let descriptors = process.fd_count().map_err(io_error)?;
        Ok(ProcessSample {
            cpu,
            rss_kb,
            pss_kb,
            peak_kb,
            descriptors,
        })
    }
}

/// Returns the CPU time of all threads that the process has or had.
fn cpu_time(pid: i32) -> io::Result<Duration> {
    let clock = clock_getcpuclockid(Pid::from_raw(pid))?;
    Ok(Duration::from(clock.now()?))
}

/// Returns the totals over all memory maps.
fn memory_map_totals(process: &Process) -> io::Result<MMapExtension> {
    let rollup = process.smaps_rollup().map_err(io_error)?;
    let total = rollup.memory_map_rollup.into_iter().next();
    total
        .map(|map| map.extension)
        .ok_or_else(|| missing("smaps_rollup"))
}

fn kilobytes(totals: &MMapExtension, field: &str) -> io::Result<u64> {
    let bytes = totals.map.get(field).ok_or_else(|| missing(field))?;
    Ok(bytes / BYTES_PER_KB)
}

/// Returns the peak RSS. The kernel merges its counters only now and then, so the peak can lag behind a sample of
/// the RSS by some pages.
fn peak_kb(process: &Process) -> io::Result<u64> {
    let status = process.status().map_err(io_error)?;
    Ok(status.vmhwm.unwrap_or(0))
}

fn missing(field: &str) -> io::Error {
    io::Error::new(
        io::ErrorKind::NotFound,
        format!("the kernel states no {field} for the process"),
    )
}

/// Converts an error of the `procfs` crate to an I/O error.
pub(crate) fn io_error(error: ProcError) -> io::Error {
    match error {
        ProcError::NotFound(_) => io::Error::new(io::ErrorKind::NotFound, error),
        ProcError::PermissionDenied(_) => io::Error::new(io::ErrorKind::PermissionDenied, error),
        ProcError::Io(source, _) => source,
        ProcError::Incomplete(_) | ProcError::Other(_) | ProcError::InternalError(_) => {
            io::Error::other(error)
        }
    }
}

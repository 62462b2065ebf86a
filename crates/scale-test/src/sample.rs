//! Reads the resource usage of a process from the Linux kernel.

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

/// The field of `smaps_rollup` that holds the size of the resident pages.
const RSS_FIELD: &str = "Rss";

/// The field of `smaps_rollup` that holds the size of the resident pages, with each page divided by the number of
/// processes that share it.
const PSS_FIELD: &str = "Pss";

/// Samples any process of the same user by its process id.
///
/// CPU time comes from the process's CPU-time clock (`clock_getcpuclockid(3)`), which counts in nanoseconds up to the
/// moment of the call and includes threads that have ended. `/proc/PID/stat` counts in ticks of 10 ms, and a
/// sum over `/proc/PID/task/*/schedstat` omits the time of threads that have ended.
///
/// RSS and PSS come from `/proc/PID/smaps_rollup`. For each read, the kernel walks all pages that the process maps and
/// holds the lock that the process's own mapping calls need. The cost therefore grows with the memory of the process
/// and is partly borne by the sampled process. Sample at the start and the end of a measurement, or a few times a
/// minute, and not in a tight loop.
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

/// Returns the CPU time of all threads of the process, including those that have ended.
fn cpu_time(pid: i32) -> io::Result<Duration> {
    let clock = clock_getcpuclockid(Pid::from_raw(pid))?;
    Ok(Duration::from(clock.now()?))
}

/// Returns the totals over all memory mappings of the process, by field.
fn memory_map_totals(process: &Process) -> io::Result<MMapExtension> {
    let rollup = process.smaps_rollup().map_err(io_error)?;
    let total = rollup.memory_map_rollup.into_iter().next();
    total
        .map(|map| map.extension)
        .ok_or_else(|| missing("smaps_rollup"))
}

/// Returns a field of the totals, in kB.
fn kilobytes(totals: &MMapExtension, field: &str) -> io::Result<u64> {
    let bytes = totals.map.get(field).ok_or_else(|| missing(field))?;
    Ok(bytes / BYTES_PER_KB)
}

/// Returns the peak RSS in kB. The kernel merges its counters only from time to time, so the peak can lag behind a
/// sample of the RSS by some pages.
fn peak_kb(process: &Process) -> io::Result<u64> {
    let status = process.status().map_err(io_error)?;
    Ok(status.vmhwm.unwrap_or(0))
}

fn missing(field: &str) -> io::Error {
    io::Error::new(
        io::ErrorKind::NotFound,
        format!("the kernel reports no {field} for the process"),
    )
}

/// Converts an error of the `procfs` crate to an I/O error, keeping its kind where one corresponds.
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

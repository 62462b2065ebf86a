//! The resource usage of processes, read from `/proc`. All values are 0 for a process that has ended.

use std::time::Duration;

/// The length of a clock tick of the kernel, which is the unit of processor time in `/proc`.
const KERNEL_TICK: Duration = Duration::from_millis(10);
/// The positions of the user and the system time in `/proc/PID/stat`, counted after the name of the program.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Returns the resident memory of a process in kB.
pub(crate) fn resident_kb(pid: u32) -> u64 {
    status_kb(pid, "VmRSS:")
}

/// Returns the resident memory of a process in kB without the pages that a file backs, the least that a memory limit
/// counts.
pub(crate) fn anonymous_kb(pid: u32) -> u64 {
    status_kb(pid, "RssAnon:")
}

fn status_kb(pid: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    line.and_then(|line| line.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}

/// Returns the number of open descriptors of a process.
pub(crate) fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Returns the user and system time that a process has used so far.
pub(crate) fn cpu_time(pid: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit_once(')').map_or("", |(_, after)| after);
    let ticks = |position: usize| {
        after_name
            .split_whitespace()
            .nth(position)
            .and_then(|ticks| ticks.parse::<u32>().ok())
            .unwrap_or(0)
    };
    KERNEL_TICK * (ticks(USER_TIME) + ticks(SYSTEM_TIME))
}

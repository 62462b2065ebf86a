//! The resource usage of a process at a point in time: processor time, memory and descriptors.

use std::time::Duration;

/// The resource usage of one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessSample {
    /// Processor time in user and system mode since the start of the process.
    pub cpu: Duration,
    /// Resident memory, in kB.
    pub rss_kb: u64,
    /// Proportional set size in kB: resident memory with the size of each shared page divided by the number of processes
    /// that map it.
    pub pss_kb: u64,
    /// Peak resident memory since the start of the process, in kB.
    pub peak_kb: u64,
    /// Number of open descriptors.
    pub descriptors: usize,
}

/// Reads the resource usage of processes.
pub trait Sampler {
    /// Reads the resource usage of one process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not exist or its figures cannot be read.
    fn sample(&mut self, pid: u32) -> std::io::Result<ProcessSample>;
}

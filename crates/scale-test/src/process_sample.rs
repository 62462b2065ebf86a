//! What is read of a process at a time: its share of the processors, its memory and its descriptors.

use std::time::Duration;

/// The figures of one process at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessSample {
    /// Processor time since its start, of the process itself and on its behalf.
    pub cpu: Duration,
    /// Resident memory, in kB.
    pub rss_kb: u64,
    /// Resident memory with each shared page divided among the processes that map it, in kB.
    pub pss_kb: u64,
    /// The most resident memory since its start, in kB.
    pub peak_kb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Reads the figures of processes.
pub trait Sampler {
    /// Reads the figures of one process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not exist or its figures cannot be read.
    fn sample(&mut self, pid: u32) -> std::io::Result<ProcessSample>;
}

//! The processor usage of the whole machine. If the processors are saturated, the measurements of a placer are
//! unreliable, because it competes for processor time.

use std::fs;

/// The index of the idle time in the first line of `/proc/stat`.
const IDLE_FIELD: usize = 3;
/// The index of the time spent idle while waiting for I/O.
const IO_WAIT_FIELD: usize = 4;
/// The number of fields that are summed. The later fields (guest time) are already included in the first ones.
const SUMMED_FIELDS: usize = 8;

/// The cumulative time of all processors since boot, in ticks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MachineTime {
    idle: u64,
    total: u64,
}

impl MachineTime {
    /// Reads the current values, or returns zeros if the system does not provide them.
    pub fn now() -> MachineTime {
        fs::read_to_string("/proc/stat")
            .ok()
            .and_then(|text| MachineTime::read(&text))
            .unwrap_or_default()
    }

    /// Parses the first line of `/proc/stat`.
    fn read(text: &str) -> Option<MachineTime> {
        let line = text.lines().next()?.strip_prefix("cpu ")?;
        let fields: Vec<u64> = line
            .split_whitespace()
            .take(SUMMED_FIELDS)
            .map(str::parse)
            .collect::<Result<_, _>>()
            .ok()?;
        Some(MachineTime {
            idle: fields.get(IDLE_FIELD)? + fields.get(IO_WAIT_FIELD)?,
            total: fields.iter().sum(),
        })
    }

    /// Returns the fraction of processor time that was busy since an earlier reading, or 0 if no time has passed.
    pub fn busy_since(self, before: MachineTime) -> f64 {
        let total = self.total.saturating_sub(before.total);
        let idle = self.idle.saturating_sub(before.idle);
        if total == 0 {
            0.0
        } else {
            1.0 - idle as f64 / total as f64
        }
    }
}

#[cfg(test)]
mod tests;

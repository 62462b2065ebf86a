//! How busy the whole machine is: placers that wait for processors cost and do other than they would alone.

use std::fs;

/// Fields of the first line of `/proc/stat`, from 0: time idle, and idle while something is read or written.
const IDLE: usize = 3;
const WAITING: usize = 4;
/// Fields that count: what follows them is part of the first.
const COUNTED: usize = 8;

/// Time of all processors, in the system's ticks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MachineTime {
    idle: u64,
    all: u64,
}

impl MachineTime {
    /// Up to now; nothing where the system does not tell.
    pub fn now() -> MachineTime {
        fs::read_to_string("/proc/stat")
            .ok()
            .and_then(|text| MachineTime::read(&text))
            .unwrap_or_default()
    }

    fn read(text: &str) -> Option<MachineTime> {
        let line = text.lines().next()?.strip_prefix("cpu ")?;
        let fields: Vec<u64> = line
            .split_whitespace()
            .take(COUNTED)
            .map(str::parse)
            .collect::<Result<_, _>>()
            .ok()?;
        Some(MachineTime {
            idle: fields.get(IDLE)? + fields.get(WAITING)?,
            all: fields.iter().sum(),
        })
    }

    /// The part of the processors that was busy since then.
    pub fn busy_since(self, before: MachineTime) -> f64 {
        let all = self.all.saturating_sub(before.all);
        let idle = self.idle.saturating_sub(before.idle);
        if all == 0 {
            0.0
        } else {
            1.0 - idle as f64 / all as f64
        }
    }
}

#[cfg(test)]
mod tests;

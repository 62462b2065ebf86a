//! Amounts of cores and memory.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// One of the resources that tasks request and hosts have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResourceKind {
    /// Processor cores.
    Cores,
    /// Memory, in the unit of the settings.
    Memory,
}

/// An amount of cores and memory, or a ratio for each of them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// Number of cores, which may be fractional.
    pub cores: f64,
    /// Memory, in the unit of the settings.
    pub memory: f64,
}

impl Resources {
    /// Returns the amount of one resource.
    pub fn get(&self, kind: ResourceKind) -> f64 {
        match kind {
            ResourceKind::Cores => self.cores,
            ResourceKind::Memory => self.memory,
        }
    }

    /// Returns a mutable reference to the amount of one resource.
    pub fn get_mut(&mut self, kind: ResourceKind) -> &mut f64 {
        match kind {
            ResourceKind::Cores => &mut self.cores,
            ResourceKind::Memory => &mut self.memory,
        }
    }

    /// Returns the results of applying a function to both amounts.
    pub fn map(self, function: impl Fn(f64) -> f64) -> Resources {
        Resources {
            cores: function(self.cores),
            memory: function(self.memory),
        }
    }

    /// Returns the larger amount of each resource.
    pub fn max(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
        }
    }

    /// Returns whether neither amount exceeds that of `limit`.
    pub fn fits_in(&self, limit: Resources) -> bool {
        self.cores <= limit.cores && self.memory <= limit.memory
    }
}

impl Add for Resources {
    type Output = Resources;

    fn add(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores + other.cores,
            memory: self.memory + other.memory,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = *self + other;
    }
}

impl Sub for Resources {
    type Output = Resources;

    fn sub(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores - other.cores,
            memory: self.memory - other.memory,
        }
    }
}

impl Mul for Resources {
    type Output = Resources;

    fn mul(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores * other.cores,
            memory: self.memory * other.memory,
        }
    }
}

impl Div for Resources {
    type Output = Resources;

    fn div(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores / other.cores,
            memory: self.memory / other.memory,
        }
    }
}

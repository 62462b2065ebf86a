//! The real program on loopback sockets: the rules, and a test for each failure found.

#![recursion_limit = "256"]

mod answers;
mod capacity_limits;
mod duplicate_starts;
mod failing_peers;
mod process;
mod running_tasks;

use emulator::*;
use simd_json::prelude::*;
use std::time::{Duration, Instant};

//! Tests of the real program on loopback sockets: the rules of placement, and the failures found so far.

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

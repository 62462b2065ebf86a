//! The operating state of one placer process: admin commands, lifecycle, peer processes, request counters, and the
//! limits on the rate of requests and on the memory of requests and adopted tasks.
//!
//! These modules are deterministic: time is an argument, and there is no I/O. The program's `net` module owns the
//! admin sockets and the client connections that a drain closes.

pub mod admin;
pub mod adoption_budget;
pub mod counters;
pub mod lifecycle;
pub mod process_group;
pub mod rate_limit;
pub mod request_budget;

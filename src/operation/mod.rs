//! The operating state of one placer process: admin commands, lifecycle, peer processes and request counters.
//!
//! Everything here is pure: time is an argument, and there is no I/O. The sockets that carry admin commands and
//! the connections that a drain closes belong to the program (`net`).

pub mod admin;
pub mod counters;
pub mod lifecycle;
pub mod process_group;

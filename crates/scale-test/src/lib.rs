//! Scale tests: run real placers among thousands of simulated workers, and measure the resource usage of each placer
//! every second.
//!
//! The placers are processes of the real program. This process simulates all their peers on a few threads: workers
//! ([`workers`]), control feeds ([`feeds`]) and clients ([`clients`]). [`run`] starts everything, injects faults,
//! audits every task and returns a typed result. [`sweep`] varies one setting over many runs.

pub mod audit;
pub mod budget;
pub mod cli;
pub mod clients;
pub mod deployment;
pub mod error;
pub mod feeds;
pub mod fit;
pub mod identity;
pub mod listener;
pub mod mailbox;
mod peer_thread;
pub mod placer_process;
pub mod process_sample;
pub mod results;
mod run;
pub mod sample;
pub mod settings;
pub mod socket;
pub mod sweep;
pub mod sweep_runner;
pub mod timers;
pub mod timing;
pub mod traffic;
pub mod wire;
pub mod workers;

pub use error::RunError;
pub use process_sample::{ProcessSample, Sampler};
pub use results::RunResult;
pub use run::{NoWatcher, Progress, Watcher, admit, descriptor_limit, run};
pub use settings::{Settings, SettingsError};

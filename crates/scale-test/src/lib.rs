//! Scale runs: real placers among thousands of hollow workers, and what each placer costs by second.
//!
//! The placers are processes of the real program. Everything round them is played by this process: workers
//! ([`workers`]), control feeds ([`feeds`]) and clients ([`clients`]), each on one thread. [`run`] puts them
//! together, carries out faults, audits every task and gives a typed result.

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
pub use run::{NoWatcher, Progress, Watcher, admit, own_descriptors, run};
pub use settings::{Settings, SettingsError};

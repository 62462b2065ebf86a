//! Placement decisions for the instances of services, by stochastic coordination (SCD).
//!
//! [`Placer`] is a sans-I/O state machine: it is handed [`Event`]s with the time and answers
//! with [`Action`]s. It keeps no clock, opens no connection and starts no thread. The same
//! settings, seed and events give the same actions.
//!
//! ```
//! use task_placer::*;
//! use std::sync::Arc;
//!
//! let settings = Settings::example();
//! let mut placer = Placer::new(settings, 7);
//! let mut out = Vec::new();
//! let host = HostId(Arc::from("m1"));
//! placer.handle(0, &Event::Members {
//!     kind: ListKind::Full,
//!     entries: vec![Entry {
//!         host: host.clone(), zone: ZoneId(0), cell: CellId(0), kind: KindId(0),
//!         state: HostState::Up, ready_at: 0, free_cores: 32.0, free_memory: 64.0,
//!     }],
//! }, &mut out);
//! out.clear();
//! placer.handle(1_000, &Event::Request(Task {
//!     id: ReqId(Arc::from("r1")), class: ClassId(0), service: ServiceId(1), key: TaskKey(1),
//!     tenant: None, cores: 1.0, memory: 2.0, hint: None, budget: 5_000_000,
//!     resent: false, came_back: false, order: 0.0, away: 0,
//! }), &mut out);
//! assert!(out.iter().any(|a| matches!(a, Action::Send { host: h, .. } if *h == host)));
//! ```
#![forbid(unsafe_code)]

pub mod descriptors;
pub mod facade;
pub mod health;
pub mod placement;
mod ledger;
pub mod operation;
pub mod overload;
mod policy;
pub mod settings;
mod working_set;

pub use placement::*;
pub use policy::{Placer, scd_probabilities};

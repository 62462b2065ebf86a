//! Placement decisions for the tasks of services, by stochastic coordination (SCD).
//!
//! [`Placer`] is a state machine without I/O: each call to [`Placer::handle`] takes the current time and an
//! [`Event`] and appends the resulting [`Action`]s. It reads no clock, opens no connection and starts no thread. The
//! same settings, seed and events always produce the same actions.
//!
//! ```
//! use std::sync::Arc;
//! use task_placer::{
//!     Action, CellId, ClassId, Endpoint, EndpointState, Event, HostId, KindId, Placer, RequestId, ServiceId,
//!     Settings, Task, TaskKey, UpdateKind, ZoneId,
//! };
//!
//! let settings = Settings::example();
//! let mut placer = Placer::new(settings, 7);
//! let mut actions = Vec::new();
//! let host = HostId(Arc::from("m1"));
//! let endpoints = vec![Endpoint {
//!     host: host.clone(),
//!     zone: ZoneId(0),
//!     cell: CellId(0),
//!     kind: KindId(0),
//!     state: EndpointState::Up,
//!     started_at: 0,
//!     free_cores: 32.0,
//!     free_memory: 64.0,
//! }];
//! let kind = UpdateKind::Complete;
//! placer.handle(0, &Event::EndpointsChanged { kind, endpoints }, &mut actions);
//! actions.clear();
//!
//! let task = Task {
//!     id: RequestId(Arc::from("r1")),
//!     class: ClassId(0),
//!     service: ServiceId(1),
//!     key: TaskKey(1),
//!     cores: 1.0,
//!     memory: 2.0,
//!     time_budget: 5_000_000,
//!     ..Task::default()
//! };
//! placer.handle(1_000, &Event::TaskRequested(task), &mut actions);
//!
//! let is_sent_to_host = |action: &Action| matches!(action, Action::SendAttempt { host: sent_to, .. } if *sent_to == host);
//! assert!(actions.iter().any(is_sent_to_host));
//! ```
#![forbid(unsafe_code)]

pub mod descriptors;
pub mod facade;
pub mod health;
pub mod operation;
pub mod overload;
pub mod placement;
pub mod settings;
mod state;
pub mod types;

pub use placement::{HostLoad, Placer, scd_probabilities};
pub use types::*;

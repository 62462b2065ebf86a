//! State of the decision module: hosts, tasks, failures, timers and the working set.
//!
//! These types only store and aggregate data; the decisions and their tuned constants live in `placement`. The state
//! is not persisted: after a restart it is rebuilt from the endpoint list and from the tasks that clients and hosts
//! report.

pub(crate) mod arrivals;
pub(crate) mod hash;
pub(crate) mod health_book;
pub(crate) mod hosts;
pub(crate) mod imposed_limits;
pub(crate) mod subscription;
pub(crate) mod tasks;
pub(crate) mod timers;
pub(crate) mod working_set;

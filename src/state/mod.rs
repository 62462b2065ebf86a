//! What the decisions read and write: hosts, tasks, failures, timers and the working set.
//!
//! Nothing here decides anything or holds a tuned value. All of it is lost when the process ends and is rebuilt
//! from the endpoint list and from the tasks that clients and hosts report.

pub(crate) mod arrivals;
pub(crate) mod hash;
pub(crate) mod health_book;
pub(crate) mod hosts;
pub(crate) mod imposed_limits;
pub(crate) mod subscription;
pub(crate) mod tasks;
pub(crate) mod timers;
pub(crate) mod working_set;

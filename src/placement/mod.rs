//! The decision module: which host gets a task, whether an attempt is retried, and which requests are rejected.
//!
//! [`Placer`] is a state machine without I/O: events and the time go in ([`Event`](crate::types::Event)), actions come out ([`Action`](crate::types::Action)).
//! It keeps no clock, opens no connection and starts no thread. The same settings, seed and events give the same
//! actions. What it remembers between events is in `src/state`, which decides nothing.
//!
//! The path of a request, and the module of each step:
//!
//! | step | module |
//! | --- | --- |
//! | A request arrives, is shed or queued; its final response | `requests`, `admission` |
//! | Hosts that may get it: hard rules, then preferences | `eligibility`, `slow_start`, `outlier_ejection` |
//! | One of them is drawn by stochastic coordination (SCD) | `host_selection`, `arrival_rate`, `scd` |
//! | The attempt, its timeout and its outcome | `attempts`, `concurrency_window` |
//! | What may follow the outcome | `retry` |
//! | Which hosts are in use at all | `working_set_selection`, `load_estimate`, `usage_assumption` |
//! | The endpoint list and the hosts' load reports | `endpoints`, `health_checks` |

mod admission;
mod arrival_rate;
mod attempts;
mod concurrency_window;
mod eligibility;
mod endpoints;
mod health_checks;
mod host_selection;
mod load_estimate;
mod outlier_ejection;
mod placer;
mod requests;
mod retry;
mod scd;
mod slow_start;
mod usage_assumption;
mod working_set_selection;

pub use placer::Placer;
pub use scd::{HostLoad, scd_probabilities};

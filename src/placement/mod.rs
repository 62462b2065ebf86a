//! The decision module: which host gets a task, whether an attempt is retried, and which requests are rejected.
//!
//! [`Placer`] is a state machine without I/O. Its input is the time and an [`Event`](crate::types::Event), its output
//! is a list of [`Action`](crate::types::Action)s. It reads no clock, opens no connection and starts no thread. The
//! same settings, seed and events give the same actions. The data that it keeps between events is in `src/state`,
//! which makes no decisions.
//!
//! The steps in the handling of a request, and the modules that implement them:
//!
//! | step | modules |
//! | --- | --- |
//! | Admit, shed or queue a request, and send its final response | `requests`, `admission` |
//! | Find the eligible hosts by hard rules, then by preference | `eligibility`, `slow_start`, `outlier_ejection` |
//! | Draw one of them by stochastic coordination (SCD) | `host_selection`, `arrival_rate`, `scd` |
//! | Send the attempt, set its timeout and handle its outcome | `attempts`, `concurrency_window` |
//! | Decide whether a retry or a rejection may follow an outcome | `retry` |
//! | Select the working set, the hosts in use | `working_set_selection`, `load_estimate`, `usage_assumption` |
//! | Process the endpoint list, load reports and health checks | `endpoints`, `health_checks` |

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

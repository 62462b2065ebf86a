//! Overload control: limits that a fleet of placers keeps together without exchanging messages.
//!
//! [`OverloadController`] is notified of what the placer is asked, sends and receives, and returns [`Limit`]s,
//! which the facade hands to the decision module. The module still chooses the host, retries and rejects; the
//! limits say how far it may go. Each feature can be disabled, and a disabled feature limits nothing. Pure:
//! time is an argument, and there is no I/O.
//!
//! | feature | limits | by |
//! | --- | --- | --- |
//! | [`concurrency_limit`] | attempts in flight at one host | the delay of the placer's own starts |
//! | [`admission`] | which tasks are admitted | late starts, and one order of tasks for all placers |
//! | [`retry_budget`] | attempts beyond a task's first | first attempts |
//! | [`retry_after`] | when rejected clients come back | the shed level, spread by a hash |
//! | [`health_check_schedule`] | who probes a suspect host, and when | ranks of placers, and the clock |
//!
//! See `docs/design/overload.md`.
//!
//! [`Limit`]: crate::Limit

pub mod admission;
pub mod concurrency_limit;
mod controller;
mod event;
mod hash;
pub mod health_check_schedule;
mod host;
mod hosts;
mod report;
mod requests;
pub mod retry_after;
pub mod retry_budget;
mod tenants;

pub use controller::OverloadController;
pub use event::{Event, RequestAdmission, RequestEnd};
pub use hash::hash_fraction;
pub use report::{Counters, HostReport, Report};

/// The enabled features with their settings.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Features {
    /// Concurrency limits of hosts.
    pub concurrency_limit: Option<concurrency_limit::Settings>,
    /// Admission control.
    pub admission: Option<admission::Settings>,
    /// Retry budgets.
    pub retry_budget: Option<retry_budget::Settings>,
    /// Spread Retry-After times.
    pub retry_after: bool,
    /// Scheduled health checks of suspect hosts.
    pub health_check_schedule: Option<health_check_schedule::Settings>,
}

impl Features {
    /// Returns every feature with its default settings.
    pub fn all() -> Features {
        Features {
            concurrency_limit: Some(concurrency_limit::Settings::default()),
            admission: Some(admission::Settings::default()),
            retry_budget: Some(retry_budget::Settings::default()),
            retry_after: true,
            health_check_schedule: Some(health_check_schedule::Settings::default()),
        }
    }

    /// Returns whether any feature is enabled.
    pub fn any(&self) -> bool {
        *self != Features::default()
    }
}

/// Whether this placer sheds load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedState {
    /// Everything is admitted.
    NotShedding,
    /// Some requests are rejected.
    Shedding,
}

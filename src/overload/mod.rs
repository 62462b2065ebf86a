//! Overload control: limits that bound the load of a whole fleet of placers, which exchange no messages.
//!
//! [`OverloadController`] takes the requests, attempts and endpoint updates of one placer and returns [`Limit`]s,
//! which the facade passes to the decision module. The decision module still chooses hosts, retries and rejects;
//! the limits restrict what it may do. Each feature can be disabled, and a disabled feature imposes no limit. The
//! code is pure: the time is an argument, and there is no I/O.
//!
//! | feature | limits | based on |
//! | --- | --- | --- |
//! | [`concurrency_limit`] | attempts in flight at one host | the delays of the starts that this placer observes |
//! | [`admission`] | which tasks are admitted | late starts, and one ranking of tasks that is the same at all placers |
//! | [`retry_budget`] | attempts beyond a task's first | the number of first attempts |
//! | [`retry_after`] | when rejected clients retry | the shed level, with times spread by a hash |
//! | [`health_check_schedule`] | who probes a suspect host, and when | ranks of placers for that host, and the clock |
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

/// The settings of each feature; `None` or `false` disables it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Features {
    /// Concurrency limits of hosts.
    pub concurrency_limit: Option<concurrency_limit::Settings>,
    /// Admission control.
    pub admission: Option<admission::Settings>,
    /// Retry budgets.
    pub retry_budget: Option<retry_budget::Settings>,
    /// Whether rejections carry a Retry-After that is spread over a span of time.
    pub retry_after: bool,
    /// Health checks of suspect hosts in time slots.
    pub health_check_schedule: Option<health_check_schedule::Settings>,
}

impl Features {
    /// Returns all features, enabled with their default settings.
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

/// Whether this placer sheds load at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedState {
    /// The shed level is 0: every request is admitted.
    NotShedding,
    /// The shed level is above 0: a fraction of the requests is rejected.
    Shedding,
}

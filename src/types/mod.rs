//! Data types of the decision module: ids, tasks, endpoints, settings, events and actions.
//!
//! The decision module, its state, and the modules for overload control and health share these types. They make no
//! decisions and depend on no other module.

mod action;
mod attempt;
mod endpoint;
mod event;
mod ids;
mod limits;
mod resources;
mod settings;
mod task;

pub use action::Action;
pub use attempt::{AttemptResult, Outcome, OutcomeDetail, TaskReport};
pub use endpoint::{Endpoint, EndpointState, UpdateKind};
pub use event::Event;
pub use ids::{
    CellId, ClassId, HostId, KindId, Micros, RequestId, ServiceId, TaskKey, TenantId, TimerToken,
    ZoneId,
};
pub use limits::Limit;
pub use resources::{ResourceKind, Resources};
pub use settings::{
    Acknowledgement, HostKind, Idempotency, KeyScope, LoadReportField, Settings, SpreadDomain,
    TaskClass, Tenant,
};
pub use task::Task;

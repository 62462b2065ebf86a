//! Identifiers and indices that events and actions carry.

use std::sync::Arc;

/// A point in time or a duration, in microseconds.
///
/// Points in time are counted from an origin that the caller chooses. The decision module only compares and subtracts
/// them.
pub type Micros = i64;

/// Identifies one request to place a task. Ids are never reused: a task that is requested again has a new id.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

/// Identifies a host. All placers use the same id for it.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub Arc<str>);

/// Identifies the service (program) that a task belongs to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u64);

/// Identifies a task. It is the same in every request for that task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey(pub u64);

/// Index into [`Settings::classes`](super::Settings::classes).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`](super::Settings::tenants).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// Index into [`Settings::host_kinds`](super::Settings::host_kinds).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);

/// Index into the deployment's list of zones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// Identifies a cell, which is a small group of hosts such as a rack.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// Identifies a timer. The decision module chooses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);

//! Synchronous interface to the decision module.
//!
//! Callers, independent of their protocol, pass requests and [`PlacementEvent`]s to a [`Facade`] and receive
//! [`Decision`]s; the events and actions of [`crate::placement`] are hidden from them. The facade also keeps the
//! timers of the decision module, answers its subscription to the endpoint list according to the state of service
//! discovery, and connects it to the overload controller. It opens no connection and its calls return without
//! waiting.

mod messages;
mod module_calls;
mod request;

pub use messages::{Decision, PlacementEvent};
pub use request::{InvalidRequest, PlacementRequest, RequestKind, Ticket};

use crate::operation::process_group::BudgetShare;
use crate::overload::{self, Features, OverloadController};
use crate::placement::Placer;
use crate::state::timers::MIN_TIMERS_TO_COMPACT;
use crate::types::{
    ClassId, Event, HostId, Limit, Micros, RequestId, Resources, ServiceId, Settings, Task,
    TaskKey, TenantId, TimerToken,
};

use crate::settings::Names;
use request::{ClassLimits, check_tenant};
use std::collections::BTreeSet;
use std::sync::Arc;

impl Ticket {
    fn to_request_id(self) -> RequestId {
        RequestId(Arc::from(format!("{:016x}", self.0)))
    }

    fn from_request_id(id: &RequestId) -> Option<Ticket> {
        u64::from_str_radix(&id.0, 16).ok().map(Ticket)
    }
}

/// The decision module with a synchronous interface.
pub struct Facade {
    placer: Placer,
    names: Names,
    /// Limits on the requests of each class, indexed by [`ClassId`].
    class_limits: Vec<ClassLimits>,
    mean_task: Option<Resources>,
    timers: BTreeSet<(Micros, TimerToken)>,
    /// The number of timers at which those without effect are discarded.
    timer_compaction_at: usize,
    is_discovery_up: bool,
    /// Whether the decision module has subscribed to the endpoint list while service discovery was down, so that the
    /// subscription is still to be confirmed.
    subscription_pending: bool,
    /// The overload controller, which imposes limits that the fleet of placers agrees on; `None` if the operator's
    /// file enables none of its features.
    overload: Option<OverloadController>,
}

impl Facade {
    /// Creates a facade without overload control. `names` are the names that the settings state, and `seed` seeds the
    /// random choices of the decision module.
    pub fn new(settings: Settings, names: Names, seed: u64) -> Facade {
        let class_limits = settings.classes.iter();
        let class_limits = class_limits
            .map(|class| ClassLimits::new(class, &settings))
            .collect();
        let mean_task = Resources {
            cores: settings.mean_cores,
            memory: settings.mean_memory,
        };
        Facade {
            class_limits,
            mean_task: settings.endpoints_show_free_resources.then_some(mean_task),
            placer: Placer::new(settings, seed),
            names,
            timers: BTreeSet::new(),
            timer_compaction_at: MIN_TIMERS_TO_COMPACT,
            is_discovery_up: false,
            subscription_pending: false,
            overload: None,
        }
    }

    /// Creates a facade like [`Facade::new`] that is also subject to the limits that the fleet of placers agrees on,
    /// as far as `features` enables them. `wall_clock` is the wall-clock time that corresponds to time 0 of all
    /// calls, in microseconds since 1970.
    pub fn with_overload_control(
        settings: Settings,
        names: Names,
        seed: u64,
        features: Features,
        wall_clock: Micros,
    ) -> Facade {
        let overload = features
            .any()
            .then(|| OverloadController::new(features, &settings, wall_clock, seed));
        Facade {
            overload,
            ..Facade::new(settings, names, seed)
        }
    }

    /// Returns the overload controller, if any of its features is enabled.
    pub fn overload(&self) -> Option<&OverloadController> {
        self.overload.as_ref()
    }

    /// Sets how many processes serve as this placer from now on and which of them this process is. There are several
    /// during a rolling upgrade.
    pub fn set_share(&mut self, now: Micros, share: BudgetShare) -> Vec<Decision> {
        let limit = Limit::Processes {
            process_count: share.process_count,
            process_index: share.process_index,
        };
        self.handle_event(now, Event::LimitsChanged(vec![limit]))
    }

    /// Returns the names that the settings state.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// Returns the index of a class; `None` if the settings do not name it.
    pub fn class_index(&self, class: &str) -> Option<usize> {
        self.names.classes.iter().position(|name| name == class)
    }

    /// Returns the latency objective of a class; `None` if the settings do not name it.
    pub fn latency_objective(&self, class: &str) -> Option<Micros> {
        let limits = self.class_limits.get(self.class_index(class)?);
        limits.map(|limits| limits.latency_objective)
    }

    /// Returns the longest deadline of any class.
    pub fn max_deadline(&self) -> Micros {
        let deadlines = self.class_limits.iter().map(|limits| limits.deadline);
        deadlines.max().unwrap_or(0)
    }

    /// Returns the Retry-After of a request that is rejected before it reaches the decision module, in microseconds, or
    /// 0 if rejections may not carry one.
    pub fn default_retry_after(&self) -> Micros {
        self.placer.default_retry_after()
    }

    /// Returns the number of listed hosts that currently get no attempts for any task, because they drain or are
    /// ejected.
    pub fn unavailable_hosts(&self) -> usize {
        self.placer.unavailable_hosts()
    }

    /// Returns the mean cores and memory that a task requests, if the endpoint list shows the hosts' free resources.
    pub fn mean_task(&self) -> Option<Resources> {
        self.mean_task
    }

    /// Handles a request to place a task, and returns the resulting decisions.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings do not name the class of the request.
    pub fn place(
        &mut self,
        now: Micros,
        ticket: Ticket,
        request: &PlacementRequest,
    ) -> Result<Vec<Decision>, InvalidRequest> {
        let mut task = self.build_task(ticket, request)?;
        if let Some(overload) = &mut self.overload {
            let admission = overload.admit(now, &task);
            task.shed_rank = admission.shed_rank;
            task.retry_after = admission.retry_after;
        }
        Ok(self.handle_event(now, Event::TaskRequested(task)))
    }

    /// Adopts a task that already runs on a host, for which no response is pending.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings do not name the class of the request.
    pub fn adopt(
        &mut self,
        now: Micros,
        ticket: Ticket,
        request: &PlacementRequest,
        host: &HostId,
    ) -> Result<Vec<Decision>, InvalidRequest> {
        let event = Event::TaskAdopted(self.build_task(ticket, request)?, host.clone());
        Ok(self.handle_event(now, event))
    }

    /// Handles an event that the caller has observed, and returns the resulting decisions.
    pub fn report(&mut self, now: Micros, event: PlacementEvent) -> Vec<Decision> {
        match event {
            PlacementEvent::DiscoveryUp => {
                self.is_discovery_up = true;
                if !std::mem::take(&mut self.subscription_pending) {
                    return Vec::new();
                }
            }
            PlacementEvent::DiscoveryDown => {
                self.is_discovery_up = false;
                self.subscription_pending = false;
            }
            _ => {}
        }
        self.handle_event(now, event.into_module_event())
    }

    /// Fires the decision module's timers that are due at `now`, lets the overload controller do its periodic work,
    /// and returns the resulting decisions.
    pub fn tick(&mut self, now: Micros) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(&(due, token)) = self.timers.first() {
            if due > now {
                break;
            }
            self.timers.pop_first();
            decisions.extend(self.handle_event(now, Event::TimerFired(token)));
        }
        if let Some(overload) = &mut self.overload {
            let mut limits = Vec::new();
            overload.handle(now, overload::Event::Tick, &mut limits);
            if !limits.is_empty() {
                decisions.extend(self.handle_event(now, Event::LimitsChanged(limits)));
            }
        }
        decisions
    }

    /// Checks that the settings name the class and tenant of a request, and that its resources and time budget are
    /// within their limits.
    ///
    /// Requests that every host would have to reject must not reach the decision module, since their rejections would
    /// distort its estimates of load and health.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the request, with the value found and the range expected if the error is a number out
    /// of range.
    pub fn check(
        &self,
        request: &PlacementRequest,
        kind: RequestKind,
    ) -> Result<(), InvalidRequest> {
        let class = self.class_index(&request.class);
        let Some(limits) = class.and_then(|class| self.class_limits.get(class)) else {
            return Err(InvalidRequest::UnknownClass(request.class.clone()));
        };
        check_tenant(request, &self.names)?;
        limits.check(request, kind)
    }

    fn build_task(
        &self,
        ticket: Ticket,
        request: &PlacementRequest,
    ) -> Result<Task, InvalidRequest> {
        let class = self.class_index(&request.class);
        let class = class.ok_or_else(|| InvalidRequest::UnknownClass(request.class.clone()))?;
        let tenants = &self.names.tenants;
        let tenant = request.tenant.as_ref();
        let tenant = tenant.and_then(|tenant| tenants.iter().position(|name| name == tenant));
        Ok(Task {
            id: ticket.to_request_id(),
            class: ClassId(class),
            service: ServiceId(request.service),
            key: TaskKey(request.key),
            tenant: tenant.map(TenantId),
            cores: request.cores,
            memory: request.memory,
            expected_run_seconds: None,
            time_budget: request.time_budget,
            is_retry: request.is_retry,
            is_returning: request.is_retry,
            shed_rank: 0.0,
            retry_after: 0,
        })
    }
}

//! Plain blocking calls to the decision module.
//!
//! Only this module sees the events and actions of [`crate::placement`]. Its callers, whatever protocol they speak, hand in
//! requests and [`PlacementEvent`]s and get [`Decision`]s. The facade also keeps the module's timers, answers
//! its subscription to the endpoint list from the state of service discovery, and joins it with the overload
//! engine. It opens no connection and never waits.

mod messages;
mod module_calls;
mod request;

pub use messages::{Decision, PlacementEvent};
pub use request::{InvalidRequest, PlacementRequest, RequestKind, Ticket};

use crate::operation::process_group::BudgetShare;
use crate::overload::{self, Features, OverloadController};
use crate::placement::Placer;
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

/// The decision module behind blocking calls.
pub struct Facade {
    placer: Placer,
    names: Names,
    /// By class.
    class_limits: Vec<ClassLimits>,
    mean_task: Option<Resources>,
    timers: BTreeSet<(Micros, TimerToken)>,
    is_discovery_up: bool,
    /// The module has subscribed to the endpoint list, and service discovery was down.
    subscription_pending: bool,
    /// The limits that the fleet of placers imposes, if an operator's file enables any.
    overload: Option<OverloadController>,
}

impl Facade {
    /// A module with these settings, and the names that they state.
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
            is_discovery_up: false,
            subscription_pending: false,
            overload: None,
        }
    }

    /// The same, limited by what the fleet of placers agrees on. `wall_clock` is the wall clock at the time 0 of all
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

    /// The overload engine, if any of its features is enabled.
    pub fn overload(&self) -> Option<&OverloadController> {
        self.overload.as_ref()
    }

    /// Sets how many processes serve as this placer from now on, and which of them this is.
    pub fn set_share(&mut self, now: Micros, share: BudgetShare) -> Vec<Decision> {
        let limit = Limit::Processes {
            process_count: share.process_count,
            process_index: share.process_index,
        };
        self.handle_event(now, Event::LimitsChanged(vec![limit]))
    }

    /// The names of the settings.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The index of a class among those that the settings name.
    pub fn class_index(&self, class: &str) -> Option<usize> {
        self.names.classes.iter().position(|name| name == class)
    }

    /// The latency objective of a class that the settings name.
    pub fn latency_objective(&self, class: &str) -> Option<Micros> {
        let limits = self.class_limits.get(self.class_index(class)?);
        limits.map(|limits| limits.latency_objective)
    }

    /// The longest deadline of any class.
    pub fn max_deadline(&self) -> Micros {
        let deadlines = self.class_limits.iter().map(|limits| limits.deadline);
        deadlines.max().unwrap_or(0)
    }

    /// Number of listed hosts that get no attempts now, whatever is requested: they drain, or are ejected.
    pub fn unavailable_hosts(&self) -> usize {
        self.placer.unavailable_hosts()
    }

    /// Cores and memory of a mean task, if the endpoint list shows the hosts' free resources.
    pub fn mean_task(&self) -> Option<Resources> {
        self.mean_task
    }

    /// Takes a request to place a task.
    ///
    /// # Errors
    ///
    /// If the settings do not have its class.
    pub fn place(
        &mut self,
        now: Micros,
        ticket: Ticket,
        request: &PlacementRequest,
    ) -> Result<Vec<Decision>, InvalidRequest> {
        let mut task = self.task(ticket, request)?;
        if let Some(overload) = &mut self.overload {
            let admission = overload.admit(now, &task);
            task.shed_rank = admission.shed_rank;
            task.retry_after = admission.retry_after;
        }
        Ok(self.handle_event(now, Event::TaskRequested(task)))
    }

    /// Takes a task that already runs on a host; no response is pending for it.
    ///
    /// # Errors
    ///
    /// If the settings do not have its class.
    pub fn adopt(
        &mut self,
        now: Micros,
        ticket: Ticket,
        request: &PlacementRequest,
        host: &HostId,
    ) -> Result<Vec<Decision>, InvalidRequest> {
        let event = Event::TaskAdopted(self.task(ticket, request)?, host.clone());
        Ok(self.handle_event(now, event))
    }

    /// Takes what the caller has learned, and returns what follows from it.
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

    /// Fires the module's timers that are due by now.
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

    /// Checks whether the settings leave any sense to a request.
    ///
    /// Protects the module's estimates of load and health from requests that every host must reject.
    ///
    /// # Errors
    ///
    /// If they do not, with what was found and expected.
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

    fn task(&self, ticket: Ticket, request: &PlacementRequest) -> Result<Task, InvalidRequest> {
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

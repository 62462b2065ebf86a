//! Plain blocking calls to the decision module.
//!
//! Only this module sees the events and actions of [`crate::placement`]. Its callers, whatever protocol they speak, hand in
//! requests and [`PlacementEvent`]s and get [`Decision`]s. The facade also keeps the module's timers, answers
//! its subscription to the endpoint list from the state of service discovery, and joins it with the overload
//! engine. It opens no connection and never waits.

mod messages;
mod request;

pub use messages::{Decision, PlacementEvent};
pub use request::{InvalidRequest, PlacementRequest, RequestKind, Ticket};

use crate::operation::process_group::BudgetShare;
use crate::overload::{self, Features, OverloadController, RequestEnd};
use crate::placement::{
    Action, ClassId, Event, HostId, Limit, Micros, Outcome, Placer, RequestId, Resources,
    ServiceId, Settings, Task, TaskKey, TenantId, TimerToken, UpdateKind,
};

use crate::settings::Names;
use request::{ClassLimits, check_tenant};
use std::collections::{BTreeSet, VecDeque};
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
        self.handle_event(now, module_event(event))
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

    /// Hands one event to the module, and the limits that follow from it. A subscription is answered by the state
    /// of service discovery: at once while it delivers, otherwise when it does again.
    fn handle_event(&mut self, now: Micros, event: Event) -> Vec<Decision> {
        let mut events = VecDeque::from([event]);
        let mut decisions = Vec::new();
        let mut limits = Vec::new();
        let mut wants_subscription = false;
        while let Some(event) = events.pop_front() {
            for action in self.actions(now, &event, &mut limits) {
                wants_subscription |= matches!(action, Action::Subscribe | Action::PollEndpoints);
                decisions.extend(self.decision(now, action));
            }
            if !limits.is_empty() {
                events.push_back(Event::LimitsChanged(std::mem::take(&mut limits)));
            }
        }
        if wants_subscription && self.is_discovery_up {
            decisions.extend(self.handle_event(now, subscription_confirmed()));
        } else if wants_subscription {
            self.subscription_pending = true;
        }
        decisions
    }

    /// The module's actions for one event. Limits that the overload controller derives from the event and from the
    /// actions are appended.
    fn actions(&mut self, now: Micros, event: &Event, limits: &mut Vec<Limit>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.limit_by_event(now, event, limits);
        // What an attempt's end allows is known before the module considers another attempt.
        if !limits.is_empty() && matches!(event, Event::AttemptEnded { .. }) {
            let limits = Event::LimitsChanged(std::mem::take(limits));
            self.placer.handle(now, &limits, &mut actions);
        }
        self.placer.handle(now, event, &mut actions);
        if let Some(overload) = &mut self.overload {
            for action in &actions {
                limit_by_action(overload, now, action, limits);
            }
        }
        actions
    }

    /// The decision of an action, if it is one for the caller.
    fn decision(&mut self, now: Micros, action: Action) -> Option<Decision> {
        match action {
            Action::SetTimer { token, after } => {
                self.timers.insert((now.saturating_add(after), token));
                None
            }
            Action::SendAttempt { id, host, timeout } => {
                Ticket::from_request_id(&id).map(|ticket| Decision::SendAttempt {
                    ticket,
                    host,
                    timeout,
                })
            }
            Action::Reject { id, retry_after } => {
                Ticket::from_request_id(&id).map(|ticket| Decision::Reject {
                    ticket,
                    retry_after,
                })
            }
            Action::Fail { id } => {
                Ticket::from_request_id(&id).map(|ticket| Decision::Fail { ticket })
            }
            Action::Migrate { id } => {
                Ticket::from_request_id(&id).map(|ticket| Decision::Migrate { ticket })
            }
            Action::CancelAttempt { id, attempt } => Ticket::from_request_id(&id)
                .map(|ticket| Decision::CancelAttempt { ticket, attempt }),
            Action::ReportFault(text) | Action::Log(text) => Some(Decision::Log(text)),
            // Subscriptions are answered by the caller of this function. Hosts are sent no health checks here, service
            // discovery needs no farewell, and connections to hosts stay open for the releases of running tasks.
            Action::Subscribe
            | Action::PollEndpoints
            | Action::SendHealthCheck { .. }
            | Action::Unsubscribe
            | Action::CloseIdleConnections { .. } => None,
        }
    }

    /// Notifies the overload controller of an event.
    fn limit_by_event(&mut self, now: Micros, event: &Event, limits: &mut Vec<Limit>) {
        let Some(overload) = &mut self.overload else {
            return;
        };
        let event = match event {
            Event::EndpointsChanged { kind, endpoints } if *kind != UpdateKind::Failed => {
                overload::Event::EndpointsChanged {
                    kind: *kind,
                    endpoints,
                }
            }
            Event::AttemptStarted { id, .. } => overload::Event::AttemptStarted { id },
            Event::AttemptEnded {
                id,
                outcome,
                detail,
                ..
            } => overload::Event::AttemptEnded {
                id,
                outcome: *outcome,
                detail: *detail,
            },
            Event::TaskCancelled(id) => overload::Event::RequestEnded {
                id,
                end: RequestEnd::Cancelled,
            },
            _ => return,
        };
        overload.handle(now, event, limits);
    }
}

/// Notifies the overload controller of an action of the module.
fn limit_by_action(
    overload: &mut OverloadController,
    now: Micros,
    action: &Action,
    limits: &mut Vec<Limit>,
) {
    let event = match action {
        Action::SendAttempt { id, host, .. } => overload::Event::AttemptSent { id, host },
        Action::Reject { id, .. } | Action::Fail { id } => overload::Event::RequestEnded {
            id,
            end: RequestEnd::GivenUp,
        },
        _ => return,
    };
    overload.handle(now, event, limits);
}

/// An update without endpoints confirms a subscription.
fn subscription_confirmed() -> Event {
    Event::EndpointsChanged {
        kind: UpdateKind::Delta,
        endpoints: Vec::new(),
    }
}

/// The module's event for what the caller has learned.
fn module_event(event: PlacementEvent) -> Event {
    match event {
        PlacementEvent::AttemptStarted {
            ticket,
            attempt,
            host,
            elapsed,
        } => Event::AttemptStarted {
            id: ticket.to_request_id(),
            attempt,
            host,
            elapsed,
        },
        PlacementEvent::AttemptEnded {
            ticket,
            attempt,
            host,
            outcome,
            detail,
            elapsed,
        } => Event::AttemptEnded {
            id: ticket.to_request_id(),
            attempt,
            host,
            outcome,
            detail,
            done: outcome == Outcome::Completed,
            elapsed,
            load_report: Vec::new(),
        },
        PlacementEvent::TaskReported {
            ticket,
            host,
            report,
            value,
        } => Event::TaskReported {
            id: ticket.to_request_id(),
            host,
            report,
            value,
        },
        PlacementEvent::Cancelled(ticket) => Event::TaskCancelled(ticket.to_request_id()),
        PlacementEvent::EndpointsCached(endpoints) => Event::EndpointsChanged {
            kind: UpdateKind::Cached,
            endpoints,
        },
        PlacementEvent::EndpointsChanged {
            is_complete,
            endpoints,
        } => Event::EndpointsChanged {
            kind: if is_complete {
                UpdateKind::Complete
            } else {
                UpdateKind::Delta
            },
            endpoints,
        },
        PlacementEvent::ShutdownRequested(within) => Event::ShutdownRequested(within),
        PlacementEvent::DiscoveryUp => subscription_confirmed(),
        PlacementEvent::DiscoveryDown => Event::EndpointsChanged {
            kind: UpdateKind::Failed,
            endpoints: Vec::new(),
        },
    }
}

//! Hands events to the decision module and turns its actions into decisions.

use super::messages::subscription_confirmed;
use super::{Decision, Facade, Ticket};
use crate::overload::{self, OverloadController, RequestEnd};
use crate::types::{Action, Event, Limit, Micros, UpdateKind};
use std::collections::VecDeque;

impl Facade {
    /// Hands one event to the module, and the limits that follow from it. A subscription is answered by the state
    /// of service discovery: at once while it delivers, otherwise when it does again.
    pub(super) fn handle_event(&mut self, now: Micros, event: Event) -> Vec<Decision> {
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

//! Passes events to the decision module and converts its actions into decisions.

use super::messages::subscription_confirmed;
use super::{Decision, Facade, Ticket};
use crate::overload::{self, OverloadController, RequestEnd};
use crate::state::timers::MIN_TIMERS_TO_COMPACT;
use crate::types::{Action, Event, Limit, Micros, TimerToken, UpdateKind};
use std::collections::VecDeque;

impl Facade {
    /// Passes one event to the decision module, notifies it of the limits that overload control derives from the event,
    /// and returns the resulting decisions.
    ///
    /// If the decision module subscribes to the endpoint list, the subscription is confirmed at once while service
    /// discovery is up, otherwise as soon as it is up again.
    pub(super) fn handle_event(&mut self, now: Micros, event: Event) -> Vec<Decision> {
        let mut events = VecDeque::from([event]);
        let mut decisions = Vec::new();
        let mut limits = Vec::new();
        let mut wants_subscription = false;
        while let Some(event) = events.pop_front() {
            for action in self.actions(now, &event, &mut limits) {
                wants_subscription |= matches!(action, Action::Subscribe | Action::PollEndpoints);
                decisions.extend(self.convert_action(now, action));
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

    /// Passes one event to the decision module and returns its actions. Appends to `limits` those that the overload
    /// controller derives from the event and the actions.
    fn actions(&mut self, now: Micros, event: &Event, limits: &mut Vec<Limit>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.notify_overload_of_event(now, event, limits);
        // When an attempt ends, the decision module may send another one for the request, so it must be notified of the
        // new limits before the event.
        if !limits.is_empty() && matches!(event, Event::AttemptEnded { .. }) {
            let limits = Event::LimitsChanged(std::mem::take(limits));
            self.placer.handle(now, &limits, &mut actions);
        }
        self.placer.handle(now, event, &mut actions);
        if let Some(overload) = &mut self.overload {
            for action in &actions {
                notify_overload_of_action(overload, now, action, limits);
            }
        }
        actions
    }

    /// Adds a timer, and discards those without effect once they may be the greater part.
    fn add_timer(&mut self, due: Micros, token: TimerToken) {
        self.timers.insert((due, token));
        if self.timers.len() >= self.timer_compaction_at {
            let placer = &self.placer;
            self.timers
                .retain(|(_, token)| placer.is_timer_pending(*token));
            self.timer_compaction_at = (2 * self.timers.len()).max(MIN_TIMERS_TO_COMPACT);
        }
    }

    /// Converts an action into a decision; `None` if the caller of the facade has nothing to do. Stores requested
    /// timers.
    fn convert_action(&mut self, now: Micros, action: Action) -> Option<Decision> {
        match action {
            Action::SetTimer { token, after } => {
                self.add_timer(now.saturating_add(after), token);
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
            // `handle_event` answers subscriptions. The facade's callers send no health checks to hosts, service
            // discovery need not be told that a subscription ends, and connections to hosts stay open because
            // releases of running tasks arrive on them.
            Action::Subscribe
            | Action::PollEndpoints
            | Action::SendHealthCheck { .. }
            | Action::Unsubscribe
            | Action::CloseIdleConnections { .. } => None,
        }
    }

    /// Notifies the overload controller of an event, and appends the resulting limits.
    fn notify_overload_of_event(&mut self, now: Micros, event: &Event, limits: &mut Vec<Limit>) {
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

/// Notifies the overload controller of an action of the decision module, and appends the resulting limits.
fn notify_overload_of_action(
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

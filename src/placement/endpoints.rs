//! Updates of the endpoint list, the subscription to the list, and the load reports of the hosts.

use super::placer::Placer;
use crate::state::hosts::ProcessChange;
use crate::types::{Action, Endpoint, HostId, LoadReportField, Micros, Resources, UpdateKind};

/// Assumed lag of the endpoint list (the age of its information on arrival), as a fraction of the longest time that may
/// pass without a subscription.
const LIST_LAG_FRACTION: f64 = 0.25;
/// Assumed lag of load reports (the age of their information on arrival), as a fraction of the shortest latency
/// objective.
const REPORT_LAG_FRACTION: f64 = 0.5;
/// Number of times that the placer tries to subscribe to the endpoint list within the longest time that may pass
/// without a subscription.
const SUBSCRIPTION_ATTEMPTS: i64 = 16;
/// Maximum number of times that the pause between two requests to subscribe to the endpoint list is doubled.
const MAX_SUBSCRIPTION_DOUBLINGS: u32 = 2;

impl Placer {
    /// Applies an update of the endpoint list, selects the working set again and tries the waiting requests again.
    pub(super) fn endpoints_changed(
        &mut self,
        kind: UpdateKind,
        endpoints: &[Endpoint],
        actions: &mut Vec<Action>,
    ) {
        if kind == UpdateKind::Failed {
            self.subscription.record_failure(self.now);
            return;
        }
        if kind != UpdateKind::Cached {
            self.subscription.record_update();
        }
        if kind != UpdateKind::Delta {
            self.hosts.remove_unlisted(endpoints);
        }
        for endpoint in endpoints {
            self.update_host(endpoint);
        }
        if kind == UpdateKind::Cached {
            self.keep_subscribed(actions);
        }
        self.select_working_set();
        self.retry_waiting(actions);
    }

    fn update_host(&mut self, endpoint: &Endpoint) {
        let (index, change) = self.hosts.update(endpoint);
        if self.settings.endpoints_show_free_resources {
            let free = Resources {
                cores: endpoint.free_cores,
                memory: endpoint.free_memory,
            };
            let requested = self.host_size(endpoint.kind) - free;
            let as_of = self.now - self.list_lag();
            self.hosts.hosts[index].record_report(requested, as_of);
        }
        if change == ProcessChange::Restarted {
            self.health.forget(index);
        }
    }

    /// Subscribes to the endpoint list if there is no active subscription.
    ///
    /// After a failure, or if no answer comes at all, the request is repeated several times within the longest time
    /// that may pass without a subscription, so that no drain goes unnoticed.
    pub(super) fn keep_subscribed(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.requires_subscription || self.subscription.active {
            return;
        }
        let doublings = self.subscription.failures.min(MAX_SUBSCRIPTION_DOUBLINGS);
        let pause = (self.settings.max_time_unsubscribed / SUBSCRIPTION_ATTEMPTS) << doublings;
        let is_due = self
            .subscription
            .last_request
            .is_none_or(|last_request| self.now - last_request >= pause);
        if is_due {
            self.subscription.last_request = Some(self.now);
            actions.push(Action::Subscribe);
        }
    }

    /// Returns the assumed lag of the endpoint list: how old its information is when it arrives, in microseconds.
    pub(super) fn list_lag(&self) -> Micros {
        let span = if self.settings.max_time_unsubscribed > 0 {
            self.settings.max_time_unsubscribed
        } else {
            self.settings.slow_start
        };
        (span as f64 * LIST_LAG_FRACTION) as Micros
    }

    /// Records a load report of a host if it states both the cores and the memory that no task has requested.
    pub(super) fn record_load_report(&mut self, host: &HostId, values: &[f64]) {
        let Some(index) = self.hosts.index_of(host) else {
            return;
        };
        if values.is_empty() || !self.settings.counts_requested_resources {
            return;
        }
        let fields = &self.settings.load_report;
        let value_of = |wanted: LoadReportField| {
            let mut reported = fields.iter().zip(values);
            reported
                .find(|(field, _)| **field == wanted)
                .map(|(_, value)| *value)
        };
        let cores = value_of(LoadReportField::FreeCores);
        let memory = value_of(LoadReportField::FreeMemory);
        let (Some(cores), Some(memory)) = (cores, memory) else {
            return;
        };
        let size = self.host_size(self.hosts.hosts[index].kind);
        let as_of = self.now - (self.shortest_objective as f64 * REPORT_LAG_FRACTION) as Micros;
        let requested = size - Resources { cores, memory };
        self.hosts
            .mark_changed(index)
            .record_report(requested, as_of);
    }
}

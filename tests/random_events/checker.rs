//! Checks the actions of a placer by records that are independent of the decision module. The rules are:
//!
//! 1. Each request gets exactly one final response in time, and no attempt after it.
//! 2. No two attempts of a request are in flight at once. Once a task may have run, it is not retried if it must not
//!    run twice, and with an idempotency key it is retried only where and while hosts recognise the key. A request is
//!    rejected only if a retry by the client cannot lead to a harmful second run.
//! 3. Draining and removed hosts get no attempts after the drain grace.
//! 4. Hosts that are warming up get no more attempts than the slow-start budget allows.
//! 5. No failure domain gets more tasks of a service than its class allows.

use crate::common::*;
use std::collections::BTreeMap;
use task_placer::*;

/// An attempt in flight.
#[derive(Clone)]
pub struct Attempt {
    pub number: u32,
    pub host: HostId,
    pub times_out_at: Micros,
}

/// A request with its attempts and its response.
pub struct RequestRecord {
    pub task: Task,
    deadline: Micros,
    attempts: u32,
    pub in_flight: Option<Attempt>,
    last_sent_at: Micros,
    pub is_placed: bool,
    pub is_answered: bool,
    pub is_cancelled: bool,
    /// Host and send time of the first attempt whose task may have run.
    may_have_run: Option<(HostId, Micros)>,
}

impl RequestRecord {
    pub fn new(task: &Task, now: Micros) -> RequestRecord {
        RequestRecord {
            task: task.clone(),
            deadline: now + task.time_budget,
            attempts: 0,
            in_flight: None,
            last_sent_at: 0,
            is_placed: false,
            is_answered: false,
            is_cancelled: false,
            may_have_run: None,
        }
    }

    /// Returns whether a response is still pending.
    pub fn is_pending(&self) -> bool {
        !self.is_answered && !self.is_placed && !self.is_cancelled
    }

    /// Ends the attempt in flight. Returns it together with whether the request is complete.
    pub fn end_attempt(&mut self, outcome: Outcome) -> Option<(Attempt, bool)> {
        let attempt = self.in_flight.take()?;
        let is_complete = outcome == Outcome::Completed
            || self.is_placed
            || self.is_answered
            || self.is_cancelled;
        let never_ran = matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        );
        if !never_ran && self.may_have_run.is_none() {
            self.may_have_run = Some((attempt.host.clone(), self.last_sent_at));
        }
        Some((attempt, is_complete))
    }
}

/// Checks the rules against its own records of requests, endpoints and attempts.
pub struct Checker {
    pub settings: Settings,
    pub requests: BTreeMap<RequestId, RequestRecord>,
    pub endpoints: BTreeMap<HostId, Endpoint>,
    pub responses: usize,
    /// When the module was notified that a host is draining or removed.
    not_up_since: BTreeMap<HostId, Micros>,
    /// Send times of the attempts at hosts that are warming up, since the start of the host.
    warming_attempts: BTreeMap<HostId, Vec<Micros>>,
    /// Start time of each host, as last notified to the module.
    known_start: BTreeMap<HostId, Micros>,
}

impl Checker {
    pub fn new(settings: Settings, host_count: usize) -> Checker {
        let hosts = 0..host_count;
        Checker {
            settings,
            requests: BTreeMap::new(),
            endpoints: hosts
                .map(|n| (host_id(n), endpoint(n, EndpointState::Up)))
                .collect(),
            responses: 0,
            not_up_since: BTreeMap::new(),
            warming_attempts: BTreeMap::new(),
            known_start: BTreeMap::new(),
        }
    }

    /// Records the endpoints of which the module is notified.
    pub fn notified(&mut self, now: Micros, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            let host = &endpoint.host;
            if self.known_start.insert(host.clone(), endpoint.started_at)
                != Some(endpoint.started_at)
            {
                self.warming_attempts.remove(host);
            }
            if endpoint.state == EndpointState::Up {
                self.not_up_since.remove(host);
            } else {
                self.not_up_since.entry(host.clone()).or_insert(now);
            }
        }
    }

    pub fn check_rejection(&mut self, now: Micros, id: &RequestId) {
        self.check_response(now, id);
        let request = &self.requests[id];
        let is_harmless = match self.settings.classes[request.task.class.0].idempotency {
            Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: KeyScope::All,
            } => true,
            _ => request.may_have_run.is_none() && request.in_flight.is_none(),
        };
        assert!(
            is_harmless,
            "rule 2: {id:?} was rejected although an attempt may have run"
        );
    }

    pub fn check_response(&mut self, now: Micros, id: &RequestId) {
        let slack = self.settings.response_slack;
        let request = self
            .requests
            .get_mut(id)
            .expect("response to an unknown request");
        assert!(request.is_pending(), "rule 1: second response to {id:?}");
        assert!(
            now <= request.deadline + slack,
            "rule 1: late response to {id:?}"
        );
        request.is_answered = true;
        self.responses += 1;
    }

    pub fn check_attempt(&mut self, now: Micros, id: &RequestId, host: &HostId, timeout: Micros) {
        let request = &self.requests[id];
        assert!(
            request.is_pending(),
            "rule 1: attempt for {id:?} after its final response, placement or cancellation"
        );
        assert!(
            request.in_flight.is_none(),
            "rule 2: two attempts in flight at once"
        );
        assert!(request.attempts < self.settings.max_attempts && timeout > 0);
        let class = self.settings.classes[request.task.class.0].clone();
        self.check_retry(now, request, &class, host);
        if let Some(since) = self.not_up_since.get(host) {
            assert!(
                now - since <= self.settings.drain_grace,
                "rule 3: attempt at a draining or removed host"
            );
        }
        self.check_spread(request, &class, host);
        self.check_slow_start(now, host);
        assert!(
            class
                .host_kind
                .is_none_or(|kind| kind == self.endpoints[host].kind)
        );
        let request = self.requests.get_mut(id).expect("request is unknown");
        request.in_flight = Some(Attempt {
            number: request.attempts,
            host: host.clone(),
            times_out_at: (now + timeout).min(request.deadline),
        });
        request.attempts += 1;
        request.last_sent_at = now;
    }

    fn check_retry(&self, now: Micros, request: &RequestRecord, class: &TaskClass, host: &HostId) {
        let Some((first, sent_at)) = &request.may_have_run else {
            return;
        };
        match class.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => panic!("rule 2: retry of a non-idempotent task"),
            Idempotency::IdempotencyKey { scope } => {
                let first = &self.endpoints[first];
                let host = &self.endpoints[host];
                assert!(match scope {
                    KeyScope::All => true,
                    KeyScope::Zone => first.zone == host.zone,
                    KeyScope::Cell => first.cell == host.cell,
                });
                assert!(
                    now - sent_at <= class.idempotency_window,
                    "rule 2: retry after the idempotency window"
                );
            }
        }
    }

    fn check_spread(&self, request: &RequestRecord, class: &TaskClass, host: &HostId) {
        if class.spread_domain == SpreadDomain::None {
            return;
        }
        let domain = self.domain(class.spread_domain, host);
        let is_in_domain =
            |attempt: &Attempt| self.domain(class.spread_domain, &attempt.host) == domain;
        let in_domain = self.requests.values().filter(|other| {
            other.task.service == request.task.service
                && other.in_flight.as_ref().is_some_and(is_in_domain)
        });
        assert!(
            in_domain.count() < class.max_per_domain,
            "rule 5: too many tasks of a service in one failure domain"
        );
    }

    fn check_slow_start(&mut self, now: Micros, host: &HostId) {
        let started_at = self.known_start[host];
        if started_at <= 0 || now - started_at >= self.settings.slow_start {
            return;
        }
        let attempts = self.warming_attempts.entry(host.clone()).or_default();
        attempts.push(now);
        let window = self.settings.collapse_window;
        let recent = attempts
            .iter()
            .filter(|sent_at| now - **sent_at <= window)
            .count();
        // If there are more placers than attempts in the budget, the placers take turns of one attempt each. The sum
        // over all placers is checked in tests/scale.rs.
        let budget =
            (self.settings.slow_start_attempts / self.settings.placer_count as f64).max(1.0);
        assert!(
            recent as f64 <= budget,
            "rule 4: {recent} attempts at a warming host within the collapse window"
        );
    }

    fn domain(&self, spread: SpreadDomain, host: &HostId) -> u64 {
        let endpoint = &self.endpoints[host];
        match spread {
            SpreadDomain::None => 0,
            SpreadDomain::Host => host.0[1..]
                .parse()
                .expect("host id does not end in a number"),
            SpreadDomain::Cell => endpoint.cell.0,
            SpreadDomain::Zone => endpoint.zone.0 as u64,
        }
    }
}

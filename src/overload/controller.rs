//! The overload controller: handles events, keeps the state of each feature, and emits limits.

mod attempts;

use super::admission::{AdmissionController, Candidate, ClientAttempt};
use super::concurrency_limit::HostResponse;
use super::event::{Event, RequestAdmission, RequestEnd};
use super::health_check_schedule::HealthCheckSchedule;
use super::hosts::{HostTable, HostTableConfig};
use super::report::{Counters, Report};
use super::requests::{OpenRequest, OpenRequests};
use super::retry_after::{BackedOffClients, retry_after};
use super::retry_budget::RetryBudget;
use super::tenants::TenantUsages;
use super::{Features, ShedState};
use crate::{ClassId, HostId, Limit, Micros, RequestId, Settings, Task};

/// How many times the shed level is adjusted within the shortest latency objective. The decision module does its
/// periodic work at the same rate.
const ADJUSTMENTS_PER_OBJECTIVE: Micros = 4;
/// The epoch while admission control is disabled, in microseconds: how long the hash gives the same task the same
/// Retry-After.
const DEFAULT_EPOCH: Micros = 8_000_000;
/// The latency objective if the settings define no task class, in microseconds.
const DEFAULT_LATENCY_OBJECTIVE: Micros = 1_000_000;
/// The attributes of a task class that overload control uses.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Class {
    latency_objective: Micros,
    priority: u8,
}

/// The overload controller of one placer.
#[derive(Debug, Clone)]
pub struct OverloadController {
    classes: Vec<Class>,
    tenants: TenantUsages,
    /// The shortest latency objective of any class, in microseconds.
    latency_objective: Micros,
    /// The longest Retry-After that may be sent to a client; 0 if none may be sent.
    max_retry_after: Micros,
    spreads_retry_after: bool,
    /// How long the hash gives the same task the same Retry-After: the epoch of admission control, or a default without
    /// it.
    epoch: Micros,
    /// The wall-clock time, in microseconds, at time 0 of the events.
    wall_clock_offset: Micros,
    admission: Option<AdmissionController>,
    /// The fraction of its latency objective after which a waiting task is given up while load is shed.
    give_up_after: f64,
    retry_budget: Option<RetryBudget>,
    hosts: HostTable,
    requests: OpenRequests,
    backed_off: BackedOffClients,
    /// When the shed level may be adjusted next.
    next_adjustment: Micros,
    counters: Counters,
    /// The seed plus the number of attempts sent. Its hash gives the jitter of the next attempt.
    jitter_counter: u64,
}

impl OverloadController {
    /// Creates a controller with the features `features` for a placer with the settings `settings`.
    ///
    /// `wall_clock_offset` is the wall-clock time, in microseconds, at time 0 of the events. `seed` gives this
    /// placer a pacing jitter that differs from that of the other placers.
    pub fn new(
        features: Features,
        settings: &Settings,
        wall_clock_offset: Micros,
        seed: u64,
    ) -> OverloadController {
        let classes = classes(settings);
        let latency_objective = classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(DEFAULT_LATENCY_OBJECTIVE);
        let admission_settings = features.admission.as_ref();
        OverloadController {
            tenants: TenantUsages::new(settings, latency_objective),
            max_retry_after: if settings.allows_retry_after {
                settings.max_retry_after
            } else {
                0
            },
            spreads_retry_after: features.retry_after,
            epoch: admission_settings.map_or(DEFAULT_EPOCH, |settings| settings.epoch.max(1)),
            give_up_after: admission_settings.map_or(1.0, |settings| settings.give_up_after),
            hosts: host_table(&features, settings, latency_objective, wall_clock_offset),
            admission: features
                .admission
                .map(|admission| AdmissionController::new(admission, latency_objective)),
            retry_budget: features
                .retry_budget
                .map(|budget| RetryBudget::new(budget, settings.placer_count)),
            classes,
            latency_objective,
            wall_clock_offset,
            requests: OpenRequests::default(),
            backed_off: BackedOffClients::default(),
            next_adjustment: 0,
            counters: Counters::default(),
            jitter_counter: seed,
        }
    }

    /// Records a new request, and returns its rank in the order of load shedding and its Retry-After.
    pub fn admit(&mut self, now: Micros, task: &Task) -> RequestAdmission {
        let wall_clock = self.wall_clock_offset + now;
        let class = self.class(task.class);
        let candidate = self.candidate(now, task, class);
        let (mut shed_rank, mut shed_level, mut is_admitted) = (0.0, 0, true);
        if let Some(admission) = &mut self.admission {
            shed_rank = admission.rank(now, wall_clock, candidate);
            shed_level = admission.level();
            is_admitted = shed_level == 0 || shed_rank < admission.admitted_fraction();
        }
        self.count_request(candidate.client_attempt);
        let retry_after = self.retry_after(wall_clock, shed_level, candidate.task_hash);
        if is_admitted {
            let request = OpenRequest {
                requested_at: now,
                latency_objective: class.latency_objective,
                task_hash: candidate.task_hash,
                is_client_retry: candidate.client_attempt != ClientAttempt::First,
                retry_after,
                attempts: 0,
                in_flight: None,
            };
            self.requests.insert(task.id.clone(), request);
        } else {
            self.counters.shed += 1;
            self.backed_off
                .record(now, candidate.task_hash, retry_after);
        }
        RequestAdmission {
            shed_rank,
            retry_after,
        }
    }

    fn class(&self, class: ClassId) -> Class {
        self.classes.get(class.0).copied().unwrap_or(Class {
            latency_objective: self.latency_objective,
            priority: 0,
        })
    }

    fn candidate(&mut self, now: Micros, task: &Task, class: Class) -> Candidate {
        let task_hash = task.key.0;
        Candidate {
            priority: class.priority,
            within_quota: self.tenants.record_request(now, task.tenant),
            client_attempt: if !task.is_returning {
                ClientAttempt::First
            } else if self.backed_off.is_early(now, task_hash) {
                ClientAttempt::EarlyRetry
            } else {
                ClientAttempt::Retry
            },
            task_hash,
        }
    }

    fn count_request(&mut self, client_attempt: ClientAttempt) {
        match client_attempt {
            ClientAttempt::First => self.counters.first_requests += 1,
            ClientAttempt::Retry => self.counters.client_retries += 1,
            ClientAttempt::EarlyRetry => {
                self.counters.client_retries += 1;
                self.counters.early_retries += 1;
            }
        }
    }

    fn retry_after(&self, wall_clock: Micros, shed_level: u8, task_hash: u64) -> Micros {
        if !self.spreads_retry_after {
            return 0;
        }
        retry_after(
            shed_level,
            task_hash,
            wall_clock.div_euclid(self.epoch) as u64,
            self.latency_objective,
            self.max_retry_after,
        )
    }

    /// Handles an event, and appends the limits that have changed to `limits`.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, limits: &mut Vec<Limit>) {
        match event {
            Event::EndpointsChanged { kind, endpoints } => {
                self.hosts.update(now, kind, endpoints, limits);
            }
            Event::AttemptSent { id, host } => self.attempt_sent(now, id, host, limits),
            Event::AttemptStarted { id } => self.attempt_started(now, id, limits),
            Event::AttemptEnded {
                id,
                outcome,
                detail,
            } => self.attempt_ended(now, id, outcome, detail, limits),
            Event::RequestEnded { id, end } => self.request_ended(now, id, end, limits),
            Event::Tick => self.tick(now, limits),
        }
        self.hosts.refresh_total(limits);
    }

    fn request_ended(
        &mut self,
        now: Micros,
        id: &RequestId,
        end: RequestEnd,
        limits: &mut Vec<Limit>,
    ) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        if end == RequestEnd::GivenUp {
            self.counters.given_up += 1;
            if let Some(admission) = &mut self.admission {
                admission.record_give_up(request.requested_at);
            }
            self.backed_off
                .record(now, request.task_hash, request.retry_after);
        }
        if let Some(attempt) = request.in_flight {
            if let Some(host) = self.hosts.get_mut(&attempt.host) {
                host.limit.attempt_ended(HostResponse::None);
            }
            self.hosts.refresh(now, &attempt.host, limits);
        }
    }

    fn tick(&mut self, now: Micros, limits: &mut Vec<Limit>) {
        self.hosts.refresh_due(now, limits);
        if now < self.next_adjustment {
            return;
        }
        let interval = (self.latency_objective / ADJUSTMENTS_PER_OBJECTIVE).max(1);
        self.next_adjustment = now + interval;
        self.adjust_shed_level(now, limits);
    }

    fn adjust_shed_level(&mut self, now: Micros, limits: &mut Vec<Limit>) {
        let Some(admission) = &mut self.admission else {
            return;
        };
        let earlier_level = admission.level();
        let backlog = self.requests.backlog(now, admission.level_since());
        if !admission.adjust(now, backlog) {
            return;
        }
        let level = admission.level();
        if level > earlier_level {
            self.counters.level_rises += 1;
        } else {
            self.counters.level_falls += 1;
        }
        self.counters.highest_level = self.counters.highest_level.max(u64::from(level));
        limits.push(Limit::Admission {
            admit_below: admission.admitted_fraction(),
            give_up_after: (level > 0).then_some(self.give_up_after),
        });
    }

    /// Returns the time until this placer's next health-check slot at a host that does not answer. A connection attempt
    /// to the host must wait for the slot in addition to its own backoff; `None` means that it need not wait.
    pub fn time_until_slot(&self, now: Micros, host: &HostId) -> Option<Micros> {
        self.hosts.time_until_slot(now, host)
    }

    /// Returns the state of the controller and of its hosts at `now`.
    pub fn report(&self, now: Micros) -> Report {
        Report {
            shed_level: self.shed_level(),
            admitted_fraction: self
                .admission
                .as_ref()
                .map_or(1.0, AdmissionController::admitted_fraction),
            retries_left: self.retry_budget.as_ref().map(RetryBudget::available),
            backed_off_clients: self.backed_off.waiting(now),
            counters: self.counters,
            hosts: self.hosts.report(now),
        }
    }

    /// Returns the counters of decisions since the start of the process.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the shed level; at level 0 every request is admitted.
    pub fn shed_level(&self) -> u8 {
        self.admission
            .as_ref()
            .map_or(0, AdmissionController::level)
    }

    fn shed_state(&self) -> ShedState {
        if self.shed_level() > 0 {
            ShedState::Shedding
        } else {
            ShedState::NotShedding
        }
    }
}

fn classes(settings: &Settings) -> Vec<Class> {
    let classes = settings.classes.iter().map(|class| Class {
        latency_objective: class.latency_objective.max(1),
        priority: class.priority,
    });
    classes.collect()
}

fn host_table(
    features: &Features,
    settings: &Settings,
    latency_objective: Micros,
    wall_clock_offset: Micros,
) -> HostTable {
    let schedule = features.health_check_schedule.clone();
    HostTable::new(HostTableConfig {
        limits: features.concurrency_limit.clone(),
        slot_length: schedule.as_ref().map_or(0, |schedule| schedule.slot_length),
        schedule: schedule.map(|schedule| {
            HealthCheckSchedule::new(schedule, settings.placer_index, settings.placer_count)
        }),
        placer_count: settings.placer_count.max(1),
        latency_objective,
        wall_clock_offset,
    })
}

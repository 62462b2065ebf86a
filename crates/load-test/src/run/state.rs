//! The state that the async tasks of the generator share.

use super::connection::Connection;
use super::protocol::SentRequest;
use super::{MILLISECOND, SECOND, micros};
use crate::clients::{Clients, EngineSettings};
use crate::load_balancer::ZonalLoadBalancer;
use crate::load_profile::Micros;
use crate::outcome::TaskRecord;
use crate::plan::Plan;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};

/// Upper bound of the lateness histogram, in microseconds.
const MAX_LATENESS_MICROS: u64 = 60_000_000;
/// Significant digits of the lateness histogram.
const LATENESS_DIGITS: u8 = 3;
/// Minimum and maximum time after which clients request lost or migrated tasks again.
const MIN_REREQUEST_DELAY: Micros = 50 * MILLISECOND;
const MAX_REREQUEST_DELAY: Micros = SECOND;

/// The shared state of the generator.
pub(super) struct GeneratorState {
    pub(super) clients: Clients,
    pub(super) balancer: ZonalLoadBalancer,
    pub(super) connections: BTreeMap<u64, Connection>,
    pub(super) next_connection: u64,
    pub(super) tasks: HashMap<u64, TaskRecord>,
    pub(super) sent: HashMap<u64, SentRequest>,
    /// How late the generator requested tasks, in microseconds.
    pub(super) lateness: Histogram<u64>,
    /// Number of requests so far, by which requests rotate among placers when none is up.
    pub(super) request_count: usize,
}

impl GeneratorState {
    pub(super) fn new(plan: &Plan) -> GeneratorState {
        let clients = &plan.clients;
        let settings = EngineSettings {
            policy: clients.retry_policy,
            min_backoff: micros(clients.min_backoff),
            max_backoff: micros(clients.max_backoff),
            retry_budget: clients.retry_budget,
            retry_after_compliance: clients.retry_after_compliance,
            settle_time: micros(clients.settle_time),
            rerequest_delay: (MIN_REREQUEST_DELAY, MAX_REREQUEST_DELAY),
        };
        let first_id = (plan.seed.wrapping_mul(0x9e37_79b9) << 24) | 1;
        GeneratorState {
            clients: Clients::new(settings, plan.seed, first_id),
            balancer: ZonalLoadBalancer::new(plan.placers.count, plan.zones.len()),
            connections: BTreeMap::new(),
            next_connection: 0,
            tasks: HashMap::new(),
            sent: HashMap::new(),
            lateness: Histogram::new_with_bounds(1, MAX_LATENESS_MICROS, LATENESS_DIGITS)
                .unwrap_or_else(|_| Histogram::new(LATENESS_DIGITS).expect("valid precision")),
            request_count: 0,
        }
    }
}

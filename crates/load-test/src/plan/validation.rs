//! Validation of plans, section by section. All values that are not allowed are reported at once.

use super::error::InvalidField;
use super::faults::{Fault, FaultKind};
use super::links::{Link, affected_links};
use super::selection::Selection;
use super::{ArrivalProcess, Balancing, Plan, TaskClass};
use crate::load_profile;
use emulator::event_log::Peer;
use std::collections::BTreeSet;

/// Maximum number of links that the faults of a plan may affect: each link needs a listener, and two descriptors per
/// connection.
pub const MAX_LINKS: usize = 1_024;
const MAX_PLACERS: usize = 64;
const MAX_HOSTS: usize = 512;
const MAX_CONNECTIONS: usize = 256;
const MAX_BATCH: u32 = 1_000;
const MAX_OCCURRENCES: u32 = 1_000;

/// Collects the invalid fields that are found.
#[derive(Default)]
struct Problems(Vec<InvalidField>);

impl Problems {
    fn add(&mut self, field: impl Into<String>, problem: impl Into<String>) {
        self.0.push(InvalidField {
            field: field.into(),
            problem: problem.into(),
        });
    }

    fn require(&mut self, holds: bool, field: impl Into<String>, problem: impl Into<String>) {
        if !holds {
            self.add(field, problem);
        }
    }
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

/// Returns all fields of a plan whose values are not allowed.
pub(super) fn invalid_fields(plan: &Plan) -> Vec<InvalidField> {
    let mut problems = Problems::default();
    check_profile(plan, &mut problems);
    check_deployment(plan, &mut problems);
    check_classes(plan, &mut problems);
    check_tenants(plan, &mut problems);
    check_arrivals(plan, &mut problems);
    check_clients(plan, &mut problems);
    check_faults(plan, &mut problems);
    problems.0
}

fn check_profile(plan: &Plan, problems: &mut Problems) {
    if let Err(e) = load_profile::parse(&plan.arrivals.profile) {
        problems.add("arrivals.shape", e.to_string());
    }
}

fn check_deployment(plan: &Plan, problems: &mut Problems) {
    let (placers, hosts, feed) = (&plan.placers, &plan.hosts, &plan.feed);
    problems.require(!plan.zones.is_empty(), "rooms", "expected at least one");
    problems.require(
        (1..=MAX_PLACERS).contains(&placers.count),
        "placers.count",
        format!("expected 1 to {MAX_PLACERS}, found {}", placers.count),
    );
    problems.require(
        (1..=MAX_HOSTS).contains(&hosts.count),
        "hosts.count",
        format!("expected 1 to {MAX_HOSTS}, found {}", hosts.count),
    );
    problems.require(hosts.rack_size > 0, "hosts.rack", "expected at least 1");
    problems.require(
        is_positive(hosts.cores) && is_positive(hosts.memory),
        "hosts.cores, hosts.memory",
        "expected more than 0",
    );
    problems.require(
        hosts.max_concurrent_starts > 0 && hosts.max_queued_offers > 0,
        "hosts.starts, hosts.queue",
        "expected at least 1",
    );
    problems.require(
        is_positive(hosts.slow_start_floor) && hosts.slow_start_floor <= 1.0,
        "hosts.cold-from",
        "expected more than 0, at most 1",
    );
    problems.require(
        hosts.cold_start_factor >= 1.0,
        "hosts.cold-start",
        "expected at least 1",
    );
    problems.require(
        feed.min_delay <= feed.max_delay,
        "feed.late-to",
        "shorter than feed.late-from",
    );
}

fn check_classes(plan: &Plan, problems: &mut Problems) {
    problems.require(!plan.classes.is_empty(), "class", "expected at least one");
    for (n, class) in plan.classes.iter().enumerate() {
        check_class(plan, &format!("class {n}"), class, problems);
    }
    let shares: f64 = plan.classes.iter().map(|class| class.share).sum();
    problems.require(shares > 0.0, "class", "all shares are 0");
    let objective_class = &plan.objectives.class;
    problems.require(
        plan.classes
            .iter()
            .any(|class| class.name == *objective_class),
        "aims.class",
        format!("no class {objective_class}"),
    );
}

fn check_class(plan: &Plan, field: &str, class: &TaskClass, problems: &mut Problems) {
    let sizes = &class.sizes;
    problems.require(
        !sizes.is_empty()
            && sizes
                .iter()
                .all(|size| is_positive(size.cores) && is_positive(size.memory)),
        format!("{field}: sizes"),
        "expected pairs of cores and memory, both more than 0",
    );
    problems.require(
        class.objective <= class.client_timeout,
        field,
        "aim is longer than limit",
    );
    problems.require(
        class.share.is_finite() && class.share >= 0.0,
        format!("{field}: share"),
        "expected 0 or more",
    );
    problems.require(
        (0.0..=3.0).contains(&class.run_time_sigma),
        format!("{field}: life-sigma"),
        "expected 0 to 3",
    );
    problems.require(
        class.priority <= 3,
        format!("{field}: priority"),
        "expected 0 to 3",
    );
    let fits_host =
        |cores: f64, memory: f64| cores <= plan.hosts.cores && memory <= plan.hosts.memory;
    problems.require(
        sizes.iter().all(|size| fits_host(size.cores, size.memory)),
        format!("{field}: sizes"),
        "a size fits on no host",
    );
    let same_name = plan
        .classes
        .iter()
        .filter(|other| other.name == class.name)
        .count();
    problems.require(
        same_name == 1,
        field,
        format!("more than one class is named {}", class.name),
    );
}

fn check_tenants(plan: &Plan, problems: &mut Problems) {
    problems.require(!plan.tenants.is_empty(), "tenant", "expected at least one");
    problems.require(
        plan.tenants
            .iter()
            .all(|tenant| is_positive(tenant.arrival_weight())),
        "tenant: share and flood",
        "expected more than 0",
    );
}

fn check_arrivals(plan: &Plan, problems: &mut Problems) {
    let arrivals = &plan.arrivals;
    match arrivals.process {
        ArrivalProcess::Gamma { cv } => problems.require(
            (0.05..=10.0).contains(&cv),
            "arrivals.process.cv",
            format!("expected 0.05 to 10, found {cv}"),
        ),
        ArrivalProcess::Markov { high, stay } => problems.require(
            (1.0..=1e3).contains(&high) && is_positive(stay),
            "arrivals.process",
            "high: expected 1 to 1000; stay: more than 0",
        ),
        ArrivalProcess::Even | ArrivalProcess::Poisson => {}
    }
    if let Some(batch) = arrivals.batch {
        problems.require(
            batch.min >= 1 && batch.min <= batch.max && batch.max <= MAX_BATCH,
            "arrivals.batch",
            format!("expected 1 <= least <= most <= {MAX_BATCH}"),
        );
    }
    let is_valid_skew = |value: f64| (0.0..=5.0).contains(&value);
    problems.require(
        is_valid_skew(arrivals.service_skew) && is_valid_skew(arrivals.zone_skew),
        "arrivals.service-skew, room-skew",
        "expected 0 to 5",
    );
}

fn check_clients(plan: &Plan, problems: &mut Problems) {
    let clients = &plan.clients;
    problems.require(
        is_fraction(clients.retry_after_compliance) && is_fraction(plan.objectives.share),
        "clients.honour, aims.share",
        "expected 0 to 1",
    );
    problems.require(
        (1..=MAX_CONNECTIONS).contains(&clients.connections_per_placer),
        "clients.connections",
        format!("expected 1 to {MAX_CONNECTIONS}"),
    );
    problems.require(
        clients.min_backoff <= clients.max_backoff && !clients.min_backoff.is_zero(),
        "clients.base",
        "expected more than 0s and at most clients.most",
    );
    problems.require(
        clients.retry_budget.is_finite() && clients.retry_budget >= 0.0,
        "clients.budget",
        "expected 0 or more",
    );
    if clients.balancing == Balancing::AgentWeights {
        let enabled = plan
            .placers
            .operator_file
            .as_ref()
            .is_some_and(|text| text.contains("{agent}"));
        problems.require(
            enabled,
            "clients.spread: agent",
            "[placers] operator must open an agent check at {agent}",
        );
    }
}

fn check_faults(plan: &Plan, problems: &mut Problems) {
    let mut links = BTreeSet::new();
    for (n, fault) in plan.faults.iter().enumerate() {
        let field = format!("fault {n}");
        if fault.link_fault().is_some() {
            check_link_fault(plan, &field, fault, problems, &mut links);
        } else {
            check_target_fault(plan, &field, fault, problems);
        }
    }
    let count = links.len();
    problems.require(
        count <= MAX_LINKS,
        "fault",
        format!("expected at most {MAX_LINKS} links in all, found {count}"),
    );
}

fn check_occurrences(field: &str, fault: &Fault, problems: &mut Problems) {
    problems.require(
        (1..=MAX_OCCURRENCES).contains(&fault.occurrences),
        format!("{field}: times"),
        format!("expected 1 to {MAX_OCCURRENCES}"),
    );
}

/// Checks a fault of links, and adds the links that it affects to `all_links`.
fn check_link_fault(
    plan: &Plan,
    field: &str,
    fault: &Fault,
    problems: &mut Problems,
    all_links: &mut BTreeSet<Link>,
) {
    let has_sides = !fault.from.is_empty() && !fault.to.is_empty();
    problems.require(
        has_sides,
        format!("{field}: from, to"),
        "expected parties, such as \"placers 0..3\"",
    );
    problems.require(
        fault.selection == Selection::default(),
        format!("{field}: which"),
        "links are named by from and to",
    );
    problems.require(
        fault.kind != FaultKind::LinkSlow || !fault.delay.is_zero(),
        format!("{field}: by"),
        "expected the delay of bytes",
    );
    for (side, parties) in [("from", &fault.from), ("to", &fault.to)] {
        if let Err(e) = parties.resolve(plan) {
            problems.add(format!("{field}: {side}"), e.to_string());
        }
    }
    match affected_links(plan, fault) {
        Ok(links) => {
            let feed_moves = plan
                .faults
                .iter()
                .any(|fault| fault.kind == FaultKind::FeedMoved);
            let has_feed = links.iter().any(|link| link.peer == Peer::Feed);
            problems.require(
                !(feed_moves && has_feed),
                field,
                "link faults of feeds cannot be combined with feed-moved",
            );
            all_links.extend(links);
        }
        Err(e) if has_sides => problems.add(field, e.to_string()),
        Err(_) => {}
    }
    check_occurrences(field, fault, problems);
}

/// Checks a fault whose targets are placers, hosts, racks or feeds.
fn check_target_fault(plan: &Plan, field: &str, fault: &Fault, problems: &mut Problems) {
    let has_link_fields = !fault.from.is_empty() || !fault.to.is_empty() || !fault.delay.is_zero();
    problems.require(
        !has_link_fields,
        format!("{field}: from, to, by"),
        "only faults of links have them",
    );
    let count = target_count(plan, fault.kind);
    let targets = fault.targets();
    if let Some(out_of_range) = targets.iter().find(|target| **target >= count) {
        problems.add(
            format!("{field}: which"),
            format!("there are {count}, counted from 0, found {out_of_range}"),
        );
    }
    problems.require(
        !targets.is_empty(),
        format!("{field}: which"),
        "expected at least one",
    );
    check_occurrences(field, fault, problems);
    problems.require(
        fault.occurrences == 1 || !fault.duration.is_zero(),
        format!("{field}: times"),
        "a fault without length occurs only once",
    );
}

/// Returns how many targets the plan has for a kind of fault.
fn target_count(plan: &Plan, kind: FaultKind) -> usize {
    match kind {
        FaultKind::PlacerKill
        | FaultKind::PlacerStop
        | FaultKind::PlacerRestart
        | FaultKind::FeedCut
        | FaultKind::FeedSilent
        | FaultKind::FeedDoubled
        | FaultKind::FeedMoved => plan.placers.count,
        FaultKind::RackDie => plan.hosts.count.div_ceil(plan.hosts.rack_size.max(1)),
        _ => plan.hosts.count,
    }
}

//! Tests of the rules of the decision module, with one regression test for each failure that was found.

#[path = "../common/mod.rs"]
mod common;
mod drains;
mod final_response;
mod regressions;
mod retries;
mod slow_start;
mod spread;

use common::*;
use task_placer::*;

fn settings() -> Settings {
    Settings::example()
}

fn with_idempotency(idempotency: Idempotency) -> Settings {
    let mut s = settings();
    s.classes[0].idempotency = idempotency;
    s
}

fn with_spread(spread_domain: SpreadDomain, max_per_domain: usize) -> Settings {
    let mut s = settings();
    s.classes[0].spread_domain = spread_domain;
    s.classes[0].max_per_domain = max_per_domain;
    s
}

fn only_sent_host(actions: &[Action]) -> HostId {
    let hosts = sent_hosts(actions);
    assert_eq!(hosts.len(), 1, "expected exactly one attempt: {actions:?}");
    hosts[0].clone()
}

fn state_change(n: usize, state: EndpointState) -> Event {
    Event::EndpointsChanged {
        kind: UpdateKind::Delta,
        endpoints: vec![endpoint(n, state)],
    }
}

//! The rules of the decision module, and one test for each failure that was found.

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

fn with_effect(effect: Idempotency) -> Settings {
    let mut s = settings();
    s.classes[0].idempotency = effect;
    s
}

fn with_spread(spread: SpreadDomain, most: usize) -> Settings {
    let mut s = settings();
    s.classes[0].spread_domain = spread;
    s.classes[0].max_per_domain = most;
    s
}

fn only_sent_host(actions: &[Action]) -> HostId {
    let hosts = sent_hosts(actions);
    assert_eq!(hosts.len(), 1, "one send expected: {actions:?}");
    hosts[0].clone()
}

fn state_change(n: usize, state: EndpointState) -> Event {
    Event::EndpointsChanged {
        kind: UpdateKind::Delta,
        endpoints: vec![endpoint(n, state)],
    }
}

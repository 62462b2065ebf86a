//! When a host is forgotten.

use super::*;
use std::sync::Arc;
use task_placer::{Endpoint, KindId, ZoneId};

#[test]
fn a_host_is_forgotten_once_it_is_gone_and_its_connections_have_ended() {
    let entry = Endpoint {
        host: HostId(Arc::from("h0")),
        zone: ZoneId(0),
        cell: CellId(0),
        kind: KindId(0),
        state: EndpointState::Up,
        started_at: 0,
        free_cores: 0.0,
        free_memory: 0.0,
    };
    let mut link = Link::new(&Listed { entry, dial: None });
    let (stop, _stopped) = async_channel::bounded(1);
    for (state, phase, over) in [
        (EndpointState::Up, Phase::Down, false),
        (EndpointState::Draining, Phase::Down, false),
        (EndpointState::Removed, Phase::Connecting(stop), false),
        (EndpointState::Removed, Phase::Down, true),
    ] {
        (link.state, link.phase) = (state, phase);
        assert_eq!(link.over(), over, "{state:?}");
    }
    link.waiting.push(Waiting {
        ticket: Ticket(1),
        attempt: 0,
        mark: None,
    });
    assert!(!link.over(), "an offer still waits");
}

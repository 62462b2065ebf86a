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
    let mut link = HostLink::new(&DiscoveredEndpoint { entry, dial: None });
    let (stop, _stopped) = async_channel::bounded(1);
    for (state, phase, over) in [
        (EndpointState::Up, ConnectionState::Disconnected, false),
        (
            EndpointState::Draining,
            ConnectionState::Disconnected,
            false,
        ),
        (
            EndpointState::Removed,
            ConnectionState::Connecting(stop),
            false,
        ),
        (EndpointState::Removed, ConnectionState::Disconnected, true),
    ] {
        (link.state, link.connection) = (state, phase);
        assert_eq!(link.can_be_forgotten(), over, "{state:?}");
    }
    link.pending_attempts.push(PendingAttempt {
        ticket: Ticket(1),
        attempt: 0,
        mark: None,
    });
    assert!(!link.can_be_forgotten(), "an offer still waits");
}

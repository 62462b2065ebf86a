//! Tests of `HostLink`: when the state of a removed host may be dropped.

use super::*;
use std::sync::Arc;
use task_placer::{Endpoint, KindId, ZoneId};

fn link() -> HostLink {
    let endpoint = Endpoint {
        host: HostId(Arc::from("h0")),
        zone: ZoneId(0),
        cell: CellId(0),
        kind: KindId(0),
        state: EndpointState::Up,
        started_at: 0,
        free_cores: 0.0,
        free_memory: 0.0,
    };
    HostLink::new(&DiscoveredEndpoint {
        endpoint,
        address: None,
    })
}

#[test]
fn removed_host_is_forgotten_once_its_connections_have_ended() {
    let mut link = link();
    let (stop, _stopped) = async_channel::bounded(1);
    let connecting = ConnectionState::Connecting(stop);
    for (state, connection, is_forgotten) in [
        (EndpointState::Up, ConnectionState::Disconnected, false),
        (
            EndpointState::Draining,
            ConnectionState::Disconnected,
            false,
        ),
        (EndpointState::Removed, connecting, false),
        (EndpointState::Removed, ConnectionState::Disconnected, true),
    ] {
        (link.state, link.connection) = (state, connection);
        assert_eq!(link.can_be_forgotten(), is_forgotten, "{state:?}");
    }
}

#[test]
fn removed_host_is_kept_while_an_attempt_is_pending() {
    let mut link = link();
    link.state = EndpointState::Removed;
    link.pending_attempts.push(PendingAttempt {
        ticket: Ticket(1),
        attempt: 0,
        read_mark: None,
    });

    assert!(!link.can_be_forgotten(), "the host has a pending attempt");
}

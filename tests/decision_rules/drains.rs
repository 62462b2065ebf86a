//! Tests of draining and removed hosts, and of the loss of the subscription to the endpoint list.

use super::*;

#[test]
fn draining_or_removed_host_gets_no_attempts() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut placer = TestPlacer::with(settings(), 2);
        placer.handle(state_change(0, state));
        for n in 0..20 {
            assert!(!sent_hosts(&placer.request(task(n, n as u64))).contains(&host_id(0)));
        }
    }
}

#[test]
fn host_missing_from_a_complete_list_is_removed() {
    let mut placer = TestPlacer::with(settings(), 2);
    placer.handle(complete_list(1));
    for n in 0..20 {
        assert!(!sent_hosts(&placer.request(task(n, n as u64))).contains(&host_id(1)));
    }
}

#[test]
fn lost_subscription_is_requested_again_well_within_the_limit() {
    let mut s = settings();
    s.requires_subscription = true;
    let mut placer = TestPlacer::new(s);
    let Event::EndpointsChanged {
        endpoints: entries, ..
    } = complete_list(2)
    else {
        unreachable!()
    };
    let actions = placer.handle(Event::EndpointsChanged {
        kind: UpdateKind::Cached,
        endpoints: entries,
    });
    assert!(actions.contains(&Action::Subscribe));
    placer.handle(Event::EndpointsChanged {
        kind: UpdateKind::Delta,
        endpoints: Vec::new(),
    });
    assert!(
        !without_times(placer.advance(30 * SECOND)).contains(&Action::Subscribe),
        "requested a subscription although one is active"
    );
    for _ in 0..6 {
        placer.handle(Event::EndpointsChanged {
            kind: UpdateKind::Failed,
            endpoints: Vec::new(),
        });
        let later_actions = placer.advance(5 * SECOND);
        assert!(
            later_actions
                .iter()
                .any(|(_, action)| *action == Action::Subscribe)
        );
    }
    // The subscription request is also repeated if it gets no response at all.
    assert!(without_times(placer.advance(5 * SECOND)).contains(&Action::Subscribe));
}

#[test]
fn drain_is_kept_when_the_subscription_breaks() {
    let mut s = settings();
    s.requires_subscription = true;
    let mut placer = TestPlacer::with(s, 2);
    placer.handle(state_change(0, EndpointState::Draining));
    placer.handle(Event::EndpointsChanged {
        kind: UpdateKind::Failed,
        endpoints: Vec::new(),
    });
    for n in 0..20 {
        assert!(!sent_hosts(&placer.request(task(n, n as u64))).contains(&host_id(0)));
    }
}

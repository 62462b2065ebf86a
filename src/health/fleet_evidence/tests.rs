//! Tests of the attribution of faults to this placer or to the fleet.

use super::*;

const NOW: Micros = 1_000_000;

fn zone(listed: u32, refused: u32, silent: u32) -> ZoneReachability {
    ZoneReachability {
        listed,
        refused,
        silent,
    }
}

/// Returns the evidence after twenty attempts that ended in the same way.
fn after_attempts(
    outcome: Outcome,
    detail: OutcomeDetail,
    relative_duration: f64,
) -> FleetEvidence {
    let mut evidence = FleetEvidence::default();
    for _ in 0..20 {
        evidence.record_attempt(NOW, outcome, detail, relative_duration);
    }
    evidence
}

#[test]
fn silence_in_all_zones_is_attributed_to_this_placer_and_silence_in_some_to_the_hosts() {
    let cases: [(&[ZoneReachability], f64, f64); 8] = [
        (&[], 0.0, 0.0),
        (&[zone(4, 0, 0), zone(4, 0, 0)], 0.0, 0.0),
        // All hosts of one zone are silent.
        (
            &[zone(4, 0, 4), zone(4, 0, 0), zone(4, 0, 0)],
            0.0,
            1.0 / 3.0,
        ),
        // All hosts of all zones are silent.
        (&[zone(4, 0, 4), zone(4, 0, 4)], 1.0, 0.0),
        // Half of one zone and all of the other are silent. Only the half that both have in common is attributed to
        // this placer.
        (&[zone(4, 0, 2), zone(4, 0, 4)], 0.5, 0.25),
        // Refused connections, as by hosts whose process has exited, are attributed to the hosts.
        (&[zone(4, 4, 0), zone(4, 4, 0)], 0.0, 1.0),
        (&[zone(4, 0, 2)], 0.0, 0.5),
        (&[zone(4, 0, 3), zone(0, 0, 0)], 0.75, 0.0),
    ];
    for (zones, own, fleet) in cases {
        let unreachable = Unreachable::of(zones);

        assert!(
            (unreachable.own - own).abs() < 1e-9 && (unreachable.fleet - fleet).abs() < 1e-9,
            "{zones:?}: {unreachable:?}"
        );
    }
}

#[test]
fn slow_hosts_do_not_count_while_the_own_loop_is_late() {
    let evidence = after_attempts(Outcome::Completed, OutcomeDetail::Unknown, 2.0);

    assert_eq!(evidence.explains(NOW, 0.0, 0.0), 1.0);
    assert_eq!(evidence.explains(NOW, 1.0, 0.0), 0.0);
}

#[test]
fn rejections_for_lack_of_capacity_count_whatever_the_state_of_this_placer() {
    let evidence = after_attempts(Outcome::Rejected, OutcomeDetail::NoCores, 0.0);

    assert_eq!(evidence.explains(NOW, 0.0, 0.0), 1.0);
    assert_eq!(evidence.explains(NOW, 1.0, 1.0), 1.0);
}

#[test]
fn rejections_for_other_reasons_do_not_count() {
    let evidence = after_attempts(Outcome::Rejected, OutcomeDetail::NotEligible, 0.0);

    assert_eq!(evidence.explains(NOW, 0.0, 0.0), 0.0);
}

#[test]
fn stale_endpoint_list_is_no_evidence_of_full_hosts() {
    let mut evidence = FleetEvidence::default();
    evidence.set_host_fractions(Some(0.0), 0.0, 0.0);

    assert_eq!(evidence.explains(0, 0.0, 0.0), 1.0);
    assert_eq!(evidence.explains(0, 0.0, 1.0), 0.0);
}

#[test]
fn timeouts_are_counted_as_a_fraction_of_the_attempts() {
    let evidence = after_attempts(Outcome::Timeout, OutcomeDetail::Unknown, 0.0);

    assert_eq!(evidence.timeout_fraction(NOW), Some(1.0));
}

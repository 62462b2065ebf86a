//! Tests of `fleet.rs`.

use super::*;

fn zone(listed: u32, refused: u32, silent: u32) -> Zone {
    Zone {
        listed,
        refused,
        silent,
    }
}

#[test]
fn silence_everywhere_is_ours_and_silence_in_a_part_is_theirs() {
    let cases: [(&[Zone], f64, f64); 8] = [
        (&[], 0.0, 0.0),
        (&[zone(4, 0, 0), zone(4, 0, 0)], 0.0, 0.0),
        // A whole room is lost.
        (
            &[zone(4, 0, 4), zone(4, 0, 0), zone(4, 0, 0)],
            0.0,
            1.0 / 3.0,
        ),
        // Nothing comes up anywhere.
        (&[zone(4, 0, 4), zone(4, 0, 4)], 1.0, 0.0),
        // Half of each room, and one room more.
        (&[zone(4, 0, 2), zone(4, 0, 4)], 0.5, 0.25),
        // Processes that are gone are the hosts' own.
        (&[zone(4, 4, 0), zone(4, 4, 0)], 0.0, 1.0),
        (&[zone(4, 0, 2)], 0.0, 0.5),
        (&[zone(4, 0, 3), zone(0, 0, 0)], 0.75, 0.0),
    ];
    for (zones, own, fleet) in cases {
        let (o, f) = unreached(zones);
        assert!(
            (o - own).abs() < 1e-9 && (f - fleet).abs() < 1e-9,
            "{zones:?}: {o} {f}"
        );
    }
}

#[test]
fn a_late_loop_cannot_blame_slow_hosts_but_a_refusal_counts_all_the_same() {
    let offers = |outcome, detail, stretch| {
        let mut fleet = Fleet::default();
        (0..20).for_each(|_| fleet.offer(1_000_000, outcome, detail, stretch));
        fleet
    };
    let slow = offers(Outcome::Completed, OutcomeDetail::Unknown, 2.0);
    assert_eq!(
        (
            slow.explains(1_000_000, 0.0, 0.0),
            slow.explains(1_000_000, 1.0, 0.0)
        ),
        (1.0, 0.0)
    );
    let full = offers(Outcome::Rejected, OutcomeDetail::NoCores, 0.0);
    assert_eq!(
        (
            full.explains(1_000_000, 0.0, 0.0),
            full.explains(1_000_000, 1.0, 1.0)
        ),
        (1.0, 1.0)
    );
    let mut listed = Fleet::default();
    listed.looked(Some(0.0), 0.0, 0.0);
    assert_eq!(
        (listed.explains(0, 0.0, 0.0), listed.explains(0, 0.0, 1.0)),
        (1.0, 0.0)
    );
    assert_eq!(
        offers(Outcome::Timeout, OutcomeDetail::Unknown, 0.0).timeouts(1_000_000),
        Some(1.0)
    );
    assert_eq!(
        offers(Outcome::Rejected, OutcomeDetail::NotEligible, 0.0).explains(1_000_000, 0.0, 0.0),
        0.0
    );
}

//! Tests of the order in which the actions of faults become due.

use super::*;

#[test]
fn actions_come_in_the_order_of_their_times() {
    let second = Duration::from_secs;
    let settings = Settings {
        faults: vec![
            Fault::Zone {
                at: second(2),
                zone: "z1".into(),
                reported_after: second(2),
                back_after: second(6),
            },
            Fault::Placer {
                at: second(1),
                placer: 2,
                back_after: second(4),
            },
            Fault::Garbage {
                at: second(4),
                workers: 3,
            },
        ],
        ..Settings::default()
    };
    let start = Instant::now();
    let mut schedule = Schedule::new(&settings, start);
    assert_eq!(schedule.next_due(start), None);
    let mut found = Vec::new();
    for at in 0..=8 {
        while let Some(action) = schedule.next_due(start + second(at)) {
            found.push((at, action));
        }
    }
    let expected = [
        (1, Action::KillPlacer(PlacerId(2))),
        (2, Action::CrashZone(ZoneId(1))),
        (4, Action::ReportZoneRemoved(ZoneId(1))),
        (4, Action::SendGarbage(3)),
        (5, Action::RestartPlacer(PlacerId(2))),
        (8, Action::RestoreZone(ZoneId(1))),
    ];
    assert_eq!(found, expected);
}

//! Tests of parsing `/proc/stat` and of the busy fraction.

use super::*;

#[test]
fn busy_fraction_excludes_idle_time_and_waits_for_io() {
    let before = MachineTime::read("cpu  100 0 50 800 50 0 0 0 9 0\ncpu0 1 2 3\n").expect("times");
    let after = MachineTime::read("cpu  130 0 70 840 60 0 0 0 19 0\n").expect("times");
    assert_eq!(
        before,
        MachineTime {
            idle: 850,
            total: 1_000
        }
    );
    assert_eq!(after.busy_since(before), 0.5);
    assert_eq!(before.busy_since(before), 0.0);
    assert_eq!(MachineTime::read("intr 5"), None);
    assert_eq!(MachineTime::read("cpu  1 2 x"), None);
}

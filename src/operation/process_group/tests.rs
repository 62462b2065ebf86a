//! Tests of the process group.

use super::*;

const ACCOUNTING_WINDOW: Micros = 1_000;

const FIRST_OF_TWO: BudgetShare = BudgetShare {
    process_count: 2,
    process_index: 0,
};
const SECOND_OF_TWO: BudgetShare = BudgetShare {
    process_count: 2,
    process_index: 1,
};

/// Returns the group of a process that found an older process running when it started.
fn younger_process() -> ProcessGroup {
    let mut group = ProcessGroup::new(ACCOUNTING_WINDOW);
    assert_eq!(group.peer_joined(PeerAge::Older), SECOND_OF_TWO);
    group
}

#[test]
fn peer_joining_halves_the_share_immediately() {
    let mut old = ProcessGroup::new(ACCOUNTING_WINDOW);
    let mut new = ProcessGroup::new(ACCOUNTING_WINDOW);

    assert_eq!(new.peer_joined(PeerAge::Older), SECOND_OF_TWO);
    assert_eq!(old.peer_joined(PeerAge::Younger), FIRST_OF_TWO);

    assert_eq!((old.refresh(500), new.refresh(500)), (None, None));
}

#[test]
fn share_grows_back_only_after_the_accounting_window() {
    let mut new = younger_process();

    new.peer_exited(600);

    assert_eq!(new.live_peers(), 0);
    assert_eq!(
        new.refresh(1_599),
        None,
        "the attempts of the old process still count"
    );
    assert_eq!(new.refresh(1_600), Some(BudgetShare::WHOLE));
    assert_eq!(new.refresh(1_601), None, "reported once");
}

#[test]
fn process_that_was_running_first_has_index_zero_in_the_next_upgrade() {
    let mut new = younger_process();
    new.peer_exited(600);
    assert_eq!(new.refresh(1_600), Some(BudgetShare::WHOLE));

    let share = new.peer_joined(PeerAge::Younger);

    assert_eq!(share, FIRST_OF_TWO);
}

#[test]
fn second_upgrade_before_regrowth_keeps_the_reduced_share() {
    let mut new = younger_process();
    new.peer_exited(600);
    assert_eq!(new.refresh(1_600), Some(BudgetShare::WHOLE));
    assert_eq!(new.peer_joined(PeerAge::Younger), FIRST_OF_TWO);
    new.peer_exited(2_000);

    let share = new.peer_joined(PeerAge::Younger);

    assert_eq!(share, FIRST_OF_TWO);
    assert_eq!(new.refresh(9_000), None, "a peer is running");
}

#[test]
fn process_index_is_always_below_the_process_count() {
    let mut group = ProcessGroup::new(10);
    for step in 0..40_i64 {
        let age = if step % 2 == 0 {
            PeerAge::Older
        } else {
            PeerAge::Younger
        };
        match step % 5 {
            0 | 3 => drop(group.peer_joined(age)),
            1 | 4 => group.peer_exited(step * 7),
            _ => drop(group.refresh(step * 7)),
        }
        let share = group.share;
        assert!(
            share.process_index < share.process_count && share.process_count > group.live_peers(),
            "{group:?}"
        );
    }
}

//! Tests of the releases that are passed on to other processes.

use super::*;

const TASK: TaskId = TaskId(7);
const CAUSE: Cause = Cause(31);
const OLD: PeerId = PeerId(1);
const LAST: PeerId = PeerId(2);
const SENDER: ReleaseSender = ReleaseSender::Peer(PeerId(9));

fn with_release(awaited: &[PeerId]) -> ForwardedReleases {
    let mut releases = ForwardedReleases::default();
    let awaited = awaited.iter().copied().collect();
    assert!(releases.insert(0, TASK, CAUSE, Some(SENDER), awaited));
    releases
}

fn settled(is_handled: bool) -> Settled {
    Settled {
        task: TASK,
        cause: CAUSE,
        senders: vec![SENDER],
        is_handled,
    }
}

#[test]
fn reply_of_the_process_that_knows_the_task_settles_a_release() {
    let mut releases = with_release(&[OLD, LAST]);

    assert_eq!(releases.replied(LAST, TASK, true), Some(settled(true)));
    assert_eq!(releases.replied(OLD, TASK, false), None);
    assert_eq!(releases.for_peer(PeerId(3)), []);
}

#[test]
fn release_that_no_process_knows_is_settled_by_the_last_reply_and_kept_for_later_ones() {
    let mut releases = with_release(&[OLD, LAST]);

    assert_eq!(releases.replied(OLD, TASK, false), None);
    assert_eq!(releases.replied(LAST, TASK, false), Some(settled(false)));
    assert_eq!(releases.for_peer(PeerId(3)), [(TASK, CAUSE)]);
    assert_eq!(releases.expire(RETENTION - 1), []);
    assert_eq!(releases.for_peer(PeerId(3)), [(TASK, CAUSE)]);
    assert_eq!(releases.expire(RETENTION), []);
    assert_eq!(releases.for_peer(PeerId(3)), []);
}

#[test]
fn exit_of_the_awaited_process_settles_a_release() {
    let mut releases = with_release(&[OLD]);

    assert_eq!(releases.peer_gone(LAST), []);
    assert_eq!(releases.peer_gone(OLD), [settled(false)]);
    assert_eq!(releases.peer_gone(OLD), []);
}

#[test]
fn release_without_a_reply_is_settled_after_the_timeout() {
    let mut releases = with_release(&[OLD]);

    assert_eq!(releases.expire(REPLY_TIMEOUT - 1), []);
    assert_eq!(releases.expire(REPLY_TIMEOUT), [settled(false)]);
    assert_eq!(releases.expire(REPLY_TIMEOUT), []);
}

#[test]
fn release_is_not_sent_back_to_the_process_that_sent_it() {
    let mut releases = with_release(&[OLD]);

    assert_eq!(releases.for_peer(PeerId(9)), []);
    assert_eq!(releases.for_peer(LAST), [(TASK, CAUSE)]);
    assert_eq!(
        releases.replied(OLD, TASK, false),
        None,
        "another reply is awaited"
    );
}

#[test]
fn there_is_room_for_a_bounded_number_of_unannounced_tasks() {
    let mut releases = ForwardedReleases::default();
    for id in 0..MAX_RELEASES as u64 {
        assert!(releases.has_room_for_unannounced());
        let awaited = BTreeSet::from([OLD]);
        assert!(releases.insert(0, TaskId(id), CAUSE, Some(SENDER), awaited));
    }

    assert!(!releases.has_room_for_unannounced());
}

#[test]
fn number_of_senders_of_a_release_is_bounded() {
    let mut releases = ForwardedReleases::default();
    let mut insert = |peer| {
        let sender = ReleaseSender::Peer(PeerId(peer));
        releases.insert(0, TASK, CAUSE, Some(sender), BTreeSet::from([OLD]))
    };
    assert!((0..MAX_SENDERS as u64).all(&mut insert));

    assert!(!insert(MAX_SENDERS as u64));
}

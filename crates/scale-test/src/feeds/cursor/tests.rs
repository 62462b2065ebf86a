//! The feed lines that are written for a placer, and their sequence numbers.

use super::*;
use crate::feeds::FreeResources;
use crate::identity::ZoneId;

fn workers() -> WorkerList {
    WorkerList::new(5, vec!["z0".to_string(), "z1".to_string()], 4.0, 8.0)
}

/// Returns a cursor whose placer has started.
fn cursor(workers: &WorkerList) -> FeedCursor {
    let mut cursor = FeedCursor::default();
    cursor.set_ports(vec![20_000, 20_001]);
    cursor.start(workers);
    cursor
}

/// A feed line as a placer reads it.
struct ReadEvent {
    sequence_number: u64,
    is_complete: Option<bool>,
    /// The name and the health of each worker.
    workers: Vec<String>,
}

fn read(batch: &FeedBatch) -> Vec<ReadEvent> {
    let text = std::str::from_utf8(&batch.bytes).expect("UTF-8 text");
    let event = |line: &str| {
        let value: serde_json::Value = serde_json::from_str(line).expect("valid JSON");
        let hosts = value["members"]["hosts"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let workers = hosts
            .iter()
            .map(|host| format!("{} {}", host["host"], host["health"]))
            .collect();
        ReadEvent {
            sequence_number: value["n"].as_u64().expect("a number"),
            is_complete: value["members"]["whole"].as_bool(),
            workers,
        }
    };
    text.lines().map(event).collect()
}

#[test]
fn first_event_lists_the_workers_that_are_up_at_the_port_of_their_zone() {
    let mut workers = workers();
    workers.mark_removed(WorkerId(3));
    let mut cursor = FeedCursor::default();
    cursor.set_ports(vec![20_000, 20_001]);

    let known: serde_json::Value =
        serde_json::from_str(&cursor.start(&workers)).expect("valid JSON");

    assert_eq!(known["n"], 1);
    let hosts = known["events"][0]["members"]["hosts"]
        .as_array()
        .expect("a list")
        .clone();
    let addresses: Vec<&str> = hosts
        .iter()
        .filter_map(|host| host["dial"].as_str())
        .collect();
    assert_eq!(
        addresses,
        [
            "127.16.0.0:20000",
            "127.16.0.1:20001",
            "127.16.0.2:20000",
            "127.16.0.4:20000"
        ]
    );
}

/// Returns a batch of two changes under the rule `each-change`, a sequence number, and two changes under the rule
/// `gathered`.
fn batch_of_both_rules() -> FeedBatch {
    let mut workers = workers();
    let mut cursor = cursor(&workers);
    workers.set_free_resources(FreeResources {
        worker: WorkerId(1),
        free_cores: 1.0,
        free_memory: 2.0,
    });
    for worker in [1, 4, 1] {
        cursor.mark_changed(WorkerId(worker));
    }
    let mut batch = FeedBatch::default();
    cursor.write_changes(FeedRule::EachChange, &workers, &mut batch);
    cursor.write_sequence_number(&mut batch);
    cursor.mark_changed(WorkerId(0));
    cursor.mark_changed(WorkerId(2));
    cursor.write_changes(FeedRule::Gathered, &workers, &mut batch);
    assert!(!cursor.has_pending_changes());
    batch
}

#[test]
fn sequence_numbers_are_consecutive_under_both_rules() {
    let events = read(&batch_of_both_rules());

    let numbers: Vec<u64> = events.iter().map(|event| event.sequence_number).collect();
    assert_eq!(numbers, [2, 3, 3, 4]);
}

#[test]
fn gathered_changes_share_an_event_and_each_change_is_written_once() {
    let batch = batch_of_both_rules();

    assert_eq!(read(&batch)[3].workers.len(), 2);
    let counts = FeedCounts {
        change_events: 3,
        number_lines: 1,
        entries_up: 4,
        ..FeedCounts::default()
    };
    assert_eq!((batch.counts, batch.messages), (counts, 4));
}

#[test]
fn subscription_from_the_last_event_has_no_pending_changes() {
    let workers = workers();
    let mut cursor = cursor(&workers);
    cursor.mark_changed(WorkerId(1));
    cursor.write_changes(FeedRule::EachChange, &workers, &mut FeedBatch::default());

    cursor.subscribe(2, &workers);

    assert!(
        !cursor.has_pending_changes(),
        "no event was lost, so no change is pending"
    );
}

#[test]
fn subscription_after_a_loss_gets_the_current_state_of_all_workers() {
    let workers = workers();
    let mut cursor = cursor(&workers);
    cursor.mark_changed(WorkerId(1));
    cursor.write_changes(FeedRule::EachChange, &workers, &mut FeedBatch::default());

    cursor.subscribe(1, &workers);

    let mut batch = FeedBatch::default();
    cursor.write_changes(FeedRule::Gathered, &workers, &mut batch);
    let events = read(&batch);
    assert_eq!(events.len(), 1);
    assert_eq!((events[0].sequence_number, events[0].workers.len()), (2, 5));
}

#[test]
fn removed_workers_are_in_the_changes_and_not_in_the_complete_list() {
    let mut workers = workers();
    let mut cursor = cursor(&workers);
    for worker in workers.in_zone(ZoneId(1)) {
        workers.mark_removed(worker);
        cursor.mark_changed(worker);
    }

    let mut batch = FeedBatch::default();
    cursor.write_changes(FeedRule::Gathered, &workers, &mut batch);
    cursor.write_complete_list(&workers, &mut batch);

    let events = read(&batch);
    assert_eq!(
        events[0].workers,
        ["\"w00001\" \"removed\"", "\"w00003\" \"removed\""]
    );
    assert_eq!(events[1].is_complete, Some(true));
    assert_eq!(events[1].workers.len(), 3);
    assert_eq!(
        (
            batch.counts.entries_removed,
            batch.counts.complete_list_events
        ),
        (2, 1)
    );
}

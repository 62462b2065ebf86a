//! What a placer is told, and under which numbers.

use super::*;

fn workers() -> ListedWorkers {
    ListedWorkers::new(5, vec!["z0".to_string(), "z1".to_string()], 4.0, 8.0)
}

fn cursor(workers: &ListedWorkers) -> FeedCursor {
    let mut cursor = FeedCursor::default();
    cursor.set_ports(vec![20_000, 20_001]);
    cursor.start(workers);
    cursor
}

/// The number, whether it is whole, and the names of each event.
fn told(lines: &FeedBatch) -> Vec<(u64, Option<bool>, Vec<String>)> {
    let text = std::str::from_utf8(&lines.bytes).expect("text");
    let event = |line: &str| {
        let value: serde_json::Value = serde_json::from_str(line).expect("JSON");
        let hosts = value["members"]["hosts"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let names = hosts
            .iter()
            .map(|host| format!("{} {}", host["host"], host["health"]))
            .collect();
        (
            value["n"].as_u64().expect("a number"),
            value["members"]["whole"].as_bool(),
            names,
        )
    };
    text.lines().map(event).collect()
}

#[test]
fn a_start_names_all_that_are_up_at_the_port_of_their_zone() {
    let mut workers = workers();
    workers.set_up(WorkerId(3), false, 0);
    let mut cursor = FeedCursor::default();
    cursor.set_ports(vec![20_000, 20_001]);
    let known: serde_json::Value = serde_json::from_str(&cursor.start(&workers)).expect("JSON");
    assert_eq!(known["n"], 1);
    let hosts = known["events"][0]["members"]["hosts"]
        .as_array()
        .expect("a list")
        .clone();
    let dials: Vec<&str> = hosts
        .iter()
        .filter_map(|host| host["dial"].as_str())
        .collect();
    assert_eq!(
        dials,
        [
            "127.16.0.0:20000",
            "127.16.0.1:20001",
            "127.16.0.2:20000",
            "127.16.0.4:20000"
        ]
    );
}

#[test]
fn numbers_follow_each_other_under_both_rules_and_a_change_is_told_once() {
    let mut workers = workers();
    let mut cursor = cursor(&workers);
    workers.set_free_resources(FreeResources {
        worker: WorkerId(1),
        free_cores: 1.0,
        free_memory: 2.0,
    });
    for worker in [1, 4, 1] {
        cursor.mark(WorkerId(worker));
    }
    let mut lines = FeedBatch::default();
    cursor.write_changes(FeedRule::EachChange, &workers, &mut lines);
    cursor.write_sequence_number(&mut lines);
    cursor.mark(WorkerId(0));
    cursor.mark(WorkerId(2));
    cursor.write_changes(FeedRule::Gathered, &workers, &mut lines);
    assert!(!cursor.has_pending_changes());
    let found = told(&lines);
    let numbers: Vec<u64> = found.iter().map(|(n, _, _)| *n).collect();
    assert_eq!(numbers, [2, 3, 3, 4]);
    assert_eq!(found[3].2.len(), 2);
    let counts = FeedCounts {
        change_events: 3,
        number_lines: 1,
        entries_up: 4,
        ..FeedCounts::default()
    };
    assert_eq!((lines.counts, lines.messages), (counts, 4));
}

#[test]
fn a_placer_that_subscribes_again_after_a_loss_is_told_the_present_state_of_all() {
    let workers = workers();
    let mut cursor = cursor(&workers);
    cursor.mark(WorkerId(1));
    cursor.write_changes(FeedRule::EachChange, &workers, &mut FeedBatch::default());
    cursor.subscribe(2, &workers);
    assert!(!cursor.has_pending_changes(), "nothing was lost");
    cursor.subscribe(1, &workers);
    let mut lines = FeedBatch::default();
    cursor.write_changes(FeedRule::Gathered, &workers, &mut lines);
    let found = told(&lines);
    assert_eq!((found.len(), found[0].0, found[0].2.len()), (1, 2, 5));
}

#[test]
fn what_was_removed_is_told_and_missing_in_the_whole_list() {
    let mut workers = workers();
    let mut cursor = cursor(&workers);
    for worker in workers.in_zone(ZoneId(1)) {
        workers.set_up(worker, false, 0);
        cursor.mark(worker);
    }
    let mut lines = FeedBatch::default();
    cursor.write_changes(FeedRule::Gathered, &workers, &mut lines);
    cursor.write_complete_list(&workers, &mut lines);
    let found = told(&lines);
    assert_eq!(
        found[0].2,
        ["\"w00001\" \"removed\"", "\"w00003\" \"removed\""]
    );
    assert_eq!((found[1].1, found[1].2.len()), (Some(true), 3));
    assert_eq!(
        (lines.counts.entries_removed, lines.counts.whole_events),
        (2, 1)
    );
}

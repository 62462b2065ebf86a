//! Deployments and helper functions that are shared by several tests and benches.

use crate::host_emulator::{EmulatedHost, HostBehavior, HostRecords};
use crate::{
    Client, Feed, Host, HostConnection, Program, TaskRequest, single_placer_config, wait_for,
};
use simd_json::{OwnedValue, json};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// All tasks count as ended once no host has started a task for this long, which is longer than tasks run in benches.
const ALL_ENDED_AFTER: Duration = Duration::from_secs(4);

/// A running program with its scripted feed, its scripted hosts, and its connection to each host.
pub type ScriptedDeployment = (Program, Feed, Vec<Host>, Vec<HostConnection>);

/// Starts the program with scripted hosts `h0`, `h1` and so on, all listed as up, and waits until it has connected to
/// them.
pub fn start_with_hosts(count: usize) -> ScriptedDeployment {
    start_configured(count, |config| config)
}

/// Starts the program like [`start_with_hosts`], with a configuration that `adjust` has changed.
///
/// # Panics
///
/// If the placer does not start, subscribe to the feed from event 1, and connect to the hosts.
pub fn start_configured(
    count: usize,
    adjust: impl FnOnce(OwnedValue) -> OwnedValue,
) -> ScriptedDeployment {
    let mut feed = Feed::new();
    let hosts: Vec<Host> = (0..count)
        .map(|n| Host::new(&format!("h{n}"), "north"))
        .collect();
    let entries = hosts.iter().map(|host| host.entry("up", 0)).collect();
    let config = adjust(single_placer_config(&feed, entries));
    let program = Program::start(&config);
    assert_eq!(feed.accept_subscription(), 1);
    feed.send(&json!({ "n": 1 }));
    let connections = hosts.iter().map(Host::accept).collect();
    (program, feed, hosts, connections)
}

/// Starts emulated hosts `h0`, `h1` and so on in one zone, and returns them with the records that they share.
pub fn start_emulated_hosts(
    count: usize,
    behavior: &HostBehavior,
) -> (Vec<EmulatedHost>, Arc<Mutex<HostRecords>>) {
    let records: Arc<Mutex<HostRecords>> = Arc::default();
    let start =
        |n| EmulatedHost::start(&format!("h{n}"), "north", behavior.clone(), records.clone());
    let hosts = (0..count).map(start).collect();
    (hosts, records)
}

/// Requests an idempotent task of a separate service, and waits until it is placed. Reported ends of earlier tasks are
/// acknowledged in the meantime.
///
/// # Panics
///
/// If any other message arrives, or the task is not placed within [`TEST_TIMEOUT`](crate::TEST_TIMEOUT).
pub fn place_task(client: &mut Client, id: u64) {
    let request = TaskRequest {
        class: "quick",
        wait_ms: 6_000,
        service: id,
        running_at: None,
    };
    client.request_task(id, &request);
    loop {
        let message = client.expect_message();
        match (message.kind, message.id == id) {
            (9, true) => return,
            (12, false) => client.acknowledge_end(message.id),
            other => panic!("unexpected message (type, whether of this task): {other:?}"),
        }
    }
}

/// Waits until all placed tasks have ended, and acknowledges their ends.
///
/// # Panics
///
/// If the tasks do not end within [`TEST_TIMEOUT`](crate::TEST_TIMEOUT).
pub fn wait_until_tasks_ended(client: &mut Client, records: &Mutex<HostRecords>) {
    wait_for("the end of all tasks", || {
        while let Ok(Some(message)) = client.message_within(Duration::from_millis(5)) {
            client.acknowledge_end(message.id);
        }
        let records = records
            .lock()
            .expect("the lock of the host records is poisoned");
        records
            .starts
            .last()
            .is_none_or(|last| last.at.elapsed() > ALL_ENDED_AFTER)
            .then_some(())
    });
}

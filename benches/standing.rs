//! Measures the cost of running tasks: the memory of the placer, and the processor time for a client's short connection
//! and for placing a task, while 10, 1,000 and 10,000 tasks are running, all in one run of the program.
//!
//! `cargo bench --bench standing`

use emulator::fixtures::{place_task, start_emulated_hosts, wait_until_tasks_ended};
use emulator::host_emulator::{EmulatedFeed, HostBehavior};
use emulator::{Launch, TaskRequest, placer_config};
use std::time::Duration;

/// The number of short connections over which the processor time is averaged.
const CONNECTIONS: u32 = 3_000;
/// The number of placed tasks over which the processor time is averaged.
const TASKS: u32 = 3_000;

fn main() {
    let behavior = HostBehavior {
        start_time: Duration::from_millis(1),
        run_time: Duration::from_secs(2),
        capacity: 100_000,
    };
    let (hosts, records) = start_emulated_hosts(4, &behavior);
    let feed = EmulatedFeed::start();
    let config = placer_config(
        "n0",
        0,
        1,
        &feed.address(),
        hosts.iter().map(|host| host.entry("up")).collect(),
    );
    let program = Launch::new(&config).start();
    let mut client = program.client();
    assert!(client.health_check());
    let (mut running, mut id) = (0u64, 1u64 << 32);
    println!(
        "{:>9} {:>10} {:>16} {:>12}",
        "standing", "memory", "a connection", "a task"
    );
    for target in [10, 1_000, 10_000] {
        while running < target {
            running += 1;
            client.request_task(
                running,
                &TaskRequest {
                    class: "quick",
                    wait_ms: 0,
                    service: running,
                    running_at: Some("h0"),
                },
            );
        }
        assert!(client.health_check());
        let connection = program.cpu_micros_per_action(CONNECTIONS, || {
            (0..CONNECTIONS).for_each(|_| {
                let mut client = program.client();
                assert!(client.health_check());
            })
        });
        let task = program.cpu_micros_per_action(TASKS, || {
            (0..TASKS).for_each(|_| {
                id += 1;
                place_task(&mut client, id);
            })
        });
        let memory = program.memory_kb();
        println!(
            "{target:>9} {:>7} kB {connection:>13.0} us {task:>9.0} us",
            memory
        );
        wait_until_tasks_ended(&mut client, &records);
    }
}

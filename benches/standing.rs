//! What standing tasks cost: memory, and CPU of a client's connection that comes and goes and of a task that is
//! placed, with 10, 1,000 and 10,000 tasks standing, in one run.
//!
//! `cargo bench --bench standing`

use emulator::host_emulator::{EmulatedFeed, EmulatedHost, HostBehavior, HostRecords};
use emulator::{Launch, TaskRequest, placer_config, wait_for};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CONNECTIONS: u32 = 3_000;
const TASKS: u32 = 3_000;

fn main() {
    let books: Arc<Mutex<HostRecords>> = Arc::default();
    let habits = HostBehavior {
        start_time: Duration::from_millis(1),
        run_time: Duration::from_secs(2),
        capacity: 100_000,
    };
    let hosts: Vec<EmulatedHost> = (0..4)
        .map(|n| EmulatedHost::start(&format!("h{n}"), "north", habits.clone(), books.clone()))
        .collect();
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
    let (mut stand, mut id) = (0u64, 1u64 << 32);
    println!(
        "{:>9} {:>10} {:>16} {:>12}",
        "standing", "memory", "a connection", "a task"
    );
    for target in [10, 1_000, 10_000] {
        while stand < target {
            stand += 1;
            client.request_task(
                stand,
                &TaskRequest {
                    class: "quick",
                    wait_ms: 0,
                    service: stand,
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
                client.request_task(
                    id,
                    &TaskRequest {
                        class: "quick",
                        wait_ms: 6_000,
                        service: id,
                        running_at: None,
                    },
                );
                loop {
                    let message = client.expect_message();
                    match (message.kind, message.id == id) {
                        (9, true) => break,
                        (12, _) => client.acknowledge_end(message.id),
                        other => panic!("{other:?}"),
                    }
                }
            })
        });
        let memory = program.memory_kb();
        println!(
            "{target:>9} {:>7} kB {connection:>13.0} us {task:>9.0} us",
            memory
        );
        wait_for("the tasks of the measurement have ended", || {
            std::thread::sleep(Duration::from_millis(100));
            while let Ok(Some(message)) = client.message_within(Duration::from_millis(5)) {
                client.acknowledge_end(message.id);
            }
            let books = books.lock().expect("books");
            books
                .starts
                .last()
                .is_none_or(|last| last.at.elapsed() > Duration::from_secs(4))
                .then_some(())
        });
    }
}

//! What standing tasks cost: memory, and CPU of a client's connection that comes and goes and of a task that is
//! placed, with 10, 1,000 and 10,000 tasks standing, in one run.
//!
//! `cargo bench --bench standing`

use emulator::host_emulator::{Books, Habits, LiveFeed, LiveHost};
use emulator::{Ask, Launch, deployment, until};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CONNECTIONS: u32 = 3_000;
const TASKS: u32 = 3_000;

fn main() {
    let books: Arc<Mutex<Books>> = Arc::default();
    let habits = Habits {
        start: Duration::from_millis(1),
        life: Duration::from_secs(2),
        room: 100_000,
    };
    let hosts: Vec<LiveHost> = (0..4)
        .map(|n| LiveHost::start(&format!("h{n}"), "north", habits.clone(), books.clone()))
        .collect();
    let feed = LiveFeed::start();
    let config = deployment(
        "n0",
        0,
        1,
        &feed.address(),
        hosts.iter().map(|host| host.entry("up")).collect(),
    );
    let program = Launch::new(&config).start();
    let mut client = program.client();
    assert!(client.test());
    let (mut stand, mut id) = (0u64, 1u64 << 32);
    println!(
        "{:>9} {:>10} {:>16} {:>12}",
        "standing", "memory", "a connection", "a task"
    );
    for target in [10, 1_000, 10_000] {
        while stand < target {
            stand += 1;
            client.set_up(
                stand,
                &Ask {
                    class: "quick",
                    wait_ms: 0,
                    service: stand,
                    at: Some("h0"),
                },
            );
        }
        assert!(client.test());
        let connection = program.cpu_each(CONNECTIONS, || {
            (0..CONNECTIONS).for_each(|_| {
                let mut client = program.client();
                assert!(client.test());
            })
        });
        let task = program.cpu_each(TASKS, || {
            (0..TASKS).for_each(|_| {
                id += 1;
                client.set_up(
                    id,
                    &Ask {
                        class: "quick",
                        wait_ms: 6_000,
                        service: id,
                        at: None,
                    },
                );
                loop {
                    let message = client.read();
                    match (message.kind, message.id == id) {
                        (9, true) => break,
                        (12, _) => client.heard(message.id),
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
        until("the tasks of the measurement have ended", || {
            std::thread::sleep(Duration::from_millis(100));
            while let Ok(Some(message)) = client.message_within(Duration::from_millis(5)) {
                client.heard(message.id);
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

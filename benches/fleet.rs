//! What the size of the fleet costs: memory, and CPU of a client's connection that comes and goes, of a task that
//! is placed and of an event of the feed, among 10, 100, 400 and 1,000 hosts, each with a program of its own.
//!
//! `cargo bench --bench fleet`; `TASK_PLACER_BIN` names another version's program to hold against it.

use emulator::host_emulator::{EmulatedFeed, EmulatedHost, HostBehavior, HostRecords};
use emulator::{Launch, TaskRequest, placer_config, wait_for};
use simd_json::{OwnedValue, json};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const TIMES: u32 = 400;
const EVENTS: u32 = 200;
/// Hosts with room; the others are full, and take connections and nothing else.
const ROOMY: usize = 4;

/// A full host's entry.
fn full(n: usize, address: &str, cores: i32) -> OwnedValue {
    json!({
        "host": format!("f{n}"), "dial": address, "site": "south", "class": "plain", "block": n / 8,
        "health": "up", "share": 1, "born_ms": 0, "unasked": [cores, -80]
    })
}

fn main() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        let mut held: Vec<TcpStream> = Vec::new();
        held.extend(listener.incoming().flatten());
    });
    println!(
        "{:>6} {:>10} {:>13} {:>9} {:>10}",
        "hosts", "memory", "a connection", "a task", "an event"
    );
    for count in [10, 100, 400, 1_000] {
        let books: Arc<Mutex<HostRecords>> = Arc::default();
        let habits = HostBehavior {
            start_time: Duration::from_millis(1),
            run_time: Duration::from_secs(2),
            capacity: 100_000,
        };
        let live = |n: usize| {
            EmulatedHost::start(&format!("h{n}"), "north", habits.clone(), books.clone())
        };
        let hosts: Vec<EmulatedHost> = (0..ROOMY).map(live).collect();
        let feed = EmulatedFeed::start();
        let entries = hosts.iter().map(|host| host.entry("up"));
        let entries = entries
            .chain((ROOMY..count).map(|n| full(n, &address, -40)))
            .collect();
        let mut config = placer_config("n0", 0, 1, &feed.address(), entries);
        config["limits"] = json!({ "cores": 1.0, "memory_mb": 192, "sockets": 8_192 });
        let program = Launch::new(&config).descriptors(8_192).start();
        let mut client = program.client();
        assert!(client.health_check());
        std::thread::sleep(Duration::from_secs(2));
        let connection = program.cpu_micros_per_action(TIMES, || {
            (0..TIMES).for_each(|_| assert!(program.client().health_check()));
        });
        let task = program.cpu_micros_per_action(TIMES, || {
            for id in 1..=u64::from(TIMES) {
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
            }
        });
        wait_for("the tasks have ended", || {
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
        let event = program.cpu_micros_per_action(EVENTS, || {
            for n in 0..EVENTS {
                feed.send_update(vec![full(
                    ROOMY + n as usize % (count - ROOMY),
                    &address,
                    -40 - (n % 7) as i32,
                )]);
                std::thread::sleep(Duration::from_millis(4));
            }
            std::thread::sleep(Duration::from_millis(300));
        });
        let memory = program.memory_kb();
        println!("{count:>6} {memory:>7} kB {connection:>10.0} us {task:>6.0} us {event:>7.0} us");
    }
}

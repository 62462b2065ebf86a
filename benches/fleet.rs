//! Measures how the cost of a placer grows with the number of hosts: its memory, and its CPU time per short client
//! connection, per placed task and per feed event, with 10, 100, 400 and 1,000 hosts. Each number of hosts is measured
//! with a newly started placer.
//!
//! Run with `cargo bench --bench fleet`. Set `TASK_PLACER_BIN` to the binary of another version to compare with it.

use emulator::fixtures::{place_task, start_emulated_hosts, wait_until_tasks_ended};
use emulator::host_emulator::{EmulatedFeed, HostBehavior};
use emulator::{Launch, placer_config};
use simd_json::{OwnedValue, json};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

const TASKS: u32 = 400;
const EVENTS: u32 = 200;
/// The number of hosts with free capacity. The other hosts are full and only accept connections.
const HOSTS_WITH_CAPACITY: usize = 4;

/// Returns the endpoint-list entry of a host without free capacity.
fn full_host(n: usize, address: &str, cores: i32) -> OwnedValue {
    json!({
        "host": format!("f{n}"), "dial": address, "site": "south", "class": "plain", "block": n / 8,
        "health": "up", "share": 1, "born_ms": 0, "unasked": [cores, -80]
    })
}

fn main() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind to a free port");
    let address = listener
        .local_addr()
        .expect("failed to read the listener's address")
        .to_string();
    std::thread::spawn(move || {
        let mut connections: Vec<TcpStream> = Vec::new();
        connections.extend(listener.incoming().flatten());
    });
    println!(
        "{:>6} {:>10} {:>13} {:>9} {:>10}",
        "hosts", "memory", "a connection", "a task", "an event"
    );
    for count in [10, 100, 400, 1_000] {
        let behavior = HostBehavior {
            start_time: Duration::from_millis(1),
            run_time: Duration::from_secs(2),
            capacity: 100_000,
        };
        let (hosts, records) = start_emulated_hosts(HOSTS_WITH_CAPACITY, &behavior);
        let feed = EmulatedFeed::start();
        let entries = hosts.iter().map(|host| host.entry("up"));
        let entries = entries
            .chain((HOSTS_WITH_CAPACITY..count).map(|n| full_host(n, &address, -40)))
            .collect();
        let mut config = placer_config("n0", 0, 1, &feed.address(), entries);
        config["limits"] = json!({ "cores": 1.0, "memory_mb": 192, "sockets": 8_192 });
        let program = Launch::new(&config).descriptors(8_192).start();
        let mut client = program.client();
        assert!(client.health_check());
        std::thread::sleep(Duration::from_secs(2));
        let connection = program.cpu_micros_per_action(TASKS, || {
            (0..TASKS).for_each(|_| assert!(program.client().health_check()));
        });
        let task = program.cpu_micros_per_action(TASKS, || {
            for id in 1..=u64::from(TASKS) {
                place_task(&mut client, id);
            }
        });
        wait_until_tasks_ended(&mut client, &records);
        let event = program.cpu_micros_per_action(EVENTS, || {
            for n in 0..EVENTS {
                feed.send_update(vec![full_host(
                    HOSTS_WITH_CAPACITY + n as usize % (count - HOSTS_WITH_CAPACITY),
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

//! Guards against a placer that is killed for its memory because clients name running tasks that no host knows. Each was
//! kept for as long as its host was listed, and nothing bounded their number.

use super::*;
use emulator::admin_socket::with_admin_socket;
use emulator::fixtures::start_emulated_hosts;
use emulator::host_emulator::HostBehavior;

/// How long the clients go on.
const DURATION: Duration = Duration::from_secs(3);
/// Time within which a client has to be answered or closed.
const CLOSE_LIMIT: Duration = Duration::from_secs(3);

/// Clients that name ever new tasks as running.
#[derive(Clone)]
struct Adoptions {
    memory_mb: u64,
    clients: u64,
    /// How many tasks each connection names before it is closed; `None` if it goes on until the placer closes it.
    tasks_each: Option<u64>,
    /// How long a connection is kept after its last message.
    pause: Duration,
    host: String,
    /// Whether each task is released as soon as it has been named.
    are_released: bool,
}

impl Adoptions {
    fn at_listed_host(memory_mb: u64, clients: u64, tasks_each: Option<u64>) -> Adoptions {
        Adoptions {
            memory_mb,
            clients,
            tasks_each,
            pause: Duration::ZERO,
            host: "h0".to_string(),
            are_released: false,
        }
    }

    /// Names tasks on one connection, and returns how many, and how long the placer took to close the connection.
    fn name_tasks(&self, client: &mut Client, first_id: u64, end: Instant) -> (u64, Duration) {
        const BATCH: u64 = 50;
        let opened_at = Instant::now();
        let mut named = 0;
        while named < self.tasks_each.unwrap_or(u64::MAX) && Instant::now() < end {
            let batch: Vec<u8> = (0..BATCH)
                .flat_map(|n| self.messages(first_id + named + n))
                .collect();
            if client.0.write_all(&batch).is_err() || has_ended(client) {
                break;
            }
            named += BATCH;
        }
        (named, opened_at.elapsed())
    }

    fn messages(&self, id: u64) -> Vec<u8> {
        let request = TaskRequest {
            service: id,
            running_at: Some(&self.host),
            ..IDEMPOTENT_TASK
        };
        let mut messages = encode_task_request(id, &request, "");
        if self.are_released {
            messages.extend(encode_message(12, id, &[(171, &[31])]));
        }
        messages
    }

    fn play(&self) {
        let _turn = take_turn();
        let feed = Feed::new();
        let behavior = HostBehavior {
            start_time: Duration::from_millis(20),
            run_time: Duration::from_millis(200),
            capacity: 100_000,
        };
        let (hosts, _records) = start_emulated_hosts(2, &behavior);
        let entries = hosts.iter().map(|host| host.entry("up")).collect();
        let mut config = single_placer_config(&feed, entries);
        config["limits"] = json!({ "cores": 1.0, "memory_mb": self.memory_mb, "sockets": 1024 });
        let program = Arc::new(Program::start(&config));
        let usual = UsualClient::start(&program);
        let watch = MemoryWatch::start(&program);
        let end = Instant::now() + DURATION;

        let clients: Vec<JoinHandle<(u64, Duration)>> = (0..self.clients)
            .map(|client| {
                let (program, adoptions) = (program.clone(), self.clone());
                std::thread::spawn(move || adoptions.name_until(end, client, &program))
            })
            .collect();
        let results: Vec<(u64, Duration)> = clients
            .into_iter()
            .map(|client| client.join().expect("the client does not panic"))
            .collect();

        let peak_kb = watch.finish();
        let unplaced = usual.finish();
        let named: u64 = results.iter().map(|(named, _)| named).sum();
        let name = format!(
            "{} MB, {} clients with {:?} tasks at a time, {named} in all: {peak_kb} kB",
            self.memory_mb, self.clients, self.tasks_each
        );
        println!("{name}");
        assert!(peak_kb < self.memory_mb * 1_024, "{name}");
        assert_eq!(unplaced, [], "{name}: requests of the usual client");
        if self.tasks_each.is_none() {
            let longest = results.iter().map(|(_, longest)| *longest).max();
            assert!(longest < Some(CLOSE_LIMIT), "{name}: open for {longest:?}");
        }
    }

    /// Names tasks until `end`, and returns how many, and the longest time that a connection was open.
    fn name_until(&self, end: Instant, client: u64, program: &Program) -> (u64, Duration) {
        let first_id = (client + 1) << 40;
        let (mut named, mut longest) = (0, Duration::ZERO);
        while Instant::now() < end {
            let mut connection = program.client();
            let (count, open_for) = self.name_tasks(&mut connection, first_id + named, end);
            named += count;
            longest = longest.max(open_for);
            std::thread::sleep(self.pause);
        }
        (named, longest)
    }
}

/// Returns whether the placer has closed the connection.
fn has_ended(client: &Client) -> bool {
    let stream = &client.0;
    stream.set_nonblocking(true).expect("a socket option");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("a socket option");
    matches!(peeked, Ok(0))
}

#[test]
fn hundreds_of_named_tasks_on_ever_new_connections_stay_within_the_smallest_limits() {
    for memory_mb in [16, 32, 64] {
        Adoptions::at_listed_host(memory_mb, 4, Some(300)).play();
    }
}

#[test]
fn named_tasks_on_connections_that_stay_open_for_a_while_stay_within_the_limit() {
    Adoptions {
        pause: Duration::from_millis(200),
        ..Adoptions::at_listed_host(32, 100, Some(300))
    }
    .play();
}

#[test]
fn tasks_named_without_a_pause_stay_within_the_limit_and_get_a_close() {
    Adoptions::at_listed_host(32, 1, None).play();
    Adoptions::at_listed_host(32, 8, None).play();
}

#[test]
fn tasks_named_at_a_host_that_is_not_listed_stay_within_the_limit() {
    Adoptions {
        host: "unlisted".to_string(),
        ..Adoptions::at_listed_host(32, 4, Some(300))
    }
    .play();
}

#[test]
fn tasks_named_at_a_host_with_a_very_long_name_stay_within_the_limit() {
    Adoptions {
        host: "x".repeat(15_000),
        ..Adoptions::at_listed_host(32, 4, Some(300))
    }
    .play();
}

#[test]
fn tasks_that_are_released_as_soon_as_they_are_named_stay_within_the_limit() {
    Adoptions {
        are_released: true,
        ..Adoptions::at_listed_host(32, 4, Some(300))
    }
    .play();
}

#[test]
fn small_groups_of_named_tasks_on_many_connections_stay_within_the_limit() {
    Adoptions::at_listed_host(16, 4, Some(50)).play();
}

// A task for which there was no memory may run all the same: its client is told its end, and can release it.
#[test]
fn ends_and_releases_of_tasks_beyond_the_limit_are_passed_on() {
    const NAMED: u64 = 2_000;
    let mut admin = None;
    let (program, _feed, _hosts, mut connections) = start_configured(1, |mut config| {
        config["limits"] = json!({ "cores": 1.0, "memory_mb": 16, "sockets": 256 });
        let (config, socket) = with_admin_socket(config);
        admin = Some(socket);
        config
    });
    let admin = admin.expect("an address");
    let request = TaskRequest {
        running_at: Some("h0"),
        ..IDEMPOTENT_TASK
    };
    let mut owner = program.client();
    for id in 1..=NAMED {
        owner.send(&encode_task_request(id, &request, ""));
    }
    // The connection is closed, and is told nothing of the tasks.
    assert_eq!(owner.next_message(), None);
    let untracked = |admin: &emulator::admin_socket::AdminSocket| {
        let metrics = admin.metrics();
        let adopted = metrics.get("adopted_tasks").expect("the figures");
        adopted.get_u64("untracked").expect("a number")
    };
    assert!(untracked(&admin) > 0, "{}", admin.metrics());

    let mut client = program.client();
    assert!(client.health_check());
    client.acknowledge_end(0xffff);
    for id in [1, NAMED] {
        connections[0].report_ended(&hex(id), 16, "");
        connections[0].expect("ack");
        let end = client.expect_message();
        assert_eq!((end.kind, end.id, end.cause()), (12, id, 16));
        client.acknowledge_end(id);
    }
    for id in [2, NAMED - 1] {
        client.release(id, 31);
        let release = connections[0].expect("down");
        assert_eq!(release.get_str("ref"), Some(hex(id).as_str()));
        assert_eq!(client.expect_message().kind, 16);
    }
    assert!(client.health_check());
}

//! Tests of drains beside clients that go on using the connections that they have kept, until the placer closes them.

use emulator::admin_socket::{AdminSocket, with_admin_socket};
use emulator::fixtures::start_emulated_hosts;
use emulator::host_emulator::{HostBehavior, HostRecords};
use emulator::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The time from `drain-on` to the platform's check.
const CHECK_AFTER: Duration = Duration::from_secs(4);
/// A connection may be open at the check if its last request is older than this.
const UNUSED_FOR: Duration = Duration::from_secs(2);
/// A request that crosses the close of its connection within this time is sent again elsewhere.
const CROSSING: Duration = Duration::from_millis(50);
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Clients that request tasks at a fixed interval, each on one connection.
struct Usage {
    connections: u64,
    interval: Duration,
    start_time: Duration,
    run_time: Duration,
    /// The number of tasks that each of the two hosts accepts at a time.
    capacity: usize,
    /// How long after `drain-on` the clients stop sending requests, if they do before their connections are closed.
    stops_after: Option<Duration>,
}

const USAGE: Usage = Usage {
    connections: 1,
    interval: Duration::from_millis(500),
    start_time: Duration::from_millis(120),
    run_time: Duration::from_secs(8),
    capacity: 10_000,
    stops_after: None,
};

/// What has happened on one connection.
#[derive(Default)]
struct Record {
    sent: BTreeMap<u64, Instant>,
    started: BTreeSet<u64>,
    unplaced: BTreeSet<u64>,
    ended: BTreeSet<u64>,
    closed_at: Option<Instant>,
}

impl Record {
    fn last_sent(&self) -> Option<Instant> {
        self.sent.values().max().copied()
    }

    fn handle(&mut self, client: &mut Client, message: &Message) {
        match message.kind {
            9 => assert!(self.started.insert(message.id), "{message:?}"),
            12 if self.started.contains(&message.id) || !self.sent.contains_key(&message.id) => {
                self.ended.insert(message.id);
                client.acknowledge_end(message.id);
            }
            12 => assert!(self.unplaced.insert(message.id), "{message:?}"),
            _ => panic!("{message:?}"),
        }
    }

    /// Reads what arrives until `until` or the end of the connection.
    fn read_until(&mut self, client: &mut Client, until: Instant) {
        while self.closed_at.is_none() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            match client.message_within(left) {
                Ok(Some(message)) => self.handle(client, &message),
                Ok(None) => self.closed_at = Some(Instant::now()),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => self.closed_at = Some(Instant::now()),
            }
        }
    }
}

/// A client that uses one connection for as long as it is open.
struct User {
    record: Arc<Mutex<Record>>,
    working: JoinHandle<()>,
}

impl User {
    fn start(mut client: Client, first_id: u64, interval: Duration, flags: &Flags) -> User {
        let record: Arc<Mutex<Record>> = Arc::default();
        let (shared, flags) = (record.clone(), flags.clone());
        let working = std::thread::spawn(move || {
            let mut next_id = first_id;
            while !flags.stop.load(Ordering::Relaxed) {
                if shared.lock().expect("the record").closed_at.is_some() {
                    return;
                }
                if !flags.pause.load(Ordering::Relaxed) {
                    let request = TaskRequest {
                        service: next_id,
                        ..IDEMPOTENT_TASK
                    };
                    let bytes = encode_task_request(next_id, &request, "c");
                    if std::io::Write::write_all(&mut client.0, &bytes).is_ok() {
                        let mut record = shared.lock().expect("the record");
                        record.sent.insert(next_id, Instant::now());
                    }
                    next_id += 1;
                }
                let until = Instant::now() + interval;
                while Instant::now() < until {
                    let step = until.min(Instant::now() + Duration::from_millis(2));
                    let mut record = shared.lock().expect("the record");
                    record.read_until(&mut client, step);
                    if record.closed_at.is_some() {
                        break;
                    }
                }
            }
        });
        User { record, working }
    }
}

#[derive(Clone, Default)]
struct Flags {
    pause: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
}

fn play(usage: &Usage) {
    let feed = Feed::new();
    let behavior = HostBehavior {
        start_time: usage.start_time,
        run_time: usage.run_time,
        capacity: usage.capacity,
    };
    let (hosts, host_records) = start_emulated_hosts(2, &behavior);
    let entries = hosts.iter().map(|host| host.entry("up")).collect();
    let (config, admin) = with_admin_socket(single_placer_config(&feed, entries));
    let program = Program::start(&config);
    wait_for("the placer serves", || admin.is_healthy().then_some(()));
    let flags = Flags::default();
    let users: Vec<User> = (0..usage.connections)
        .map(|user| User::start(program.client(), (user + 1) << 32, usage.interval, &flags))
        .collect();
    wait_for("every client has a running task", || {
        let has_started = |user: &User| !user.record.lock().expect("the record").started.is_empty();
        users.iter().all(has_started).then_some(())
    });

    drain(&admin, usage, &flags);

    let checked_at = Instant::now();
    for user in &users {
        let record = user.record.lock().expect("the record");
        let unused_for = record.last_sent().map(|at| checked_at - at);
        assert!(
            record.closed_at.is_some() || unused_for >= Some(UNUSED_FOR),
            "a connection with a request {unused_for:?} ago is open: {}",
            program.log()
        );
        assert!(
            record.closed_at.is_none() || usage.stops_after.is_none(),
            "a connection that is no longer used, and whose tasks run, was closed"
        );
    }
    assert!(admin.request("drain-off").starts_with("ok"));
    wait_for("the placer serves again", || {
        admin.is_healthy().then_some(())
    });
    check_ends(&program, users, &flags, &host_records);
}

/// Drains the placer up to the time of the platform's check.
fn drain(admin: &AdminSocket, usage: &Usage, flags: &Flags) {
    let begin = Instant::now();
    assert!(admin.request("drain-on").starts_with("ok"));
    while begin.elapsed() < CHECK_AFTER {
        assert!(!admin.is_healthy());
        if usage
            .stops_after
            .is_some_and(|after| begin.elapsed() >= after)
        {
            flags.pause.store(true, Ordering::Relaxed);
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
}

/// Checks that every request was answered, and that the end of every task is told to the clients, which come again.
fn check_ends(
    program: &Program,
    users: Vec<User>,
    flags: &Flags,
    host_records: &Mutex<HostRecords>,
) {
    flags.pause.store(true, Ordering::Relaxed);
    let mut back = program.client();
    back.acknowledge_end(0xffff);
    let mut own = Record::default();
    let collected = || -> (BTreeSet<u64>, BTreeSet<u64>) {
        let records = users
            .iter()
            .map(|user| user.record.lock().expect("the record"));
        records.fold(Default::default(), |(mut started, mut ended), record| {
            started.extend(&record.started);
            ended.extend(&record.ended);
            (started, ended)
        })
    };
    wait_for("the end of every task", || {
        own.read_until(&mut back, Instant::now() + Duration::from_millis(20));
        let (started, ended) = collected();
        let is_told = |id: &u64| ended.contains(id) || own.ended.contains(id);
        started.iter().all(is_told).then_some(())
    });
    flags.stop.store(true, Ordering::Relaxed);
    for user in users {
        user.working.join().expect("the client does not panic");
        let record = user.record.lock().expect("the record");
        for (id, sent_at) in &record.sent {
            if record.started.contains(id) || record.unplaced.contains(id) {
                continue;
            }
            let crossed = record.closed_at.map(|at| at.duration_since(*sent_at));
            assert!(
                crossed.is_some_and(|time| time <= CROSSING),
                "request {id:x} was not answered, and sent {crossed:?} before the close"
            );
            let host_records = host_records.lock().expect("the records of the hosts");
            let was_offered = host_records.starts.iter().any(|start| start.id == hex(*id));
            assert!(!was_offered, "request {id:x} was read and not answered");
        }
    }
}

// A kept connection with running tasks was never closed, so a drained placer went on taking requests on it.
#[test]
fn kept_connection_with_long_tasks_is_closed_in_a_drain() {
    play(&USAGE);
}

#[test]
fn kept_connection_with_short_tasks_is_closed_in_a_drain() {
    play(&Usage {
        interval: Duration::from_millis(100),
        run_time: Duration::from_millis(300),
        ..USAGE
    });
}

#[test]
fn many_kept_connections_are_closed_in_a_drain() {
    play(&Usage {
        connections: 12,
        interval: Duration::from_millis(250),
        start_time: Duration::from_millis(100),
        ..USAGE
    });
}

// There is no moment at which no response is pending.
#[test]
fn kept_connection_whose_requests_overlap_is_closed_in_a_drain() {
    play(&Usage {
        interval: Duration::from_millis(100),
        start_time: Duration::from_millis(300),
        run_time: Duration::from_secs(3),
        ..USAGE
    });
}

#[test]
fn kept_connection_with_very_many_requests_is_closed_in_a_drain() {
    play(&Usage {
        connections: 2,
        interval: Duration::from_millis(5),
        start_time: Duration::from_millis(20),
        run_time: Duration::from_millis(300),
        ..USAGE
    });
}

#[test]
fn kept_connection_whose_requests_wait_for_capacity_is_closed_in_a_drain() {
    play(&Usage {
        interval: Duration::from_millis(250),
        capacity: 1,
        run_time: Duration::from_secs(4),
        ..USAGE
    });
}

// The ends of its tasks can be told there.
#[test]
fn connection_with_running_tasks_that_is_no_longer_used_is_kept_in_a_drain() {
    play(&Usage {
        connections: 2,
        stops_after: Some(Duration::from_millis(300)),
        ..USAGE
    });
}

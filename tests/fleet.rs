//! The program among fleets that are large against what it may hold.

use simd_json::json;
use standin::live::{Books, Habits, LiveFeed, LiveHost};
use standin::*;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A placer among hosts that run by themselves.
struct Fleet {
    program: Program,
    _feed: LiveFeed,
    _hosts: Vec<LiveHost>,
    _books: Arc<Mutex<Books>>,
}

impl Fleet {
    /// With so many hosts and descriptors; the system holds the program to them, too.
    fn start(hosts: usize, sockets: u32, habits: &Habits) -> Fleet {
        let books: Arc<Mutex<Books>> = Arc::default();
        let host = |n: usize| {
            LiveHost::start(&format!("h{n}"), ["north", "south"][n % 2], habits.clone(), books.clone())
        };
        let hosts: Vec<LiveHost> = (0..hosts).map(host).collect();
        let feed = LiveFeed::start();
        let entries = hosts.iter().map(|host| host.entry("up")).collect();
        let mut config = deployment("n1", 0, 1, &feed.address(), entries);
        config["limits"] = json!({ "cores": 1.0, "memory_mb": 32, "sockets": sockets });
        let program = Program::start_with(&config, sockets);
        Fleet { program, _feed: feed, _hosts: hosts, _books: books }
    }
}

// The descriptors set apart for hundreds of hosts left owners with four connections, and the others were
// closed with their set-ups unread.
#[test]
fn owners_may_hold_their_third_of_the_descriptors_whatever_the_fleet() {
    let habits = Habits { start: Duration::from_millis(300), life: Duration::from_secs(60), room: 1_000 };
    let fleet = Fleet::start(40, 160, &habits);
    let mut owners: Vec<Owner> = (0..53).map(|_| fleet.program.owner()).collect();
    for (n, owner) in owners.iter_mut().enumerate() {
        owner.set_up(n as u64 + 1, &Ask { service: n as u64, ..QUICK });
    }
    for owner in &mut owners {
        assert_eq!(owner.read().kind, 9);
    }
    assert!(fleet.program.descriptors() < 160);
}

// One that comes while all others are busy has sent its set-up already: closed unread, that is lost.
#[test]
fn a_connection_beyond_the_budget_waits_for_one_that_is_answered() {
    let habits = Habits { start: Duration::from_millis(300), life: Duration::from_secs(60), room: 1_000 };
    let fleet = Fleet::start(1, 40, &habits);
    let busy = |n: u64| {
        let mut owner = fleet.program.owner();
        owner.set_up(n + 1, &Ask { service: n, ..QUICK });
        owner
    };
    let mut owners: Vec<Owner> = (0..16).map(busy).collect();
    for owner in &mut owners {
        assert_eq!(owner.read().kind, 9);
    }
    fleet.program.logged("connection waits");
}

//! Tests of rolling upgrades, in which two processes of one placer serve on one inherited listening socket.

mod process_group;
mod releases;
mod repeated_ids;
mod task_ends;

use emulator::admin_socket::{AdminSocket, with_admin_socket};
use emulator::*;
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// The processes of one placer, with the listening socket and the temporary directory that they share.
struct Processes {
    config: OwnedValue,
    listener: TcpListener,
    folder: tempfile::TempDir,
}

impl Processes {
    /// Prepares a placer with this configuration, without starting a process.
    fn of(mut config: OwnedValue) -> Processes {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        config.insert("listen", address).expect("an object");
        Processes {
            config,
            listener,
            folder: tempfile::tempdir().expect("a folder"),
        }
    }

    /// Starts a further process, waits until it serves, and returns it with its admin socket.
    fn start(&self) -> (Program, AdminSocket) {
        let admin = AdminSocket(free_address());
        let launch = Launch::new(&self.config).inherit_listener(&self.listener);
        let launch = launch.env("LB_ADMIN", &admin.0.to_string());
        let program = launch
            .env("TMPDIR", &self.folder.path().to_string_lossy())
            .start();
        wait_for("the placer serves", || admin.is_healthy().then_some(()));
        (program, admin)
    }
}

/// An upgrade with both processes running, and the connection of each of them to the only host.
struct Upgrade {
    processes: Processes,
    _feed: Feed,
    host: Host,
    old: Program,
    new: Program,
    old_connection: HostConnection,
    new_connection: HostConnection,
}

/// Starts a process, then another one, and waits until they exchange messages.
fn start_upgrade() -> Upgrade {
    let (mut feed, host) = (Feed::new(), Host::new("h0", "north"));
    let processes = Processes::of(single_placer_config(&feed, vec![host.entry("up", 0)]));
    let (old, _) = processes.start();
    assert_eq!(feed.accept_subscription(), 1);
    feed.send(&json!({ "n": 1 }));
    let old_connection = host.accept();
    let (new, _) = processes.start();
    let new_connection = host.accept();
    for process in [&old, &new] {
        process.wait_for_log("exchanges messages with another process");
    }
    Upgrade {
        processes,
        _feed: feed,
        host,
        old,
        new,
        old_connection,
        new_connection,
    }
}

/// Connects a client to this process: the other one, which accepts from the same socket, is stopped meanwhile.
fn client_of(process: &Program, other: &Program) -> Client {
    let mut accepted = None;
    other.while_stopped(|| {
        let mut client = process.client();
        assert!(client.health_check());
        accepted = Some(client);
    });
    accepted.expect("a client")
}

/// Returns a request whose service no other request uses.
fn request(id: u64) -> TaskRequest<'static> {
    TaskRequest {
        service: id + 100,
        ..NON_IDEMPOTENT_TASK
    }
}

/// Starts a task for this client, and leaves it running.
fn run_task(client: &mut Client, connection: &mut HostConnection, id: u64) {
    client.request_task(id, &request(id));
    assert_eq!(connection.expect_offer(), hex(id));
    connection.report_running(&hex(id));
    assert_eq!(client.expect_message().kind, 9);
}

//! Tests of rolling upgrades, in which two processes of one placer serve on one inherited listening socket.

mod process_group;

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

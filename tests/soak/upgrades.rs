//! Upgrades in series among the same failing hosts and clients: each process is replaced by the next one on the listening
//! socket that they share. The ends of tasks reach their clients, whichever process has read them.

use super::*;
use emulator::admin_socket::AdminSocket;
use emulator::{free_address, wait_for};
use std::net::TcpListener;

/// Number of upgrades of one seed.
const UPGRADES: usize = 4;
/// Number of seeds to run unless the environment sets another.
const DEFAULT_UPGRADE_SEEDS: u64 = 3;

/// The processes of one placer, with what they share.
struct Processes {
    config: OwnedValue,
    listener: TcpListener,
    folder: tempfile::TempDir,
}

impl Processes {
    fn new(mut config: OwnedValue) -> Processes {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        config["listen"] = json!(address);
        Processes {
            config,
            listener,
            folder: tempfile::tempdir().expect("a folder"),
        }
    }

    /// Starts a process, and waits until it serves.
    fn start(&self) -> Program {
        let admin = AdminSocket(free_address());
        let program = Launch::new(&self.config)
            .descriptors(DESCRIPTORS)
            .inherit_listener(&self.listener)
            .env("LB_ADMIN", &admin.0.to_string())
            .env("TMPDIR", &self.folder.path().to_string_lossy())
            .start();
        wait_for("the placer serves", || admin.is_healthy().then_some(()));
        program
    }
}

/// Runs one seed and returns the violated rules.
fn run_seed_of_upgrades(seed: u64) -> Vec<String> {
    let registry = Arc::new(Registry::default());
    let feed = EmulatedFeed::start();
    let hosts: Vec<FaultyHost> = (0..HOSTS)
        .map(|n| FaultyHost::start(n, SeededRng::new(seed, n), &registry))
        .collect();
    let processes = Processes::new(config(&feed, &hosts));
    let mut rng = SeededRng::new(seed, 950);
    let mut program = processes.start();
    let clients = Clients::start(seed, CLIENTS, program.address, &registry);
    let mut has_panicked = false;
    for _ in 0..UPGRADES {
        std::thread::sleep(rng.millis(100, 700));
        let next = processes.start();
        std::thread::sleep(rng.millis(0, 400));
        terminate(&mut program, &registry);
        has_panicked |= program.log().contains("panicked");
        save_log_if_requested(seed, &program);
        program = next;
    }
    clients.pause();
    registry.wait_until_ends_arrived(MAX_END_TIME + Duration::from_secs(1));
    let checked_at = Instant::now();
    clients.keep_connections();
    clients.stop();
    let mut violations = registry.check(checked_at);
    if has_panicked || program.log().contains("panicked") {
        violations.push("the program panicked".into());
    }
    save_log_if_requested(seed, &program);
    violations
}

/// Saves the log of a process in the directory that `SOAK_LOGS` names, if it is set.
fn save_log_if_requested(seed: u64, program: &Program) {
    if let Ok(folder) = std::env::var("SOAK_LOGS") {
        let name = format!("upgrade-{seed}-{}.log", program.pid());
        let _ = std::fs::write(std::path::Path::new(&folder).join(name), program.log());
    }
}

#[test]
fn rules_hold_through_upgrades_in_series() {
    let first = read_from_environment("SOAK_FIRST", 1);
    let count = read_from_environment("SOAK_UPGRADE_SEEDS", DEFAULT_UPGRADE_SEEDS);
    let failed = run_seeds(first..first + count, run_seed_of_upgrades);
    assert!(failed.is_empty(), "{failed:#?}");
}

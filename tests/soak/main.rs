//! Soak test: one placer among hosts, clients and connections that fail, with series of signals, on some seeds a large
//! number of useless connections, and clients that keep sending on open connections until the process has ended.
//!
//! `cargo test --test soak` runs a few seeds. `SOAK_SEEDS=50 SOAK_FIRST=100 cargo test --test soak -- --nocapture` runs
//! 50 seeds from 100 on and prints a line for each; a seed that fails can be run again alone.

#![recursion_limit = "256"]

mod clients;
mod hosts;
mod registry;
mod upgrades;

use clients::Clients;
use emulator::host_emulator::EmulatedFeed;
use emulator::{Launch, Program, single_placer_config};
use hosts::FaultyHost;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use registry::Registry;
use simd_json::OwnedValue;
use simd_json::json;
use simd_json::prelude::*;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of seeds to run unless the environment sets another.
const DEFAULT_SEEDS: u64 = 8;
/// Number of seeds that run at the same time.
const MAX_CONCURRENT_SEEDS: usize = 4;
const HOSTS: u64 = 4;
const CLIENTS: u64 = 5;
/// Interval between seeds that also open useless connections: every third seed does.
const USELESS_CONNECTIONS_SEED_INTERVAL: u64 = 3;
const USELESS_CONNECTIONS: usize = 150;
/// Client timeout, which is also the longest deadline of the deployment.
const CLIENT_WAIT: Duration = Duration::from_millis(1_500);
/// Time after the client timeout, counted from SIGTERM, at which the process is killed.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Limit of the time in which the end of a task has to reach its client.
const MAX_END_TIME: Duration = Duration::from_secs(8);
const TRAFFIC_TIME: Duration = Duration::from_secs(3);
const DESCRIPTORS: u32 = 320;

/// Random number generator for one participant of one seed.
pub struct SeededRng(ChaCha8Rng);

impl SeededRng {
    fn new(seed: u64, stream: u64) -> SeededRng {
        SeededRng(ChaCha8Rng::seed_from_u64(
            seed.wrapping_mul(1_000).wrapping_add(stream),
        ))
    }

    /// Returns a number from `low` to `high`, excluding `high`.
    fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.0.next_u64() % (high - low)
    }

    fn millis(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.between(low, high))
    }

    /// Returns true with a probability of `percent` in 100.
    fn percent(&mut self, percent: u64) -> bool {
        self.between(0, 100) < percent
    }
}

fn config(feed: &EmulatedFeed, hosts: &[FaultyHost]) -> OwnedValue {
    let entries = hosts.iter().map(FaultyHost::entry).collect();
    let unused_feed = emulator::Feed::new();
    let mut config = single_placer_config(&unused_feed, entries);
    config["feed"] = json!(feed.address());
    config["limits"]["sockets"] = json!(DESCRIPTORS);
    for class in 0..2 {
        config["settings"]["services"][class]["hard_limit"] = json!(CLIENT_WAIT.as_millis() as u64);
        config["settings"]["services"][class]["aim"] = json!(500.0);
    }
    config
}

/// Sends series of signals while traffic runs: reloads of valid and invalid configurations, and on odd seeds stops of
/// the process.
fn send_signals(seed: u64, program: &Program, config: &OwnedValue) {
    let mut rng = SeededRng::new(seed, 900);
    let end = Instant::now() + TRAFFIC_TIME;
    let valid = config.encode();
    while Instant::now() < end {
        std::thread::sleep(rng.millis(100, 700));
        for _ in 0..rng.between(1, 6) {
            program.reload(if rng.percent(30) { "{" } else { &valid });
        }
        if seed % 2 == 1 && rng.percent(30) {
            program.signal("-STOP");
            std::thread::sleep(rng.millis(50, 400));
            program.signal("-CONT");
        }
    }
    program.reload(&valid);
}

/// Terminates the process under traffic, and kills it at the earliest time at which the platform may. Returns when the
/// process had ended.
fn terminate(program: &mut Program, registry: &Registry) -> Instant {
    program.terminate();
    let kill_at = Instant::now() + CLIENT_WAIT + KILL_GRACE;
    std::thread::sleep(Duration::from_millis(50));
    program.terminate();
    while program.is_running() && Instant::now() < kill_at {
        std::thread::sleep(Duration::from_millis(2));
    }
    if program.is_running() {
        program.signal("-KILL");
        registry.record_violation("the process had not ended by itself and was killed".into());
    }
    let status = program.wait_exit();
    if !status.success() {
        registry.record_violation(format!("the process ended with {status}"));
    }
    Instant::now()
}

/// Runs one seed and returns the violated rules.
fn run_seed(seed: u64) -> Vec<String> {
    let registry = Arc::new(Registry::default());
    let feed = EmulatedFeed::start();
    let hosts: Vec<FaultyHost> = (0..HOSTS)
        .map(|n| FaultyHost::start(n, SeededRng::new(seed, n), &registry))
        .collect();
    let config = config(&feed, &hosts);
    let mut program = Launch::new(&config).descriptors(DESCRIPTORS).start();
    drop(program.client());
    let useless_connections = seed
        .is_multiple_of(USELESS_CONNECTIONS_SEED_INTERVAL)
        .then(|| clients::open_useless_connections(program.address, USELESS_CONNECTIONS));
    let clients = Clients::start(seed, CLIENTS, program.address, &registry);
    send_signals(seed, &program, &config);
    clients.pause();
    registry.wait_until_ends_arrived(MAX_END_TIME + Duration::from_secs(1));
    clients.resume();
    std::thread::sleep(Duration::from_millis(300));
    clients.keep_connections();
    let exited_at = terminate(&mut program, &registry);
    clients.stop();
    drop(useless_connections);
    let mut violations = registry.check(exited_at);
    if program.log().contains("panicked") {
        violations.push("the program panicked".into());
    }
    if !violations.is_empty() {
        save_log(seed, &program);
    }
    violations
}

/// Saves the log of a failed seed in the directory that `SOAK_LOGS` names, if it is set.
fn save_log(seed: u64, program: &Program) {
    if let Ok(folder) = std::env::var("SOAK_LOGS") {
        let path = std::path::Path::new(&folder).join(format!("soak-{seed}.log"));
        let _ = std::fs::write(path, program.log());
    }
}

fn read_from_environment(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| {
        text.parse()
            .expect("the environment variable is not a number")
    })
}

/// Runs the seeds in groups, prints the result of each, and returns those that failed with the violated rules.
fn run_seeds(seeds: Range<u64>, run: fn(u64) -> Vec<String>) -> Vec<(u64, Vec<String>)> {
    let seeds: Vec<u64> = seeds.collect();
    let mut failed = Vec::new();
    for group in seeds.chunks(MAX_CONCURRENT_SEEDS) {
        let start = |seed: &u64| {
            let seed = *seed;
            (seed, std::thread::spawn(move || run(seed)))
        };
        let runs: Vec<_> = group.iter().map(start).collect();
        for (seed, run) in runs {
            let violations = run.join().expect("the thread of a seed panicked");
            let result = if violations.is_empty() {
                "kept"
            } else {
                "BROKEN"
            };
            println!("seed {seed}: {result}");
            violations
                .iter()
                .take(5)
                .for_each(|violation| println!("  {violation}"));
            if !violations.is_empty() {
                failed.push((seed, violations));
            }
        }
    }
    println!("{} seeds run, {} failed", seeds.len(), failed.len());
    failed
}

#[test]
fn rules_hold_among_failing_peers_until_the_process_has_ended() {
    let first = read_from_environment("SOAK_FIRST", 1);
    let count = read_from_environment("SOAK_SEEDS", DEFAULT_SEEDS);
    let failed = run_seeds(first..first + count, run_seed);
    assert!(failed.is_empty(), "{failed:#?}");
}

//! Soak test: one placer among hosts, clients and connections that fail, with signals in series, a crowd on some seeds, and
//! clients that go on sending on open connections until the process has ended.
//!
//! `cargo test --test soak` plays a few seeds. `SOAK_SEEDS=50 SOAK_FIRST=100 cargo test --test soak -- --nocapture` plays
//! 50 from 100 on and prints a line for each; a seed that fails can be played again alone.

#![recursion_limit = "256"]

mod clients;
mod hosts;
mod registry;

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
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Seeds that a run plays unless the environment says otherwise, and those played side by side.
const DEFAULT_SEEDS: u64 = 8;
const SEEDS_AT_ONCE: usize = 4;
const HOSTS: u64 = 4;
const CLIENTS: u64 = 5;
/// Every third seed has a crowd of connections of no use.
const CROWD_EVERY: u64 = 3;
const CROWD: usize = 150;
/// How long clients wait, which is also the longest deadline of the deployment.
const CLIENT_WAIT: Duration = Duration::from_millis(1_500);
/// The process is killed so long after that wait, counted from SIGTERM.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// The longest time in which the end of a task may reach its client.
const MAX_END_TIME: Duration = Duration::from_secs(8);
const TRAFFIC_TIME: Duration = Duration::from_secs(3);
const DESCRIPTORS: u32 = 320;

/// Random decisions of one party of one seed.
pub struct Dice(ChaCha8Rng);

impl Dice {
    fn new(seed: u64, party: u64) -> Dice {
        Dice(ChaCha8Rng::seed_from_u64(
            seed.wrapping_mul(1_000).wrapping_add(party),
        ))
    }

    /// A number from `low` to `high`, without `high`.
    fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.0.next_u64() % (high - low)
    }

    fn millis(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.between(low, high))
    }

    /// True in so many of 100 cases.
    fn percent(&mut self, percent: u64) -> bool {
        self.between(0, 100) < percent
    }
}

fn config(feed: &EmulatedFeed, hosts: &[FaultyHost]) -> OwnedValue {
    let entries = hosts.iter().map(FaultyHost::entry).collect();
    let listed = emulator::Feed::new();
    let mut config = single_placer_config(&listed, entries);
    config["feed"] = json!(feed.address());
    config["limits"]["sockets"] = json!(DESCRIPTORS);
    for class in 0..2 {
        config["settings"]["services"][class]["hard_limit"] = json!(CLIENT_WAIT.as_millis() as u64);
        config["settings"]["services"][class]["aim"] = json!(500.0);
    }
    config
}

/// Sends signals in series while traffic runs: reloads, good and bad, and on odd seeds a stop of the process.
fn disturb(seed: u64, program: &Program, config: &OwnedValue) {
    let mut dice = Dice::new(seed, 900);
    let end = Instant::now() + TRAFFIC_TIME;
    let good = config.encode();
    while Instant::now() < end {
        std::thread::sleep(dice.millis(100, 700));
        for _ in 0..dice.between(1, 6) {
            program.reload(if dice.percent(30) { "{" } else { &good });
        }
        if seed % 2 == 1 && dice.percent(30) {
            program.signal("-STOP");
            std::thread::sleep(dice.millis(50, 400));
            program.signal("-CONT");
        }
    }
    program.reload(&good);
}

/// Terminates the process under traffic, and kills it as early as the platform may. Returns when it was gone.
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
        registry.violation("the process had not ended when it was killed".into());
    }
    let status = program.wait_exit();
    if !status.success() {
        registry.violation(format!("ended with {status}"));
    }
    Instant::now()
}

/// Plays one seed and returns the rules that were broken.
fn play(seed: u64) -> Vec<String> {
    let registry = Arc::new(Registry::default());
    let feed = EmulatedFeed::start();
    let hosts: Vec<FaultyHost> = (0..HOSTS)
        .map(|n| FaultyHost::start(n, Dice::new(seed, n), &registry))
        .collect();
    let config = config(&feed, &hosts);
    let mut program = Launch::new(&config).descriptors(DESCRIPTORS).start();
    drop(program.client());
    let crowd = seed
        .is_multiple_of(CROWD_EVERY)
        .then(|| clients::crowd(program.address, CROWD));
    let clients = Clients::start(seed, CLIENTS, program.address, &registry);
    disturb(seed, &program, &config);
    clients.pause();
    registry.wait_until_ends_arrived(MAX_END_TIME + Duration::from_secs(1));
    clients.resume();
    std::thread::sleep(Duration::from_millis(300));
    clients.keep_connections();
    let exited_at = terminate(&mut program, &registry);
    clients.stop();
    drop(crowd);
    let mut violations = registry.check(exited_at);
    if program.log().contains("panicked") {
        violations.push("the program panicked".into());
    }
    if !violations.is_empty() {
        keep_log(seed, &program);
    }
    violations
}

/// Keeps the log of a failed seed, where `SOAK_LOGS` names a folder for it.
fn keep_log(seed: u64, program: &Program) {
    if let Ok(folder) = std::env::var("SOAK_LOGS") {
        let path = std::path::Path::new(&folder).join(format!("soak-{seed}.log"));
        let _ = std::fs::write(path, program.log());
    }
}

fn from_environment(name: &str, default: u64) -> u64 {
    let stated = std::env::var(name).ok();
    stated.map_or(default, |text| text.parse().expect("a number"))
}

#[test]
fn rules_hold_among_failing_peers_until_the_process_has_ended() {
    let first = from_environment("SOAK_FIRST", 1);
    let seeds: Vec<u64> = (first..first + from_environment("SOAK_SEEDS", DEFAULT_SEEDS)).collect();
    let mut failed = Vec::new();
    for group in seeds.chunks(SEEDS_AT_ONCE) {
        let plays: Vec<_> = group
            .iter()
            .map(|seed| {
                (
                    *seed,
                    std::thread::spawn({
                        let seed = *seed;
                        move || play(seed)
                    }),
                )
            })
            .collect();
        for (seed, played) in plays {
            let violations = played.join().expect("a play of a seed");
            println!(
                "seed {seed}: {}",
                if violations.is_empty() {
                    "kept"
                } else {
                    "BROKEN"
                }
            );
            violations
                .iter()
                .take(5)
                .for_each(|what| println!("  {what}"));
            if !violations.is_empty() {
                failed.push((seed, violations));
            }
        }
    }
    println!("{} seeds played, {} failed", seeds.len(), failed.len());
    assert!(failed.is_empty(), "{failed:#?}");
}

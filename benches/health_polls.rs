//! Measures the cost of health checks: the placer's processor time and the time to place a task, without health checks,
//! with 1,000 agent checks a second and with 1,000 HTTP checks a second, one after the other in one run.
//!
//! `cargo bench --bench health_polls [-- SECONDS]`

use emulator::fixtures::{place_task, start_emulated_hosts};
use emulator::host_emulator::{EmulatedFeed, HostBehavior};
use emulator::{Launch, Program, free_address, placer_config, wait_for};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The number of threads that poll.
const POLLERS: usize = 10;
/// The number of polls a second, of all threads.
const POLL_RATE: f64 = 1_000.0;

#[derive(Clone, Copy)]
enum Load {
    None,
    Agent(SocketAddr),
    Http(SocketAddr),
}

fn agent_poll(address: SocketAddr) -> Option<()> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(b"p\n").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.starts_with("up ").then_some(())
}

fn http_poll(stream: &mut TcpStream) -> Option<()> {
    stream
        .write_all(b"GET /readyz HTTP/1.1\r\nHost: t\r\n\r\n")
        .ok()?;
    let mut answer = [0; 512];
    let n = stream.read(&mut answer).ok()?;
    answer.get(..n)?.starts_with(b"HTTP/1.1 200").then_some(())
}

/// Starts threads that poll at `POLL_RATE` until `stop` is set, and count the successful answers in `done`.
fn poll(
    load: Load,
    stop: &Arc<AtomicBool>,
    done: &Arc<AtomicU64>,
) -> Vec<std::thread::JoinHandle<()>> {
    if matches!(load, Load::None) {
        return Vec::new();
    }
    let poller = |_| {
        let (stop, done) = (stop.clone(), done.clone());
        std::thread::spawn(move || {
            let start = Instant::now();
            let mut keep_alive = match load {
                Load::Http(address) => TcpStream::connect(address).ok(),
                _ => None,
            };
            for n in 0u32.. {
                let due =
                    start + Duration::from_secs_f64(f64::from(n) * POLLERS as f64 / POLL_RATE);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let answered = match load {
                    Load::Agent(address) => agent_poll(address),
                    Load::Http(_) => keep_alive.as_mut().and_then(http_poll),
                    Load::None => None,
                };
                done.fetch_add(u64::from(answered.is_some()), Ordering::Relaxed);
            }
        })
    };
    (0..POLLERS).map(poller).collect()
}

/// The cost that was measured under one load of polls.
struct Measurement {
    /// Processor time of the placer as a fraction of the elapsed time.
    cpu: f64,
    /// The median time to place a task.
    median: Duration,
    /// The 99th percentile of the time to place a task.
    p99: Duration,
    /// Answered polls a second.
    polls: f64,
}

/// Places 50 tasks a second for `duration` under a load of polls.
fn measure(program: &Program, load: Load, duration: Duration, first_id: &mut u64) -> Measurement {
    let (stop, done) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let pollers = poll(load, &stop, &done);
    std::thread::sleep(Duration::from_millis(500));
    let (cpu, started_at, mut placement_times) = (program.cpu_time(), Instant::now(), Vec::new());
    done.store(0, Ordering::Relaxed);
    let mut client = program.client();
    while started_at.elapsed() < duration {
        let due = started_at + Duration::from_millis(20 * placement_times.len() as u64);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        *first_id += 1;
        place_task(&mut client, *first_id);
        placement_times.push(due.elapsed());
    }
    let (elapsed_seconds, cpu_seconds) = (
        started_at.elapsed().as_secs_f64(),
        (program.cpu_time() - cpu).as_secs_f64(),
    );
    let polls = done.load(Ordering::Relaxed) as f64 / elapsed_seconds;
    stop.store(true, Ordering::Relaxed);
    pollers
        .into_iter()
        .for_each(|poller| poller.join().expect("the polling thread panicked"));
    placement_times.sort();
    Measurement {
        cpu: cpu_seconds / elapsed_seconds,
        median: placement_times[placement_times.len() / 2],
        p99: placement_times[placement_times.len() * 99 / 100],
        polls,
    }
}

fn main() {
    let seconds = std::env::args()
        .filter_map(|arg| arg.parse().ok())
        .next()
        .unwrap_or(10);
    let duration = Duration::from_secs(seconds);
    let behavior = HostBehavior {
        start_time: Duration::from_millis(5),
        run_time: Duration::from_secs(1),
        capacity: 10_000,
    };
    let (hosts, _records) = start_emulated_hosts(4, &behavior);
    let feed = EmulatedFeed::start();
    let config = placer_config(
        "n0",
        0,
        1,
        &feed.address(),
        hosts.iter().map(|host| host.entry("up")).collect(),
    );
    let (agent, http) = (free_address(), free_address());
    let operator = format!("[health]\nagent = [\"{agent}\"]\nhttp = [\"{http}\"]\n");
    let program = Launch::new(&config).operator_file(&operator).start();
    wait_for("the agent check answers", || agent_poll(agent));
    let mut id = 0;
    let mut baseline_cpu = None;
    println!(
        "{:<8} {:>8} {:>8} {:>12} {:>12} {:>10}",
        "polls", "a second", "cpu", "median", "p99", "cpu ratio"
    );
    for (name, load) in [
        ("none", Load::None),
        ("agent", Load::Agent(agent)),
        ("http", Load::Http(http)),
        ("none", Load::None),
    ] {
        let measured = measure(&program, load, duration, &mut id);
        let ratio = measured.cpu / *baseline_cpu.get_or_insert(measured.cpu);
        println!(
            "{name:<8} {:>8.0} {:>7.1}% {:>12.1?} {:>12.1?} {ratio:>10.2}",
            measured.polls,
            100.0 * measured.cpu,
            measured.median,
            measured.p99
        );
    }
}

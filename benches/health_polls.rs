//! The cost of health checks: processor time of the placer and time to place a task, with none, with 1,000 agent
//! checks a second and with 1,000 HTTP checks a second, one after the other in one run.
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

const POLLERS: usize = 10;
const RATE: f64 = 1_000.0;

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

/// Polls at the rate until stopped, and counts the replies.
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
                let due = start + Duration::from_secs_f64(f64::from(n) * POLLERS as f64 / RATE);
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

struct Measurement {
    cpu: f64,
    median: Duration,
    p99: Duration,
    polls: f64,
}

/// Places 50 tasks a second for a while under a load of polls.
fn measure(program: &Program, load: Load, span: Duration, first_id: &mut u64) -> Measurement {
    let (stop, done) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let pollers = poll(load, &stop, &done);
    std::thread::sleep(Duration::from_millis(500));
    let (cpu, begun, mut waits) = (program.cpu_time(), Instant::now(), Vec::new());
    done.store(0, Ordering::Relaxed);
    let mut client = program.client();
    while begun.elapsed() < span {
        let due = begun + Duration::from_millis(20 * waits.len() as u64);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        *first_id += 1;
        place_task(&mut client, *first_id);
        waits.push(due.elapsed());
    }
    let (passed, used) = (
        begun.elapsed().as_secs_f64(),
        (program.cpu_time() - cpu).as_secs_f64(),
    );
    let polls = done.load(Ordering::Relaxed) as f64 / passed;
    stop.store(true, Ordering::Relaxed);
    pollers
        .into_iter()
        .for_each(|poller| poller.join().expect("a poller"));
    waits.sort();
    Measurement {
        cpu: used / passed,
        median: waits[waits.len() / 2],
        p99: waits[waits.len() * 99 / 100],
        polls,
    }
}

fn main() {
    let seconds = std::env::args()
        .filter_map(|arg| arg.parse().ok())
        .next()
        .unwrap_or(10);
    let span = Duration::from_secs(seconds);
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
    let mut base = None;
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
        let f = measure(&program, load, span, &mut id);
        let ratio = f.cpu / *base.get_or_insert(f.cpu);
        println!(
            "{name:<8} {:>8.0} {:>7.1}% {:>12.1?} {:>12.1?} {ratio:>10.2}",
            f.polls,
            100.0 * f.cpu,
            f.median,
            f.p99
        );
    }
}

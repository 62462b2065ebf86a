//! Measures the cost of the decision module alone, without sockets or other processes: an update of one endpoint, a
//! task that is placed and ends, and a tick, with 100 to 16,384 hosts.
//!
//! Run it with `cargo bench --bench decisions [-- PLACERS]`, where `PLACERS` is the number of placers in the settings,
//! 12 by default.

use std::sync::Arc;
use std::time::Instant;
use task_placer::{
    Action, CellId, Endpoint, EndpointState, Event, HostId, KindId, Micros, Outcome, OutcomeDetail,
    Placer, RequestId, ServiceId, Settings, Task, TaskKey, TimerToken, UpdateKind, ZoneId,
};

const SIZES: [usize; 7] = [100, 400, 1_000, 2_000, 4_000, 7_300, 16_384];
const EVENTS: usize = 2_000;
const TASKS: usize = 1_000;
const TICKS: usize = 200;
const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Number of services whose tasks are requested in turn.
const SERVICES: usize = 200;

/// Returns the endpoint of host `n` with a third to two thirds of its cores free. The amount differs with `time`.
fn endpoint(n: usize, time: usize) -> Endpoint {
    let free = 10.0 + ((n * 7 + time * 13) % 11) as f64;
    Endpoint {
        host: HostId(Arc::from(format!("w-{n:06}"))),
        zone: ZoneId(n % 7),
        cell: CellId((n / 8) as u64),
        kind: KindId(0),
        state: EndpointState::Up,
        started_at: 0,
        free_cores: free,
        free_memory: 2.0 * free,
    }
}

fn task(n: usize) -> Task {
    Task {
        id: RequestId(Arc::from(format!("{n:016x}"))),
        service: ServiceId((n % SERVICES) as u64),
        key: TaskKey(n as u64),
        cores: 1.0,
        memory: 2.0,
        time_budget: 5 * SECOND,
        ..Task::default()
    }
}

/// A placer under test with its current time and its next tick.
struct PlacerBench {
    placer: Placer,
    now: Micros,
    actions: Vec<Action>,
    tick: Option<(Micros, TimerToken)>,
}

impl PlacerBench {
    fn new(hosts: usize, placers: usize) -> PlacerBench {
        let settings = Settings {
            placer_count: placers,
            allows_health_checks: false,
            load_report: Vec::new(),
            ..Settings::example()
        };
        let placer = Placer::new(settings, 7);
        let mut bench = PlacerBench {
            placer,
            now: SECOND,
            actions: Vec::new(),
            tick: None,
        };
        let endpoints = (0..hosts).map(|n| endpoint(n, 0)).collect();
        bench.handle(&Event::EndpointsChanged {
            kind: UpdateKind::Complete,
            endpoints,
        });
        let next_tick = bench.actions.iter().rev().find_map(|action| match action {
            Action::SetTimer { token, after } => Some((bench.now + after, *token)),
            _ => None,
        });
        bench.tick = next_tick;
        bench
    }

    fn handle(&mut self, event: &Event) {
        self.actions.clear();
        self.placer.handle(self.now, event, &mut self.actions);
    }

    fn sent_to(&self) -> Option<HostId> {
        self.actions.iter().find_map(|action| match action {
            Action::SendAttempt { host, .. } => Some(host.clone()),
            _ => None,
        })
    }

    fn place(&mut self, n: usize) {
        let task = task(n);
        let id = task.id.clone();
        self.handle(&Event::TaskRequested(task));
        if let Some(host) = self.sent_to() {
            let started = Event::AttemptStarted {
                id: id.clone(),
                attempt: 0,
                host: host.clone(),
                elapsed: MS,
            };
            self.handle(&started);
            self.handle(&Event::AttemptEnded {
                id,
                attempt: 0,
                host,
                outcome: Outcome::Completed,
                detail: OutcomeDetail::Unknown,
                done: true,
                elapsed: MS,
                load_report: Vec::new(),
            });
        }
    }

    fn fire_tick(&mut self) {
        let Some((due, token)) = self.tick else {
            return;
        };
        self.now = self.now.max(due);
        self.handle(&Event::TimerFired(token));
        self.tick = self.actions.iter().find_map(|action| match action {
            Action::SetTimer { token, after } => Some((self.now + after, *token)),
            _ => None,
        });
    }
}

/// Returns the mean time of a call, in microseconds.
fn mean_micros(count: usize, mut call: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    (0..count).for_each(&mut call);
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn main() {
    let stated = std::env::args().skip(1).find_map(|word| word.parse().ok());
    let placers: usize = stated.unwrap_or(12);
    println!(
        "{:>8} {:>12} {:>12} {:>12}   {placers} placers stated",
        "hosts", "a list event", "a task", "a tick"
    );
    for hosts in SIZES {
        let mut bench = PlacerBench::new(hosts, placers);
        let event = mean_micros(EVENTS, |n| {
            bench.now += MS;
            let endpoints = vec![endpoint(n * 31 % hosts, n)];
            bench.handle(&Event::EndpointsChanged {
                kind: UpdateKind::Delta,
                endpoints,
            });
        });
        let task = mean_micros(TASKS, |n| {
            bench.now += MS;
            bench.place(n);
        });
        let tick = mean_micros(TICKS, |_| bench.fire_tick());
        println!("{hosts:>8} {event:>9.1} us {task:>9.1} us {tick:>9.1} us");
    }
}

//! Tests the slow-start limit (rule 4) over a whole fleet: the number of attempts that all placers together send to a
//! cold host, within any window of time in which too many attempts would crash it.

mod common;

use common::*;
use emulator::{
    Feed, Host, HostConnection, IDEMPOTENT_TASK, Program, TaskRequest, placer_config, unix_ms,
};
use proptest::prelude::*;
use simd_json::json;
use simd_json::prelude::*;
use std::time::{Duration, Instant};
use task_placer::*;

/// Returns the maximum number of offers that are allowed for a host that tolerates `tolerated` of them. The margin of
/// two standard deviations plus 2 is the operators' allowance for chance.
fn max_offers(tolerated: f64) -> usize {
    (tolerated + 2.0 * tolerated.sqrt() + 2.0) as usize
}

/// Returns the maximum number of offers within any period of length `window`, the time within which too many offers
/// crash a host.
fn max_in_window(mut times: Vec<Micros>, window: Micros) -> usize {
    times.sort_unstable();
    let within =
        |(i, t): (usize, &Micros)| times[i..].iter().take_while(|u| **u - t < window).count();
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

/// One placer of the fleet: a decision module with a skewed clock, which can be restarted.
struct Instance {
    placer: TestPlacer,
    settings: Settings,
    skew: Micros,
    requests: usize,
}

impl Instance {
    fn start(settings: &Settings, skew: Micros, at: Micros, ready_at: Micros) -> Instance {
        let mut placer = TestPlacer::new(settings.clone());
        placer.now = at + skew;
        let cold = Endpoint {
            started_at: ready_at,
            ..endpoint(0, EndpointState::Up)
        };
        placer.handle(Event::EndpointsChanged {
            kind: UpdateKind::Cached,
            endpoints: vec![cold],
        });
        Instance {
            placer,
            settings: settings.clone(),
            skew,
            requests: 0,
        }
    }

    /// Requests a task whose time budget is half a step, rejects it at every host to which it is offered, and advances
    /// by one step. Returns the number of offers.
    fn step(&mut self, step: Micros) -> usize {
        self.requests += 1;
        let n = self.requests;
        let mut sent = sent_hosts(&self.placer.request(Task {
            time_budget: step / 2,
            ..task(n, n as u64)
        }));
        sent.extend(sent_hosts(&without_times(self.placer.advance(0))));
        for at in &sent {
            self.placer
                .end(n, 0, at, Outcome::Rejected, OutcomeDetail::NotEligible);
            self.placer.handle(Event::HealthCheckEnded {
                host: at.clone(),
                outcome: Outcome::Completed,
                elapsed: MS,
                load_report: Vec::new(),
            });
        }
        self.placer.advance(step);
        sent.len()
    }
}

/// Simulates a fleet of placers with one host that has just started. Each placer requests tasks throughout. `restarts`
/// holds times, each with the fraction of the placers that restart at that time. `delays` holds the times for which
/// offers wait for a connection, as fractions (0 to 1) of the longest wait, `wait`. Returns the times at which offers
/// arrive.
fn simulate_offers(
    placers: usize,
    tolerated: f64,
    length: Micros,
    restarts: &[(Micros, f64)],
    wait: Micros,
    delays: &[f64],
) -> Vec<Micros> {
    const STEP: Micros = 25 * MS;
    let started_at = 100 * SECOND;
    let settings = Settings {
        placer_count: placers,
        slow_start_attempts: tolerated,
        collapse_window: SECOND,
        slow_start: 17 * SECOND,
        connect_timeout: wait,
        ..Settings::example()
    };
    let settings = |me| Settings {
        placer_index: me,
        ..settings.clone()
    };
    let skew = |me: usize| (me as Micros % 5 - 2) * 10 * MS;
    let mut fleet: Vec<Instance> = (0..placers)
        .map(|me| Instance::start(&settings(me), skew(me), started_at, started_at + skew(me)))
        .collect();
    let (mut times, mut delay) = (Vec::new(), delays.iter().cycle());
    for now in (started_at..started_at + length).step_by(STEP as usize) {
        for (_, fraction) in restarts
            .iter()
            .filter(|(at, _)| (now..now + STEP).contains(&(started_at + at)))
        {
            let count = (placers as f64 * fraction).ceil() as usize;
            for instance in fleet.iter_mut().take(count) {
                *instance = Instance::start(&instance.settings, instance.skew, now, started_at);
            }
        }
        for instance in &mut fleet {
            for _ in 0..instance.step(STEP) {
                times.push(now + (delay.next().copied().unwrap_or(0.0) * wait as f64) as Micros);
            }
        }
    }
    times
}

// Guards against exceeding the slow-start budget when many placers restart at once: a restarted process does not know
// which attempts it sent before.
#[test]
fn fleet_keeps_the_slow_start_budget_through_restarts_and_uses_it() {
    for placers in [3, 20, 30] {
        for tolerated in [22.0, 100.0] {
            let quiet = simulate_offers(placers, tolerated, 8 * SECOND, &[], 0, &[0.0]);
            assert!(
                max_in_window(quiet.clone(), SECOND) <= max_offers(tolerated),
                "{placers} {tolerated}"
            );
            // At least a quarter of the tolerated offers arrive, so that the hosts of a zone that returns are used.
            assert!(
                quiet.len() as f64 > 8.0 * tolerated / 4.0,
                "{placers} {tolerated}: {}",
                quiet.len()
            );
            for fraction in [0.1, 0.7, 1.0] {
                let restarts: Vec<(Micros, f64)> = [1_100, 1_400, 1_700, 3_000]
                    .map(|ms| (ms * MS, fraction))
                    .to_vec();
                let times = simulate_offers(
                    placers,
                    tolerated,
                    6 * SECOND,
                    &restarts,
                    SECOND / 4,
                    &[1.0, 0.0, 0.5],
                );
                let count = max_in_window(times.clone(), SECOND);
                assert!(
                    count <= max_offers(tolerated),
                    "{placers} {tolerated} {fraction}: {count}"
                );
                assert!(!times.is_empty());
            }
        }
    }
}

// Guards against a burst of attempts: connecting to a host that does not answer takes as long as the settings allow,
// and all attempts that waited for the connection are sent together.
#[test]
fn attempts_that_waited_for_a_connection_keep_the_slow_start_budget() {
    // The first 78 offers wait as long as allowed, and the next 400 arrive immediately.
    let delays = [[1.0; 78].as_slice(), &[0.0; 400]].concat();
    for wait in [SECOND / 4, SECOND, 2 * SECOND] {
        for placers in [1, 3] {
            let count = max_in_window(
                simulate_offers(placers, 100.0, 8 * SECOND, &[], wait, &delays),
                SECOND,
            );
            assert!(count <= max_offers(100.0), "{placers} {wait}: {count}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Checks the limit for random fleet sizes, tolerances, restarts and delays of offers.
    #[test]
    fn sum_over_all_placers_stays_within_tolerance(
        placers in 1usize..40,
        tolerated in 2.0f64..120.0,
        restarts in prop::collection::vec((0i64..4_000, 0.0f64..1.0), 0..6),
        wait in 0i64..2_000,
        delays in prop::collection::vec(0.0f64..1.0, 1..8),
    ) {
        let restarts: Vec<(Micros, f64)> = restarts.into_iter().map(|(ms, fraction)| (ms * MS, fraction)).collect();
        let count = max_in_window(
            simulate_offers(placers, tolerated, 5 * SECOND, &restarts, wait * MS, &delays),
            SECOND,
        );
        prop_assert!(count <= max_offers(tolerated), "{count}");
    }
}

// Clocks of hosts and placers differ, so the start time of a host may lie in the future by the placer's clock.
#[test]
fn host_that_starts_in_the_future_by_our_clock_is_warming_up_like_others() {
    let settings = Settings {
        placer_count: 30,
        slow_start_attempts: 15.0,
        collapse_window: SECOND,
        ..Settings::example()
    };
    let started_at = 100 * SECOND;
    let sent = |me| {
        let mut instance = Instance::start(
            &Settings {
                placer_index: me,
                ..settings.clone()
            },
            0,
            started_at,
            started_at + 18 * SECOND,
        );
        (0..40).map(|_| instance.step(25 * MS)).sum::<usize>()
    };
    assert!((0..30).map(sent).sum::<usize>() <= max_offers(15.0));
}

/// Collects the times of the offers that reach a host within `span`, and reports each offered task as running.
fn collect(
    host: &Host,
    connections: &mut Vec<HostConnection>,
    times: &mut Vec<Micros>,
    start: Instant,
    span: Duration,
) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        connections.extend(host.accept_within(Duration::from_millis(1)));
        for connection in connections.iter_mut() {
            while let Some(message) = connection.read_within(Duration::from_millis(1)) {
                if message.get_str("t") == Some("new") {
                    times.push(start.elapsed().as_micros() as Micros);
                    connection.report_running(message.get_str("ref").expect("an id"));
                }
            }
        }
    }
}

// Guards against exceeding the slow-start budget when real processes are killed after they have sent their shares, and
// all are restarted at once.
#[test]
fn restarted_processes_keep_the_slow_start_budget() {
    let tolerated = 30.0;
    let mut feeds: Vec<Feed> = (0..3).map(|_| Feed::new()).collect();
    let host = Host::new("h0", "north");
    let (start, mut times, mut connections) = (Instant::now(), Vec::new(), Vec::new());
    let mut started_at = 0;
    for generation in 0..2 {
        let mut programs = Vec::new();
        for (me, feed) in feeds.iter_mut().enumerate() {
            let mut config = placer_config(
                &format!("n{me}"),
                me as u64,
                3,
                &feed.address(),
                vec![host.entry("up", started_at)],
            );
            config["settings"]["family_info"]["young_limit"] = json!(tolerated);
            // Slow start is limited to `tolerated` attempts. The limit on tasks of one service is too high to delay
            // any.
            config["settings"]["family_info"]["class_most"] = json!([50, 50]);
            let program = Program::start(&config);
            feed.accept_subscription();
            programs.push(program);
        }
        if generation == 0 {
            started_at = unix_ms();
            for feed in &mut feeds {
                feed.send(&emulator::endpoint_event(
                    2,
                    emulator::UpdateKind::Delta,
                    vec![host.entry("up", started_at)],
                ));
            }
        }
        let mut clients: Vec<_> = programs.iter().map(Program::client).collect();
        for client in &mut clients {
            assert!(client.health_check());
            for n in 1..=20 {
                client.request_task(
                    generation * 100 + n,
                    &TaskRequest {
                        service: n,
                        ..IDEMPOTENT_TASK
                    },
                );
            }
        }
        collect(
            &host,
            &mut connections,
            &mut times,
            start,
            Duration::from_millis(if generation == 0 { 150 } else { 2_000 }),
        );
    }
    assert!(times.len() > 24, "{times:?}");
    let count = max_in_window(times, SECOND);
    assert!(count <= max_offers(tolerated), "{count}");
}

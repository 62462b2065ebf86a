//! Tests whole deployments on loopback: three placers behind a load balancer that polls them, emulated hosts and feeds,
//! and clients whose tasks arrive in an open loop. The answers to every task are checked.

use emulator::host_emulator::{EmulatedFeed, EmulatedHost, HostBehavior, HostRecords};
use emulator::load_balancer::clients::{ClientPopulation, TaskRecord};
use emulator::load_balancer::polling::{PollingLoadBalancer, ServerAddresses, query_agent};
use emulator::{Launch, Program, free_address, placer_config, wait_for};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Health settings with short times, so that the tests take less time.
const SHORT_HEALTH_TIMES: &str = r#"
[health.weight]
slow-start = "1s"
hold = "1s"
rise = "3s"
memory = "1s"
most-memory = "2s"
most-hold = "2s"
[drain]
enabled = true
"#;

/// Three running placers with their load balancer, hosts and feeds.
struct Deployment {
    records: Arc<Mutex<HostRecords>>,
    hosts: Vec<EmulatedHost>,
    feeds: Vec<EmulatedFeed>,
    placers: Vec<Program>,
    agents: Vec<SocketAddr>,
    load_balancer: Arc<PollingLoadBalancer>,
}

impl Deployment {
    /// Starts six hosts in two zones, three placers, and a load balancer that polls the placers every 500 ms.
    fn start(behavior: &HostBehavior) -> Deployment {
        let records: Arc<Mutex<HostRecords>> = Arc::default();
        let host = |n: usize| {
            let zone = if n.is_multiple_of(2) {
                "north"
            } else {
                "south"
            };
            EmulatedHost::start(&format!("h{n}"), zone, behavior.clone(), records.clone())
        };
        let hosts: Vec<EmulatedHost> = (0..6).map(host).collect();
        let feeds: Vec<EmulatedFeed> = (0..3).map(|_| EmulatedFeed::start()).collect();
        let agents: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        let placer = |(n, feed): (usize, &EmulatedFeed)| {
            let entries = hosts.iter().map(|host| host.entry("up")).collect();
            let config = placer_config(&format!("n{n}"), n as u64, 3, &feed.address(), entries);
            Launch::new(&config)
                .operator_file(&format!(
                    "[health]\nagent = [\"{}\"]\n{SHORT_HEALTH_TIMES}",
                    agents[n]
                ))
                .start()
        };
        let placers: Vec<Program> = feeds.iter().enumerate().map(placer).collect();
        let servers: Vec<ServerAddresses> = placers
            .iter()
            .zip(&agents)
            .map(|(placer, agent)| ServerAddresses {
                clients: placer.address,
                agent: *agent,
            })
            .collect();
        for (placer, agent) in placers.iter().zip(&agents) {
            drop(placer.client());
            wait_for("full weight", || {
                weight(*agent).filter(|weight| *weight == 100)
            });
        }
        let load_balancer = Arc::new(PollingLoadBalancer::start(&servers, MS(500), MS(1_500)));
        let deployment = Deployment {
            records,
            hosts,
            feeds,
            placers,
            agents,
            load_balancer,
        };
        wait_for("polls", || {
            (deployment.load_balancer.polls().len() >= 3).then_some(())
        });
        deployment
    }

    /// Asserts that no non-idempotent task started twice.
    fn assert_no_duplicate_starts(&self) {
        assert_eq!(
            self.records
                .lock()
                .expect("the lock of the host records is poisoned")
                .started_more_than_once("once"),
            Vec::<String>::new()
        );
    }
}

/// Returns the weight that an agent reports.
fn weight(agent: SocketAddr) -> Option<u32> {
    let line = query_agent(agent, "test\n", Duration::from_secs(2))?;
    line.split([' ', '\n'])
        .find_map(|word| word.strip_suffix('%')?.parse().ok())
}

fn behavior() -> HostBehavior {
    HostBehavior {
        start_time: MS(20),
        run_time: MS(800),
        capacity: 1_000,
    }
}

/// Returns the fraction of the tasks that arrived in the `last` time that went to a server.
fn share(clients: &ClientPopulation, server: usize, last: Duration) -> f64 {
    let counts = clients.tasks_per_server(3, Instant::now() - last);
    counts[server] as f64 / counts.iter().sum::<usize>().max(1) as f64
}

/// Asserts that each task was answered exactly once.
fn assert_all_answered(records: &[TaskRecord]) {
    let wrongly_answered: Vec<&TaskRecord> = records
        .iter()
        .filter(|r| r.answer.is_none() || r.extra_answers > 0)
        .collect();
    assert!(
        wrongly_answered.is_empty(),
        "{} of {} tasks not answered exactly once: {wrongly_answered:#?}",
        wrongly_answered.len(),
        records.len()
    );
}

#[test]
fn repeatedly_paused_placer_loses_traffic_and_regains_it() {
    let deployment = Deployment::start(&behavior());
    let clients = ClientPopulation::start(&deployment.load_balancer, 24.0, 1);
    std::thread::sleep(Duration::from_secs(3));
    let share_before = share(&clients, 0, Duration::from_secs(3));
    let begun = Instant::now();
    let (mut halved_after, slow) = (None, &deployment.placers[0]);
    while begun.elapsed() < Duration::from_secs(8) {
        slow.signal("-STOP");
        std::thread::sleep(MS(600));
        slow.signal("-CONT");
        std::thread::sleep(MS(200));
        if halved_after.is_none() && share(&clients, 0, MS(1_000)) <= share_before / 2.0 {
            halved_after = Some(begun.elapsed());
        }
    }
    let share_while_paused = share(&clients, 0, Duration::from_secs(3));
    let pauses_ended = Instant::now();
    wait_for("the paused placer regains its traffic", || {
        (share(&clients, 0, Duration::from_secs(3)) > 0.75 * share_before).then_some(())
    });
    let regained_after = pauses_ended.elapsed();
    let records = clients.finish();
    eprintln!(
        "share {share_before:.2}, halved after {halved_after:?}, {share_while_paused:.2} at the last pause, regained after {regained_after:?}"
    );
    assert!(
        halved_after.is_some_and(|after| after <= Duration::from_secs(5)),
        "{halved_after:?}"
    );
    assert!(
        share_while_paused < 0.5 * share_before,
        "share {share_while_paused} while paused, {share_before} before"
    );
    assert_all_answered(&records);
    // The tasks at the other placers start within their objective all the time.
    let others: Vec<&TaskRecord> = records.iter().filter(|r| r.server != Some(0)).collect();
    let late = others
        .iter()
        .filter(|r| r.wait().is_none_or(|wait| wait > Duration::from_secs(1)))
        .count();
    assert!(
        late * 50 <= others.len(),
        "{late} of {} tasks of the other placers late",
        others.len()
    );
    deployment.assert_no_duplicate_starts();
}

#[test]
fn silent_feed_lowers_the_weight_and_tasks_are_answered_even_if_all_feeds_are_silent() {
    let deployment = Deployment::start(&behavior());
    let clients = ClientPopulation::start(&deployment.load_balancer, 8.0, 1);
    deployment.feeds[0].silence();
    let begun = Instant::now();
    let after = wait_for("a reduced weight", || {
        weight(deployment.agents[0])
            .filter(|w| *w < 100)
            .map(|_| begun.elapsed())
    });
    eprintln!("weight below 100 after {after:?}");
    // The age of the feed counts from its last heartbeat, which may be a second old when the feed falls silent.
    assert!(after <= Duration::from_secs(3), "{after:?}");
    assert_eq!(
        (weight(deployment.agents[1]), weight(deployment.agents[2])),
        (Some(100), Some(100))
    );
    deployment.feeds.iter().for_each(|feed| feed.silence());
    for agent in &deployment.agents {
        wait_for("a reduced weight", || weight(*agent).filter(|w| *w < 100));
    }
    std::thread::sleep(Duration::from_secs(3));
    let records = clients.finish();
    assert_all_answered(&records);
    let placed = records.iter().filter(|r| r.is_placed()).count();
    assert!(
        placed * 100 >= records.len() * 95,
        "{placed} of {} tasks placed",
        records.len()
    );
    let min_weight = deployment
        .agents
        .iter()
        .filter_map(|agent| weight(*agent))
        .min();
    assert!(min_weight >= Some(40), "{min_weight:?}");
    deployment.assert_no_duplicate_starts();
}

#[test]
fn sigterm_notifies_load_balancers_and_every_running_tasks_end_is_notified() {
    let mut deployment = Deployment::start(&HostBehavior {
        run_time: MS(5_000),
        ..behavior()
    });
    let clients = ClientPopulation::start(&deployment.load_balancer, 8.0, 1);
    std::thread::sleep(Duration::from_secs(3));
    let signalled = Instant::now();
    deployment.placers[0].terminate();
    // The load balancer notices the drain at its next poll, so after at most a poll interval and the duration of a
    // poll.
    wait_for("the load balancer notices", || {
        (deployment.load_balancer.weight(0) == 0).then_some(())
    });
    let seen_after = signalled.elapsed();
    let status = deployment.placers[0].wait_exit();
    let exited_after = signalled.elapsed();
    std::thread::sleep(Duration::from_secs(1));
    let records = clients.finish();
    eprintln!(
        "drain seen after {seen_after:?}, process exited after {exited_after:?}, {} tasks",
        records.len()
    );
    assert!(seen_after <= MS(900), "{seen_after:?}");
    assert_eq!(status.code(), Some(0), "{}", deployment.placers[0].log());
    assert_all_answered(&records);
    let unreported_ends: Vec<&TaskRecord> = records
        .iter()
        .filter(|r| r.is_placed() && r.ended_at.is_none())
        .collect();
    assert!(unreported_ends.is_empty(), "{unreported_ends:#?}");
    // The draining placer received no new tasks once the load balancer had noticed the drain.
    let late = records
        .iter()
        .filter(|r| r.server == Some(0) && r.due > signalled + seen_after + MS(100))
        .count();
    assert_eq!(late, 0);
    assert!(records.iter().filter(|r| r.server == Some(0)).count() > 5);
    let log = deployment.placers[0].log();
    for field in [
        "phase=\"telling\"",
        "phase=\"closing\"",
        "phase=\"standing\"",
        "phase=\"drained\"",
        "phase=\"over\"",
    ] {
        assert!(log.contains(field), "no {field} in the log: {log}");
    }
    deployment.assert_no_duplicate_starts();
}

#[test]
fn full_hosts_do_not_collapse_weights_or_empty_a_placer() {
    let deployment = Deployment::start(&behavior());
    deployment
        .hosts
        .iter()
        .for_each(|host| host.set_free_capacity(1));
    let clients = ClientPopulation::start(&deployment.load_balancer, 30.0, 1);
    let (begun, mut min_weight) = (Instant::now(), 100);
    while begun.elapsed() < Duration::from_secs(10) {
        min_weight = deployment
            .agents
            .iter()
            .filter_map(|agent| weight(*agent))
            .min()
            .unwrap_or(0)
            .min(min_weight);
        std::thread::sleep(MS(250));
    }
    let counts = clients.tasks_per_server(3, begun + Duration::from_secs(4));
    let records = clients.finish();
    let refused = records
        .iter()
        .filter(|r| r.answer.is_some() && !r.is_placed())
        .count();
    eprintln!(
        "lowest weight {min_weight}, tasks by placer {counts:?}, {refused} of {} refused",
        records.len()
    );
    assert!(
        refused * 4 > records.len(),
        "the hosts are overloaded: {refused} of {} tasks refused",
        records.len()
    );
    assert!(min_weight >= 50, "{min_weight}");
    let all: usize = counts.iter().sum();
    assert!(counts.iter().all(|n| n * 5 >= all), "{counts:?}");
    assert_all_answered(&records);
    deployment.assert_no_duplicate_starts();
}

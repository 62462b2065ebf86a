//! Whole deployments on loopback: three placers behind a load balancer that polls them, emulated hosts and feeds, and
//! clients that arrive in an open loop. Every task is checked.

use emulator::host_emulator::{EmulatedFeed, EmulatedHost, HostBehavior, HostRecords};
use emulator::load_balancer::clients::{ClientPopulation, TaskRecord};
use emulator::load_balancer::polling::{PollingLoadBalancer, ServerAddresses, query_agent};
use emulator::{Launch, Program, free_address, placer_config, wait_for};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Short times of the health settings, so that tests are quick.
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

struct Site {
    records: Arc<Mutex<HostRecords>>,
    hosts: Vec<EmulatedHost>,
    feeds: Vec<EmulatedFeed>,
    placers: Vec<Program>,
    agents: Vec<SocketAddr>,
    front: Arc<PollingLoadBalancer>,
}

impl Site {
    /// Starts three placers over six hosts in two zones, polled every 500 ms.
    fn start(behavior: &HostBehavior) -> Site {
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
        let front = Arc::new(PollingLoadBalancer::start(&servers, MS(500), MS(1_500)));
        let site = Site {
            records,
            hosts,
            feeds,
            placers,
            agents,
            front,
        };
        wait_for("polls", || (site.front.polls().len() >= 3).then_some(()));
        site
    }

    /// Asserts that no non-idempotent task started twice.
    fn assert_no_duplicate_starts(&self) {
        assert_eq!(
            self.records
                .lock()
                .expect("books")
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

/// Returns the fraction of the latest arrivals that went to a server.
fn share(clients: &ClientPopulation, server: usize, last: Duration) -> f64 {
    let counts = clients.tasks_per_server(3, Instant::now() - last);
    counts[server] as f64 / counts.iter().sum::<usize>().max(1) as f64
}

/// Asserts that each task got exactly one answer.
fn assert_all_answered(records: &[TaskRecord]) {
    let bad: Vec<&TaskRecord> = records
        .iter()
        .filter(|r| r.answer.is_none() || r.extra_answers > 0)
        .collect();
    assert!(
        bad.is_empty(),
        "{} of {}: {bad:#?}",
        bad.len(),
        records.len()
    );
}

#[test]
fn repeatedly_paused_placer_loses_traffic_and_regains_it() {
    let site = Site::start(&behavior());
    let clients = ClientPopulation::start(&site.front, 24.0, 1);
    std::thread::sleep(Duration::from_secs(3));
    let before = share(&clients, 0, Duration::from_secs(3));
    let begun = Instant::now();
    let (mut halved, slow) = (None, &site.placers[0]);
    while begun.elapsed() < Duration::from_secs(8) {
        slow.signal("-STOP");
        std::thread::sleep(MS(600));
        slow.signal("-CONT");
        std::thread::sleep(MS(200));
        if halved.is_none() && share(&clients, 0, MS(1_000)) <= before / 2.0 {
            halved = Some(begun.elapsed());
        }
    }
    let low = share(&clients, 0, Duration::from_secs(3));
    let ended = Instant::now();
    wait_for("its traffic is back", || {
        (share(&clients, 0, Duration::from_secs(3)) > 0.75 * before).then_some(())
    });
    let back = ended.elapsed();
    let records = clients.finish();
    eprintln!(
        "share {before:.2}, halved after {halved:?}, {low:.2} at the end of it, back after {back:?}"
    );
    assert!(
        halved.is_some_and(|after| after <= Duration::from_secs(5)),
        "{halved:?}"
    );
    assert!(low < 0.5 * before, "{low} of {before}");
    assert_all_answered(&records);
    // The others meet their objectives all the time.
    let others: Vec<&TaskRecord> = records.iter().filter(|r| r.server != Some(0)).collect();
    let late = others
        .iter()
        .filter(|r| r.wait().is_none_or(|wait| wait > Duration::from_secs(1)))
        .count();
    assert!(late * 50 <= others.len(), "{late} of {} late", others.len());
    site.assert_no_duplicate_starts();
}

#[test]
fn silent_feed_lowers_the_weight_and_tasks_are_answered_even_if_all_feeds_are_silent() {
    let site = Site::start(&behavior());
    let clients = ClientPopulation::start(&site.front, 8.0, 1);
    site.feeds[0].silence();
    let begun = Instant::now();
    let after = wait_for("a reduced weight", || {
        weight(site.agents[0])
            .filter(|w| *w < 100)
            .map(|_| begun.elapsed())
    });
    eprintln!("under 100 after {after:?}");
    // It counts from the feed's last heartbeat, which may be a second old.
    assert!(after <= Duration::from_secs(3), "{after:?}");
    assert_eq!(
        (weight(site.agents[1]), weight(site.agents[2])),
        (Some(100), Some(100))
    );
    site.feeds.iter().for_each(|feed| feed.silence());
    for agent in &site.agents {
        wait_for("a reduced weight", || weight(*agent).filter(|w| *w < 100));
    }
    std::thread::sleep(Duration::from_secs(3));
    let records = clients.finish();
    assert_all_answered(&records);
    let placed = records.iter().filter(|r| r.is_placed()).count();
    assert!(
        placed * 100 >= records.len() * 95,
        "{placed} of {}",
        records.len()
    );
    let least = site.agents.iter().filter_map(|agent| weight(*agent)).min();
    assert!(least >= Some(40), "{least:?}");
    site.assert_no_duplicate_starts();
}

#[test]
fn sigterm_notifies_load_balancers_and_every_running_tasks_end_is_notified() {
    let mut site = Site::start(&HostBehavior {
        run_time: MS(5_000),
        ..behavior()
    });
    let clients = ClientPopulation::start(&site.front, 8.0, 1);
    std::thread::sleep(Duration::from_secs(3));
    let signalled = Instant::now();
    site.placers[0].terminate();
    // Within a poll interval and the time of a poll.
    wait_for("the load balancer notices", || {
        (site.front.weight(0) == 0).then_some(())
    });
    let seen = signalled.elapsed();
    let status = site.placers[0].wait_exit();
    let over = signalled.elapsed();
    std::thread::sleep(Duration::from_secs(1));
    let records = clients.finish();
    eprintln!(
        "seen after {seen:?}, ended after {over:?}, {} tasks",
        records.len()
    );
    assert!(seen <= MS(900), "{seen:?}");
    assert_eq!(status.code(), Some(0), "{}", site.placers[0].log());
    assert_all_answered(&records);
    let untold: Vec<&TaskRecord> = records
        .iter()
        .filter(|r| r.is_placed() && r.ended_at.is_none())
        .collect();
    assert!(untold.is_empty(), "{untold:#?}");
    // It got nothing new once the load balancer had noticed.
    let late = records
        .iter()
        .filter(|r| r.server == Some(0) && r.due > signalled + seen + MS(100))
        .count();
    assert_eq!(late, 0);
    assert!(records.iter().filter(|r| r.server == Some(0)).count() > 5);
    let log = site.placers[0].log();
    for words in [
        "phase=\"telling\"",
        "phase=\"closing\"",
        "phase=\"standing\"",
        "phase=\"drained\"",
        "phase=\"over\"",
    ] {
        assert!(log.contains(words), "{words}: {log}");
    }
    site.assert_no_duplicate_starts();
}

#[test]
fn full_hosts_do_not_collapse_weights_or_empty_a_placer() {
    let site = Site::start(&behavior());
    site.hosts.iter().for_each(|host| host.set_free_capacity(1));
    let clients = ClientPopulation::start(&site.front, 30.0, 1);
    let (begun, mut least) = (Instant::now(), 100);
    while begun.elapsed() < Duration::from_secs(10) {
        least = site
            .agents
            .iter()
            .filter_map(|agent| weight(*agent))
            .min()
            .unwrap_or(0)
            .min(least);
        std::thread::sleep(MS(250));
    }
    let counts = clients.tasks_per_server(3, begun + Duration::from_secs(4));
    let records = clients.finish();
    let refused = records
        .iter()
        .filter(|r| r.answer.is_some() && !r.is_placed())
        .count();
    eprintln!(
        "least weight {least}, {counts:?} came, {refused} of {} refused",
        records.len()
    );
    assert!(
        refused * 4 > records.len(),
        "it is overload: {refused} of {}",
        records.len()
    );
    assert!(least >= 50, "{least}");
    let all: usize = counts.iter().sum();
    assert!(counts.iter().all(|n| n * 5 >= all), "{counts:?}");
    assert_all_answered(&records);
    site.assert_no_duplicate_starts();
}

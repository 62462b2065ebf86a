//! Tests short runs with real placers. Counts and rules are checked, but not times.

use scale_test::results::PlacerResult;
use scale_test::sample::ProcSampler;
use scale_test::settings::{Connect, FeedRule};
use scale_test::sweep::{Axis, Metric, Runner};
use scale_test::sweep_runner::ScaleRunner;
use scale_test::traffic::FeedCounts;
use scale_test::{NoWatcher, RunResult, Settings, run};
use std::path::{Path, PathBuf};
use std::time::Duration;
use strum::IntoEnumIterator;

/// Returns the path of the placer's program: `TASK_PLACER_BIN`, or the program in the target directory of this test.
fn program() -> PathBuf {
    if let Some(named) = std::env::var_os("TASK_PLACER_BIN") {
        return PathBuf::from(named);
    }
    let test = std::env::current_exe().expect("cannot find the path of the test");
    let folder = test
        .parent()
        .and_then(Path::parent)
        .expect("test should be in a target directory");
    folder.join("task-placer")
}

fn small_plan() -> Settings {
    let plan = Path::new(env!("CARGO_MANIFEST_DIR")).join("plans/small.toml");
    Settings::load(&plan).expect("plan should be valid")
}

fn run_of(settings: &Settings) -> RunResult {
    run(settings, &program(), &mut ProcSampler, &mut NoWatcher).expect("run failed")
}

#[test]
fn no_task_is_lost_or_answered_twice_through_a_zone_crash_a_placer_kill_and_garbage() {
    let settings = small_plan();
    let result = run_of(&settings);
    let fleet = &result.fleet;
    println!("{}", scale_test::results::print(&result));
    assert!(result.usable, "{:?}", result.reason);

    // Every task that was due has exactly one outcome.
    assert_eq!(fleet.running_at_start, u64::from(settings.running_tasks));
    let answered = fleet.started + fleet.refused + fleet.failed + fleet.placer_killed;
    assert_eq!((answered, fleet.no_placer), (fleet.due, 0));
    assert!(fleet.started > 0 && fleet.due > 500, "{fleet:?}");

    // No placer violated a rule.
    assert_eq!(fleet.lost, 0, "{fleet:?}");
    assert_eq!(fleet.started_twice, 0, "{fleet:?}");
    assert_eq!(fleet.answered_twice, 0, "{fleet:?}");
    assert_eq!(fleet.never_started, 0, "{fleet:?}");
    assert_eq!(fleet.ended_wrongly, 0, "{fleet:?}");
    assert_eq!(fleet.bad_messages, 0, "{fleet:?}");

    // Tasks were lost in the zone crash, and the restored workers started tasks again.
    assert!(fleet.reset > 0, "{fleet:?}");
    assert!(fleet.starts_after_return > 0, "{fleet:?}");

    // The killed placer became ready again; the other placers were started once.
    let starts: Vec<usize> = result
        .placers
        .iter()
        .map(|placer| placer.ready_ms.len())
        .collect();
    assert_eq!(starts, [1, 1, 2]);

    // Placers closed every connection on which a worker sent invalid bytes.
    assert!(fleet.garbage_sent > 0, "{fleet:?}");
    assert_eq!(fleet.garbage_dropped, fleet.garbage_sent);

    assert_eq!(result.processes, 4);
    result
        .placers
        .iter()
        .for_each(|placer| assert_adds_up(placer, 14));
}

/// Checks that control and service traffic add up to all bytes on the sockets, and that the rows do not exceed them.
fn assert_adds_up(placer: &PlacerResult, seconds: usize) {
    let traffic = &placer.all_traffic;
    let total = traffic.total();
    assert_eq!(
        total.to_placer.bytes, traffic.raw_to_placer,
        "{}",
        placer.name
    );
    assert_eq!(
        total.from_placer.bytes, traffic.raw_from_placer,
        "{}",
        placer.name
    );
    let (control, service) = (traffic.control.total(), traffic.service.total());
    assert!(
        control.to_placer.bytes > 0 && service.to_placer.bytes > 0,
        "{}",
        placer.name
    );
    assert!(
        traffic.control.health_check.from_placer.messages > 0
            && traffic.control.feed.to_placer.messages > 0
    );
    assert_eq!(
        placer.seconds.iter().filter(|row| row.measured).count(),
        seconds
    );
    let rows: u64 = placer
        .seconds
        .iter()
        .map(|row| row.traffic.total().to_placer.bytes)
        .sum();
    assert!(rows <= total.to_placer.bytes, "{}", placer.name);
    assert!(
        placer.totals.cpu_share > 0.0 && placer.totals.rss_peak_kb > 0,
        "{}",
        placer.name
    );
    assert!(placer.totals.feed.entries_per_s > 0.0);
}

/// Returns the settings of a run that measures two seconds.
fn short() -> Settings {
    Settings {
        workers: 40,
        placers: 2,
        zones: 4,
        regions: 2,
        running_tasks: 60,
        rate: 20.0,
        warm_up: Duration::ZERO,
        duration: Duration::from_secs(2),
        lateness_limit: Duration::from_secs(60),
        busy_limit: 1.0,
        ..Settings::default()
    }
}

#[test]
fn feed_sends_single_changes_complete_lists_and_extra_events_and_all_workers_are_connected() {
    let settings = Settings {
        feed: FeedRule::EachChange,
        connect: Connect::All,
        whole_list_every: Duration::from_millis(500),
        events: 50.0,
        instances: 30,
        ..short()
    };
    let result = run_of(&settings);
    assert_eq!(result.fleet.rules_broken(), 0, "{:?}", result.fleet);
    assert_eq!(
        result.fleet.started + result.fleet.refused,
        result.fleet.due
    );
    for placer in &result.placers {
        assert_adds_up(placer, 2);
        let mut feed = FeedCounts::default();
        placer.seconds.iter().for_each(|row| feed += row.feed);
        assert!(
            feed.complete_list_events > 0 && feed.number_lines > 0,
            "{feed:?}"
        );
        // An event for a change has one entry, and an event with the complete list has one for each of the 40 workers.
        assert_eq!(
            feed.entries_up,
            feed.change_events + 40 * feed.complete_list_events,
            "{feed:?}"
        );
        assert_eq!(feed.entries_removed, 0);
        let idle_connections = placer.all_traffic.control.idle_worker.connections;
        assert!(
            idle_connections + placer.all_traffic.service.worker.connections >= 40,
            "{:?}",
            placer.all_traffic
        );
    }
}

#[test]
fn sweep_run_measures_every_metric() {
    let (mut sampler, mut watcher) = (ProcSampler, NoWatcher);
    let (sampler, watcher) = (&mut sampler, &mut watcher);
    let mut runner = ScaleRunner {
        settings: short(),
        program: program(),
        sampler,
        watcher,
    };
    let measured = runner.run(Axis::Events, 50.0, 0).expect("run failed");
    assert_eq!(measured.unusable, None);
    let found: Vec<Metric> = measured.metrics.keys().copied().collect();
    let expected: Vec<Metric> = Metric::iter()
        .filter(|metric| *metric != Metric::ControlCpu)
        .collect();
    assert_eq!(found, expected);
    assert!(
        measured.metrics.values().all(|value| value.is_finite()),
        "{measured:?}"
    );
}

#[test]
fn result_survives_json() {
    let settings = short();
    let result = run_of(&settings);
    let json = serde_json::to_string(&result).expect("result should serialize");
    let read: RunResult = serde_json::from_str(&json).expect("result should parse");
    assert_eq!(read, result);
    assert_eq!((&read.settings, read.placers.len()), (&settings, 2));
}

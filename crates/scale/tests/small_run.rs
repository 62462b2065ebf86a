//! A run of the small plan with real placers: counts and rules. No times are judged.

use scale::plain_sample::PlainSampler;
use scale::results::PlacerResult;
use scale::{RunResult, Settings, Unwatched, run};
use std::path::{Path, PathBuf};

/// The placer's program: `ANISEHEAD_BIN`, or the one beside the test that runs.
fn program() -> PathBuf {
    if let Some(named) = std::env::var_os("ANISEHEAD_BIN") {
        return PathBuf::from(named);
    }
    let test = std::env::current_exe().expect("a path of the test");
    let folder = test.parent().and_then(Path::parent).expect("a target folder");
    folder.join("anisehead")
}

fn small_plan() -> Settings {
    let plan = Path::new(env!("CARGO_MANIFEST_DIR")).join("plans/small.toml");
    Settings::load(&plan).expect("a plan")
}

fn run_of(settings: &Settings) -> RunResult {
    run(settings, &program(), &mut PlainSampler, &mut Unwatched).expect("a result")
}

#[test]
fn through_a_lost_zone_a_killed_placer_and_garbage_every_task_is_answered_once_and_none_is_lost() {
    let settings = small_plan();
    let result = run_of(&settings);
    let fleet = &result.fleet;
    println!("{}", scale::results::print(&result));
    assert!(result.usable, "{:?}", result.reason);

    // Every task that was due has one end.
    assert_eq!(fleet.standing, u64::from(settings.standing));
    let answered = fleet.started + fleet.refused + fleet.failed + fleet.cut;
    assert_eq!((answered, fleet.no_placer), (fleet.due, 0));
    assert!(fleet.started > 0 && fleet.due > 500, "{fleet:?}");

    // The rules.
    assert_eq!(fleet.lost, 0, "{fleet:?}");
    assert_eq!(fleet.started_twice, 0, "{fleet:?}");
    assert_eq!(fleet.answered_twice, 0, "{fleet:?}");
    assert_eq!(fleet.never_started, 0, "{fleet:?}");
    assert_eq!(fleet.ended_wrongly, 0, "{fleet:?}");
    assert_eq!(fleet.bad_messages, 0, "{fleet:?}");

    // The zone was lost, and its workers take tasks again.
    assert!(fleet.reset > 0, "{fleet:?}");
    assert!(fleet.starts_after_return > 0, "{fleet:?}");

    // The killed placer is ready again; the others were started once.
    let starts: Vec<usize> = result.placers.iter().map(|placer| placer.ready_ms.len()).collect();
    assert_eq!(starts, [1, 1, 2]);

    // A connection on which garbage came was closed by its placer.
    assert!(fleet.garbage_sent > 0, "{fleet:?}");
    assert_eq!(fleet.garbage_dropped, fleet.garbage_sent);

    assert_eq!(result.processes, 4);
    result.placers.iter().for_each(adds_up);
}

/// Control and service together are all that went through the sockets, and rows are within it.
fn adds_up(placer: &PlacerResult) {
    let traffic = &placer.all_traffic;
    let total = traffic.total();
    assert_eq!(total.to_placer.bytes, traffic.raw_to_placer, "{}", placer.name);
    assert_eq!(total.from_placer.bytes, traffic.raw_from_placer, "{}", placer.name);
    let (control, service) = (traffic.control.total(), traffic.service.total());
    assert!(control.to_placer.bytes > 0 && service.to_placer.bytes > 0, "{}", placer.name);
    assert!(traffic.control.test.from_placer.messages > 0 && traffic.control.feed.to_placer.messages > 0);
    assert_eq!(placer.seconds.iter().filter(|row| row.measured).count(), 14);
    let rows: u64 = placer.seconds.iter().map(|row| row.traffic.total().to_placer.bytes).sum();
    assert!(rows <= total.to_placer.bytes, "{}", placer.name);
    assert!(placer.totals.cpu_share > 0.0 && placer.totals.rss_peak_kb > 0, "{}", placer.name);
    assert!(placer.totals.feed.entries_per_s > 0.0);
}

#[test]
fn a_result_survives_the_way_through_json() {
    let settings = Settings {
        workers: 20,
        placers: 1,
        zones: 2,
        standing: 10,
        rate: 5.0,
        warm_up: std::time::Duration::ZERO,
        duration: std::time::Duration::from_secs(1),
        lateness_limit: std::time::Duration::from_secs(60),
        ..Settings::default()
    };
    let result = run_of(&settings);
    let json = serde_json::to_string(&result).expect("JSON");
    let read: RunResult = serde_json::from_str(&json).expect("a result");
    assert_eq!(read.fleet, result.fleet);
    assert_eq!(read.settings, settings);
    assert_eq!(read.placers.len(), 1);
}

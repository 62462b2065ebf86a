//! Tests how a sweep derives settings and reads results, without making a run.

use super::*;
use crate::results::{
    ClassTimes, FleetTotals, MemoryTotals, Percentiles, PlacerResult, PlacerTotals,
};
use crate::sweep::Metric;
use std::collections::BTreeSet;
use strum::IntoEnumIterator;

fn placer(cpu_share: f64, events_per_s: f64, ready_ms: Vec<f64>) -> PlacerResult {
    let mut totals = PlacerTotals {
        cpu_share,
        ..PlacerTotals::default()
    };
    totals.feed.events_per_s = events_per_s;
    let name = "p0".to_string();
    PlacerResult {
        name,
        ready_ms,
        totals,
        seconds: Vec::new(),
        all_traffic: Default::default(),
    }
}

fn result(placers: Vec<PlacerResult>, fleet: FleetTotals) -> RunResult {
    RunResult {
        settings: Settings::default(),
        usable: true,
        reason: None,
        duration_s: 1.0,
        processes: 1 + placers.len(),
        machine_busy: 0.0,
        memory: MemoryTotals::default(),
        fleet,
        placers,
    }
}

/// Returns the totals of a fleet in which tasks have started.
fn fleet() -> FleetTotals {
    let times = |count, p50_ms, p99_ms| Percentiles {
        count,
        p50_ms,
        p99_ms,
        ..Percentiles::default()
    };
    let urgent = ClassTimes {
        class: "urgent".to_string(),
        times: times(4, 1.0, 5.0),
    };
    FleetTotals {
        all_start_times: times(10, 2.0, 9.0),
        start_times: vec![urgent],
        ..FleetTotals::default()
    }
}

#[test]
fn point_replaces_one_setting_and_keeps_the_others() {
    let base = Settings::default();
    for axis in Axis::iter() {
        let at = settings_at(&base, axis, 120.0).expect("settings should be valid");
        let expected = match axis {
            Axis::Workers => Settings {
                workers: 120,
                ..base.clone()
            },
            Axis::RunningTasks => Settings {
                running_tasks: 120,
                ..base.clone()
            },
            Axis::Rate => Settings {
                rate: 120.0,
                ..base.clone()
            },
            Axis::Events => Settings {
                events: 120.0,
                ..base.clone()
            },
        };
        assert_eq!(at, expected, "{axis}");
    }
}

#[test]
fn fractional_value_is_rejected_on_an_axis_of_counts() {
    let base = Settings::default();
    for value in [20.5, -1.0, 1e12, f64::NAN, f64::INFINITY] {
        let error = settings_at(&base, Axis::Workers, value)
            .expect_err("no count")
            .to_string();
        assert_eq!(
            error,
            format!("setting workers: expected a whole number in its range, found {value}")
        );
    }
    assert_eq!(
        settings_at(&base, Axis::Rate, 20.5)
            .expect("settings should be valid")
            .rate,
        20.5
    );
}

#[test]
fn metrics_are_means_over_placers_and_start_times_of_the_fleet() {
    let placers = vec![
        placer(0.1, 10.0, vec![30.0, 900.0]),
        placer(0.3, 30.0, vec![50.0]),
    ];
    let values = metrics(&result(placers, fleet()));
    let value_of = |metric| *values.get(&metric).expect("metric is missing");
    let close =
        |metric, expected: f64| assert!((value_of(metric) - expected).abs() < 1e-9, "{metric}");
    close(Metric::CpuShare, 20.0);
    close(Metric::FeedEvents, 20.0);
    // Only the first start of each placer counts, because later starts follow an injected fault.
    close(Metric::ReadyMs, 40.0);
    close(Metric::StartP50Ms, 2.0);
    close(Metric::StartP99Ms, 9.0);
    close(Metric::UrgentP99Ms, 5.0);
    // The placers use 0.4 s of CPU time in each second, for 40 events per second.
    close(Metric::CpuPerEventMicros, 10_000.0);
    let missing: Vec<Metric> = Metric::iter()
        .filter(|metric| !values.contains_key(metric))
        .collect();
    assert_eq!(missing, [Metric::ControlCpu]);
}

#[test]
fn metric_without_a_value_is_missing_and_not_zero() {
    let values = metrics(&result(
        vec![placer(0.1, 0.0, Vec::new())],
        FleetTotals::default(),
    ));
    let missing: BTreeSet<Metric> = Metric::iter()
        .filter(|metric| !values.contains_key(metric))
        .collect();
    let expected = BTreeSet::from([
        Metric::ControlCpu,
        Metric::ReadyMs,
        Metric::StartP50Ms,
        Metric::StartP99Ms,
        Metric::UrgentP99Ms,
        Metric::CpuPerEventMicros,
    ]);
    assert_eq!(missing, expected);
}

#[test]
fn unusable_run_carries_its_reason() {
    let late = RunResult {
        usable: false,
        reason: Some("late".into()),
        ..result(Vec::new(), fleet())
    };

    let unusable = measured(&late)
        .expect("run should violate no rule")
        .unusable;

    assert_eq!(unusable.as_deref(), Some("late"));
}

#[test]
fn usable_run_has_no_reason() {
    let measured = measured(&result(Vec::new(), fleet())).expect("run should violate no rule");

    assert_eq!(measured.unusable, None);
}

#[test]
fn run_that_breaks_a_rule_is_an_error() {
    let lost = FleetTotals {
        lost: 1,
        started_twice: 2,
        ..fleet()
    };

    let error = measured(&result(Vec::new(), lost))
        .expect_err("run should violate a rule")
        .to_string();

    assert!(
        error.starts_with("a rule is broken: 1 lost, 2 started twice, 0 answered twice"),
        "{error}"
    );
}

#[test]
fn default_values_are_scaled_to_a_small_base() {
    let base = Settings::default();
    let standing = default_axis(&base, Axis::RunningTasks);
    // The values are scaled to at most six tenths of the capacity of 300 workers with 32 tasks each.
    assert_eq!(standing.values, [0.0, 480.0, 1_920.0, 3_840.0, 5_760.0]);
    let large = Settings {
        workers: 7_300,
        ..base
    };
    assert_eq!(
        default_axis(&large, Axis::RunningTasks).values,
        Axis::RunningTasks.default_values()
    );
}

#[test]
fn invalid_point_is_named_before_any_run() {
    let base = Settings {
        running_tasks: 9_000,
        ..Settings::default()
    };
    let axes = vec![AxisPlan {
        axis: Axis::Workers,
        values: vec![300.0, 400.0, 100.0, 500.0],
    }];
    let plan = SweepPlan {
        base: base_of(&base, "a base"),
        axes,
        repeats: 3,
    };
    let error = admit_all(&plan, &base)
        .expect_err("100 workers should be too few")
        .to_string();
    let expected = "workers 100: setting standing: expected at most the 3200 that 100 workers of 32 tasks hold";
    assert!(error.starts_with(expected), "{error}");
}

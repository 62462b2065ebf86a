use std::convert::Infallible;

use strum::IntoEnumIterator;

use super::{
    Axis, AxisPlan, Base, FitResult, Measured, Metric, MetricReport, PlanError, Progress, RunEvent,
    Runner, SweepError, SweepPlan, SweepReport, sweep,
};
use crate::fit::{Fit, MIN_SIZES, Shape};

/// Answers from a function, and notes what it was asked.
struct FakeRunner<F> {
    asked: Vec<(Axis, f64, u32)>,
    answer: F,
}

impl<F: FnMut(Axis, f64, u32) -> Measured> FakeRunner<F> {
    fn new(answer: F) -> FakeRunner<F> {
        FakeRunner {
            asked: Vec::new(),
            answer,
        }
    }
}

impl<F: FnMut(Axis, f64, u32) -> Measured> Runner for FakeRunner<F> {
    type Error = Infallible;

    fn run(&mut self, axis: Axis, value: f64, repeat: u32) -> Result<Measured, Infallible> {
        self.asked.push((axis, value, repeat));
        Ok((self.answer)(axis, value, repeat))
    }
}

fn usable(figures: &[(Metric, f64)]) -> Measured {
    Measured {
        metrics: figures.iter().copied().collect(),
        unusable: None,
    }
}

fn unusable(reason: &str) -> Measured {
    Measured {
        unusable: Some(reason.to_string()),
        ..usable(&[(Metric::CpuShare, 1e9)])
    }
}

fn cpu_of_size(_: Axis, value: f64, _: u32) -> Measured {
    usable(&[(Metric::CpuShare, value)])
}

fn base() -> Base {
    let description = "one placer".to_string();
    Base {
        description,
        workers: 400.0,
        running_tasks: 100.0,
        rate: 10.0,
        events: 1.0,
    }
}

fn plan(values: &[f64], repeats: u32) -> SweepPlan {
    let axes = vec![AxisPlan {
        axis: Axis::Workers,
        values: values.to_vec(),
    }];
    SweepPlan {
        base: base(),
        axes,
        repeats,
    }
}

fn swept(plan: &SweepPlan, answer: impl FnMut(Axis, f64, u32) -> Measured) -> SweepReport {
    sweep(plan, &mut FakeRunner::new(answer), &mut |_| ()).expect("a report")
}

fn refused(plan: &SweepPlan) -> PlanError {
    let mut runner = FakeRunner::new(cpu_of_size);
    let error = sweep(plan, &mut runner, &mut |_| ()).expect_err("a refusal");
    assert!(runner.asked.is_empty(), "runs were made");
    match error {
        SweepError::Plan(error) => error,
        SweepError::Run { source, .. } => match source {},
    }
}

fn fit(report: &MetricReport) -> &Fit {
    match &report.result {
        FitResult::Fitted(fit) => fit,
        FitResult::NotFitted { reason } => panic!("not fitted: {reason}"),
    }
}

#[test]
fn repeats_go_round_by_round_and_every_other_round_backward() {
    let mut runner = FakeRunner::new(cpu_of_size);
    sweep(&plan(&[1.0, 2.0, 3.0, 4.0], 3), &mut runner, &mut |_| ()).expect("a report");
    let order: Vec<(f64, u32)> = runner
        .asked
        .iter()
        .map(|(_, value, repeat)| (*value, *repeat))
        .collect();
    let rounds = [
        [1.0, 2.0, 3.0, 4.0],
        [4.0, 3.0, 2.0, 1.0],
        [1.0, 2.0, 3.0, 4.0],
    ];
    let expected: Vec<(f64, u32)> = (0..)
        .zip(rounds)
        .flat_map(|(repeat, values)| values.map(|value| (value, repeat)))
        .collect();
    assert_eq!(order, expected);
}

#[test]
fn drift_of_the_machine_does_not_look_like_a_slope() {
    let mut runs = 0.0;
    let drifting = |_, _, _| {
        runs += 1.0;
        usable(&[(Metric::CpuShare, 100.0 + runs)])
    };
    let report = swept(&plan(&[1000.0, 2000.0, 3000.0, 4000.0], 4), drifting);
    assert_eq!(fit(&report.axes[0].metrics[&Metric::CpuShare]).slope, 0.0);
}

#[test]
fn axes_are_swept_one_after_the_other() {
    let axis = |axis| AxisPlan {
        axis,
        values: vec![1.0, 2.0, 3.0, 4.0],
    };
    let plan = SweepPlan {
        base: base(),
        axes: vec![axis(Axis::Rate), axis(Axis::RunningTasks)],
        repeats: 3,
    };
    let mut runner = FakeRunner::new(cpu_of_size);
    let report = sweep(&plan, &mut runner, &mut |_| ()).expect("a report");
    assert!(
        runner.asked[..12]
            .iter()
            .all(|(axis, ..)| *axis == Axis::Rate)
    );
    assert!(
        runner.asked[12..]
            .iter()
            .all(|(axis, ..)| *axis == Axis::RunningTasks)
    );
    assert_eq!(runner.asked.len(), plan.runs());
    let axes: Vec<Axis> = report.axes.iter().map(|axis| axis.axis).collect();
    assert_eq!(axes, [Axis::Rate, Axis::RunningTasks]);
}

#[test]
fn plans_that_cannot_be_swept_are_refused_before_any_run() {
    let four = [1.0, 2.0, 3.0, 4.0];
    let axis = Axis::Workers;
    assert_eq!(
        refused(&plan(&four, 2)),
        PlanError::TooFewRepeats { found: 2 }
    );
    assert_eq!(
        refused(&plan(&four[..3], 3)),
        PlanError::TooFewValues { axis, found: 3 }
    );
    assert_eq!(
        refused(&plan(&[1.0, 2.0, 3.0, 3.0], 3)),
        PlanError::TooFewValues { axis, found: 3 }
    );
    let twice = [1.0, 2.0, 3.0, 4.0, 3.0];
    assert_eq!(
        refused(&plan(&twice, 3)),
        PlanError::ValueTwice { axis, value: 3.0 }
    );
    let negative = [-1.0, 2.0, 3.0, 4.0];
    assert_eq!(
        refused(&plan(&negative, 3)),
        PlanError::BadValue { axis, value: -1.0 }
    );
    let infinite = [1.0, 2.0, 3.0, f64::INFINITY];
    assert_eq!(
        refused(&plan(&infinite, 3)),
        PlanError::BadValue {
            axis,
            value: f64::INFINITY
        }
    );
    assert_eq!(
        refused(&SweepPlan {
            axes: vec![],
            ..plan(&four, 3)
        }),
        PlanError::NoAxis
    );
    let mut doubled = plan(&four, 3);
    doubled.axes.push(doubled.axes[0].clone());
    assert_eq!(refused(&doubled), PlanError::AxisTwice { axis });
}

#[test]
fn a_refusal_is_one_line() {
    let error = refused(&plan(&[1.0, 2.0, 3.0], 3));
    assert_eq!(
        error.to_string(),
        "workers: 3 distinct values, and a fit needs at least 4"
    );
}

#[test]
fn an_unusable_run_is_made_again_and_what_replaces_it_is_fitted() {
    let mut failed = false;
    let once = |axis, value, repeat| {
        let fails = value == 3.0 && repeat == 1 && !failed;
        failed |= fails;
        if fails {
            unusable("load was late")
        } else {
            cpu_of_size(axis, value, repeat)
        }
    };
    let report = swept(&plan(&[1.0, 2.0, 3.0, 4.0], 3), once);
    let axis = &report.axes[0];
    let cpu = &axis.metrics[&Metric::CpuShare];
    assert_eq!(cpu.points.len(), 12);
    assert_eq!(fit(cpu).slope, 1.0);
    assert_eq!(axis.unusable.len(), 1);
    let run = &axis.unusable[0];
    assert_eq!((run.value, run.repeat, run.replaced), (3.0, 1, true));
    assert_eq!(run.reasons, ["load was late"]);
}

#[test]
fn a_run_that_is_unusable_twice_is_left_out_and_named() {
    let mut attempts = 0;
    let never = |axis, value, repeat| {
        if value == 3.0 && repeat == 1 {
            attempts += 1;
            return unusable(&format!("attempt {attempts}"));
        }
        cpu_of_size(axis, value, repeat)
    };
    let report = swept(&plan(&[1.0, 2.0, 3.0, 4.0], 3), never);
    let axis = &report.axes[0];
    let cpu = &axis.metrics[&Metric::CpuShare];
    assert_eq!(attempts, 2);
    assert_eq!(cpu.points.len(), 11);
    assert!(
        cpu.points
            .iter()
            .all(|point| (point.value, point.repeat) != (3.0, 1))
    );
    assert_eq!(fit(cpu).largest_residual, 0.0);
    let run = &axis.unusable[0];
    assert_eq!((run.value, run.repeat, run.replaced), (3.0, 1, false));
    assert_eq!(run.reasons, ["attempt 1", "attempt 2"]);
    let text = report.to_string();
    assert!(
        text.contains("unusable at 3, repeat 2: attempt 1; attempt 2: left out"),
        "{text}"
    );
}

#[test]
fn a_figure_that_is_not_a_number_makes_its_run_unusable() {
    let odd = |axis, value, repeat| {
        if value == 2.0 && repeat == 0 {
            return usable(&[(Metric::CpuShare, 1.0), (Metric::ReadyMs, f64::NAN)]);
        }
        cpu_of_size(axis, value, repeat)
    };
    let report = swept(&plan(&[1.0, 2.0, 3.0, 4.0], 3), odd);
    assert_eq!(
        report.axes[0].unusable[0].reasons,
        ["ready-ms is NaN", "ready-ms is NaN"]
    );
    assert!(!report.axes[0].metrics.contains_key(&Metric::ReadyMs));
}

#[test]
fn a_value_without_usable_runs_leaves_too_few_to_fit_and_says_so() {
    let never = |axis, value, repeat| {
        if value == 4.0 {
            unusable("a placer died")
        } else {
            cpu_of_size(axis, value, repeat)
        }
    };
    let report = swept(&plan(&[1.0, 2.0, 3.0, 4.0], 3), never);
    let cpu = &report.axes[0].metrics[&Metric::CpuShare];
    let reason = "3 distinct sizes, and a fit needs at least 4".to_string();
    assert_eq!(cpu.result, FitResult::NotFitted { reason });
    assert_eq!(cpu.median(4.0), None);
    assert_eq!(report.axes[0].unusable.len(), 3);
}

#[test]
fn each_figure_is_fitted_by_itself() {
    let figures = |_, value: f64, _| {
        usable(&[
            (Metric::CpuShare, 0.5 * value + 3.0),
            (Metric::PeakRssKb, 30_000.0),
            (Metric::StartP99Ms, value * value),
        ])
    };
    let report = swept(&plan(&[100.0, 400.0, 1000.0, 2000.0], 3), figures);
    let metrics = &report.axes[0].metrics;
    let cpu = fit(&metrics[&Metric::CpuShare]);
    assert!((cpu.slope - 0.5).abs() < 1e-12 && (cpu.intercept - 3.0).abs() < 1e-9);
    assert_eq!(cpu.shape, Shape::Straight);
    assert_eq!(fit(&metrics[&Metric::PeakRssKb]).shape, Shape::Flat);
    assert_eq!(fit(&metrics[&Metric::StartP99Ms]).shape, Shape::Faster);
}

#[test]
fn a_figure_that_some_runs_lack_is_fitted_over_the_others() {
    let figures = |axis, value, repeat| {
        let mut measured = cpu_of_size(axis, value, repeat);
        if repeat > 0 {
            measured.metrics.insert(Metric::ControlCpu, 2.0 * value);
        }
        measured
    };
    let report = swept(&plan(&[1.0, 2.0, 3.0, 4.0], 3), figures);
    let metrics = &report.axes[0].metrics;
    assert_eq!(metrics[&Metric::ControlCpu].points.len(), 8);
    assert_eq!(metrics[&Metric::CpuShare].points.len(), 12);
    assert!(report.axes[0].unusable.is_empty());
}

#[test]
fn the_median_of_repeats_is_told() {
    let noisy = |_, value: f64, repeat: u32| {
        let figure = value * [1.0, 10.0, 2.0, 3.0][repeat as usize];
        usable(&[(Metric::ReadyMs, figure)])
    };
    let three = swept(&plan(&[1.0, 2.0, 3.0, 4.0], 3), noisy);
    assert_eq!(
        three.axes[0].metrics[&Metric::ReadyMs].median(1.0),
        Some(2.0)
    );
    let four = swept(&plan(&[1.0, 2.0, 3.0, 4.0], 4), noisy);
    assert_eq!(
        four.axes[0].metrics[&Metric::ReadyMs].median(1.0),
        Some(2.5)
    );
}

#[test]
fn json_gives_the_same_report_back() {
    let figures = |_, value: f64, repeat: u32| {
        if value == 3.0 && repeat == 2 {
            return unusable("load was late");
        }
        let noise = f64::from(repeat) * 0.1;
        let every = Metric::iter().zip(1_u8..);
        let figures: Vec<(Metric, f64)> = every
            .map(|(metric, factor)| (metric, (value + noise) / f64::from(factor)))
            .collect();
        usable(&figures)
    };
    let report = swept(&plan(&[1.0, 2.0, 3.0, 4.0, 5.5], 3), figures);
    let json = report.to_json().expect("JSON");
    assert_eq!(SweepReport::from_json(&json).expect("a report"), report);
    assert!(json.contains("\"start-p99-ms\""), "{json}");
}

#[test]
fn json_keeps_figures_that_were_not_fitted() {
    let mut report = swept(&plan(&[1.0, 2.0, 3.0, 4.0], 3), cpu_of_size);
    let cpu = report.axes[0]
        .metrics
        .get_mut(&Metric::CpuShare)
        .expect("a figure");
    cpu.result = FitResult::NotFitted {
        reason: "too few".to_string(),
    };
    let json = report.to_json().expect("JSON");
    assert_eq!(SweepReport::from_json(&json).expect("a report"), report);
}

#[test]
fn progress_is_told() {
    let mut failed = false;
    let once = |axis, value, repeat| {
        let fails = !failed;
        failed = true;
        if fails {
            unusable("late")
        } else {
            cpu_of_size(axis, value, repeat)
        }
    };
    let mut told: Vec<Progress> = Vec::new();
    let plan = plan(&[1.0, 2.0, 3.0, 4.0], 3);
    sweep(&plan, &mut FakeRunner::new(once), &mut |progress| {
        told.push(progress.clone())
    })
    .expect("a report");
    let reason = "late".to_string();
    let first: Vec<&RunEvent> = told[..4].iter().map(|progress| &progress.event).collect();
    assert_eq!(
        first,
        [
            &RunEvent::Started,
            &RunEvent::Retried { reason },
            &RunEvent::Measured,
            &RunEvent::Started
        ]
    );
    assert_eq!(told.len(), 25);
    assert!(told.iter().all(|progress| progress.total == 12));
    let done: Vec<usize> = told[..4].iter().map(|progress| progress.done).collect();
    assert_eq!(done, [0, 0, 0, 1]);
}

/// A runner that cannot make its third run.
struct Breaking(u32);

impl Runner for Breaking {
    type Error = String;

    fn run(&mut self, axis: Axis, value: f64, repeat: u32) -> Result<Measured, String> {
        self.0 += 1;
        if self.0 == 3 {
            Err("no placer".to_string())
        } else {
            Ok(cpu_of_size(axis, value, repeat))
        }
    }
}

#[test]
fn a_run_that_cannot_be_made_ends_the_sweep_and_is_named() {
    let error = sweep(
        &plan(&[1.0, 2.0, 3.0, 4.0], 3),
        &mut Breaking(0),
        &mut |_| (),
    )
    .expect_err("an error");
    assert_eq!(error.to_string(), "workers 3, repeat 1: no placer");
    let SweepError::Run { before, .. } = error else {
        panic!("no run: {error}")
    };
    assert!(before.partial);
    let measured = before.axes[0].metrics[&Metric::CpuShare]
        .points
        .iter()
        .map(|point| point.value);
    assert_eq!(measured.collect::<Vec<f64>>(), [1.0, 2.0]);
    assert!(!before.axes[0].is_fitted());
    assert!(
        before.to_string().contains("\npartial: a run has failed"),
        "{before}"
    );
}

#[test]
fn the_table_has_a_row_for_each_figure() {
    let figures =
        |_, value: f64, _| usable(&[(Metric::CpuShare, value), (Metric::ReadyMs, 12_345.6)]);
    let text = swept(&plan(&[1.0, 2.0, 3.0, 4.0], 3), figures).to_string();
    let row = |name: &str| {
        let line = text
            .lines()
            .find(|line| line.trim_start().starts_with(name));
        line.unwrap_or_else(|| panic!("no {name} in:\n{text}"))
            .split_whitespace()
            .collect::<Vec<_>>()
            .join(" ")
    };
    assert_eq!(
        row("cpu-share"),
        "cpu-share % of a core 1.000 2.000 3.000 4.000 1.000 0 0.0 % 1.00 straight"
    );
    assert!(
        row("ready-ms").starts_with("ready-ms ms 12346 12346 12346 12346 0 12346"),
        "{text}"
    );
    assert!(row("ready-ms").ends_with("- flat"), "{text}");
    assert!(text.starts_with(
        "base: one placer (400 workers, 100 standing, 10 starts/s, 1 list events/s), 3 repeats"
    ));
}

#[test]
fn default_values_can_be_swept() {
    for axis in Axis::iter() {
        let values = axis.default_values();
        assert!(values.len() >= MIN_SIZES);
        assert_eq!(plan(values, 3).check(), Ok(()), "{axis}");
    }
}

#[test]
fn names_are_read_as_they_are_shown() {
    for axis in Axis::iter() {
        assert_eq!(axis.to_string().parse(), Ok(axis));
    }
    for metric in Metric::iter() {
        assert_eq!(metric.to_string().parse(), Ok(metric));
        let quoted = serde_json::to_string(&metric).expect("JSON");
        assert_eq!(quoted, format!("\"{metric}\""));
    }
}

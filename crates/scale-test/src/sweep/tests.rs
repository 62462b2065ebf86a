//! Fixtures of the sweep tests: a runner whose measurements come from a function, and small plans.

mod failures;
mod order;
mod plan;
mod report;

use std::convert::Infallible;

use strum::IntoEnumIterator;

use super::{
    Axis, AxisPlan, Base, FitResult, Measured, Metric, MetricReport, PlanError, Progress, RunEvent,
    Runner, SweepError, SweepPlan, SweepReport, sweep,
};
use crate::fit::{Fit, MIN_SIZES, Shape};

/// A runner that takes the measurements of each run from a function, and records the runs that were requested.
struct FakeRunner<F> {
    runs: Vec<(Axis, f64, u32)>,
    answer: F,
}

impl<F: FnMut(Axis, f64, u32) -> Measured> FakeRunner<F> {
    fn new(answer: F) -> FakeRunner<F> {
        FakeRunner {
            runs: Vec::new(),
            answer,
        }
    }
}

impl<F: FnMut(Axis, f64, u32) -> Measured> Runner for FakeRunner<F> {
    type Error = Infallible;

    fn run(&mut self, axis: Axis, value: f64, repeat: u32) -> Result<Measured, Infallible> {
        self.runs.push((axis, value, repeat));
        Ok((self.answer)(axis, value, repeat))
    }
}

fn usable(metrics: &[(Metric, f64)]) -> Measured {
    Measured {
        metrics: metrics.iter().copied().collect(),
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

fn report_of(plan: &SweepPlan, answer: impl FnMut(Axis, f64, u32) -> Measured) -> SweepReport {
    sweep(plan, &mut FakeRunner::new(answer), &mut |_| ()).expect("sweep failed")
}

fn plan_error(plan: &SweepPlan) -> PlanError {
    let mut runner = FakeRunner::new(cpu_of_size);
    let error = sweep(plan, &mut runner, &mut |_| ()).expect_err("plan should be rejected");
    assert!(
        runner.runs.is_empty(),
        "runs were made with an invalid plan"
    );
    match error {
        SweepError::Plan(error) => error,
        SweepError::Run { source, .. } => match source {},
    }
}

fn fit(report: &MetricReport) -> &Fit {
    match &report.result {
        FitResult::Fitted(fit) => fit,
        FitResult::NotFitted { reason } => panic!("metric was not fitted: {reason}"),
    }
}

//! Tests unusable runs, runs that cannot be made, and the progress reports of a sweep.

use super::*;

#[test]
fn unusable_run_is_retried_and_its_replacement_is_fitted() {
    let mut failed = false;
    let unusable_once = |axis, value, repeat| {
        let fails = value == 3.0 && repeat == 1 && !failed;
        failed |= fails;
        if fails {
            unusable("load was late")
        } else {
            cpu_of_size(axis, value, repeat)
        }
    };
    let report = report_of(&plan(&[1.0, 2.0, 3.0, 4.0], 3), unusable_once);
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
fn run_that_is_unusable_twice_is_left_out_and_reported() {
    let mut attempts = 0;
    let unusable_twice = |axis, value, repeat| {
        if value == 3.0 && repeat == 1 {
            attempts += 1;
            return unusable(&format!("attempt {attempts}"));
        }
        cpu_of_size(axis, value, repeat)
    };
    let report = report_of(&plan(&[1.0, 2.0, 3.0, 4.0], 3), unusable_twice);
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
fn metric_that_is_not_a_number_makes_its_run_unusable() {
    let nan_once = |axis, value, repeat| {
        if value == 2.0 && repeat == 0 {
            return usable(&[(Metric::CpuShare, 1.0), (Metric::ReadyMs, f64::NAN)]);
        }
        cpu_of_size(axis, value, repeat)
    };
    let report = report_of(&plan(&[1.0, 2.0, 3.0, 4.0], 3), nan_once);
    assert_eq!(
        report.axes[0].unusable[0].reasons,
        ["ready-ms is NaN", "ready-ms is NaN"]
    );
    assert!(!report.axes[0].metrics.contains_key(&Metric::ReadyMs));
}

#[test]
fn value_without_usable_runs_leaves_too_few_sizes_to_fit() {
    let unusable_at_4 = |axis, value, repeat| {
        if value == 4.0 {
            unusable("a placer died")
        } else {
            cpu_of_size(axis, value, repeat)
        }
    };
    let report = report_of(&plan(&[1.0, 2.0, 3.0, 4.0], 3), unusable_at_4);
    let cpu = &report.axes[0].metrics[&Metric::CpuShare];
    let reason = "3 distinct sizes, but a fit needs at least 4".to_string();
    assert_eq!(cpu.result, FitResult::NotFitted { reason });
    assert_eq!(cpu.median(4.0), None);
    assert_eq!(report.axes[0].unusable.len(), 3);
}

#[test]
fn progress_is_reported_for_each_attempt() {
    let mut failed = false;
    let unusable_once = |axis, value, repeat| {
        let fails = !failed;
        failed = true;
        if fails {
            unusable("late")
        } else {
            cpu_of_size(axis, value, repeat)
        }
    };
    let mut reported: Vec<Progress> = Vec::new();
    let plan = plan(&[1.0, 2.0, 3.0, 4.0], 3);
    sweep(
        &plan,
        &mut FakeRunner::new(unusable_once),
        &mut |progress| reported.push(progress.clone()),
    )
    .expect("sweep failed");
    let reason = "late".to_string();
    let first: Vec<&RunEvent> = reported[..4]
        .iter()
        .map(|progress| &progress.event)
        .collect();
    assert_eq!(
        first,
        [
            &RunEvent::Started,
            &RunEvent::Retried { reason },
            &RunEvent::Measured,
            &RunEvent::Started
        ]
    );
    assert_eq!(reported.len(), 25);
    assert!(reported.iter().all(|progress| progress.total == 12));
    let done: Vec<usize> = reported[..4].iter().map(|progress| progress.done).collect();
    assert_eq!(done, [0, 0, 0, 1]);
}

/// A runner that fails at its third run.
struct FailingRunner(u32);

impl Runner for FailingRunner {
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
fn run_that_cannot_be_made_ends_the_sweep_and_keeps_what_was_measured() {
    let error = sweep(
        &plan(&[1.0, 2.0, 3.0, 4.0], 3),
        &mut FailingRunner(0),
        &mut |_| (),
    )
    .expect_err("sweep should fail at the third run");
    assert_eq!(error.to_string(), "workers 3, repeat 1: no placer");
    let SweepError::Run { before, .. } = error else {
        panic!("unexpected error: {error}")
    };
    assert!(before.partial);
    let measured = before.axes[0].metrics[&Metric::CpuShare]
        .points
        .iter()
        .map(|point| point.value);
    assert_eq!(measured.collect::<Vec<f64>>(), [1.0, 2.0]);
    assert!(!before.axes[0].is_fitted());
    assert!(
        before.to_string().contains("\npartial: a run failed"),
        "{before}"
    );
}

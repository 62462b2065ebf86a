//! Tests the order of the runs.

use super::*;

#[test]
fn values_are_run_in_rounds_and_every_other_round_is_reversed() {
    let mut runner = FakeRunner::new(cpu_of_size);
    sweep(&plan(&[1.0, 2.0, 3.0, 4.0], 3), &mut runner, &mut |_| ()).expect("sweep failed");
    let order: Vec<(f64, u32)> = runner
        .runs
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
fn drift_of_the_machine_gives_no_slope() {
    let mut runs = 0.0;
    let drifting = |_, _, _| {
        runs += 1.0;
        usable(&[(Metric::CpuShare, 100.0 + runs)])
    };
    let report = report_of(&plan(&[1000.0, 2000.0, 3000.0, 4000.0], 4), drifting);
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
    let report = sweep(&plan, &mut runner, &mut |_| ()).expect("sweep failed");
    assert!(
        runner.runs[..12]
            .iter()
            .all(|(axis, ..)| *axis == Axis::Rate)
    );
    assert!(
        runner.runs[12..]
            .iter()
            .all(|(axis, ..)| *axis == Axis::RunningTasks)
    );
    assert_eq!(runner.runs.len(), plan.run_count());
    let axes: Vec<Axis> = report.axes.iter().map(|axis| axis.axis).collect();
    assert_eq!(axes, [Axis::Rate, Axis::RunningTasks]);
}

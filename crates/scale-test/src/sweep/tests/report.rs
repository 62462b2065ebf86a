//! Tests the report: fits, medians, JSON and the table.

use super::*;

#[test]
fn each_metric_is_fitted_by_itself() {
    let metrics = |_, value: f64, _| {
        usable(&[
            (Metric::CpuShare, 0.5 * value + 3.0),
            (Metric::PeakRssKb, 30_000.0),
            (Metric::StartP99Ms, value * value),
        ])
    };
    let report = report_of(&plan(&[100.0, 400.0, 1000.0, 2000.0], 3), metrics);
    let metrics = &report.axes[0].metrics;
    let cpu = fit(&metrics[&Metric::CpuShare]);
    assert!((cpu.slope - 0.5).abs() < 1e-12 && (cpu.intercept - 3.0).abs() < 1e-9);
    assert_eq!(cpu.shape, Shape::Straight);
    assert_eq!(fit(&metrics[&Metric::PeakRssKb]).shape, Shape::Flat);
    assert_eq!(fit(&metrics[&Metric::StartP99Ms]).shape, Shape::Faster);
}

#[test]
fn metric_that_some_runs_lack_is_fitted_over_the_others() {
    let metrics = |axis, value, repeat| {
        let mut measured = cpu_of_size(axis, value, repeat);
        if repeat > 0 {
            measured.metrics.insert(Metric::ControlCpu, 2.0 * value);
        }
        measured
    };
    let report = report_of(&plan(&[1.0, 2.0, 3.0, 4.0], 3), metrics);
    let metrics = &report.axes[0].metrics;
    assert_eq!(metrics[&Metric::ControlCpu].points.len(), 8);
    assert_eq!(metrics[&Metric::CpuShare].points.len(), 12);
    assert!(report.axes[0].unusable.is_empty());
}

#[test]
fn median_of_the_repeats_is_reported() {
    let noisy = |_, value: f64, repeat: u32| {
        let ready_ms = value * [1.0, 10.0, 2.0, 3.0][repeat as usize];
        usable(&[(Metric::ReadyMs, ready_ms)])
    };
    let three = report_of(&plan(&[1.0, 2.0, 3.0, 4.0], 3), noisy);
    assert_eq!(
        three.axes[0].metrics[&Metric::ReadyMs].median(1.0),
        Some(2.0)
    );
    let four = report_of(&plan(&[1.0, 2.0, 3.0, 4.0], 4), noisy);
    assert_eq!(
        four.axes[0].metrics[&Metric::ReadyMs].median(1.0),
        Some(2.5)
    );
}

#[test]
fn report_survives_json() {
    let metrics = |_, value: f64, repeat: u32| {
        if value == 3.0 && repeat == 2 {
            return unusable("load was late");
        }
        let noise = f64::from(repeat) * 0.1;
        let every = Metric::iter().zip(1_u8..);
        let metrics: Vec<(Metric, f64)> = every
            .map(|(metric, factor)| (metric, (value + noise) / f64::from(factor)))
            .collect();
        usable(&metrics)
    };
    let report = report_of(&plan(&[1.0, 2.0, 3.0, 4.0, 5.5], 3), metrics);
    let json = report.to_json().expect("report should serialize");
    assert_eq!(
        SweepReport::from_json(&json).expect("report should parse"),
        report
    );
    assert!(json.contains("\"start-p99-ms\""), "{json}");
}

#[test]
fn report_with_an_unfitted_metric_survives_json() {
    let mut report = report_of(&plan(&[1.0, 2.0, 3.0, 4.0], 3), cpu_of_size);
    let cpu = report.axes[0]
        .metrics
        .get_mut(&Metric::CpuShare)
        .expect("metric is missing");
    cpu.result = FitResult::NotFitted {
        reason: "too few".to_string(),
    };
    let json = report.to_json().expect("report should serialize");
    assert_eq!(
        SweepReport::from_json(&json).expect("report should parse"),
        report
    );
}

#[test]
fn table_has_a_row_for_each_metric() {
    let metrics =
        |_, value: f64, _| usable(&[(Metric::CpuShare, value), (Metric::ReadyMs, 12_345.6)]);
    let text = report_of(&plan(&[1.0, 2.0, 3.0, 4.0], 3), metrics).to_string();
    let row = |name: &str| {
        let line = text
            .lines()
            .find(|line| line.trim_start().starts_with(name));
        line.unwrap_or_else(|| panic!("no row {name} in:\n{text}"))
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

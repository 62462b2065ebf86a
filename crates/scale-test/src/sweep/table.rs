//! Formats the report of a sweep as text tables.

use std::fmt;

use comfy_table::{CellAlignment, Table, presets};

use super::{AxisReport, FitResult, Metric, MetricReport, SweepReport, UnusableRun};
use crate::fit::Fit;

/// The content of a cell without a value.
const MISSING: &str = "-";

/// The number of significant digits of a displayed value.
const SIGNIFICANT_DIGITS: i32 = 4;

/// The number of columns before the value columns: one for the metric and one for its unit.
const LABEL_COLUMNS: usize = 2;

impl fmt::Display for SweepReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let base = &self.base;
        writeln!(
            f,
            "base: {} ({} workers, {} standing, {} starts/s, {} list events/s), {} repeats",
            base.description,
            base.workers,
            base.running_tasks,
            base.rate,
            base.events,
            self.repeats
        )?;
        if self.partial {
            writeln!(f, "partial: a run failed and ended the sweep")?;
        }
        for axis in &self.axes {
            writeln!(f, "\n{axis}")?;
        }
        Ok(())
    }
}

impl fmt::Display for AxisReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: medians over {}, then the line through all repeats",
            self.axis,
            self.axis.unit()
        )?;
        write!(f, "{}", table(self).trim_fmt())?;
        for run in &self.unusable {
            write!(f, "\n{run}")?;
        }
        Ok(())
    }
}

impl fmt::Display for UnusableRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcome = if self.replaced {
            "retried successfully"
        } else {
            "left out"
        };
        let repeat = self.repeat + 1;
        write!(
            f,
            "unusable at {}, repeat {repeat}: {}: {outcome}",
            self.value,
            self.reasons.join("; ")
        )
    }
}

/// Returns the table of an axis, with one row for each metric.
fn table(axis: &AxisReport) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(header(axis));
    for (metric, report) in &axis.metrics {
        table.add_row(row(*metric, report, &axis.values));
    }
    for column in table.column_iter_mut().skip(LABEL_COLUMNS) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

fn header(axis: &AxisReport) -> Vec<String> {
    let labels = ["figure", "unit"].map(String::from);
    let values = axis.values.iter().map(f64::to_string);
    let fit_columns = ["slope", "intercept", "off at most", "exponent", "shape"].map(String::from);
    labels
        .into_iter()
        .chain(values)
        .chain(fit_columns)
        .collect()
}

fn row(metric: Metric, report: &MetricReport, values: &[f64]) -> Vec<String> {
    let labels = [metric.to_string(), metric.unit().to_string()];
    let medians = values
        .iter()
        .map(|value| report.median(*value).map_or(MISSING.to_string(), number));
    let fit_cells = match &report.result {
        FitResult::Fitted(fit) => fit_row(fit),
        FitResult::NotFitted { reason } => {
            [MISSING, MISSING, MISSING, MISSING, reason].map(String::from)
        }
    };
    labels.into_iter().chain(medians).chain(fit_cells).collect()
}

fn fit_row(fit: &Fit) -> [String; 5] {
    let largest_distance = fit
        .largest_residual_part
        .map_or(number(fit.largest_residual), percent);
    let exponent = fit.exponents.map_or(MISSING.to_string(), |exponents| {
        format!("{:.2}", exponents.best)
    });
    [
        number(fit.slope),
        number(fit.intercept),
        largest_distance,
        exponent,
        fit.shape.to_string(),
    ]
}

fn percent(fraction: f64) -> String {
    format!("{:.1} %", fraction * 100.0)
}

/// Formats a value with [`SIGNIFICANT_DIGITS`], but with all digits before the decimal point if there are more.
fn number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_string();
    }
    let whole_digits = value.abs().log10().floor() as i32 + 1;
    let decimals = usize::try_from(SIGNIFICANT_DIGITS - whole_digits).unwrap_or(0);
    format!("{value:.decimals$}")
}

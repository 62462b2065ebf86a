//! Draws load profiles as a plot and as text.

use super::plot::{Line, Plot, PlotError, Scale};
use crate::load_profile::{LoadProfile, Micros};
use plotters::prelude::BLUE;
use std::fmt::Write;

const SECOND: f64 = 1e6;
/// Number of intervals between the points of the plot.
const POINTS: Micros = 600;
/// Height of the bar chart, in characters.
const ROWS: usize = 8;
/// Width of the bar chart, in characters.
const COLUMNS: Micros = 72;
/// Number of samples of the rate within a column. A column shows the highest of them, so that a short burst is visible.
const SAMPLES_PER_COLUMN: Micros = 8;
/// Width of the label to the left of the bars, in characters.
const LABEL_WIDTH: usize = 10;

/// Draws a load profile as SVG.
///
/// # Errors
///
/// The drawing library fails.
pub fn profile_svg(profile: &LoadProfile) -> Result<String, PlotError> {
    let length = profile.length().max(1);
    let points = (0..=POINTS).map(|n| {
        let at = length * n / POINTS;
        (at as f64 / SECOND, profile.rate(at.min(length - 1)))
    });
    Plot {
        title: "arrivals",
        x_label: "seconds",
        y_label: "per second",
        scale: Scale::Linear,
        lines: vec![Line::new("rate", BLUE, points.collect())],
        shaded: &[],
    }
    .svg()
}

/// Draws a load profile for a terminal: a bar chart of the rate over time, and a list of the phases.
pub fn profile_text(profile: &LoadProfile) -> String {
    let max_rate = profile.max_rate().max(1e-9);
    let mut text = String::new();
    for row in (0..ROWS).rev() {
        let label = if row == ROWS - 1 {
            format!("{max_rate:>7.1}/s ")
        } else {
            " ".repeat(LABEL_WIDTH)
        };
        text.push_str(&label);
        for column in 0..COLUMNS {
            let filled = column_rate(profile, column) / max_rate * ROWS as f64 - row as f64;
            text.push(bar_cell(filled));
        }
        text.push('\n');
    }
    let _ = writeln!(
        text,
        "{}0{:>width$.0} s",
        " ".repeat(LABEL_WIDTH),
        profile.length().max(1) as f64 / SECOND,
        width = COLUMNS as usize - 3
    );
    for phase in &profile.phases {
        let end = phase.start + phase.length;
        let expected = profile.expected(end) - profile.expected(phase.start);
        let _ = writeln!(
            text,
            "{:>10.1} s  {:<20} {:>9.1} s  about {:.0} tasks",
            phase.start as f64 / SECOND,
            phase.name,
            phase.length as f64 / SECOND,
            expected
        );
    }
    text
}

/// Returns the highest sampled rate within a column.
fn column_rate(profile: &LoadProfile, column: Micros) -> f64 {
    let length = profile.length().max(1);
    let samples = COLUMNS * SAMPLES_PER_COLUMN;
    (0..SAMPLES_PER_COLUMN)
        .map(|sample| {
            let at = length * (column * SAMPLES_PER_COLUMN + sample) / samples;
            profile.rate(at.min(length - 1))
        })
        .fold(0.0, f64::max)
}

fn bar_cell(filled: f64) -> char {
    if filled >= 0.75 {
        '█'
    } else if filled >= 0.25 {
        '▄'
    } else {
        ' '
    }
}

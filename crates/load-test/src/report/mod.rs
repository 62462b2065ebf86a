//! Writes the report of a run: one self-contained HTML page with its plots as inline SVG, so that it can be sent as a
//! single file.

mod plot;
mod profile;
#[cfg(test)]
mod tests;

use crate::load_profile::Micros;
use crate::outcome::Outcome;
use crate::overload_impact::ImpactSecond;
use crate::results::{SecondSummary, Summary, findings_text, summary_text};
pub use plot::{Line, Plot, PlotError, Scale};
use plotters::prelude::{BLUE, GREEN, MAGENTA, RED, RGBColor};
pub use profile::{profile_svg, profile_text};
use std::fmt::Write;

const SECOND: f64 = 1e6;
/// Line colour of tasks that started within their objective.
const LIGHT_GREEN: RGBColor = RGBColor(120, 180, 60);
/// Maximum number of findings of each rule on the page.
const MAX_FINDINGS_PER_RULE: usize = 5;
/// Minimum width of the shaded span of a fault, in seconds, so that a fault without a duration is visible.
const MIN_SHADED_SECONDS: f64 = 0.2;

/// Why a report could not be written.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A plot could not be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// The plan could not be written.
    #[error(transparent)]
    Plan(#[from] toml::ser::Error),
}

type Points = Vec<(f64, f64)>;

/// Returns the HTML page of a run.
///
/// # Errors
///
/// A plot could not be drawn, or the plan could not be written.
pub fn html(outcome: &Outcome, summary: &Summary) -> Result<String, ReportError> {
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title><style>body{{font:15px sans-serif;max-width:920px;\
         margin:2em auto;color:#222}}pre{{background:#f4f4f4;padding:1em;overflow-x:auto}}svg{{display:block;margin:1em 0}}</style>\
         <h1>{name}</h1><pre>{text}</pre>",
        name = escape(&outcome.plan.name),
        text = escape(&summary_text(summary, outcome)),
    );
    let faults = fault_spans(outcome);
    for plot in plots(outcome, summary, &faults) {
        page.push_str(&plot.svg()?);
    }
    page.push_str(&faults_html(outcome));
    if !outcome.findings.is_empty() {
        let _ = write!(
            page,
            "<h2>Broken rules</h2><pre>{}</pre>",
            escape(&findings_text(outcome, MAX_FINDINGS_PER_RULE))
        );
    }
    let plan = toml::to_string(&outcome.plan)?;
    let _ = write!(page, "<h2>The plan</h2><pre>{}</pre></html>", escape(&plan));
    Ok(page)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// Returns the start and end of each fault, in seconds from the start of the plan.
fn fault_spans(outcome: &Outcome) -> Points {
    let span = |start: f64, end: f64| (start, end.max(start + MIN_SHADED_SECONDS));
    let faults = outcome.plan.faults.iter();
    faults
        .map(|fault| {
            span(
                fault.start.as_secs_f64(),
                (fault.start + fault.duration).as_secs_f64(),
            )
        })
        .collect()
}

fn faults_html(outcome: &Outcome) -> String {
    if outcome.plan.faults.is_empty() {
        return String::new();
    }
    let mut html = String::from("<h2>Faults (grey in the plots)</h2><pre>");
    for fault in &outcome.plan.faults {
        let _ = writeln!(
            html,
            "{:>8.1} s  {:>6.1} s  {:?} {:?}",
            fault.start.as_secs_f64(),
            fault.duration.as_secs_f64(),
            fault.kind,
            fault.targets()
        );
    }
    html.push_str("</pre>");
    html
}

/// Returns the plots of a run. The latency plots are left out if the generator was late.
fn plots<'a>(outcome: &Outcome, summary: &Summary, faults: &'a [(f64, f64)]) -> Vec<Plot<'a>> {
    let mut plots = vec![load_plot(summary, faults)];
    if summary.generator_in_time {
        plots.push(latency_plot(summary, faults));
        plots.push(spectrum_plot(outcome, summary));
    }
    if !outcome.load_samples.is_empty() {
        plots.push(host_load_plot(outcome, faults));
    }
    if !outcome.impact.seconds.is_empty() {
        plots.push(impact_plot(outcome, faults));
    }
    plots
}

/// Returns one point for each second: its number and the value of a metric in it.
fn by_second<T>(seconds: &[T], metric: impl Fn(&T) -> f64) -> Points {
    seconds
        .iter()
        .enumerate()
        .map(|(n, second)| (n as f64, metric(second)))
        .collect()
}

fn load_plot<'a>(summary: &Summary, faults: &'a [(f64, f64)]) -> Plot<'a> {
    let count = |metric: fn(&SecondSummary) -> u32| {
        by_second(&summary.seconds, |second| f64::from(metric(second)))
    };
    Plot {
        title: "tasks due and started, by due time",
        x_label: "seconds",
        y_label: "tasks per second",
        scale: Scale::Linear,
        lines: vec![
            Line::new("due", BLUE, count(|second| second.due)),
            Line::new("started", GREEN, count(|second| second.started)),
            Line::new(
                "in aim",
                LIGHT_GREEN,
                count(|second| second.within_objective),
            ),
            Line::new("repeats", RED, count(|second| second.retries)),
        ],
        shaded: faults,
    }
}

fn latency_plot<'a>(summary: &Summary, faults: &'a [(f64, f64)]) -> Plot<'a> {
    Plot {
        title: "latency from due to start",
        x_label: "seconds",
        y_label: "ms",
        scale: Scale::Logarithmic,
        lines: vec![
            Line::new(
                "p50",
                BLUE,
                by_second(&summary.seconds, |second| second.p50_ms),
            ),
            Line::new(
                "p99",
                RED,
                by_second(&summary.seconds, |second| second.p99_ms),
            ),
        ],
        shaded: faults,
    }
}

/// Returns a plot of the latency percentiles of each class. The horizontal axis is the number of nines in the percentile.
fn spectrum_plot(outcome: &Outcome, summary: &Summary) -> Plot<'static> {
    let colours = [BLUE, RED, GREEN, MAGENTA].into_iter().cycle();
    let classes = outcome.plan.classes.iter().zip(colours);
    let lines = classes.map(|(class, colour)| {
        let name = format!("class {}", class.name);
        let group = summary.group(&name);
        let points = (0..=40).filter_map(|tenth| {
            let nines = f64::from(tenth) / 10.0;
            let latency = group?.percentile(1.0 - 10f64.powf(-nines))?;
            Some((nines, latency.as_secs_f64() * 1e3))
        });
        let points = points.collect();
        Line::new(name, colour, points)
    });
    Plot {
        title: "percentile spectrum (1: 90 %, 2: 99 %, 3: 99.9 %)",
        x_label: "nines",
        y_label: "ms",
        scale: Scale::Logarithmic,
        lines: lines.collect(),
        shaded: &[],
    }
}

fn host_load_plot<'a>(outcome: &Outcome, faults: &'a [(f64, f64)]) -> Plot<'a> {
    let seconds = |at: Micros| (at - outcome.start) as f64 / SECOND;
    let percent = |metric: fn(&[f64]) -> f64| -> Points {
        let samples = outcome.load_samples.iter();
        samples
            .filter(|sample| sample.at >= outcome.start)
            .map(|sample| {
                let load: Vec<f64> = sample.load.iter().flatten().copied().collect();
                (seconds(sample.at), 100.0 * metric(&load))
            })
            .collect()
    };
    let highest = percent(|load| load.iter().copied().fold(0.0, f64::max));
    let mean = percent(|load| load.iter().sum::<f64>() / load.len().max(1) as f64);
    let lowest = percent(|load| load.iter().copied().fold(1.0, f64::min));
    Plot {
        title: "requested share of host cores",
        x_label: "seconds",
        y_label: "%",
        scale: Scale::Linear,
        lines: vec![
            Line::new("highest", RED, highest),
            Line::new("mean", BLUE, mean),
            Line::new("lowest", GREEN, lowest),
        ],
        shaded: faults,
    }
}

fn impact_plot<'a>(outcome: &Outcome, faults: &'a [(f64, f64)]) -> Plot<'a> {
    let count = |metric: fn(&ImpactSecond) -> u32| {
        by_second(&outcome.impact.seconds, |second| f64::from(metric(second)))
    };
    Plot {
        title: "load that all placers together put on the hosts",
        x_label: "seconds",
        y_label: "per second",
        scale: Scale::Linear,
        lines: vec![
            Line::new("offers", BLUE, count(|second| second.offers)),
            Line::new("refused", RED, count(|second| second.rejected_offers)),
            Line::new("in vain", MAGENTA, count(|second| second.abandoned_offers)),
            Line::new("returns of clients", GREEN, count(|second| second.retries)),
        ],
        shaded: faults,
    }
}

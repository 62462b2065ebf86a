//! A run as one page: HTML with the plots as SVG inside, so that it can be sent as it is.

use crate::results::{Summary, findings};
use crate::run::Outcome;
use crate::shape::{Micros, Shape};
use plotters::prelude::*;
use std::fmt::Write;

type Plot<T = ()> = Result<T, Box<dyn std::error::Error>>;

const SIZE: (u32, u32) = (900, 280);
const SECOND: f64 = 1e6;
/// A line of a plot: its name, its colour, its points.
pub type Line<'a> = (&'a str, RGBColor, Vec<(f64, f64)>);

/// Lines over an axis of seconds or whatever `across` names, with spans drawn in grey.
pub fn lines(
    title: &str,
    across: &str,
    up: &str,
    lines: &[Line<'_>],
    spans: &[(f64, f64)],
    log_y: bool,
) -> Plot<String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let points = || {
            lines.iter().flat_map(|(_, _, points)| {
                points
                    .iter()
                    .filter(|(x, y)| x.is_finite() && y.is_finite())
            })
        };
        let ends = |of: fn(&(f64, f64)) -> f64| {
            points()
                .map(of)
                .fold((f64::MAX, f64::MIN), |(a, b), v| (a.min(v), b.max(v)))
        };
        let ((left, right), (_, top)) = (ends(|p| p.0), ends(|p| p.1));
        let (left, right) = if left < right {
            (left, right)
        } else {
            (0.0, 1.0)
        };
        let top = if top > 0.0 { top * 1.05 } else { 1.0 };
        let mut builder = ChartBuilder::on(&root);
        builder
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(56);
        macro_rules! draw {
            ($chart:expr, $bottom:expr) => {{
                let mut chart = $chart;
                chart
                    .configure_mesh()
                    .x_desc(across)
                    .y_desc(up)
                    .light_line_style(WHITE)
                    .draw()?;
                for (from, to) in spans {
                    let span = [(from.max(left), $bottom), (to.min(right), top)];
                    chart.draw_series(std::iter::once(Rectangle::new(
                        span,
                        BLACK.mix(0.08).filled(),
                    )))?;
                }
                for (name, colour, points) in lines {
                    let points = points
                        .iter()
                        .copied()
                        .filter(|(x, y)| x.is_finite() && y.is_finite())
                        .map(|(x, y)| (x, y.max($bottom)));
                    let drawn =
                        chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
                    let colour = *colour;
                    drawn
                        .label(*name)
                        .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
                }
                chart
                    .configure_series_labels()
                    .background_style(WHITE.mix(0.8))
                    .border_style(BLACK.mix(0.2))
                    .draw()?;
            }};
        }
        if log_y {
            let bottom = points()
                .map(|p| p.1)
                .filter(|y| *y > 0.0)
                .fold(f64::MAX, f64::min)
                .clamp(1e-3, top / 2.0);
            draw!(
                builder.build_cartesian_2d(left..right, (bottom..top).log_scale())?,
                bottom
            );
        } else {
            draw!(builder.build_cartesian_2d(left..right, 0.0..top)?, 0.0);
        }
        root.present()?;
    }
    Ok(svg)
}

/// A shape as a plot.
pub fn shape_svg(shape: &Shape) -> Plot<String> {
    let length = shape.length().max(1);
    let points = (0..=600).map(|n| {
        let at = length * n / 600;
        (at as f64 / SECOND, shape.rate(at.min(length - 1)))
    });
    lines(
        "arrivals",
        "seconds",
        "a second",
        &[("rate", BLUE, points.collect())],
        &[],
        false,
    )
}

/// A shape for a terminal: bars over time.
pub fn shape_text(shape: &Shape) -> String {
    const ROWS: usize = 8;
    const COLUMNS: Micros = 72;
    let (length, most) = (shape.length().max(1), shape.most().max(1e-9));
    let mut text = String::new();
    for row in (0..ROWS).rev() {
        let label = if row == ROWS - 1 {
            format!("{most:>7.1}/s ")
        } else {
            " ".repeat(10)
        };
        text.push_str(&label);
        for column in 0..COLUMNS {
            // The highest rate within the column, so that a short burst shows.
            let at = |part: Micros| (length * (column * 8 + part) / (COLUMNS * 8)).min(length - 1);
            let rate = (0..8).map(|part| shape.rate(at(part))).fold(0.0, f64::max);
            let filled = rate / most * ROWS as f64 - row as f64;
            text.push(if filled >= 0.75 {
                '█'
            } else if filled >= 0.25 {
                '▄'
            } else {
                ' '
            });
        }
        text.push('\n');
    }
    let _ = writeln!(
        text,
        "{}0{:>width$.0} s",
        " ".repeat(10),
        length as f64 / SECOND,
        width = COLUMNS as usize - 3
    );
    for phase in &shape.phases {
        let expected = shape.expected(phase.start + phase.length) - shape.expected(phase.start);
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

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// The whole page.
pub fn html(outcome: &Outcome, summary: &Summary) -> Plot<String> {
    let seconds = &summary.seconds;
    let over = |of: &dyn Fn(&crate::results::Second) -> f64| -> Vec<(f64, f64)> {
        seconds
            .iter()
            .enumerate()
            .map(|(n, second)| (n as f64, of(second)))
            .collect()
    };
    let faults: Vec<(f64, f64)> = outcome
        .plan
        .faults
        .iter()
        .map(|f| {
            (
                f.at.as_secs_f64(),
                (f.at + f.length)
                    .as_secs_f64()
                    .max(f.at.as_secs_f64() + 0.2),
            )
        })
        .collect();
    let mut plots = vec![lines(
        "offered and started, by when it was due",
        "seconds",
        "tasks a second",
        &[
            ("due", BLUE, over(&|s| f64::from(s.due))),
            ("started", GREEN, over(&|s| f64::from(s.started))),
            (
                "in aim",
                RGBColor(120, 180, 60),
                over(&|s| f64::from(s.in_aim)),
            ),
            ("repeats", RED, over(&|s| f64::from(s.again))),
        ],
        &faults,
        false,
    )?];
    if summary.in_time {
        plots.push(lines(
            "latency from due to start",
            "seconds",
            "ms",
            &[
                ("p50", BLUE, over(&|s| s.p50_ms)),
                ("p99", RED, over(&|s| s.p99_ms)),
            ],
            &faults,
            true,
        )?);
        let spectrum = |name: &str| -> Vec<(f64, f64)> {
            let Some(group) = summary.group(name) else {
                return Vec::new();
            };
            let nines = (0..=40).map(|n| f64::from(n) / 10.0);
            nines
                .filter_map(|nine| {
                    Some((
                        nine,
                        group.percentile(1.0 - 10f64.powf(-nine))?.as_secs_f64() * 1e3,
                    ))
                })
                .collect()
        };
        let classes: Vec<(String, RGBColor)> = outcome
            .plan
            .classes
            .iter()
            .zip([BLUE, RED, GREEN, MAGENTA].into_iter().cycle())
            .map(|(class, colour)| (format!("class {}", class.name), colour))
            .collect();
        let spectra: Vec<Line<'_>> = classes
            .iter()
            .map(|(name, colour)| (name.as_str(), *colour, spectrum(name)))
            .collect();
        plots.push(lines(
            "percentile spectrum (1: 90 %, 2: 99 %, 3: 99.9 %)",
            "nines",
            "ms",
            &spectra,
            &[],
            true,
        )?);
    }
    if !outcome.looks.is_empty() {
        let at = |at: Micros| (at - outcome.begun) as f64 / SECOND;
        let load = |of: &dyn Fn(&[f64]) -> f64| -> Vec<(f64, f64)> {
            let looks = outcome.looks.iter().filter(|look| look.at >= outcome.begun);
            looks
                .map(|look| {
                    (
                        at(look.at),
                        100.0 * of(&look.load.iter().flatten().copied().collect::<Vec<_>>()),
                    )
                })
                .collect()
        };
        plots.push(lines(
            "cores of the hosts that are asked for",
            "seconds",
            "%",
            &[
                (
                    "highest",
                    RED,
                    load(&|all| all.iter().copied().fold(0.0, f64::max)),
                ),
                (
                    "mean",
                    BLUE,
                    load(&|all| all.iter().sum::<f64>() / all.len().max(1) as f64),
                ),
                (
                    "lowest",
                    GREEN,
                    load(&|all| all.iter().copied().fold(1.0, f64::min)),
                ),
            ],
            &faults,
            false,
        )?);
    }
    let harm = &outcome.harm.seconds;
    if !harm.is_empty() {
        let over = |of: fn(&crate::harm::Second) -> u32| -> Vec<(f64, f64)> {
            harm.iter()
                .enumerate()
                .map(|(n, second)| (n as f64, f64::from(of(second))))
                .collect()
        };
        plots.push(lines(
            "what all placers together did to the hosts",
            "seconds",
            "a second",
            &[
                ("offers", BLUE, over(|s| s.offers)),
                ("refused", RED, over(|s| s.refused)),
                ("in vain", MAGENTA, over(|s| s.in_vain)),
                ("returns of clients", GREEN, over(|s| s.returns)),
            ],
            &faults,
            false,
        )?);
    }
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title><style>body{{font:15px sans-serif;max-width:920px;\
         margin:2em auto;color:#222}}pre{{background:#f4f4f4;padding:1em;overflow-x:auto}}svg{{display:block;margin:1em 0}}</style>\
         <h1>{name}</h1><pre>{text}</pre>",
        name = escape(&outcome.plan.name),
        text = escape(&summary.text(outcome)),
    );
    plots.iter().for_each(|plot| page.push_str(plot));
    if !outcome.plan.faults.is_empty() {
        page.push_str("<h2>Faults (grey in the plots)</h2><pre>");
        for f in &outcome.plan.faults {
            let _ = writeln!(
                page,
                "{:>8.1} s  {:>6.1} s  {:?} {:?}",
                f.at.as_secs_f64(),
                f.length.as_secs_f64(),
                f.kind,
                f.targets()
            );
        }
        page.push_str("</pre>");
    }
    if !outcome.findings.is_empty() {
        let _ = write!(
            page,
            "<h2>Broken rules</h2><pre>{}</pre>",
            escape(&findings(outcome, 5))
        );
    }
    let plan = toml::to_string(&outcome.plan)?;
    let _ = write!(page, "<h2>The plan</h2><pre>{}</pre></html>", escape(&plan));
    Ok(page)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::results::{summarize, tests::made_up};

    #[test]
    fn the_page_stands_alone_and_holds_plots_and_plan() {
        let outcome = made_up("20/s for 5s, rise to 60/s over 5s", 3, |n| {
            (n % 50 != 0).then_some(n as Micros * 100 + 1)
        });
        let page = html(&outcome, &summarize(&outcome)).expect("a page");
        assert_eq!(page.matches("<svg").count(), 3, "no hosts were looked at");
        for words in ["class pagina", "shape = ", "offered and started"] {
            assert!(page.contains(words), "{words}");
        }
        for outside in ["src=", "href=", "@import", "url("] {
            assert!(!page.contains(outside), "{outside}");
        }
        let late = {
            let mut late = outcome.clone();
            late.lateness.record(1_000_000).expect("in range");
            late
        };
        let page = html(&late, &summarize(&late)).expect("a page");
        assert_eq!(
            page.matches("<svg").count(),
            1,
            "no percentiles of a late generator"
        );
    }

    #[test]
    fn a_shape_is_drawn_for_the_terminal_and_as_svg() {
        let shape = crate::shape::parse("10/s for 10s, peak: burst 100 in 100ms, silence 10s")
            .expect("a shape");
        let text = shape_text(&shape);
        assert_eq!(text.lines().count(), 8 + 1 + 3, "{text}");
        let top = text.lines().next().expect("a line");
        assert!(
            top.contains("1000.0/s") && top.contains('█'),
            "the burst shows: {top}"
        );
        assert!(shape_svg(&shape).expect("a plot").contains("<svg"));
        assert!(
            shape_svg(&Shape::default()).is_ok(),
            "nothing is a plot too"
        );
    }
}

//! Draws line plots as SVG.

use plotters::coord::ranged1d::{Ranged, ValueFormatter};
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 280);
/// Lowest value at which a logarithmic axis may begin.
const MIN_LOG_VALUE: f64 = 1e-3;

/// A plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct PlotError(String);

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for PlotError {
    fn from(error: DrawingAreaErrorKind<E>) -> PlotError {
        PlotError(error.to_string())
    }
}

/// A line of a plot.
pub struct Line {
    /// Name of the line in the legend.
    pub name: String,
    /// Colour of the line.
    pub colour: RGBColor,
    /// Points of the line as (x, y); points with a value that is not finite are not drawn.
    pub points: Vec<(f64, f64)>,
}

impl Line {
    /// Returns a line with a name, a colour and points.
    pub fn new(name: impl Into<String>, colour: RGBColor, points: Vec<(f64, f64)>) -> Line {
        Line {
            name: name.into(),
            colour,
            points,
        }
    }

    fn finite_points(&self) -> impl Iterator<Item = (f64, f64)> + '_ {
        self.points
            .iter()
            .copied()
            .filter(|(x, y)| x.is_finite() && y.is_finite())
    }
}

/// The scale of the vertical axis.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scale {
    /// Linear, beginning at 0.
    Linear,
    /// Logarithmic, beginning at the smallest positive value.
    Logarithmic,
}

/// A line plot, with spans of the horizontal axis that may be shaded.
pub struct Plot<'a> {
    /// Title above the plot.
    pub title: &'a str,
    /// Label of the horizontal axis.
    pub x_label: &'a str,
    /// Label of the vertical axis.
    pub y_label: &'a str,
    /// Scale of the vertical axis.
    pub scale: Scale,
    /// Lines of the plot.
    pub lines: Vec<Line>,
    /// Shaded spans of the horizontal axis, each with its start and end.
    pub shaded: &'a [(f64, f64)],
}

/// Lowest and highest values of the axes.
#[derive(Clone, Copy)]
struct Bounds {
    left: f64,
    right: f64,
    bottom: f64,
    top: f64,
}

impl Plot<'_> {
    /// Draws the plot as SVG.
    ///
    /// # Errors
    ///
    /// The drawing library fails.
    pub fn svg(&self) -> Result<String, PlotError> {
        let bounds = self.bounds();
        let mut svg = String::new();
        {
            let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
            root.fill(&WHITE)?;
            let mut builder = ChartBuilder::on(&root);
            builder
                .caption(self.title, ("sans-serif", 16))
                .margin(8)
                .x_label_area_size(34)
                .y_label_area_size(56);
            let x_range = bounds.left..bounds.right;
            let y_range = bounds.bottom..bounds.top;
            match self.scale {
                Scale::Linear => {
                    self.draw(builder.build_cartesian_2d(x_range, y_range)?, bounds)?
                }
                Scale::Logarithmic => {
                    self.draw(
                        builder.build_cartesian_2d(x_range, y_range.log_scale())?,
                        bounds,
                    )?;
                }
            }
            root.present()?;
        }
        Ok(svg)
    }

    fn bounds(&self) -> Bounds {
        let points = || self.lines.iter().flat_map(Line::finite_points);
        let (left, right) = points()
            .map(|(x, _)| x)
            .fold((f64::MAX, f64::MIN), |(min, max), x| {
                (min.min(x), max.max(x))
            });
        let (left, right) = if left < right {
            (left, right)
        } else {
            (0.0, 1.0)
        };
        let highest = points().map(|(_, y)| y).fold(f64::MIN, f64::max);
        let top = if highest > 0.0 { highest * 1.05 } else { 1.0 };
        let bottom = match self.scale {
            Scale::Linear => 0.0,
            Scale::Logarithmic => points()
                .map(|(_, y)| y)
                .filter(|y| *y > 0.0)
                .fold(f64::MAX, f64::min)
                .clamp(MIN_LOG_VALUE, top / 2.0),
        };
        Bounds {
            left,
            right,
            bottom,
            top,
        }
    }

    /// Draws the axes, the shaded spans, the lines and the legend.
    fn draw<'a, Y>(
        &self,
        mut chart: ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, Y>>,
        bounds: Bounds,
    ) -> Result<(), PlotError>
    where
        Y: Ranged<ValueType = f64> + ValueFormatter<f64> + 'a,
    {
        chart
            .configure_mesh()
            .x_desc(self.x_label)
            .y_desc(self.y_label)
            .light_line_style(WHITE)
            .draw()?;
        for (from, to) in self.shaded {
            let corners = [
                (from.max(bounds.left), bounds.bottom),
                (to.min(bounds.right), bounds.top),
            ];
            let rectangle = Rectangle::new(corners, BLACK.mix(0.08).filled());
            chart.draw_series(std::iter::once(rectangle))?;
        }
        for line in &self.lines {
            let points = line.finite_points().map(|(x, y)| (x, y.max(bounds.bottom)));
            let colour = line.colour;
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(line.name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.2))
            .draw()?;
        Ok(())
    }
}

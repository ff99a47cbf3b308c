//! Chart setup shared by the reports.

use std::error::Error;
use std::ops::Range;

use plotters::chart::SeriesLabelPosition;
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;

/// Width of all charts, in pixels.
const WIDTH: u32 = 900;
const MARGIN: u32 = 12;
const X_LABELS: u32 = 36;
const LEGEND_LINE: i32 = 16;

/// An SVG chart with seconds on the x axis.
pub type TimeChart<'a, 'svg> =
    ChartContext<'a, SVGBackend<'svg>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// A drawing area of an SVG.
pub type Area<'svg> = DrawingArea<SVGBackend<'svg>, Shift>;

/// Returns an SVG of the given height, drawn by `draw` on a white background.
pub fn svg(
    height: u32,
    draw: impl FnOnce(&Area) -> Result<(), Box<dyn Error>>,
) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE)?;
        draw(&area)?;
        area.present()?;
    }
    Ok(svg + "\n")
}

/// Returns a chart builder with the common margins and `y_labels` pixels for the y labels.
pub fn builder<'a, 'svg>(
    area: &'a Area<'svg>,
    y_labels: u32,
) -> ChartBuilder<'a, 'svg, SVGBackend<'svg>> {
    let mut builder = ChartBuilder::on(area);
    builder.margin(MARGIN).x_label_area_size(X_LABELS).y_label_area_size(y_labels);
    builder
}

/// Draws a chart over time, in seconds, with a legend; `lines` adds the series.
pub fn over_time(
    height: u32,
    seconds: Range<f64>,
    values: Range<f64>,
    unit: &str,
    lines: impl FnOnce(&mut TimeChart) -> Result<(), Box<dyn Error>>,
) -> Result<String, Box<dyn Error>> {
    svg(height, |area| {
        let mut chart = builder(area, 48).build_cartesian_2d(seconds, values)?;
        chart.configure_mesh().x_desc("s").y_desc(unit).draw()?;
        lines(&mut chart)?;
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
        Ok(())
    })
}

/// Adds a line series and its legend entry.
pub fn add_line(
    chart: &mut TimeChart,
    name: &str,
    color: RGBColor,
    points: impl Iterator<Item = (f64, f64)>,
) -> Result<(), Box<dyn Error>> {
    let line = chart.draw_series(LineSeries::new(points, &color))?;
    line.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE, y)], color));
    Ok(())
}

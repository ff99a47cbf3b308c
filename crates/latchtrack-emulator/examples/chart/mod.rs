//! The set-up that the charts of the reports have in common.

use std::error::Error;
use std::ops::Range;

use plotters::chart::SeriesLabelPosition;
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;

/// Width of every chart, in pixels.
const WIDTH: u32 = 900;
const MARGIN: u32 = 12;
const X_LABELS: u32 = 36;
const LEGEND_LINE: i32 = 16;

/// A chart with seconds on the x axis that draws into an SVG.
pub type TimeChart<'a, 'svg> =
    ChartContext<'a, SVGBackend<'svg>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// An area of an SVG that is drawn on.
pub type Area<'svg> = DrawingArea<SVGBackend<'svg>, Shift>;

/// Draws an SVG of this height on white ground.
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

/// The margins of a chart whose y labels take so many pixels.
pub fn builder<'a, 'svg>(
    area: &'a Area<'svg>,
    y_labels: u32,
) -> ChartBuilder<'a, 'svg, SVGBackend<'svg>> {
    let mut builder = ChartBuilder::on(area);
    builder.margin(MARGIN).x_label_area_size(X_LABELS).y_label_area_size(y_labels);
    builder
}

/// Draws a chart over time, in seconds, with a legend; `lines` adds its series.
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

/// Adds a line and its entry in the legend.
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

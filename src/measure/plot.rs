//! Draws the attainment over time as an SVG file.

use std::path::Path;

use plotters::prelude::*;

use super::{Row, Schedule};

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (960, 420);
/// Margin around the plot, in pixels.
const MARGIN: u32 = 12;
/// Size of the area for the labels of each axis, in pixels.
const LABEL_SIZE: u32 = 44;

/// The reason why a plot was not drawn or written.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("cannot draw the plot: {0}")]
pub struct PlotError(String);

/// Draws the attainment of each row over time and writes the plot to `path`.
///
/// The time in which a data centre is out of service is shaded. Fails if the file cannot be
/// written.
pub fn plot(rows: &[Row], schedule: &Schedule, path: &Path) -> Result<(), PlotError> {
    draw(rows, schedule, path).map_err(|err| PlotError(err.to_string()))
}

/// Draws the plot; the error is that of the drawing library.
fn draw(rows: &[Row], schedule: &Schedule, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (start, end) = (schedule.warm_up.as_secs(), schedule.end.as_secs());
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .x_label_area_size(LABEL_SIZE)
        .y_label_area_size(LABEL_SIZE)
        .build_cartesian_2d(start..end, 0.0..100.0)?;
    chart.configure_mesh().x_desc("seconds").y_desc("attained, percent").draw()?;
    if let Some(out) = &schedule.centre_out {
        let corners = [(out.start.as_secs(), 0.0), (out.end.as_secs(), 100.0)];
        chart.draw_series([Rectangle::new(corners, BLACK.mix(0.08).filled())])?;
    }
    for (number, row) in rows.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let points = row.samples.iter().map(|sample| (sample.secs, sample.part * 100.0));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(row.name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    let mut labels = chart.configure_series_labels();
    labels.position(SeriesLabelPosition::LowerLeft);
    labels.background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

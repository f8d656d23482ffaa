//! The main slopes as a picture.

use std::path::Path;

use plotters::prelude::*;

use super::probe::Slope;
use crate::error::Error;

/// Width and height of one chart in pixels.
const CHART: (u32, u32) = (420, 280);

/// Charts in a row.
const COLUMNS: usize = 3;

/// Writes one chart for each slope, as SVG.
///
/// # Errors
///
/// Returns [`Error::Write`] if the file cannot be written.
pub fn write(path: &Path, slopes: &[Slope]) -> Result<(), Error> {
    draw(path, slopes).map_err(|error| Error::Write {
        path: path.display().to_string(),
        reason: error.to_string(),
    })
}

type Failure = Box<dyn std::error::Error>;

fn draw(path: &Path, slopes: &[Slope]) -> Result<(), Failure> {
    let rows = slopes.len().div_ceil(COLUMNS).max(1);
    let size = (CHART.0 * COLUMNS as u32, CHART.1 * rows as u32);
    let mut picture = String::new();
    {
        let root = SVGBackend::with_string(&mut picture, size).into_drawing_area();
        root.fill(&WHITE)?;
        for (area, slope) in root.split_evenly((rows, COLUMNS)).iter().zip(slopes) {
            chart(area, slope)?;
        }
        root.present()?;
    }
    std::fs::write(path, picture)?;
    Ok(())
}

fn chart(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    slope: &Slope,
) -> Result<(), Failure> {
    let largest = |values: &mut dyn Iterator<Item = f64>| values.fold(1.0, f64::max) * 1.1;
    let right = largest(&mut slope.points.iter().map(|point| point.0));
    let top = largest(&mut slope.points.iter().map(|point| point.1));
    let mut chart = ChartBuilder::on(area)
        .caption(
            format!("{} ({})", slope.name, slope.unit),
            ("sans-serif", 15),
        )
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart
        .configure_mesh()
        .disable_mesh()
        .x_labels(4)
        .y_labels(4)
        .x_desc(slope.against)
        .draw()?;
    let line = [0.0, right].map(|x| (x, slope.line.at(x).max(0.0)));
    chart.draw_series(LineSeries::new(line, &BLUE))?;
    let points = slope
        .points
        .iter()
        .map(|&point| Circle::new(point, 3, RED.filled()));
    chart.draw_series(points)?;
    Ok(())
}

//! Straight lines through measured points.

use serde::Serialize;

/// A straight line, `base + slope * x`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Line {
    /// Value at zero.
    pub base: f64,
    /// Rise for each unit of x.
    pub slope: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub error: f64,
}

impl Line {
    /// Fits a line to points `(x, y)` by least squares. Without two different
    /// x it is level.
    #[must_use]
    pub fn new(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let joint: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let mut line = Line {
            base: mean_y - slope * mean_x,
            slope,
            error: 0.0,
        };
        let largest = points
            .iter()
            .map(|(_, y)| y.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let distances = points.iter().map(|(x, y)| (line.at(*x) - y).abs());
        line.error = distances.fold(0.0, f64::max) / largest;
        line
    }

    /// Returns the value at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

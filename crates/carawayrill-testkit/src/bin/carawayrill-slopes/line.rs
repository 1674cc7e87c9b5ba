//! Least-squares fit of a straight line.

use std::fmt;

/// One measured point.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// Size `n` at which the value was measured.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}

/// The line `base + slope * size`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Value at size 0.
    pub base: f64,
    /// Growth of the value per unit of size.
    pub slope: f64,
}

impl Line {
    /// Fits a line to points. Minimises the squared relative errors, so that small sizes count as
    /// much as large ones.
    pub fn fit(points: &[Point]) -> Self {
        let weight = |point: &Point| 1.0 / (point.value * point.value).max(f64::MIN_POSITIVE);
        let sum = |of: &dyn Fn(&Point) -> f64| -> f64 {
            points.iter().map(|point| weight(point) * of(point)).sum()
        };
        let total = sum(&|_| 1.0);
        let mean_size = sum(&|point| point.size) / total;
        let mean_value = sum(&|point| point.value) / total;
        let numerator = sum(&|point| (point.size - mean_size) * (point.value - mean_value));
        let denominator = sum(&|point| (point.size - mean_size) * (point.size - mean_size));
        let slope = numerator / denominator;
        Self {
            base: mean_value - slope * mean_size,
            slope,
        }
    }

    /// Returns the largest relative error of the line over all points.
    pub fn max_relative_error(&self, points: &[Point]) -> f64 {
        let distance = |point: &Point| {
            let line = self.base + self.slope * point.size;
            ((point.value - line) / point.value).abs()
        };
        points.iter().map(distance).fold(0.0, f64::max)
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} + {:.4} n", self.base, self.slope)
    }
}

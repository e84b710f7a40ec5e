//! Linear least-squares fits of measured values against size.

/// A straight line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// Fitted value at size zero.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Largest absolute deviation of a point from the line, relative to the largest absolute value.
    pub residual: f64,
}

impl LinearFit {
    /// Fits a line to `(size, value)` points; `None` for fewer than two distinct sizes.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let sum_of_squares: f64 = points.iter().map(|p| (p.0 - mean_size).powi(2)).sum();
        if points.is_empty() || sum_of_squares <= 0.0 {
            return None;
        }
        let sum_of_products: f64 = points
            .iter()
            .map(|p| (p.0 - mean_size) * (p.1 - mean_value))
            .sum();
        let slope = sum_of_products / sum_of_squares;
        let intercept = mean_value - slope * mean_size;
        let max_deviation = points
            .iter()
            .map(|p| (p.1 - intercept - slope * p.0).abs())
            .fold(0.0, f64::max);
        let max_value = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
        let residual = if max_value > 0.0 {
            max_deviation / max_value
        } else {
            0.0
        };
        Some(Self {
            intercept,
            slope,
            residual,
        })
    }

    /// Returns the fitted value at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

//! Straight lines through measured figures.

/// A straight line, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at size zero.
    pub at_zero: f64,
    /// Growth of the value for each unit of size.
    pub slope: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub residual: f64,
}

impl Line {
    /// Fits a line to pairs of size and value; `None` for fewer than two sizes.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|p| (p.0 - mean_size).powi(2)).sum();
        if points.is_empty() || spread <= 0.0 {
            return None;
        }
        let together: f64 = points
            .iter()
            .map(|p| (p.0 - mean_size) * (p.1 - mean_value))
            .sum();
        let slope = together / spread;
        let at_zero = mean_value - slope * mean_size;
        let furthest = points
            .iter()
            .map(|p| (p.1 - at_zero - slope * p.0).abs())
            .fold(0.0, f64::max);
        let largest = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
        let residual = if largest > 0.0 {
            furthest / largest
        } else {
            0.0
        };
        Some(Self {
            at_zero,
            slope,
            residual,
        })
    }

    /// The value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.at_zero + self.slope * size
    }
}

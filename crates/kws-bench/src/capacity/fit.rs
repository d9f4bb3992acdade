//! Straight lines through measured points.

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FitPoint {
    /// The size at which it was measured.
    pub size: f64,
    /// What was measured.
    pub value: f64,
}

impl FitPoint {
    /// A point at a counted size.
    pub fn new(size: usize, value: f64) -> Self {
        Self {
            size: size as f64,
            value,
        }
    }
}

/// A straight line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// Its value at size 0.
    pub base: f64,
    /// What one more of the size adds.
    pub slope: f64,
}

impl LinearFit {
    /// The line with the least sum of squared distances in value; level when all sizes are the same.
    pub fn least_squares(points: &[FitPoint]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let mut spread = 0.0;
        let mut common = 0.0;
        for point in points {
            spread += (point.size - mean_size).powi(2);
            common += (point.size - mean_size) * (point.value - mean_value);
        }
        let slope = if spread > 0.0 { common / spread } else { 0.0 };
        Self {
            base: mean_value - slope * mean_size,
            slope,
        }
    }

    /// The line's value at a size.
    pub fn at(self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

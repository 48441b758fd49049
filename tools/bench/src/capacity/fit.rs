//! Least-squares line through measured points.

/// One measurement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// Size of the state.
    pub size: usize,
    /// Measured value.
    pub value: f64,
}

/// Least-squares line `intercept + slope * size`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Value at size 0.
    pub intercept: f64,
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Coefficient of determination; 1 if all points lie on the line.
    pub r2: f64,
}

impl Fit {
    /// Fits a line; the slope is 0 if all points have the same size.
    pub fn of(points: &[Point]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|p| p.size as f64).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.value).sum::<f64>() / count;
        let product = |f: fn(f64, f64) -> f64| -> f64 {
            points
                .iter()
                .map(|p| f(p.size as f64 - mean_x, p.value - mean_y))
                .sum()
        };
        let (xx, xy, yy) = (
            product(|x, _| x * x),
            product(|x, y| x * y),
            product(|_, y| y * y),
        );
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        let r2 = if yy > 0.0 { slope * xy / yy } else { 1.0 };
        Self {
            intercept: mean_y - slope * mean_x,
            slope,
            r2,
        }
    }

    /// Returns the value of the line at a size.
    pub fn value_at(&self, size: usize) -> f64 {
        self.intercept + self.slope * size as f64
    }
}

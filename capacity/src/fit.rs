//! A straight line through measured points.

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size that was varied.
    pub size: f64,
    /// What was measured.
    pub cost: f64,
}

/// `cost = base + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The cost at size zero.
    pub base: f64,
    /// The cost of one more.
    pub slope: f64,
    /// How much of the points' variance the line explains, from 0 to 1.
    pub r_squared: f64,
}

/// The least-squares line; `None` for fewer than two sizes.
pub fn least_squares(points: &[Point]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (mean_size, mean_cost) = (mean(|point| point.size), mean(|point| point.cost));
    let spread: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
    if points.len() < 2 || spread <= 0.0 {
        return None;
    }
    let covariance = |point: &Point| (point.size - mean_size) * (point.cost - mean_cost);
    let slope = points.iter().map(covariance).sum::<f64>() / spread;
    let base = mean_cost - slope * mean_size;
    let total: f64 = points.iter().map(|point| (point.cost - mean_cost).powi(2)).sum();
    let residual: f64 = points.iter().map(|point| (point.cost - base - slope * point.size).powi(2)).sum();
    let r_squared = if total > 0.0 { 1.0 - residual / total } else { 1.0 };
    Some(Line { base, slope, r_squared })
}

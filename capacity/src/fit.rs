//! Fits a straight line to measured points.

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size that was varied, for example the number of servers.
    pub size: f64,
    /// The cost that was measured at this size.
    pub cost: f64,
}

/// The line `cost = base + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The cost at size zero.
    pub base: f64,
    /// The additional cost per unit of size.
    pub slope: f64,
    /// The share of the variance of the costs that the line explains (R squared), from 0 to 1.
    pub r_squared: f64,
}

/// Fits a line by least squares. Returns `None` if the points have fewer than two different sizes.
pub fn least_squares(points: &[Point]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (mean_size, mean_cost) = (mean(|point| point.size), mean(|point| point.cost));
    let size_variation: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
    if points.len() < 2 || size_variation <= 0.0 {
        return None;
    }
    let covariance = |point: &Point| (point.size - mean_size) * (point.cost - mean_cost);
    let slope = points.iter().map(covariance).sum::<f64>() / size_variation;
    let base = mean_cost - slope * mean_size;
    let total_variation: f64 = points.iter().map(|point| (point.cost - mean_cost).powi(2)).sum();
    let residual_variation: f64 =
        points.iter().map(|point| (point.cost - base - slope * point.size).powi(2)).sum();
    let r_squared = if total_variation > 0.0 { 1.0 - residual_variation / total_variation } else { 1.0 };
    Some(Line { base, slope, r_squared })
}

//! A straight line through measured points.

/// `cost = base + slope * size`, and how much of the points' variance the line explains (from 0 to 1).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub base: f64,
    pub slope: f64,
    pub r_squared: f64,
}

/// The least-squares line; none for fewer than two sizes.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    if points.len() < 2 || spread <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / spread;
    let base = y - slope * x;
    let total: f64 = points.iter().map(|p| (p.1 - y).powi(2)).sum();
    let left: f64 = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2)).sum();
    let r_squared = if total > 0.0 { 1.0 - left / total } else { 1.0 };
    Some(Line { base, slope, r_squared })
}

//! Medians of measured values.

/// The two values in the middle of some values; the same one twice where their number is odd.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Medians {
    /// The lower of the two.
    pub lower: f64,
    /// The higher of the two.
    pub upper: f64,
}

/// The medians of some values; none of no values. The values are reordered.
pub fn medians(values: &mut [f64]) -> Option<Medians> {
    if values.is_empty() {
        return None;
    }
    let (half, is_odd) = (values.len() / 2, values.len() % 2 == 1);
    let (below, upper, _) = values.select_nth_unstable_by(half, f64::total_cmp);
    let upper = *upper;
    let lower = if is_odd { upper } else { below.iter().copied().max_by(f64::total_cmp).unwrap_or(upper) };
    Some(Medians { lower, upper })
}

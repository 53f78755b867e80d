//! Lower and upper medians.

/// The two middle values of a set of values. They are the same value if the number of values is odd.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Medians {
    /// The lower of the two middle values.
    pub lower: f64,
    /// The higher of the two middle values.
    pub upper: f64,
}

/// Computes the medians of values, and reorders the values. `None` if there are no values.
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

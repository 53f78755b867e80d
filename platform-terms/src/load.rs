//! A model server's report of its load.

use petrelshore::interface::Report;

/// A row of values in the order that the settings give.
pub fn row(row: &str, fields: &[String]) -> Option<Report> {
    let values: Vec<f64> = row.split(',').map(str::parse).collect::<Result<_, _>>().ok()?;
    let named = fields.iter().map(String::as_str).zip(values.iter().copied());
    (values.len() == fields.len()).then(|| report(named))?
}

/// `name=value` pairs, as answers carry them. What can't be read is no report.
pub fn pairs(text: &str, fields: &[String]) -> Option<Report> {
    let pairs = text.split(',').map(|pair| {
        let (name, value) = pair.trim().split_once('=')?;
        let known = fields.iter().find(|field| *field == name)?;
        Some((known.as_str(), value.parse().ok()?))
    });
    report(pairs.collect::<Option<Vec<_>>>()?.into_iter())
}

fn report<'a>(values: impl Iterator<Item = (&'a str, f64)>) -> Option<Report> {
    let mut report = Report::default();
    for (name, value) in values {
        if !value.is_finite() {
            return None;
        }
        match name {
            "x0" => report.memory_share = Some(value.max(0.0)),
            "x1" => report.queued_prompt_tokens = Some(value.max(0.0) * 1000.0),
            _ => {}
        }
    }
    Some(report)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reports_are_read_whole_or_not_at_all() {
        let fields: Vec<String> = ["inflight", "x0", "x1"].map(String::from).into();
        let told = |report: Option<Report>| report.map(|r| (r.memory_share, r.queued_prompt_tokens));
        assert_eq!(told(pairs("inflight=7, x0=0.5,x1=2", &fields)), Some((Some(0.5), Some(2000.0))));
        assert_eq!(told(row("7,-0.5,2", &fields)), Some((Some(0.0), Some(2000.0))));
        assert_eq!(told(pairs("x0=0.5", &fields)), Some((Some(0.5), None)));
        for bad in
            ["", "x0", "x0=", "x0=much", "x0=NaN", "x0=inf", "x0=0.5;x1=2", "\u{1}\u{2}", "x9=1", "x0=1,,"]
        {
            assert!(pairs(bad, &fields).is_none(), "{bad}");
        }
        assert!(row("7,0.5", &fields).is_none() && row("7,0.5,x", &fields).is_none());
    }
}

use super::{Field, Measure, decode_pairs, decode_row};
use petrelshore::interface::LoadReport;

#[test]
fn malformed_report_is_rejected_completely() {
    let fields =
        [("inflight", Measure::InFlight), ("x0", Measure::MemoryShare), ("x1", Measure::QueuedThousands)];
    let fields = fields.map(|(name, measure)| Field { name: name.to_owned(), measure });
    let measured = |report: Option<LoadReport>| report.map(|r| (r.memory_share, r.queued_prompt_tokens));
    assert_eq!(measured(decode_pairs("inflight=7, x0=0.5,x1=2", &fields)), Some((Some(0.5), Some(2000.0))));
    assert_eq!(measured(decode_row("7,-0.5,2", &fields)), Some((Some(0.0), Some(2000.0))));
    assert_eq!(measured(decode_pairs("x0=0.5", &fields)), Some((Some(0.5), None)));
    for bad in ["", "x0", "x0=", "x0=much", "x0=NaN", "x0=inf", "x0=0.5;x1=2", "\u{1}\u{2}", "x9=1", "x0=1,,"]
    {
        assert!(decode_pairs(bad, &fields).is_none(), "{bad}");
    }
    assert!(decode_row("7,0.5", &fields).is_none() && decode_row("7,0.5,x", &fields).is_none());
}

use super::*;

#[test]
fn complete_events_end_at_the_last_blank_line() {
    assert_eq!(complete_events_len(b"data: a\n\ndata: b\n\ndata: c"), 18);
    assert_eq!(complete_events_len(b"data: a\r\n\r\ndata"), 11);
    assert_eq!(complete_events_len(b"data: a\n"), 0);
    assert_eq!(complete_events_len(b""), 0);
}

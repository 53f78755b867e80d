use super::*;

#[test]
fn events_are_passed_on_whole() {
    assert_eq!(whole_events(b"data: a\n\ndata: b\n\ndata: c"), 18);
    assert_eq!(whole_events(b"data: a\r\n\r\ndata"), 11);
    assert_eq!(whole_events(b"data: a\n"), 0);
    assert_eq!(whole_events(b""), 0);
}

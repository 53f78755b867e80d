use super::*;

/// Feeds the bytes in parts of this size, and returns the data of all complete events.
fn parse_in_parts(bytes: &[u8], part_bytes: usize) -> Vec<String> {
    let mut parser = EventParser::default();
    let mut parsed = Vec::new();
    for part in bytes.chunks(part_bytes) {
        parser.feed(part).unwrap();
        while let Some(event) = parser.next_event().unwrap() {
            parsed.push(event);
        }
    }
    parsed
}

#[test]
fn parts_of_any_size_give_the_same_events() {
    let text =
        b": hello\r\ndata: {\"a\":1}\r\n\r\nevent: x\ndata: two\ndata:lines\n\n\n\ndata: [DONE]\n\ndata: cut";
    for part_bytes in 1..text.len() {
        assert_eq!(
            parse_in_parts(text, part_bytes),
            ["{\"a\":1}", "two\nlines", "[DONE]"],
            "parts of {part_bytes} bytes"
        );
    }
}

#[test]
fn endless_lines_and_invalid_text_are_rejected_in_bounded_memory() {
    let mut parser = EventParser::default();
    let endless = std::iter::repeat_with(|| parser.feed(&[b'x'; 4096]).and_then(|()| parser.next_event()));
    assert!(endless.take(200).any(|fed| fed == Err(InvalidEvent)));
    let mut parser = EventParser::default();
    parser.feed(b"data: \xff\n\n").unwrap();
    assert_eq!(parser.next_event(), Err(InvalidEvent));
}

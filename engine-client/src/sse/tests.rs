use super::*;

fn all(bytes: &[u8], part_bytes: usize) -> Vec<String> {
    let mut events = Events::default();
    let mut found = Vec::new();
    for part in bytes.chunks(part_bytes) {
        events.feed(part).unwrap();
        while let Some(event) = events.next_event().unwrap() {
            found.push(event);
        }
    }
    found
}

#[test]
fn parts_of_any_size_give_the_same_events() {
    let text =
        b": hello\r\ndata: {\"a\":1}\r\n\r\nevent: x\ndata: two\ndata:lines\n\n\n\ndata: [DONE]\n\ndata: cut";
    for part_bytes in 1..text.len() {
        assert_eq!(all(text, part_bytes), ["{\"a\":1}", "two\nlines", "[DONE]"], "in parts of {part_bytes}");
    }
}

#[test]
fn endless_lines_and_invalid_text_are_rejected_in_bounded_memory() {
    let mut events = Events::default();
    let endless = std::iter::repeat_with(|| events.feed(&[b'x'; 4096]).and_then(|()| events.next_event()));
    assert!(endless.take(200).any(|fed| fed == Err(InvalidEvent)));
    let mut events = Events::default();
    events.feed(b"data: \xff\n\n").unwrap();
    assert_eq!(events.next_event(), Err(InvalidEvent));
}

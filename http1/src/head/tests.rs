use super::*;

fn asked(text: &str) -> Result<Option<RequestHead>, Unreadable> {
    request(&mut BytesMut::from(text))
}

#[test]
fn a_head_is_taken_once_it_is_whole_and_leaves_what_follows() {
    let text = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nReq-Id: 1f\r\ncontent-length: 4\r\n\r\nbody";
    for end in 0..text.len() - 4 {
        assert!(asked(&text[..end]).unwrap().is_none(), "up to {end}");
    }
    let mut buffer = BytesMut::from(text);
    let head = request(&mut buffer).unwrap().unwrap();
    assert_eq!(
        (&head.method[..], &head.target[..], &buffer[..]),
        (&b"POST"[..], &b"/a?b=c"[..], &b"body"[..])
    );
    assert_eq!(
        (head.fields.only("REQ-ID"), head.framing, head.keeps),
        (Some("1f"), Framing::Length(4), true)
    );
}

#[test]
fn lengths_and_codings_that_can_be_read_in_two_ways_are_refused() {
    let of =
        |fields: &str| asked(&format!("POST / HTTP/1.1\r\n{fields}\r\n")).map(|head| head.unwrap().framing);
    assert_eq!(of(""), Ok(Framing::Length(0)));
    assert_eq!(of("Transfer-Encoding: Chunked\r\n"), Ok(Framing::Chunked));
    for bad in ["-1", "+1", "1e3", "", "0x10", "99999999999999999999999", "4, 4", "4\r\nContent-Length: 4"] {
        assert_eq!(of(&format!("Content-Length: {bad}\r\n")), Err(Unreadable::Length), "{bad}");
    }
    for bad in ["gzip", "chunked, chunked", "identity", "chunked\r\nTransfer-Encoding: chunked"] {
        assert_eq!(of(&format!("Transfer-Encoding: {bad}\r\n")), Err(Unreadable::Coding), "{bad}");
    }
    let both = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n";
    assert_eq!(of(both), Err(Unreadable::TwoFramings));
}

#[test]
fn endless_and_unreadable_heads_are_refused_in_bounded_memory() {
    let endless = "GET / HTTP/1.1\r\n".to_owned() + &"x".repeat(LONGEST);
    assert_eq!(asked(&endless).err(), Some(Unreadable::HeadTooLong));
    assert_eq!(asked("\0\0\0\r\n\r\n").err(), Some(Unreadable::Head));
    assert_eq!(asked("GET / HTTP/1.1\r\na b: c\r\n\r\n").err(), Some(Unreadable::Head));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(FIELDS + 1));
    assert_eq!(asked(&many).err(), Some(Unreadable::Head));
}

#[test]
fn a_field_that_came_twice_is_no_value() {
    let head =
        asked("GET / HTTP/1.1\r\nReq-Id: 1\r\nreq-id: 2\r\nConnection: x, Close\r\n\r\n").unwrap().unwrap();
    assert_eq!((head.fields.only("req-id"), head.keeps), (None, false));
}

use super::*;

fn parse(text: &str) -> Result<Option<RequestHead>, ParseError> {
    parse_request(&mut BytesMut::from(text))
}

#[test]
fn complete_head_is_split_off_and_the_rest_stays() {
    let text = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nReq-Id: 1f\r\ncontent-length: 4\r\n\r\nbody";
    for end in 0..text.len() - 4 {
        assert!(parse(&text[..end]).unwrap().is_none(), "up to {end}");
    }
    let mut buffer = BytesMut::from(text);
    let head = parse_request(&mut buffer).unwrap().unwrap();
    assert_eq!(
        (&head.method[..], &head.target[..], &buffer[..]),
        (&b"POST"[..], &b"/a?b=c"[..], &b"body"[..])
    );
    assert_eq!(
        (head.fields.single("REQ-ID"), head.framing, head.keep_alive),
        (Some("1f"), Framing::Length(4), true)
    );
}

#[test]
fn ambiguous_lengths_and_codings_are_rejected() {
    let framing =
        |fields: &str| parse(&format!("POST / HTTP/1.1\r\n{fields}\r\n")).map(|head| head.unwrap().framing);
    assert_eq!(framing(""), Ok(Framing::Length(0)));
    assert_eq!(framing("Transfer-Encoding: Chunked\r\n"), Ok(Framing::Chunked));
    for invalid in
        ["-1", "+1", "1e3", "", "0x10", "99999999999999999999999", "4, 4", "4\r\nContent-Length: 4"]
    {
        assert_eq!(
            framing(&format!("Content-Length: {invalid}\r\n")),
            Err(ParseError::InvalidContentLength),
            "{invalid}"
        );
    }
    for invalid in ["gzip", "chunked, chunked", "identity", "chunked\r\nTransfer-Encoding: chunked"] {
        assert_eq!(
            framing(&format!("Transfer-Encoding: {invalid}\r\n")),
            Err(ParseError::UnsupportedTransferCoding),
            "{invalid}"
        );
    }
    let both = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n";
    assert_eq!(framing(both), Err(ParseError::ConflictingFraming));
}

#[test]
fn endless_and_malformed_heads_are_rejected_in_bounded_memory() {
    let endless = "GET / HTTP/1.1\r\n".to_owned() + &"x".repeat(MAX_HEAD_BYTES);
    assert_eq!(parse(&endless).err(), Some(ParseError::HeadTooLong));
    assert_eq!(parse("\0\0\0\r\n\r\n").err(), Some(ParseError::InvalidHead));
    assert_eq!(parse("GET / HTTP/1.1\r\na b: c\r\n\r\n").err(), Some(ParseError::InvalidHead));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(MAX_HEADER_FIELDS + 1));
    assert_eq!(parse(&many).err(), Some(ParseError::InvalidHead));
}

#[test]
fn repeated_field_has_no_value() {
    let head =
        parse("GET / HTTP/1.1\r\nReq-Id: 1\r\nreq-id: 2\r\nConnection: x, Close\r\n\r\n").unwrap().unwrap();
    assert_eq!((head.fields.single("req-id"), head.keep_alive), (None, false));
}

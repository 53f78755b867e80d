use super::*;

/// Feeds a text in pieces; what was data, whether it ended, and what is left behind it.
fn decoded(framing: Framing, text: &[u8], piece: usize) -> Result<(Vec<u8>, bool, Vec<u8>), Unreadable> {
    let (mut body, mut buffer, mut data) = (Body::new(framing, 100), BytesMut::new(), BytesMut::new());
    let mut over = body.decode(&mut buffer, &mut data)?;
    for part in text.chunks(piece) {
        buffer.extend_from_slice(part);
        over = body.decode(&mut buffer, &mut data)?;
    }
    Ok((data.to_vec(), over, buffer.to_vec()))
}

#[test]
fn pieces_of_any_size_give_the_same_body() {
    let text = b"5\r\nhello\r\n0B ; x=y\r\n, and there\r\n0\r\nTrailer: z\r\n\r\nnext";
    for piece in 1..text.len() {
        let (data, over, left) = decoded(Framing::Chunked, text, piece).unwrap();
        assert_eq!((&data[..], over, &left[..]), (&b"hello, and there"[..], true, &b"next"[..]), "{piece}");
    }
    let (data, over, left) = decoded(Framing::Length(3), b"abcd", 2).unwrap();
    assert_eq!((&data[..], over, &left[..]), (&b"abc"[..], true, &b"d"[..]));
}

#[test]
fn chunks_that_do_not_fit_or_are_too_large_are_refused() {
    let spoilt: [&[u8]; 8] = [
        b"zz\r\n",
        b"-5\r\nhello\r\n",
        b"5\nhello\r\n",
        b"3\r\nhello\r\n",
        b"c0000000\r\nx",
        b"\r\n",
        b"ffffffffffffffffff\r\n",
        b"5 hello\r\n",
    ];
    for text in spoilt {
        assert_eq!(decoded(Framing::Chunked, text, 1).err(), Some(Unreadable::Chunk), "{text:?}");
    }
    assert!(decoded(Framing::Chunked, &[b'0'; SIZE_LINE + 1], 1).is_err());
}

#[test]
fn only_a_body_to_the_end_may_end_with_its_connection() {
    assert!(Body::new(Framing::ToEnd, 1).may_end() && Body::new(Framing::Length(0), 1).may_end());
    assert!(!Body::new(Framing::Chunked, 1).may_end() && !Body::new(Framing::Length(1), 1).may_end());
}

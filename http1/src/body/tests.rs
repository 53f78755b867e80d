use super::*;

/// Decodes `text` in parts of `part_bytes`. Returns the data, true if the body is complete, and the bytes behind the
/// body.
fn decode_in_parts(
    framing: Framing,
    text: &[u8],
    part_bytes: usize,
) -> Result<(Vec<u8>, bool, Vec<u8>), ParseError> {
    let (mut body, mut buffer, mut data) = (BodyDecoder::new(framing, 100), BytesMut::new(), BytesMut::new());
    let mut complete = body.decode(&mut buffer, &mut data)?;
    for part in text.chunks(part_bytes) {
        buffer.extend_from_slice(part);
        complete = body.decode(&mut buffer, &mut data)?;
    }
    Ok((data.to_vec(), complete, buffer.to_vec()))
}

#[test]
fn parts_of_any_size_decode_to_the_same_body() {
    let text = b"5\r\nhello\r\n0B ; x=y\r\n, and there\r\n0\r\nTrailer: z\r\n\r\nnext";
    for part_bytes in 1..text.len() {
        let (data, complete, rest) = decode_in_parts(Framing::Chunked, text, part_bytes).unwrap();
        assert_eq!(
            (&data[..], complete, &rest[..]),
            (&b"hello, and there"[..], true, &b"next"[..]),
            "{part_bytes}"
        );
    }
    let (data, complete, rest) = decode_in_parts(Framing::Length(3), b"abcd", 2).unwrap();
    assert_eq!((&data[..], complete, &rest[..]), (&b"abc"[..], true, &b"d"[..]));
}

#[test]
fn malformed_and_oversized_chunks_are_rejected() {
    let malformed: [&[u8]; 8] = [
        b"zz\r\n",
        b"-5\r\nhello\r\n",
        b"5\nhello\r\n",
        b"3\r\nhello\r\n",
        b"c0000000\r\nx",
        b"\r\n",
        b"ffffffffffffffffff\r\n",
        b"5 hello\r\n",
    ];
    for text in malformed {
        assert_eq!(
            decode_in_parts(Framing::Chunked, text, 1).err(),
            Some(ParseError::InvalidChunk),
            "{text:?}"
        );
    }
    assert!(decode_in_parts(Framing::Chunked, &[b'0'; MAX_CHUNK_SIZE_LINE_BYTES + 1], 1).is_err());
}

#[test]
fn only_complete_and_until_close_bodies_may_end_at_close() {
    assert!(
        BodyDecoder::new(Framing::UntilClose, 1).may_end_at_close()
            && BodyDecoder::new(Framing::Length(0), 1).may_end_at_close()
    );
    assert!(
        !BodyDecoder::new(Framing::Chunked, 1).may_end_at_close()
            && !BodyDecoder::new(Framing::Length(1), 1).may_end_at_close()
    );
}

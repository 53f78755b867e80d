use super::*;

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0, (payload.len() >> 8) as u8, payload.len() as u8, kind, flags];
    bytes.extend_from_slice(&stream.to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

#[test]
fn frames_are_parsed_however_their_bytes_are_split() {
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    bytes.extend(frame(4, 0, 0, &[0; 12]));
    bytes.extend(frame(8, 0, 3, &500u32.to_be_bytes()));
    bytes.extend(frame(0, 1, 3, &[7; 300]));
    bytes.extend(frame(6, 0, 0, &[0; 8]));
    bytes.extend(frame(3, 0, 3, &[0; 4]));
    for size in [1, 2, 5, 9, 13, 64, 1000] {
        let mut parser = FrameParser::new();
        let mut seen = Vec::new();
        bytes.chunks(size).for_each(|part| parser.parse(part, |frame| seen.push(*frame)));
        let kinds: Vec<(u8, u32, usize)> = seen.iter().map(|f| (f.kind, f.stream, f.length)).collect();
        assert_eq!(
            kinds,
            [(4, 0, 12), (8, 3, 4), (0, 3, 300), (6, 0, 8), (3, 3, 4)],
            "in chunks of {size} bytes"
        );
        assert_eq!(seen[1].increment, Some(500));
    }
}

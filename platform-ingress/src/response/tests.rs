use super::*;

#[test]
fn complete_response_and_chunk_are_encoded_as_specified() {
    let response = complete(503, "no", Persistence::Close, Some(250_000_000));
    assert_eq!(
        response,
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nConnection: close\r\n\
         Retry-After: 0.250\r\nContent-Length: 2\r\n\r\nno"
    );
    assert_eq!(chunk(String::new(), b"data: x\n\n"), b"9\r\ndata: x\n\n\r\n");
}

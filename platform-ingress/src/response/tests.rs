use super::*;

#[test]
fn a_time_to_come_back_is_told_in_seconds() {
    let told = brief(503, "no", true, Some(250_000_000));
    assert_eq!(
        told,
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nConnection: close\r\n\
         Retry-After: 0.250\r\nContent-Length: 2\r\n\r\nno"
    );
    assert_eq!(chunk(String::new(), b"data: x\n\n"), b"9\r\ndata: x\n\n\r\n");
}

//! Shows that hyper hides conflicting framing from a service, which is a reason for this package's own HTTP/1.1 parser.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use petrelshore_http1::ParseError;
use petrelshore_http1::head::parse_request;
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::net::{TcpListener, TcpStream};

const CONFLICTING_FRAMING: &str = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\
                    Connection: close\r\n\r\n0\r\n\r\n";

#[test]
fn conflicting_framing_is_hidden_by_hyper_and_rejected_here() {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let server = async {
        let (stream, _) = listener.accept().await.unwrap();
        let service = service_fn(|request: Request<Incoming>| async move {
            let has_length = request.headers().contains_key("content-length");
            let _ = request.into_body().collect().await;
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(format!("length: {has_length}")))))
        });
        hyper::server::conn::http1::Builder::new()
            .serve_connection(FuturesIo::new(stream), service)
            .await
            .unwrap();
    };
    let client = async {
        let mut stream = Async::<TcpStream>::connect(address).await.unwrap();
        stream.write_all(CONFLICTING_FRAMING.as_bytes()).await.unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        response
    };
    let response = async_io::block_on(async { future::zip(server, client).await.1 });
    assert!(response.ends_with("length: false"), "{response}");
    assert_eq!(
        parse_request(&mut CONFLICTING_FRAMING.as_bytes().into()).err(),
        Some(ParseError::ConflictingFraming)
    );
}

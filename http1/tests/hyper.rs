//! Shows what hyper keeps from a service, which is why this package exists.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use petrelshore_http1::Unreadable;
use petrelshore_http1::head::request;
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::net::{TcpListener, TcpStream};

const BOTH: &str = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\
                    Connection: close\r\n\r\n0\r\n\r\n";

#[test]
fn hyper_drops_a_length_beside_a_transfer_encoding_and_we_refuse_it() {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let served = async {
        let (stream, _) = listener.accept().await.unwrap();
        let service = service_fn(|request: Request<Incoming>| async move {
            let told = request.headers().contains_key("content-length");
            let _ = request.into_body().collect().await;
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(format!("told: {told}")))))
        });
        hyper::server::conn::http1::Builder::new()
            .serve_connection(FuturesIo::new(stream), service)
            .await
            .unwrap();
    };
    let asked = async {
        let mut stream = Async::<TcpStream>::connect(address).await.unwrap();
        stream.write_all(BOTH.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        answer
    };
    let answer = async_io::block_on(async { future::zip(served, asked).await.1 });
    assert!(answer.ends_with("told: false"), "{answer}");
    assert_eq!(request(&mut BOTH.as_bytes().into()).err(), Some(Unreadable::TwoFramings));
}

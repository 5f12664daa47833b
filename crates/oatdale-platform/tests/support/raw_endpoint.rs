//! Calls over a pool to an endpoint that reads and writes raw bytes.

// Each test file uses only some of the items.
#![allow(dead_code)]

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Collected, Full};
use hyper::body::Incoming;
use oatdale_platform::{Pool, Reuse, SendError};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

pub(crate) const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
pub(crate) const LATE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 4\r\n\r\nlate";

/// Time in which what was written on loopback has arrived.
pub(crate) const SETTLED: Duration = Duration::from_millis(30);

pub(crate) async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Runs a test that waits for a connection, which never comes if the pool is wrong.
pub(crate) async fn bounded(test: impl Future<Output = ()>) {
    let ended = timeout(Duration::from_secs(60), test).await;
    ended.expect("the test waits for something that never comes");
}

/// Runs a test with a pool, a listener for the endpoint and its address.
pub(crate) async fn with_pool(test: impl AsyncFnOnce(Pool, TcpListener, SocketAddr)) {
    bounded(async {
        let (listener, addr) = listen().await;
        test(Pool::default(), listener, addr).await;
    })
    .await;
}

pub(crate) fn soon() -> Instant {
    Instant::now() + Duration::from_secs(1)
}

pub(crate) fn request(path: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    Request::post(path).body(Full::new(body.into())).unwrap()
}

pub(crate) async fn send(
    pool: &Pool,
    addr: SocketAddr,
    path: &str,
) -> Result<Response<Incoming>, SendError> {
    pool.send(addr, request(path, "{}"), Reuse::Allowed, soon())
        .await
}

/// The status and body of a response.
pub(crate) async fn call(
    pool: &Pool,
    addr: SocketAddr,
    path: &str,
) -> Result<(StatusCode, Bytes), SendError> {
    let res = send(pool, addr, path).await?;
    let status = res.status();
    let body = res.into_body().collect().await;
    Ok((status, body.map(Collected::to_bytes).unwrap_or_default()))
}

/// Reads up to the end of a request's head and returns its first line.
pub(crate) async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return String::new(),
        }
    }
    let head = String::from_utf8(head).unwrap();
    head.lines().next().unwrap_or_default().to_owned()
}

/// Reads a request whose body is `{}`; empty when the connection was closed instead.
pub(crate) async fn read_request(stream: &mut TcpStream) -> String {
    let line = read_head(stream).await;
    if !line.is_empty() {
        let mut body = [0; 2];
        stream.read_exact(&mut body).await.unwrap();
        assert_eq!(&body, b"{}");
    }
    line
}

pub(crate) async fn accept_request(listener: &TcpListener) -> (TcpStream, String) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let line = read_request(&mut stream).await;
    (stream, line)
}

/// One call that is answered by `response`, and the endpoint's end of its connection.
pub(crate) async fn answered(
    pool: &Pool,
    listener: &TcpListener,
    addr: SocketAddr,
    response: &[u8],
) -> (TcpStream, (StatusCode, Bytes)) {
    let serve = async {
        let (mut stream, line) = accept_request(listener).await;
        assert_eq!(line, "POST /first HTTP/1.1");
        stream.write_all(response).await.unwrap();
        stream
    };
    let (stream, res) = tokio::join!(serve, call(pool, addr, "/first"));
    (stream, res.unwrap())
}

/// Sends a second call, which must go over a new connection, and returns its response's body.
pub(crate) async fn on_new_connection(pool: &Pool, listener: &TcpListener, addr: SocketAddr) {
    let serve = async {
        let (mut stream, line) = accept_request(listener).await;
        assert_eq!(line, "POST /second HTTP/1.1");
        stream.write_all(OK).await.unwrap();
        stream
    };
    let (_stream, res) = tokio::join!(serve, call(pool, addr, "/second"));
    assert_eq!(res, Ok((StatusCode::OK, "ok".into())));
}

/// Sends a second call, which must go over the given connection.
pub(crate) async fn on_same_connection(pool: &Pool, addr: SocketAddr, stream: &mut TcpStream) {
    let serve = async {
        assert_eq!(read_request(stream).await, "POST /second HTTP/1.1");
        stream.write_all(OK).await.unwrap();
    };
    let ((), res) = tokio::join!(serve, call(pool, addr, "/second"));
    assert_eq!(res, Ok((StatusCode::OK, "ok".into())));
}

pub(crate) fn joined(parts: &[&[u8]]) -> Vec<u8> {
    parts.concat()
}

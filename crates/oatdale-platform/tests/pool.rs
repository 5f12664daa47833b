//! Connections that fail, and what is known of the request that was on them.

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use oatdale_platform::{Pool, PoolConfig, Reuse, SendError};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Runs a test that waits for a connection, which never comes if the pool is wrong.
async fn bounded(test: impl Future<Output = ()>) {
    let ended = tokio::time::timeout(Duration::from_secs(60), test).await;
    ended.expect("the test waits for something that never comes");
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(1)
}

fn confirm() -> Request<Full<Bytes>> {
    Request::post("/slots/7/confirm")
        .body(Full::new(Bytes::from_static(b"{}")))
        .unwrap()
}

/// Reads one request; empty when the connection was closed instead.
async fn read_request(stream: &mut TcpStream) -> Vec<u8> {
    let mut buf = Vec::new();
    while !buf.ends_with(b"\r\n\r\n{}") {
        match stream.read_buf(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
    }
    buf
}

/// Serves one request and returns the connection, which stays open.
async fn serve_one(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.unwrap();
    assert!(!read_request(&mut stream).await.is_empty());
    stream.write_all(OK).await.unwrap();
    stream
}

async fn call(pool: &Pool, addr: SocketAddr, reuse: Reuse) -> Result<Bytes, SendError> {
    let res = pool.send(addr, confirm(), reuse, soon()).await?;
    Ok(res.into_body().collect().await.unwrap().to_bytes())
}

/// One answered call, after which the connection is idle in the pool.
async fn warm(pool: &Pool, listener: &TcpListener, addr: SocketAddr) -> TcpStream {
    let (stream, body) = tokio::join!(serve_one(listener), call(pool, addr, Reuse::Allowed));
    assert_eq!(body.unwrap(), "ok");
    sleep(Duration::from_millis(2)).await;
    assert_eq!(pool.idle(addr), 1);
    stream
}

#[tokio::test(start_paused = true)]
async fn a_connection_is_used_again_once_its_answer_was_read() {
    bounded(async {
        let (listener, addr) = listen().await;
        let pool = Pool::default();
        let mut stream = warm(&pool, &listener, addr).await;
        let serve = async {
            let request = read_request(&mut stream).await;
            stream.write_all(OK).await.unwrap();
            request
        };
        let (request, body) = tokio::join!(serve, call(&pool, addr, Reuse::Allowed));
        assert!(request.starts_with(b"POST /slots/7/confirm HTTP/1.1\r\n"));
        assert_eq!(body.unwrap(), "ok");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_is_dropped_after_its_time() {
    bounded(async {
        let (listener, addr) = listen().await;
        let pool = Pool::new(PoolConfig {
            idle_timeout: Duration::from_millis(50),
            ..PoolConfig::default()
        });
        let _first = warm(&pool, &listener, addr).await;
        sleep(Duration::from_millis(60)).await;
        let (_second, body) = tokio::join!(serve_one(&listener), call(&pool, addr, Reuse::Allowed));
        assert_eq!(body.unwrap(), "ok");
    })
    .await;
}

/// An endpoint left the configuration and gets no more calls, so nothing looks at its idle
/// connections again. Kept for ever, they would add up with each host that is replaced.
#[tokio::test(start_paused = true)]
async fn idle_connections_to_endpoints_without_calls_are_closed_too() {
    bounded(async {
        let (gone, gone_addr) = listen().await;
        let (other, other_addr) = listen().await;
        let pool = Pool::new(PoolConfig {
            idle_timeout: Duration::from_millis(50),
            ..PoolConfig::default()
        });
        let mut stream = warm(&pool, &gone, gone_addr).await;
        sleep(Duration::from_millis(60)).await;
        let _other = warm(&pool, &other, other_addr).await;
        assert_eq!(pool.idle(gone_addr), 0);
        assert_eq!(stream.read(&mut [0; 1]).await.unwrap(), 0, "it is closed");
    })
    .await;
}

/// The endpoint closed its idle connection a while ago. The pool has noticed and takes a new one,
/// and the endpoint sees the booking once.
#[tokio::test(start_paused = true)]
async fn a_connection_closed_before_the_call_is_not_used() {
    bounded(async {
        let (listener, addr) = listen().await;
        let pool = Pool::default();
        drop(warm(&pool, &listener, addr).await);
        sleep(Duration::from_millis(2)).await;
        let (_stream, body) = tokio::join!(serve_one(&listener), call(&pool, addr, Reuse::Allowed));
        assert_eq!(body.unwrap(), "ok");
    })
    .await;
}

/// The endpoint closes an idle connection in the moment in which a booking is given to it. Either
/// the connection hands the booking back unwritten and it goes over a new one, or its fate is
/// unknown; it must never be written a second time after the first may have arrived.
#[tokio::test(start_paused = true)]
async fn a_connection_closed_just_as_the_call_goes_out_never_doubles_it() {
    bounded(async {
        let (listener, addr) = listen().await;
        let pool = Pool::default();
        // The close is on the socket, but the pool's task has had no turn to see it.
        drop(warm(&pool, &listener, addr).await);
        let called = tokio::spawn({
            let pool = pool.clone();
            async move { call(&pool, addr, Reuse::Allowed).await }
        });
        let mut seen = 0;
        let serve = async {
            loop {
                drop(serve_one(&listener).await);
                seen += 1;
            }
        };
        let result = tokio::select! {
            result = called => result.unwrap(),
            () = serve => unreachable!(),
        };
        match result {
            Ok(body) => assert_eq!((body.as_ref(), seen), (b"ok".as_ref(), 1)),
            Err(SendError::Broken { .. }) => assert_eq!(seen, 0, "it was given up"),
            Err(err) => panic!("{err}"),
        }
    })
    .await;
}

/// The endpoint reads a booking from a kept connection and dies before it answers. Sending it again
/// could book twice, so the call ends as broken and nothing goes over a new connection.
#[tokio::test(start_paused = true)]
async fn a_call_read_by_a_dying_endpoint_is_not_sent_again() {
    bounded(async {
        let (listener, addr) = listen().await;
        let pool = Pool::default();
        let mut stream = warm(&pool, &listener, addr).await;
        let die = async {
            assert!(!read_request(&mut stream).await.is_empty());
            drop(stream);
        };
        let ((), result) = tokio::join!(die, call(&pool, addr, Reuse::Allowed));
        assert!(
            matches!(result, Err(SendError::Broken { .. })),
            "{result:?}"
        );
        let again = tokio::time::timeout(Duration::from_millis(50), listener.accept()).await;
        assert!(again.is_err(), "the call went out again");
    })
    .await;
}

/// A booking must not depend on an idle connection that its endpoint may be closing, so it gets a
/// new connection although an idle one is there.
#[tokio::test(start_paused = true)]
async fn a_call_that_may_not_be_repeated_gets_a_connection_of_its_own() {
    bounded(async {
        let (listener, addr) = listen().await;
        let pool = Pool::default();
        let _idle = warm(&pool, &listener, addr).await;
        let (_stream, body) = tokio::join!(serve_one(&listener), call(&pool, addr, Reuse::Never));
        assert_eq!(body.unwrap(), "ok");
    })
    .await;
}

/// Nothing listens at the endpoint. The caller is told that its booking was not run.
#[tokio::test(start_paused = true)]
async fn a_refused_connection_sent_nothing() {
    bounded(async {
        // A bound socket that does not listen keeps the port from others.
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
        let addr = socket.local_addr().unwrap();
        let result = call(&Pool::default(), addr, Reuse::Allowed).await;
        assert!(
            matches!(result, Err(SendError::NotSent { .. })),
            "{result:?}"
        );
    })
    .await;
}

/// The endpoint accepts the connection and closes it at once, before it read anything. The request
/// was on its way by then, so nobody can say that it was not run.
#[tokio::test(start_paused = true)]
async fn an_answer_cut_off_in_its_head_is_broken() {
    bounded(async {
        let (listener, addr) = listen().await;
        let pool = Pool::default();
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_request(&mut stream).await;
            stream.write_all(b"HTTP/1.1 200 O").await.unwrap();
        };
        let ((), result) = tokio::join!(serve, call(&pool, addr, Reuse::Allowed));
        assert!(
            matches!(result, Err(SendError::Broken { .. })),
            "{result:?}"
        );
    })
    .await;
}

/// The endpoint reads the call and never answers. The call ends at its deadline, and closing the
/// connection tells the endpoint to stop.
#[tokio::test(start_paused = true)]
async fn a_call_without_answer_ends_at_its_deadline_and_closes() {
    bounded(async {
        let (listener, addr) = listen().await;
        let pool = Pool::default();
        let begun = Instant::now();
        let hang = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_request(&mut stream).await;
            stream.read(&mut [0; 1]).await.unwrap()
        };
        let (read, result) = tokio::join!(hang, call(&pool, addr, Reuse::Allowed));
        assert_eq!(result.unwrap_err(), SendError::TimedOut);
        assert_eq!(read, 0, "the endpoint sees the end of the connection");
        assert!(begun.elapsed() < Duration::from_millis(1010));
        assert_eq!(pool.idle(addr), 0);
    })
    .await;
}

/// The caller goes away in the middle of an answer. The rest must neither be read by the next call
/// on that connection nor go on costing the endpoint's time.
#[tokio::test(start_paused = true)]
async fn an_answer_dropped_half_read_closes_its_connection() {
    bounded(async {
        let (listener, addr) = listen().await;
        let pool = Pool::default();
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_request(&mut stream).await;
            let head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\nbegin";
            stream.write_all(head).await.unwrap();
            stream.read(&mut [0; 1]).await.unwrap_or(0)
        };
        let drop_half = async {
            let res = pool.send(addr, confirm(), Reuse::Allowed, soon()).await;
            let mut body = res.unwrap().into_body();
            body.frame().await.unwrap().unwrap();
        };
        let (read, ()) = tokio::join!(serve, drop_half);
        assert_eq!(read, 0);
        assert_eq!(pool.idle(addr), 0);
    })
    .await;
}

// Guards against requests that reach an endpoint after they were given up: a link that was broken meanwhile
// delivers what the operating system still has of them.
#[tokio::test]
async fn request_that_was_given_up_is_not_delivered_later() {
    const BODY_BYTES: usize = 100_000;
    bounded(async {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        // Less than the request, as if the link had taken a part of it before it broke.
        socket.set_recv_buffer_size(4_096).unwrap();
        socket
            .bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
            .unwrap();
        let listener = socket.listen(8).unwrap();
        let addr = listener.local_addr().unwrap();
        let pool = Pool::new(PoolConfig::default());
        let body = Full::new(Bytes::from(vec![b'x'; BODY_BYTES]));
        let req = Request::post("/slots/7/confirm").body(body).unwrap();
        let deadline = Instant::now() + Duration::from_millis(300);
        let (sent, accepted) = tokio::join!(
            pool.send(addr, req, Reuse::Allowed, deadline),
            listener.accept()
        );
        assert_eq!(sent.map(|_| ()), Err(SendError::TimedOut));
        sleep(Duration::from_millis(200)).await;
        let (mut stream, _) = accepted.unwrap();
        let mut received = Vec::new();
        // An error is the end of what arrives too.
        let _ = stream.read_to_end(&mut received).await;
        assert!(received.len() < BODY_BYTES, "{} bytes", received.len());
    })
    .await;
}

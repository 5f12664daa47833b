//! What the pool says of a request, and which response it takes for its own, over endpoints that
//! answer early, twice or late, or close at any point.

#[path = "support/raw_endpoint.rs"]
mod raw_endpoint;

use http::StatusCode;
use http_body_util::BodyExt;
use oatdale_platform::{Pool, PoolConfig, ResponseConnection, Reuse, SendError};
use raw_endpoint::{
    LATE, OK, SETTLED, accept_request, answered, bounded, call, joined, listen, on_new_connection,
    on_same_connection, read_head, read_request, request, send, soon, with_pool,
};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// Longer than what sockets buffer on both sides.
const LONG_BODY_BYTES: usize = 32 << 20;

// Guards against requests written behind the rest of another one's body: an endpoint that rejects a long
// body unread answers before all of it is written, and reads what follows as it likes.
#[tokio::test]
async fn response_before_end_of_request_ends_connection() {
    with_pool(async |pool, listener, addr| {
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_head(&mut stream).await;
            stream.write_all(LATE).await.unwrap();
            stream
        };
        let early = async {
            let req = request("/first", vec![b'x'; LONG_BODY_BYTES]);
            let res = pool.send(addr, req, Reuse::Allowed, soon()).await.unwrap();
            res.into_body().collect().await.unwrap();
            sleep(SETTLED).await;
        };
        let (_stream, ()) = tokio::join!(serve, early);
        assert_eq!(pool.idle(addr), 0);
        on_new_connection(&pool, &listener, addr).await;
    })
    .await;
}

// Guards against bytes of an early rejected request that are lost or come twice where the endpoint reads on.
#[tokio::test]
async fn early_response_to_body_that_is_read_on_loses_no_byte() {
    bounded(async {
        for body_bytes in [64 << 10, 256 << 10, 1 << 20] {
            let (listener, addr) = listen().await;
            let pool = Pool::default();
            let body: Vec<u8> = (0..body_bytes).map(|i| (i % 251) as u8).collect();
            let sent = body.clone();
            let serve = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                assert_eq!(read_head(&mut stream).await, "POST /first HTTP/1.1");
                stream.write_all(LATE).await.unwrap();
                sleep(SETTLED).await;
                let mut read = vec![0; body_bytes];
                let whole = stream.read_exact(&mut read).await.is_ok();
                assert!(!whole || read == body, "{body_bytes}");
                // The next request comes behind it or on another connection.
                let mut stream = match whole {
                    true => tokio::select! {
                        _ = stream.readable() => stream,
                        accepted = listener.accept() => accepted.unwrap().0,
                    },
                    false => listener.accept().await.unwrap().0,
                };
                let mut line = read_request(&mut stream).await;
                if line.is_empty() {
                    (stream, line) = accept_request(&listener).await;
                }
                assert_eq!(line, "POST /second HTTP/1.1", "{body_bytes}");
                stream.write_all(OK).await.unwrap();
                stream
            };
            let calls = async {
                let req = request("/first", sent);
                let res = pool.send(addr, req, Reuse::Allowed, soon()).await.unwrap();
                assert_eq!(res.into_body().collect().await.unwrap().to_bytes(), "late");
                sleep(2 * SETTLED).await;
                call(&pool, addr, "/second").await
            };
            let (_stream, res) = tokio::join!(serve, calls);
            assert_eq!(res, Ok((StatusCode::OK, "ok".into())), "{body_bytes}");
        }
    })
    .await;
}

// Guards against a second response in the same packet that is taken for that of the next request.
#[tokio::test]
async fn bytes_behind_response_end_connection() {
    let cases: [(&str, Vec<u8>); 8] = [
        ("a second response", joined(&[OK, LATE])),
        ("garbage", joined(&[OK, b"\r\n\0garbage"])),
        ("a line break", joined(&[OK, b"\r\n"])),
        (
            "a body longer than its length",
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokok".to_vec(),
        ),
        (
            "bytes after the last chunk",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nHTTP/1.1 503 X\r\n\r\n".to_vec(),
        ),
        (
            "a 204 with a body",
            b"HTTP/1.1 204 No Content\r\ncontent-length: 2\r\n\r\nok".to_vec(),
        ),
        (
            "a 304 with a body",
            b"HTTP/1.1 304 Not Modified\r\ncontent-length: 2\r\n\r\nok".to_vec(),
        ),
        (
            "more after Connection: close",
            b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n".to_vec(),
        ),
    ];
    bounded(async {
        for (case, response) in cases {
            for pause in [Duration::ZERO, SETTLED] {
                let (listener, addr) = listen().await;
                let pool = Pool::default();
                let (_stream, (status, _)) = answered(&pool, &listener, addr, &response).await;
                assert!(status.as_u16() < 400, "{case}");
                if !pause.is_zero() {
                    sleep(pause).await;
                }
                on_new_connection(&pool, &listener, addr).await;
            }
        }
    })
    .await;
}

// Guards against a late second response on an idle connection that is taken for that of the next request.
#[tokio::test]
async fn bytes_on_idle_connection_end_it() {
    bounded(async {
        for bytes in [LATE, b"\r\n", b"garbage", b"HTTP/1.1 100 Continue\r\n\r\n"] {
            let (listener, addr) = listen().await;
            let pool = Pool::default();
            let (mut stream, _) = answered(&pool, &listener, addr, OK).await;
            sleep(SETTLED).await;
            assert_eq!(pool.idle(addr), 1);
            stream.write_all(bytes).await.unwrap();
            sleep(SETTLED).await;
            on_new_connection(&pool, &listener, addr).await;
        }
    })
    .await;
}

// Guards against a late second response that is on the socket, unseen by the connection's task, when the
// next request is given to it.
#[tokio::test]
async fn bytes_that_arrive_as_next_request_is_given_end_connection() {
    bounded(async {
        for round in 0..200 {
            let (listener, addr) = listen().await;
            let pool = Pool::default();
            let (stream, _) = answered(&pool, &listener, addr, OK).await;
            sleep(Duration::from_millis(2)).await;
            assert_eq!(pool.idle(addr), 1);
            // Nothing else runs between this write and the first poll of the call.
            assert_eq!(stream.try_write(LATE).unwrap(), LATE.len());
            let mut stream = stream;
            let old = async {
                let line = read_request(&mut stream).await;
                assert_eq!(line, "", "written to it in round {round}");
            };
            tokio::join!(old, on_new_connection(&pool, &listener, addr));
        }
    })
    .await;
}

// Guards against a request that is lost, and may have run for all that is known, because its connection was
// closed, unseen by the connection's task, when it was given to it.
#[tokio::test]
async fn connection_closed_as_next_request_is_given_is_passed_over() {
    bounded(async {
        for _ in 0..200 {
            let (listener, addr) = listen().await;
            let pool = Pool::default();
            let (stream, _) = answered(&pool, &listener, addr, OK).await;
            sleep(Duration::from_millis(2)).await;
            assert_eq!(pool.idle(addr), 1);
            drop(stream);
            on_new_connection(&pool, &listener, addr).await;
        }
    })
    .await;
}

// Guards against connections that stay out of step: once a second response was taken for that of the next
// request, the true one must not wait for a third request.
#[tokio::test]
async fn connection_whose_response_was_another_requests_is_not_used_again() {
    with_pool(async |pool, listener, addr| {
        let (mut stream, _) = answered(&pool, &listener, addr, OK).await;
        sleep(SETTLED).await;
        let serve = async {
            assert_eq!(read_request(&mut stream).await, "POST /mixed HTTP/1.1");
            stream.write_all(LATE).await.unwrap();
            sleep(SETTLED).await;
            let _ = stream.write_all(OK).await;
        };
        let ((), res) = tokio::join!(serve, call(&pool, addr, "/mixed"));
        assert_eq!(res.unwrap().0, StatusCode::SERVICE_UNAVAILABLE);
        sleep(SETTLED).await;
        on_new_connection(&pool, &listener, addr).await;
    })
    .await;
}

// Guards against a response without a sign that it may be another request's: the endpoint rejects a long body
// unread and reads it as a next request, whose rejection comes in the place of the next one's response.
#[tokio::test]
async fn response_to_rest_of_a_body_has_earlier_responses() {
    const BODY_BYTES: usize = 64 << 10;
    with_pool(async |pool, listener, addr| {
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_head(&mut stream).await;
            stream.write_all(LATE).await.unwrap();
            stream.read_exact(&mut vec![0; BODY_BYTES]).await.unwrap();
            assert_eq!(read_request(&mut stream).await, "POST /second HTTP/1.1");
            let bad = b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(&joined(&[bad, OK])).await.unwrap();
            stream
        };
        let calls = async {
            let req = request("/first", vec![b'x'; BODY_BYTES]);
            let res = pool.send(addr, req, Reuse::Allowed, soon()).await.unwrap();
            let connection = res.extensions().get::<ResponseConnection>().unwrap();
            assert_eq!(connection.earlier_responses(), 0);
            res.into_body().collect().await.unwrap();
            sleep(SETTLED).await;
            let res = send(&pool, addr, "/second").await.unwrap();
            assert_eq!(res.status(), StatusCode::BAD_REQUEST);
            let connection = res.extensions().get::<ResponseConnection>().unwrap();
            assert_eq!(connection.earlier_responses(), 1);
            sleep(SETTLED).await;
        };
        let (_stream, ()) = tokio::join!(serve, calls);
        on_new_connection(&pool, &listener, addr).await;
    })
    .await;
}

// Guards against a request given up by its caller whose response is taken for that of the next one, or that is
// written after it was given up.
#[tokio::test]
async fn request_given_up_at_any_point_takes_its_connection_along() {
    bounded(async {
        for polls in 0..6 {
            let (listener, addr) = listen().await;
            let pool = Pool::default();
            let (mut stream, _) = answered(&pool, &listener, addr, OK).await;
            sleep(Duration::from_millis(2)).await;
            assert_eq!(pool.idle(addr), 1);
            let mut given_up = Box::pin(send(&pool, addr, "/given-up"));
            for _ in 0..polls {
                assert!(futures::poll!(&mut given_up).is_pending());
                tokio::task::yield_now().await;
            }
            drop(given_up);
            if polls == 0 {
                on_same_connection(&pool, addr, &mut stream).await;
                continue;
            }
            assert_eq!(pool.idle(addr), 0, "{polls}");
            let serve = async {
                // It was written or not; either way nothing follows.
                let line = read_request(&mut stream).await;
                assert!(["", "POST /given-up HTTP/1.1"].contains(&line.as_str()));
                let _ = stream.write_all(LATE).await;
                assert_eq!(read_request(&mut stream).await, "", "{polls}");
            };
            tokio::join!(serve, on_new_connection(&pool, &listener, addr));
        }
    })
    .await;
}

// Guards against the response that comes after the deadline and is taken for that of the next request.
#[tokio::test]
async fn response_after_deadline_belongs_to_no_request() {
    with_pool(async |pool, listener, addr| {
        let (mut stream, _) = answered(&pool, &listener, addr, OK).await;
        sleep(SETTLED).await;
        let serve = async {
            assert_eq!(read_request(&mut stream).await, "POST /late HTTP/1.1");
            sleep(2 * SETTLED).await;
            let _ = stream.write_all(LATE).await;
            assert_eq!(read_request(&mut stream).await, "");
        };
        let late = async {
            let deadline = Instant::now() + SETTLED;
            let res = pool.send(addr, request("/late", "{}"), Reuse::Allowed, deadline);
            assert_eq!(res.await.map(|_| ()), Err(SendError::TimedOut));
            on_new_connection(&pool, &listener, addr).await;
        };
        tokio::join!(serve, late);
    })
    .await;
}

// Guards against mixed-up responses among hundreds of connections to one address, a third of whose callers read
// slowly or stop in the middle.
#[tokio::test]
async fn responses_on_hundreds_of_connections_are_their_requests_own() {
    const CALLERS: usize = 300;
    const ROUNDS: usize = 5;
    const REPEATS: usize = 5_000;
    async fn serve(mut stream: TcpStream) {
        loop {
            let line = read_request(&mut stream).await;
            let Some(path) = line.split(' ').nth(1) else {
                return;
            };
            let body = path.repeat(REPEATS);
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            if stream.write_all(head.as_bytes()).await.is_err()
                || stream.write_all(body.as_bytes()).await.is_err()
            {
                return;
            }
        }
    }
    bounded(async {
        let (listener, addr) = listen().await;
        let accept = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serve(stream));
            }
        });
        let pool = Pool::new(PoolConfig {
            // All connections and both of their ends share one thread.
            connect_timeout: Duration::from_secs(30),
            ..PoolConfig::default()
        });
        let callers = (0..CALLERS).map(|nr| {
            let pool = &pool;
            async move {
                for round in 0..ROUNDS {
                    let path = format!("/calls/{nr:03}/{round}");
                    let deadline = Instant::now() + Duration::from_secs(30);
                    let req = request(&path, "{}");
                    let res = pool.send(addr, req, Reuse::Allowed, deadline).await;
                    let mut body = res.unwrap().into_body();
                    let mut read = Vec::new();
                    if nr % 3 == 0 {
                        let frame = body.frame().await.unwrap().unwrap();
                        read.extend(frame.into_data().unwrap());
                        sleep(Duration::from_millis(20)).await;
                    }
                    if nr % 6 == 0 {
                        assert!(path.repeat(REPEATS).as_bytes().starts_with(&read), "{path}");
                        continue;
                    }
                    read.extend(body.collect().await.unwrap().to_bytes());
                    assert!(read == path.repeat(REPEATS).as_bytes(), "{path}");
                }
            }
        });
        futures::future::join_all(callers).await;
        accept.abort();
    })
    .await;
}

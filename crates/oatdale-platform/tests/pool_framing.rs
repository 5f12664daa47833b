//! Whether connections stay in step behind responses of every kind of framing, or are not used again.

#[path = "support/raw_endpoint.rs"]
mod raw_endpoint;

use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use oatdale_platform::{Reuse, SendError};
use raw_endpoint::{
    OK, SETTLED, accept_request, answered, call, joined, on_new_connection, on_same_connection,
    read_head, send, soon, with_pool,
};
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

// Guards against interim responses taken for the final one, which then waits for the next request.
#[tokio::test]
async fn interim_responses_are_passed_over() {
    let interim: [&[u8]; 3] = [
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
        b"HTTP/1.1 102 Processing\r\nx-not-started: true\r\n\r\n",
    ];
    for first in interim {
        with_pool(async |pool, listener, addr| {
            let (mut stream, res) =
                answered(&pool, &listener, addr, &joined(&[first, first, OK])).await;
            assert_eq!(res, (StatusCode::OK, "ok".into()));
            sleep(SETTLED).await;
            on_same_connection(&pool, addr, &mut stream).await;
        })
        .await;
    }
}

// Guards against requests written to a connection that speaks another protocol since a 101.
#[tokio::test]
async fn upgraded_connection_is_not_used_again() {
    with_pool(async |pool, listener, addr| {
        let upgrade = b"HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\nHTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n";
        let (_stream, (status, _)) = answered(&pool, &listener, addr, upgrade).await;
        assert_eq!(status, StatusCode::SWITCHING_PROTOCOLS);
        sleep(SETTLED).await;
        on_new_connection(&pool, &listener, addr).await;
    })
    .await;
}

// Guards against requests on connections that end with their response.
#[tokio::test]
async fn connections_that_end_with_their_response_are_not_used_again() {
    let responses: [&[u8]; 4] = [
        b"HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok",
        b"HTTP/1.0 200 OK\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",
    ];
    for response in responses {
        with_pool(async |pool, listener, addr| {
            let serve = async {
                let (mut stream, _) = accept_request(&listener).await;
                stream.write_all(response).await.unwrap();
                stream.shutdown().await.unwrap();
                stream
            };
            let (_stream, res) = tokio::join!(serve, call(&pool, addr, "/first"));
            assert_eq!(res, Ok((StatusCode::OK, "ok".into())));
            sleep(SETTLED).await;
            assert_eq!(pool.idle(addr), 0);
            on_new_connection(&pool, &listener, addr).await;
        })
        .await;
    }
}

// Guards against a connection out of step behind a response whose body is framed in an unusual way.
#[tokio::test]
async fn responses_with_unusual_framing_leave_connection_in_step() {
    let responses: [(&[u8], &str); 4] = [
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "ok",
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n2;q=1\r\nok\r\n0\r\nx-sum: 7\r\n\r\n",
            "ok",
        ),
        (b"HTTP/1.1 204 No Content\r\n\r\n", ""),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", ""),
    ];
    for (response, body) in responses {
        with_pool(async |pool, listener, addr| {
            let (mut stream, res) = answered(&pool, &listener, addr, response).await;
            assert_eq!(res.1, body);
            sleep(SETTLED).await;
            on_same_connection(&pool, addr, &mut stream).await;
        })
        .await;
    }
}

// Guards against a HEAD request's response whose length is waited for as a body.
#[tokio::test]
async fn response_to_head_has_no_body_whatever_its_length() {
    with_pool(async |pool, listener, addr| {
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert_eq!(read_head(&mut stream).await, "HEAD /first HTTP/1.1");
            let head = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n";
            stream.write_all(head).await.unwrap();
            stream
        };
        let head = async {
            let req = Request::head("/first").body(Full::default()).unwrap();
            let res = pool.send(addr, req, Reuse::Allowed, soon()).await.unwrap();
            res.into_body().collect().await.unwrap().to_bytes()
        };
        let (mut stream, body) = tokio::join!(serve, head);
        assert!(body.is_empty());
        sleep(SETTLED).await;
        on_same_connection(&pool, addr, &mut stream).await;
    })
    .await;
}

// Guards against the start of one response read as the rest of another's body, or as two responses.
#[tokio::test]
async fn ambiguous_or_short_bodies_end_connection() {
    let responses: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 4\r\n\r\nokok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2, 4\r\n\r\nokok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n",
    ];
    for response in responses {
        with_pool(async |pool, listener, addr| {
            let serve = async {
                let (mut stream, _) = accept_request(&listener).await;
                stream.write_all(response).await.unwrap();
                sleep(SETTLED).await;
                stream
            };
            let ask = async {
                match send(&pool, addr, "/first").await {
                    Err(err) => assert!(matches!(err, SendError::Broken { .. }), "{err}"),
                    Ok(res) => {
                        let body = timeout(SETTLED, res.into_body().collect()).await;
                        assert!(!matches!(body, Ok(Ok(_))), "{response:?}");
                    }
                }
            };
            let (_stream, ()) = tokio::join!(serve, ask);
            sleep(SETTLED).await;
            assert_eq!(pool.idle(addr), 0);
            on_new_connection(&pool, &listener, addr).await;
        })
        .await;
    }
}

//! Calls over connections that served others before: what their responses prove.

#[path = "support/site.rs"]
mod site;

use http::StatusCode;
use site::{Site, usual_states};
use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};

const CHAT: &[u8] = b"POST /v1/chat/completions ";

/// Puts other addresses in place of the endpoints whose names begin with `prefix`.
async fn replace(site: &mut Site, prefix: &str, mut by: impl AsyncFnMut(SocketAddr) -> SocketAddr) {
    let mut text = site::text(&site.stand_ins, &usual_states(), 0.5);
    for listening in site.stand_ins.listening() {
        if listening.name.starts_with(prefix) {
            let other = by(listening.address).await;
            text = text.replace(
                &format!("\"{}\"", listening.address),
                &format!("\"{other}\""),
            );
        }
    }
    site.apply_text(text).await;
    site.in_force().await;
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Passes connections on to `to`, and notes the caller's address for each completion.
async fn noting_relay(to: SocketAddr, seen: Arc<Mutex<Vec<SocketAddr>>>) -> SocketAddr {
    let (listener, addr) = listen().await;
    tokio::spawn(async move {
        loop {
            let (stream, from) = listener.accept().await.unwrap();
            tokio::spawn(relay(stream, from, to, seen.clone()));
        }
    });
    addr
}

async fn relay(
    stream: TcpStream,
    from: SocketAddr,
    to: SocketAddr,
    seen: Arc<Mutex<Vec<SocketAddr>>>,
) {
    let Ok(engine) = TcpStream::connect(to).await else {
        return;
    };
    let (mut from_node, mut to_node) = stream.into_split();
    let (mut from_engine, mut to_engine) = engine.into_split();
    tokio::spawn(async move { copy(&mut from_engine, &mut to_node).await });
    let mut buf = vec![0; 64 << 10];
    while let Ok(len @ 1..) = from_node.read(&mut buf).await {
        if buf[..len].starts_with(CHAT) {
            seen.lock().unwrap().push(from);
        }
        if to_engine.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

// Guards against completions that must not run twice and are sent over a connection that served others, where
// an engine may be closing it or a late response may come first.
#[tokio::test]
async fn completions_that_must_not_run_twice_get_connections_of_their_own() {
    let mut site = Site::start(1).await;
    let seen = Arc::<Mutex<Vec<SocketAddr>>>::default();
    replace(&mut site, "engine-", async |to| {
        noting_relay(to, seen.clone()).await
    })
    .await;
    let calls = async |more: &[(&str, &str)]| {
        for n in 0..12 {
            let got = site.chat(0, &format!("mail {n}"), more).await;
            assert_eq!(got.status, StatusCode::OK, "{}", got.text());
        }
        let seen = std::mem::take(&mut *seen.lock().unwrap());
        assert!(seen.len() >= 12, "{seen:?}");
        let connections: HashSet<SocketAddr> = seen.iter().copied().collect();
        (seen.len(), connections)
    };
    let (sent, kept) = calls(&[]).await;
    assert!(kept.len() < sent, "none was used again");
    let (sent, own) = calls(&[("x-idempotent", "false")]).await;
    assert_eq!(own.len(), sent, "completions shared a connection");
    assert!(own.is_disjoint(&kept), "a completion went over a kept one");
}

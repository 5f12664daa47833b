//! Calls over connections that served others before: what their responses prove.

#[path = "support/site.rs"]
mod site;

use futures::future::join_all;
use http::StatusCode;
use site::{Site, usual_states};
use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

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

/// Time that the first response of a connection takes.
const FIRST_RESPONSE: Duration = Duration::from_millis(100);

/// Requests at the same time, after which as many connections are kept.
const KEPT: usize = 24;

/// Which request a refusal names, if any.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Named {
    None,
    Other,
    This,
}

/// A service that answers the first request of a connection, runs the later ones too, and writes a refusal
/// as the response to them.
#[derive(Clone)]
struct LateRefusals {
    named: Named,
    ran: Arc<Mutex<HashSet<String>>>,
}

impl LateRefusals {
    async fn start(&self) -> SocketAddr {
        let (listener, addr) = listen().await;
        let service = self.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(service.clone().serve(stream));
            }
        });
        addr
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut first = true;
        while let Some((path, id)) = read_request(&mut stream).await {
            self.ran.lock().unwrap().insert(path);
            if first {
                // So that requests at the same time get connections of their own.
                sleep(FIRST_RESPONSE).await;
            }
            let response = match (first, self.named) {
                (true, _) => "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}".to_owned(),
                (false, Named::None) => refusal(None),
                (false, Named::Other) => refusal(Some("another")),
                (false, Named::This) => refusal(Some(&id)),
            };
            first = false;
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

fn refusal(id: Option<&str>) -> String {
    let id = id.map_or(String::new(), |id| format!("x-request-id: {id}\r\n"));
    format!(
        "HTTP/1.1 503 Service Unavailable\r\n{id}x-not-started: true\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Reads a request whose body is `{}`, and returns its path and its id.
async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut buf = Vec::new();
    while !buf.ends_with(b"\r\n\r\n{}") {
        buf.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8(buf).unwrap();
    let path = text.split(' ').nth(1).unwrap().to_owned();
    let id = text
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    Some((path, id.unwrap_or_default().to_owned()))
}

/// Starts a site whose desks are `service`, with connections that served a request.
async fn site_of(service: &LateRefusals) -> Site {
    let mut site = Site::start(1).await;
    replace(&mut site, "plain-", async |_| service.start().await).await;
    let warm = (0..KEPT).map(|_| site.desk(0, "GET", "/warm", &[]));
    for got in join_all(warm).await {
        assert_eq!(got.status, StatusCode::OK, "{}", got.text());
    }
    site
}

// Guards against requests that run and are answered as not run: a refusal that names no request, or another
// one, comes on a kept connection in the place of their response.
#[tokio::test]
async fn refusal_that_may_be_another_requests_is_no_promise() {
    for named in [Named::None, Named::Other] {
        let service = LateRefusals {
            named,
            ran: Arc::default(),
        };
        let site = site_of(&service).await;
        let mut failed = 0;
        for n in 0..20 {
            let path = format!("/slots/{n}");
            let got = site.desk(0, "GET", &path, &[]).await;
            let ran = service.ran.lock().unwrap().contains(&path);
            assert!(ran || got.run() == "not-run", "{named:?}: {}", got.text());
            assert!(
                !ran || got.run() != "not-run",
                "it ran, {named:?}: {}",
                got.text()
            );
            failed += usize::from(!got.status.is_success());
        }
        assert!(failed > 0, "no connection was used again");
    }
}

// Guards against refusals that count for nothing: one that names its request is a promise on any connection,
// and callers would otherwise learn less than the endpoint has said.
#[tokio::test]
async fn refusal_that_names_its_request_is_a_promise_on_kept_connections() {
    let service = LateRefusals {
        named: Named::This,
        ran: Arc::default(),
    };
    let site = site_of(&service).await;
    let mut refused = 0;
    for n in 0..20 {
        let got = site.desk(0, "GET", &format!("/slots/{n}"), &[]).await;
        if !got.status.is_success() {
            assert_eq!(got.run(), "not-run", "{}", got.text());
            refused += 1;
        }
    }
    assert!(refused > 0, "no connection was used again");
}

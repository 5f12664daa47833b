//! Callers: what they ask and what they were told.

use crate::run::{LARGE_KEY, NODES, Run, Seen};
use crate::site::{self, Got};
use http::StatusCode;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// What a request was.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Kind {
    /// A draft of this prompt, streamed or not.
    Chat { prompt: String, stream: bool },
    /// A lookup at the desk.
    Lookup { path: String },
    /// A confirmation at the desk, with a key or without.
    Confirm { path: String, keyed: bool },
}

/// One request and its answer.
#[derive(Debug)]
pub(crate) struct Op {
    pub(crate) caller: u64,
    pub(crate) kind: Kind,
    pub(crate) key: &'static str,
    /// The session that it belonged to.
    pub(crate) session: Option<String>,
    /// The revision that the node had told before it was asked; 0 if it told none.
    pub(crate) revision: u64,
    pub(crate) asked: Instant,
    pub(crate) told: Instant,
    /// `None` when no answer began.
    pub(crate) got: Option<Got>,
}

impl Op {
    pub(crate) fn request(&self) -> Option<String> {
        self.got.as_ref()?.request()
    }

    pub(crate) fn version(&self) -> Option<&str> {
        self.got.as_ref()?.headers.get("x-version")?.to_str().ok()
    }

    /// Whether it says that it did not run.
    pub(crate) fn not_run(&self) -> bool {
        self.got.as_ref().is_some_and(|got| got.run() == "not-run")
    }

    /// Whether it claims to be a whole answer.
    pub(crate) fn success(&self) -> bool {
        let whole = |got: &Got| got.whole && got.status.is_success();
        let problem = |got: &Got| got.text().contains("\"run\":\"may-have-run\"");
        self.got
            .as_ref()
            .is_some_and(|got| whole(got) && !problem(got))
    }
}

/// Asks until the run's end.
pub(crate) async fn call(run: &Run, caller: u64, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut token = None;
    let mut number = 0;
    while Instant::now() < run.end {
        number += 1;
        let unique = format!("{caller}-{number}");
        let node = rng.random_range(0..NODES);
        match rng.random_range(0..8) {
            0 | 1 => chat(run, caller, node, &unique, site::KEY, None).await,
            2 => chat(run, caller, node, &unique, LARGE_KEY, None).await,
            3 => {
                let name = format!("shared {}", rng.random_range(0..6));
                chat(
                    run,
                    caller,
                    node,
                    &unique,
                    site::KEY,
                    Some(("x-session", &name)),
                )
                .await;
            }
            4 => {
                let Some(held) = token.take().or(open(run, node).await) else {
                    continue;
                };
                let session = Some(("x-session-token", held.as_str()));
                chat(run, caller, node, &unique, site::KEY, session).await;
                token = (rng.random_range(0..6) > 0).then_some(held);
            }
            5 => {
                let path = format!("/slots/{unique}");
                ask(run, caller, node, Kind::Lookup { path }, site::KEY, None).await;
            }
            6 => {
                let path = format!("/slots/u{unique}/confirm");
                let kind = Kind::Confirm { path, keyed: false };
                ask(run, caller, node, kind, site::KEY, None).await;
            }
            _ => confirm(run, caller, &unique, &mut rng).await,
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..15))).await;
    }
}

/// A confirmation whose caller asks again with its key, at any node, whatever it was told.
async fn confirm(run: &Run, caller: u64, unique: &str, rng: &mut Pcg64Mcg) {
    for _ in 0..3 {
        let path = format!("/slots/k{unique}/confirm");
        let kind = Kind::Confirm { path, keyed: true };
        let node = rng.random_range(0..NODES);
        let status = ask(run, caller, node, kind, site::KEY, None).await;
        let done = status.is_some_and(|status| status.is_success());
        if done && rng.random_range(0..3) > 0 {
            return;
        }
    }
}

async fn chat(
    run: &Run,
    caller: u64,
    node: usize,
    unique: &str,
    key: &'static str,
    session: Option<(&'static str, &str)>,
) {
    let kind = Kind::Chat {
        prompt: format!("log of {unique}"),
        stream: unique.len().is_multiple_of(2),
    };
    ask(run, caller, node, kind, key, session).await;
}

async fn open(run: &Run, node: usize) -> Option<String> {
    let (callers, _) = run.addresses.borrow()[node];
    let auth = site::bearer(site::KEY);
    let headers = [("authorization", auth.as_str())];
    let body = r#"{"model":"drafts"}"#;
    let got = run
        .site
        .try_send(callers, "POST", "/v1/sessions", &headers, body)
        .await?;
    Some(got.json()["token"].as_str()?.to_owned())
}

async fn ask(
    run: &Run,
    caller: u64,
    node: usize,
    kind: Kind,
    key: &'static str,
    session: Option<(&'static str, &str)>,
) -> Option<StatusCode> {
    let (callers, admin) = run.addresses.borrow()[node];
    let revision = revision(run, node, admin).await.unwrap_or_default();
    let auth = site::bearer(key);
    let mut headers = vec![("authorization", auth.as_str()), ("x-timeout-ms", "1500")];
    headers.extend(session);
    let (method, path, body) = match &kind {
        Kind::Chat { prompt, stream } => {
            let body = site::chat_json(prompt, *stream);
            ("POST", "/v1/chat/completions".to_owned(), body)
        }
        Kind::Lookup { path } => ("GET", format!("/services/desk{path}"), String::new()),
        Kind::Confirm { path, keyed } => {
            if *keyed {
                headers.push(("idempotency-key", path));
            }
            ("POST", format!("/services/desk{path}"), "{}".to_owned())
        }
    };
    let asked = Instant::now();
    run.under_way.set(run.under_way.get() + 1);
    let got = run
        .site
        .try_send(callers, method, &path, &headers, body)
        .await;
    run.under_way.set(run.under_way.get() - 1);
    let status = got.as_ref().map(|got| got.status);
    run.ops.borrow_mut().push(Op {
        caller,
        kind,
        key,
        session: session.map(|(_, name)| name.to_owned()),
        revision,
        asked,
        told: Instant::now(),
        got,
    });
    status
}

/// The revision that a node says is in force, if it is there.
pub(crate) async fn revision(run: &Run, node: usize, admin: SocketAddr) -> Option<u64> {
    let asked = Instant::now();
    let got = run
        .site
        .try_send(admin, "GET", "/v1/status", &[], "")
        .await?;
    let revision = got.json()["revision"].as_u64()?;
    run.seen.borrow_mut().push(Seen {
        node,
        asked,
        told: Instant::now(),
        revision,
    });
    Some(revision)
}

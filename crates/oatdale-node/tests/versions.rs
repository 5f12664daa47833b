//! Which versions requests run on: only those that their customer may use and that take work.

#[path = "support/site.rs"]
mod site;

use futures::future::join_all;
use http::StatusCode;
use oatdale_fakes::{EngineHandle, Fault};
use oatdale_journal::{Millis, Pin, Preferred, SessionKey, Settings, journal, run};
use sha2::{Digest, Sha256};
use site::{Site, States, bearer, until};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// How many requests each engine began on a version.
fn begun(site: &Site, version: &str) -> usize {
    let calls = site
        .stand_ins
        .engines()
        .iter()
        .flat_map(EngineHandle::calls);
    calls.filter(|call| call.version == version).count()
}

async fn open_session(site: &Site, node: usize) -> (String, String) {
    let auth = bearer(site::KEY);
    let headers = [("authorization", auth.as_str())];
    let body = r#"{"model":"drafts"}"#;
    let got = site
        .send(site.callers(node), "POST", "/v1/sessions", &headers, body)
        .await;
    assert_eq!(got.status, StatusCode::OK, "{}", got.text());
    let word = |name: &str| got.json()[name].as_str().unwrap().to_owned();
    (word("token"), word("version"))
}

fn with(changes: &[(&'static str, &'static str)]) -> States {
    let mut states = site::usual_states();
    states.extend(changes.iter().copied());
    states
}

// An operator withdraws a version while requests stream in at every node, alone, in sessions by
// token and by name, judged by a cascade, and tried again after engines' failures. Once a node says
// that the revision is in force, the withdrawn version must see nothing more from it.
#[tokio::test]
async fn a_withdrawn_version_gets_nothing_on_any_path() {
    // Such a quality that the cascade begins with the small model.
    let states = with(&[("large/2", "{ state: serving")]);
    let mut site = Site::with(3, &states, 0.9).await;
    let (token, pinned) = open_session(&site, 0).await;
    let named = [("x-session", "night shift")];
    let first = site.chat(1, "a note", &named).await;
    assert_eq!(first.status, StatusCode::OK, "{}", first.text());
    let named_version = first.headers["x-version"].to_str().unwrap().to_owned();
    for withdrawn in ["large/1", "small/1"] {
        let changed: States = states
            .iter()
            .map(|(name, state)| match *name == withdrawn {
                true => (*name, "{ state: withdrawn"),
                false => (*name, *state),
            })
            .collect();
        site.apply(&changed, 0.9).await;
        site.in_force().await;
        let before = begun(&site, withdrawn);
        site.stand_ins.engines()[0].set_fault(Some(Fault::Break));
        let token_header = [("x-session-token", token.as_str())];
        let asked = (0..45).map(|n| {
            let headers: &[(&str, &str)] = match n % 3 {
                0 => &[],
                1 => &token_header,
                _ => &named,
            };
            let (addr, prompt) = (site.callers(n % 3), format!("note {n}"));
            let site = &site;
            async move { (n, site.chat_at(addr, &prompt, n % 2 == 0, headers).await) }
        });
        let mut answered = 0;
        for (n, got) in join_all(asked).await {
            answered += usize::from(got.status.is_success());
            if let Some(version) = got.headers.get("x-version") {
                assert_ne!(version, withdrawn, "request {n}");
            }
            let kept = [None, Some(&pinned), Some(&named_version)][n % 3];
            match kept.map(|version| version == withdrawn) {
                Some(true) => {
                    assert_eq!(got.status, StatusCode::GONE, "{}", got.text());
                    assert_eq!(got.run(), "not-run");
                }
                Some(false) if got.status.is_success() => {
                    assert_eq!(&got.headers["x-version"], kept.unwrap().as_str());
                }
                _ => {}
            }
        }
        assert!(answered > 0, "nothing was served");
        assert_eq!(begun(&site, withdrawn), before, "{withdrawn} got new work");
        site.stand_ins.engines()[0].set_fault(None);
        site.apply(&states, 0.9).await;
        site.in_force().await;
    }
}

// A draining version ends its sessions in peace and takes nobody else.
#[tokio::test]
async fn a_draining_version_serves_its_sessions_only() {
    let mut site = Site::start(2).await;
    let (token, pinned) = open_session(&site, 0).await;
    let states: States = site::usual_states()
        .into_iter()
        .map(|(name, state)| match name == pinned {
            true => (name, "{ state: draining"),
            false => (name, state),
        })
        .collect();
    site.apply(&states, 0.5).await;
    site.in_force().await;
    let before = begun(&site, &pinned);
    for n in 0..10 {
        let got = site.chat(n % 2, &format!("mail {n}"), &[]).await;
        assert_eq!(got.status, StatusCode::OK, "{}", got.text());
        assert_ne!(got.headers["x-version"], pinned.as_str());
        let (_, other) = open_session(&site, n % 2).await;
        assert_ne!(other, pinned);
    }
    assert_eq!(begun(&site, &pinned), before);
    for n in 0..10 {
        let headers = [("x-session-token", token.as_str())];
        let got = site.chat(n % 2, &format!("next {n}"), &headers).await;
        assert_eq!(got.headers["x-version"], pinned.as_str(), "{}", got.text());
    }
    assert_eq!(begun(&site, &pinned), before + 10);
}

// Two nodes see the first request of a session of the same name at the same moment. Both must
// settle on one version, or the session's second half has another voice than its first.
#[tokio::test]
async fn a_named_session_has_one_version_on_all_nodes() {
    let states = with(&[("large/2", "{ state: canary, share: 0.5")]);
    let site = Site::with(3, &states, 0.9).await;
    for round in 0..12 {
        let name = format!("session {round}");
        let asked = (0..6).map(|n| {
            let (site, name) = (&site, name.as_str());
            async move { site.chat(n % 3, "a step", &[("x-session", name)]).await }
        });
        let versions: Vec<String> = join_all(asked)
            .await
            .iter()
            .map(|got| {
                assert_eq!(got.status, StatusCode::OK, "{}", got.text());
                got.headers["x-version"].to_str().unwrap().to_owned()
            })
            .collect();
        assert!(versions.iter().all(|v| *v == versions[0]), "{versions:?}");
    }
}

// Another customer's session token is worth nothing, whatever it names.
#[tokio::test]
async fn a_token_serves_its_own_customer_only() {
    let site = Site::start(2).await;
    let (token, _) = open_session(&site, 0).await;
    let auth = bearer(site::DESK_KEY);
    let headers = [
        ("authorization", auth.as_str()),
        ("x-session-token", token.as_str()),
    ];
    let body = site::chat_json("let me in", false);
    let path = "/v1/chat/completions";
    let got = site
        .send(site.callers(1), "POST", path, &headers, body)
        .await;
    assert!(got.status.is_client_error(), "{}", got.text());
    assert_eq!(got.run(), "not-run");
    let began: usize = site
        .stand_ins
        .engines()
        .iter()
        .map(|e| e.calls().len())
        .sum();
    assert_eq!(began, 0);
    // A forged token neither.
    let forged = format!("{}x", &token[..token.len() - 1]);
    let got = site.chat(0, "mine", &[("x-session-token", &forged)]).await;
    assert!(got.status.is_client_error(), "{}", got.text());
    until("nothing was billed", async || site.bills().await.is_empty()).await;
}

// A session goes on for longer than the journal remembers its pin. Were it simply pinned anew, it
// might change its version in the middle, and its caller would not know.
#[tokio::test]
async fn a_named_session_ends_before_its_pin_is_forgotten() {
    let site = Site::start(1).await;
    let key = SessionKey(digest_of(&[b"session", b"alpha", b"drafts", b"old"]));
    let pin = Pin {
        versions: vec!["small/1".to_owned()],
        opened_at: Millis(1),
    };
    let (_tx, preferred) = watch::channel(Preferred::default());
    let clock = Arc::new(|| Millis(now_ms()));
    let (handle, duty) = journal(
        site.stand_ins.kv().clone(),
        Settings::new(7),
        clock,
        preferred,
    );
    let duty = tokio::spawn(run(duty));
    handle.pin(key, pin).await.expect("the service is up");
    let got = site.chat(0, "go on", &[("x-session", "old")]).await;
    assert_eq!(got.status, StatusCode::GONE, "{}", got.text());
    assert_eq!(got.json()["type"], "urn:oatdale:problem:session-ended");
    assert_eq!(got.json()["run"], "not-run");
    duty.abort();
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

fn digest_of(parts: &[&[u8]]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

//! Answers that endpoints break off, never give, or refuse to begin.

#[path = "support/site.rs"]
mod site;

use http::StatusCode;
use oatdale_fakes::Fault;
use site::{Site, States, until};
use std::time::Duration;
use tokio::time::Instant;

/// Clearly before the service's deadline of ten seconds, which ends a request in any case.
const BEFORE_DEADLINE: Duration = Duration::from_secs(7);

/// One version only, so that neither a cascade nor a sibling answers in its place.
fn one_version() -> States {
    let mut states = site::usual_states();
    states.insert("large/1", "{ state: draining");
    states
}

async fn site_with(fault: Fault) -> Site {
    let site = Site::with(1, &one_version(), 0.5).await;
    for engine in site.stand_ins.engines() {
        engine.set_fault(Some(fault));
    }
    site
}

async fn idle(site: &Site) {
    until("the engines are idle", async || {
        let mut engines = site.stand_ins.engines().iter();
        engines.all(|engine| engine.under_way() == (0, 0))
    })
    .await;
    let admin = site.nodes[0].addresses().admin;
    until("the node is idle", async || {
        let text = site.get(admin, "/metrics", &[]).await.text();
        let mut lines = text.lines();
        lines.any(|line| line.starts_with("oatdale_requests_under_way") && line.ends_with(" 0"))
    })
    .await;
}

// An engine ends a stream early: once as if that were its end, once by breaking the connection. A
// caller that took the part for the whole would book a schedule without its last passes.
#[tokio::test]
async fn a_cut_stream_is_never_a_short_success() {
    for fault in [Fault::Cut, Fault::Break] {
        let site = site_with(fault).await;
        for n in 0..5 {
            let got = site.chat_stream(0, &format!("log {n}")).await;
            let text = got.text();
            assert!(!text.contains("[DONE]"), "{fault:?}: {text}");
            assert!(
                !got.whole || !got.status.is_success(),
                "{fault:?}: a proper end after {text}"
            );
            assert!(text.contains("may-have-run"), "{fault:?}: {text}");
        }
        idle(&site).await;
    }
}

// The same without streaming: the caller must get a problem and not half a document.
#[tokio::test]
async fn a_cut_document_is_a_problem() {
    for fault in [Fault::Cut, Fault::Break, Fault::Reset] {
        let site = site_with(fault).await;
        let got = site.chat(0, "an orbit log", &[]).await;
        assert_eq!(got.status, StatusCode::BAD_GATEWAY, "{fault:?}");
        assert_eq!(got.run(), "may-have-run", "{fault:?}");
        idle(&site).await;
    }
}

// An engine takes a request and never says a word. The caller must be told at its deadline, and
// must not be told that nothing ran.
#[tokio::test]
async fn a_hang_ends_at_the_deadline() {
    for stream in [false, true] {
        let site = site_with(Fault::Hang).await;
        let addr = site.callers(0);
        let limit = [("x-timeout-ms", "700")];
        let got = site.chat_at(addr, "an orbit log", stream, &limit).await;
        assert_eq!(got.status, StatusCode::GATEWAY_TIMEOUT, "{}", got.text());
        assert_eq!(got.run(), "may-have-run");
        idle(&site).await;
        until("the request has its one bill", async || {
            site.bills().await.len() == 1
        })
        .await;
    }
}

// A host went down and its port is closed. Nothing was sent, so the next endpoint answers and the
// caller notices nothing.
#[tokio::test]
async fn an_endpoint_that_refuses_is_passed_over() {
    let site = Site::with(1, &one_version(), 0.5).await;
    site.stand_ins.engines()[0].refuse(true);
    site.stand_ins.plain()[0].refuse(true);
    for n in 0..12 {
        let got = site.chat(0, &format!("mail {n}"), &[]).await;
        assert_eq!(got.status, StatusCode::OK, "{}", got.text());
        let path = format!("/slots/{n}");
        let got = site.desk(0, "GET", &path, &[]).await;
        assert_eq!(got.status, StatusCode::OK, "{}", got.text());
        // Not even a booking is lost by it: the closed port got no byte of it.
        let path = format!("/slots/{n}/confirm");
        let got = site.desk(0, "POST", &path, &[]).await;
        assert_eq!(got.status, StatusCode::OK, "{}", got.text());
    }
}

// A student closes the page while a schedule is being drafted. Unless the engine is told, it works
// on for nobody, and unless the place is given back the service fills up with requests that are
// long gone.
#[tokio::test]
async fn a_caller_that_goes_away_frees_the_engine_and_its_place() {
    let site = Site::with(1, &one_version(), 0.5).await;
    for engine in site.stand_ins.engines() {
        engine.set_slow(100_000.0);
    }
    for stream in [false, true] {
        let call = site.chat_at(site.callers(0), "a long log", stream, &[]);
        let begun = until("an engine began", async || {
            let mut engines = site.stand_ins.engines().iter();
            engines.any(|engine| engine.under_way() != (0, 0))
        });
        tokio::select! {
            got = call => panic!("answered before the caller went: {}", got.text()),
            () = begun => {}
        }
        let gone = Instant::now();
        idle(&site).await;
        assert!(
            gone.elapsed() < BEFORE_DEADLINE,
            "only its deadline ended it"
        );
    }
    until("both are billed, as interrupted", async || {
        let bills = site.bills().await;
        bills.len() == 2
            && bills
                .iter()
                .all(|bill| bill.outcome == oatdale_journal::Outcome::Interrupted)
    })
    .await;
}

// An engine is leaving, or has no room, and says so before it begins: another one must answer.
#[tokio::test]
async fn an_engine_that_did_not_begin_is_passed_over() {
    let site = Site::with(1, &one_version(), 0.5).await;
    site.stand_ins.engines()[1].set_leaving(true);
    for n in 0..12 {
        let got = site.chat_stream(0, &format!("mail {n}")).await;
        assert_eq!(got.status, StatusCode::OK, "{}", got.text());
        assert!(got.whole);
    }
    assert_eq!(site.stand_ins.engines()[1].calls().len(), 0);
    // Once all of them say so the refusal is true: none has run it.
    for engine in site.stand_ins.engines() {
        engine.set_leaving(true);
    }
    let begun = || -> usize {
        let engines = site.stand_ins.engines().iter();
        engines.map(|engine| engine.calls().len()).sum()
    };
    let before = begun();
    let limit = [("x-timeout-ms", "1500")];
    let got = site.chat(0, "late mail", &limit).await;
    assert!(!got.status.is_success());
    assert_eq!(got.run(), "not-run", "{}", got.text());
    assert_eq!(begun(), before);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(site.bills().await.len(), 12, "what did not run has no bill");
}

//! The key-value service is down for ten seconds.

#[path = "support/site.rs"]
mod site;

use http::StatusCode;
use oatdale_fakes::{KvFaults, Plain};
use site::{Site, until};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

const OUTAGE: Duration = Duration::from_secs(10);

// The service that keeps claims and bills goes away for ten seconds while requests go on. Drafts
// and lookups must not notice. A confirmation with a key can't be proved to be the first, so it is
// refused at once and truthfully; one without a key is its own identity and goes on. Every bill
// arrives once the service is back.
#[tokio::test]
async fn ten_seconds_without_the_service_refuse_keyed_confirmations_only() {
    let site = Site::start(2).await;
    // Both nodes have met the journal before.
    for node in 0..2 {
        let headers = [("idempotency-key", ["warm 0", "warm 1"][node])];
        let path = format!("/slots/warm-{node}/confirm");
        let got = site.desk(node, "POST", &path, &headers).await;
        assert_eq!(got.status, StatusCode::OK, "{}", got.text());
    }
    let mut requests = BTreeSet::new();
    site.stand_ins.kv().set_faults(KvFaults {
        outage: true,
        ..KvFaults::default()
    });
    let end = Instant::now() + OUTAGE;
    let (mut round, mut refused) = (0, 0);
    while Instant::now() < end {
        let node = round % 2;
        let prompt = format!("note {round}");
        let chat = site.chat_at(site.callers(node), &prompt, true, &[]).await;
        assert_eq!(chat.status, StatusCode::OK, "{}", chat.text());
        assert!(chat.whole);
        let lookup = site.desk(node, "GET", "/slots/7", &[]).await;
        assert_eq!(lookup.status, StatusCode::OK, "{}", lookup.text());
        let path = format!("/slots/u{round}/confirm");
        let unkeyed = site.desk(node, "POST", &path, &[]).await;
        assert_eq!(unkeyed.status, StatusCode::OK, "{}", unkeyed.text());
        let path = format!("/slots/k{round}/confirm");
        let key = format!("key {round}");
        let headers = [("idempotency-key", key.as_str())];
        let keyed = site.desk(node, "POST", &path, &headers).await;
        assert_eq!(keyed.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(keyed.run(), "not-run", "{}", keyed.text());
        assert!(keyed.headers.contains_key("retry-after"));
        refused += 1;
        requests.extend([chat, lookup, unkeyed].map(|got| got.request().unwrap()));
        round += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(site.stand_ins.kv().counters().outages > 0);
    assert!(refused > 0);
    site.stand_ins.kv().set_faults(KvFaults::default());
    let plain = site.stand_ins.plain().iter();
    let ran: Vec<String> = plain.flat_map(Plain::calls).map(|call| call.path).collect();
    assert!(!ran.iter().any(|path| path.starts_with("/slots/k")));
    until("each that ran has its bill", async || {
        site.bills().await.len() >= requests.len() + 2
    })
    .await;
    let bills = site.bills().await;
    assert_eq!(bills.len(), requests.len() + 2);
    let billed: BTreeSet<String> = bills.iter().map(|b| b.request.to_string()).collect();
    assert!(requests.is_subset(&billed));
    // Callers that were refused ask again, with the same keys.
    for n in 0..refused.min(5) {
        let path = format!("/slots/k{n}/confirm");
        let key = format!("key {n}");
        until("the refused confirmation runs now", async || {
            let headers = [("idempotency-key", key.as_str())];
            let got = site.desk(n % 2, "POST", &path, &headers).await;
            got.status.is_success()
        })
        .await;
    }
}

// The rating service is down: answers must not wait for a verdict that will not come.
#[tokio::test]
async fn answers_come_without_ratings() {
    let site = Site::with(1, &site::usual_states(), 0.9).await;
    let ratings = site.stand_ins.ratings();
    let cfg = oatdale_fakes::RatingConfig {
        outage: true,
        ..ratings.get()
    };
    ratings.set(cfg);
    for n in 0..10 {
        let got = site.chat(0, &format!("mail {n}"), &[]).await;
        assert_eq!(got.status, StatusCode::OK, "{}", got.text());
    }
}

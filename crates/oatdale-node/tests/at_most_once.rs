//! Requests that must not run twice, through two nodes and whatever the desk does.

#[path = "support/site.rs"]
mod site;

use futures::future::join_all;
use http::StatusCode;
use oatdale_fakes::{Plain, PlainFault};
use site::{Got, Site, until};
use std::collections::HashMap;

/// How often each path was run, by the desk's own log.
fn runs(site: &Site) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for call in site.stand_ins.plain().iter().flat_map(Plain::calls) {
        *runs.entry(call.path).or_default() += 1;
    }
    runs
}

fn run_of(site: &Site, path: &str) -> usize {
    runs(site).get(path).copied().unwrap_or_default()
}

async fn confirm(site: &Site, node: usize, slot: &str, key: Option<&str>) -> Got {
    let path = format!("/slots/{slot}/confirm");
    let keyed = [("idempotency-key", key.unwrap_or_default())];
    let headers = if key.is_some() { &keyed[..] } else { &[] };
    site.desk(node, "POST", &path, headers).await
}

fn set_fault(site: &Site, fault: Option<PlainFault>) {
    for plain in site.stand_ins.plain() {
        plain.set_fault(fault);
    }
}

// The desk books the slot and its answer is lost. A router that tried the next desk would book it
// twice, and two teams would turn one antenna.
#[tokio::test]
async fn a_lost_answer_is_not_tried_again() {
    let site = Site::start(2).await;
    for fault in [PlainFault::LostAnswer, PlainFault::Errors, PlainFault::Hang] {
        set_fault(&site, Some(fault));
        for key in [None, Some("first")] {
            let slot = format!("{fault:?}-{}", key.is_some());
            let key = key.map(|key| format!("{key}-{fault:?}"));
            let limit = [
                ("idempotency-key", key.as_deref().unwrap_or_default()),
                ("x-timeout-ms", "800"),
            ];
            let headers = &limit[usize::from(key.is_none())..];
            let path = format!("/slots/{slot}/confirm");
            let got = site.desk(0, "POST", &path, headers).await;
            assert!(!got.status.is_success(), "{fault:?}: {}", got.text());
            assert_ne!(got.run(), "not-run", "{fault:?}: {}", got.text());
            assert_eq!(run_of(&site, &path), 1, "{fault:?}");
            if key.is_some() {
                for node in [0, 1, 0] {
                    let again = site.desk(node, "POST", &path, headers).await;
                    assert_eq!(again.status, StatusCode::CONFLICT, "{}", again.text());
                    assert_eq!(again.run(), "may-have-run");
                }
                assert_eq!(run_of(&site, &path), 1, "{fault:?}");
            }
        }
    }
}

// A student clicks twice, and the page asks two nodes with the same key at the same moment.
#[tokio::test]
async fn of_many_with_one_key_one_runs() {
    let site = Site::start(2).await;
    for round in 0..10 {
        let slot = format!("{round}");
        let key = format!("click-{round}");
        let all = (0..6).map(|n| confirm(&site, n % 2, &slot, Some(&key)));
        let all = join_all(all).await;
        let done = all.iter().filter(|got| got.status.is_success()).count();
        assert_eq!(
            done,
            1,
            "{:?}",
            all.iter().map(Got::text).collect::<Vec<_>>()
        );
        assert_eq!(run_of(&site, &format!("/slots/{slot}/confirm")), 1);
        for other in all.iter().filter(|got| !got.status.is_success()) {
            assert_eq!(other.status, StatusCode::CONFLICT, "{}", other.text());
        }
    }
}

// A desk that is full refuses before it begins. The caller is told so and asks again with the same
// key: it must then be served, and a booking that did run must never have been called "not run".
#[tokio::test]
async fn a_refusal_that_says_not_run_is_true_and_gives_the_key_back() {
    let site = Site::start(2).await;
    set_fault(&site, Some(PlainFault::NotStarted));
    for n in 0..6 {
        let (slot, key) = (format!("{n}"), format!("full-{n}"));
        let got = confirm(&site, n % 2, &slot, Some(&key)).await;
        assert!(!got.status.is_success());
        assert_eq!(got.run(), "not-run", "{}", got.text());
        assert!(got.headers.contains_key("retry-after"), "{}", got.text());
    }
    assert!(runs(&site).is_empty(), "the desk ran {:?}", runs(&site));
    set_fault(&site, None);
    for n in 0..6 {
        let (slot, key) = (format!("{n}"), format!("full-{n}"));
        until("the key may be used again", async || {
            let got = confirm(&site, (n + 1) % 2, &slot, Some(&key)).await;
            assert!(
                got.status.is_success()
                    || got.status == StatusCode::CONFLICT
                    || got.run() == "not-run",
                "{}",
                got.text()
            );
            got.status.is_success()
        })
        .await;
        assert_eq!(run_of(&site, &format!("/slots/{slot}/confirm")), 1);
    }
    // What did not run has no bill.
    until("each that ran has one bill", async || {
        site.bills().await.len() == 6
    })
    .await;
}

// The key-value service takes the claim and its answer is lost, again and again.
#[tokio::test]
async fn lost_answers_to_claims_let_nothing_run_twice() {
    let site = Site::start(2).await;
    let faults = oatdale_fakes::KvFaults {
        lost_answers: 0.4,
        ..Default::default()
    };
    site.stand_ins.kv().set_faults(faults);
    let mut served = 0;
    for n in 0..12 {
        let (slot, key) = (format!("{n}"), format!("lost-{n}"));
        for node in [0, 1] {
            let got = confirm(&site, node, &slot, Some(&key)).await;
            served += usize::from(got.status.is_success());
            let ran = run_of(&site, &format!("/slots/{slot}/confirm"));
            assert!(ran <= 1, "{slot} ran {ran} times");
            if got.status.is_success() {
                assert_eq!(ran, 1);
            }
        }
    }
    let lost = site.stand_ins.kv().counters().lost_answers;
    assert!(lost > 0, "no answer was lost");
    assert!(served > 0, "none was served");
}

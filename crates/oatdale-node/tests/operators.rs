//! Operators who race each other over one configuration, while the service fails.

#[path = "support/site.rs"]
mod site;

use oatdale_config::{ChangeId, Revision};
use oatdale_fakes::KvFaults;
use oatdale_platform::{ConfigStore, Proposal, StoreError};
use site::{LONG, Site, until};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::Instant;

const OPERATORS: u128 = 3;

const CHANGES: u64 = 8;

/// What an operator was told: the revision that each change became.
async fn operate(store: &ConfigStore<oatdale_fakes::MemKv>, id: u128) -> BTreeMap<u128, u64> {
    let mut accepted = BTreeMap::new();
    for n in 0..CHANGES {
        let change = id * 1000 + u128::from(n);
        loop {
            let end = Instant::now() + LONG;
            let Ok(Some(stored)) = store.current(end).await else {
                continue;
            };
            let seen = stored.document.head.revision;
            let text = format!("{}# {change}\n", stored.document.text);
            let proposal = Proposal {
                seen,
                change: ChangeId(change as _),
                operator: format!("operator {id}"),
                time: 0,
                text,
            };
            match store.apply(proposal, end).await {
                Ok(_) => break,
                Err(StoreError::Conflict { .. }) => {}
                Err(err) => panic!("{err}"),
            }
        }
        let end = Instant::now() + LONG;
        let history = store.history(1000, end).await.unwrap_or_default();
        if let Some(head) = history.iter().find(|h| h.change == ChangeId(change as _)) {
            accepted.insert(change, head.revision.0);
        }
    }
    accepted
}

// Three operators edit the same text at once, the service loses answers and goes away for a
// moment. Each change that was accepted must have a revision of its own, and no node may ever show
// an older revision than it showed before: a withdrawn version would come back to life.
#[tokio::test]
async fn revisions_only_rise_while_operators_race() {
    let site = Site::start(3).await;
    let done = Arc::new(AtomicBool::new(false));
    let watching: Vec<_> = site
        .nodes
        .iter()
        .map(|node| {
            let (admin, done) = (node.addresses().admin, done.clone());
            let pool = site.pool.clone();
            tokio::spawn(async move {
                let mut seen = Vec::new();
                while !done.load(Ordering::Relaxed) {
                    seen.push(site::revision_at(&pool, admin).await);
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
                seen
            })
        })
        .collect();
    let kv = site.stand_ins.kv();
    kv.set_faults(KvFaults {
        lost_answers: 0.2,
        ..KvFaults::default()
    });
    let stores: Vec<_> = (0..OPERATORS)
        .map(|_| ConfigStore::new(kv.clone()))
        .collect();
    let racing = futures::future::join_all(stores.iter().zip(1..).map(|(s, id)| operate(s, id)));
    let outage = async {
        for _ in 0..3 {
            tokio::time::sleep(Duration::from_millis(150)).await;
            let outage = true;
            kv.set_faults(KvFaults {
                outage,
                lost_answers: 0.2,
                ..KvFaults::default()
            });
            tokio::time::sleep(Duration::from_millis(100)).await;
            kv.set_faults(KvFaults {
                lost_answers: 0.2,
                ..KvFaults::default()
            });
        }
    };
    let (accepted, ()) = futures::join!(racing, outage);
    kv.set_faults(KvFaults::default());
    let mut revisions: Vec<u64> = accepted.iter().flat_map(|a| a.values().copied()).collect();
    let count = revisions.len();
    revisions.sort_unstable();
    revisions.dedup();
    assert_eq!(revisions.len(), count, "two changes have one revision");
    let end = Instant::now() + LONG;
    let stored = stores[0].current(end).await.unwrap().unwrap();
    let newest = stored.document.head.revision;
    assert_eq!(newest, Revision(1 + CHANGES * OPERATORS as u64));
    for id in 1..=OPERATORS {
        for n in 0..u128::from(CHANGES) {
            let line = format!("# {}\n", id * 1000 + n);
            assert_eq!(stored.document.text.matches(&line).count(), 1, "{line}");
        }
    }
    for node in &site.nodes {
        let admin = node.addresses().admin;
        until("the newest is in force", async || {
            site::revision_at(&site.pool, admin).await == newest.0
        })
        .await;
    }
    done.store(true, Ordering::Relaxed);
    for seen in watching {
        let seen = seen.await.unwrap();
        assert!(seen.is_sorted(), "a revision went back: {seen:?}");
        assert!(seen.len() > 10);
    }
    let counters = kv.counters();
    assert!(
        counters.lost_answers > 0 && counters.outages > 0,
        "{counters:?}"
    );
}

// The key-value service is restored from an older copy and shows a revision that was in force long
// ago. A node that followed would bring withdrawn versions back; it must keep what it has and go on
// with the next newer one.
#[tokio::test]
async fn an_older_document_in_the_service_is_not_followed() {
    let mut site = Site::start(2).await;
    site.revision = 4;
    let states = site::usual_states();
    site.apply(&states, 0.5).await;
    site.in_force().await;
    site.revision = 1;
    site.apply(&states, 0.5).await;
    for _ in 0..50 {
        for node in &site.nodes {
            let revision = site::revision_at(&site.pool, node.addresses().admin).await;
            assert_eq!(revision, 5);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    site.revision = 5;
    site.apply(&states, 0.5).await;
    site.in_force().await;
}

//! The in-process key-value service and its faults.

use bytes::Bytes;
use oatdale_fakes::{KvFault, KvFaults, KvLimits, MAX_VALUE, MemKv};
use oatdale_platform::{Condition, Kv, KvError, ModRevision, Put};
use std::time::Duration;
use tokio::time::sleep;

const SECOND: Duration = Duration::from_secs(1);

async fn create(kv: &MemKv, key: &str) -> oatdale_platform::Result<Put> {
    kv.put(key, Bytes::from_static(b"v"), Condition::Absent, None)
        .await
}

#[tokio::test(start_paused = true)]
async fn create_if_absent_has_one_winner_and_revisions_rise() {
    let kv = MemKv::new(1);
    let Put::Stored(first) = create(&kv, "a").await.unwrap() else {
        panic!("nobody else wrote");
    };
    assert_eq!(
        create(&kv, "a").await.unwrap(),
        Put::Conflict(Some(first)),
        "the second writer loses"
    );
    kv.delete("a", first).await.unwrap();
    let Put::Stored(second) = create(&kv, "a").await.unwrap() else {
        panic!("the key is free again");
    };
    assert!(second > first);
}

#[tokio::test(start_paused = true)]
async fn list_pages_through_a_prefix() {
    let kv = MemKv::new(1);
    for key in ["a/1", "a/2", "a/3", "b/1"] {
        create(&kv, key).await.unwrap();
    }
    let first = kv.list("a/", None, 2).await.unwrap();
    let last = first.last().map(|e| e.key.as_str());
    assert_eq!(last, Some("a/2"));
    let rest = kv.list("a/", last, 9).await.unwrap();
    assert_eq!(rest.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_lapsed_lease_takes_its_keys_and_wakes_watches() {
    let kv = MemKv::new(1);
    let lease = kv.grant(3 * SECOND).await.unwrap();
    kv.put("k", Bytes::new(), Condition::Absent, Some(lease))
        .await
        .unwrap();
    sleep(2 * SECOND).await;
    kv.renew(lease).await.unwrap();
    sleep(2 * SECOND).await;
    assert!(kv.get("k").await.unwrap().is_some());
    sleep(SECOND).await;
    assert!(kv.get("k").await.unwrap().is_none());
    let late = kv.renew(lease).await;
    assert!(matches!(late, Err(KvError::Rejected { .. })));
    assert_eq!(kv.counters().lapsed, 1);
}

#[tokio::test(start_paused = true)]
async fn a_watch_counts_once_and_sees_the_write() {
    let kv = MemKv::new(1);
    let watcher = kv.client("watcher");
    let seen = tokio::spawn(async move { watcher.watch("k", ModRevision(0), 60 * SECOND).await });
    sleep(SECOND).await;
    create(&kv, "k").await.unwrap();
    assert!(seen.await.unwrap().unwrap().is_some());
    assert_eq!(kv.counters().watches, 1);
    let none = kv.watch("other", ModRevision(0), SECOND).await.unwrap();
    assert_eq!(none, None);
}

// The service stores a value and the answer is lost on the way back. The client can't tell this
// from a lost request; a user notices a doubled or a missing write if it guesses.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_looks_like_a_lost_request() {
    let kv = MemKv::new(1);
    kv.script("client", [KvFault::LostAnswer, KvFault::LostRequest]);
    let stored = create(&kv, "a").await;
    let dropped = create(&kv, "b").await;
    assert!(matches!(stored, Err(KvError::Unknown { .. })));
    assert!(matches!(dropped, Err(KvError::Unknown { .. })));
    assert!(kv.get("a").await.unwrap().is_some());
    assert!(kv.get("b").await.unwrap().is_none());
    assert_eq!(kv.counters().lost_answers, 1);
    assert_eq!(kv.counters().lost_requests, 1);
}

// One node loses its way to the service while others keep theirs. A user of that node gets
// errors; nobody else notices.
#[tokio::test(start_paused = true)]
async fn one_client_is_cut_off_and_others_are_not() {
    let kv = MemKv::new(1);
    let node = kv.client("node-1");
    kv.cut("node-1");
    let refused = create(&node, "a").await;
    assert!(matches!(refused, Err(KvError::Unavailable { .. })));
    create(&kv, "a").await.unwrap();
    kv.mend("node-1");
    assert!(node.get("a").await.unwrap().is_some());
    assert_eq!(kv.counters().cuts, 1);
}

// A write waits in the network while its sender dies. It still takes effect, after others may
// have given the sender up.
#[tokio::test(start_paused = true)]
async fn a_delayed_write_outlives_its_sender() {
    let kv = MemKv::new(1);
    kv.script("client", [KvFault::Delay(5 * SECOND)]);
    let sender = kv.clone();
    let task = tokio::spawn(async move { create(&sender, "a").await });
    sleep(SECOND).await;
    task.abort();
    assert!(kv.get("a").await.unwrap().is_none());
    sleep(5 * SECOND).await;
    assert!(kv.get("a").await.unwrap().is_some());
}

#[tokio::test(start_paused = true)]
async fn limits_and_outages_refuse_without_effect() {
    let kv = MemKv::new(1);
    kv.set_limits(KvLimits {
        writes: 20.0,
        reads: 1000.0,
    });
    create(&kv, "a").await.unwrap();
    create(&kv, "b").await.unwrap();
    let third = create(&kv, "c").await;
    let Err(KvError::Throttled { retry_after }) = third else {
        panic!("the bucket holds two writes");
    };
    sleep(retry_after).await;
    create(&kv, "c").await.unwrap();
    kv.set_faults(KvFaults {
        outage: true,
        ..KvFaults::default()
    });
    assert!(matches!(
        kv.get("a").await,
        Err(KvError::Unavailable { .. })
    ));
    let big = Bytes::from(vec![0; MAX_VALUE + 1]);
    kv.set_faults(KvFaults::default());
    sleep(SECOND).await;
    let refused = kv.put("big", big, Condition::Absent, None).await;
    assert!(matches!(refused, Err(KvError::Rejected { .. })));
}

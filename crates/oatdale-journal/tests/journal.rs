//! Tests of the guarantees to callers of the journal.

mod common;

use common::{
    SECOND, close_record, key, now, open_record, pin, session, settings, small_meta, start_node,
};
use oatdale_fakes::{KvFault, KvFaults, MemKv};
use oatdale_journal::{Claim, Exporter, JournalError, Outcome, RequestId};
use oatdale_platform::Kv;
use tokio::time::{Instant, sleep};

fn is_won(claim: &Claim) -> bool {
    matches!(claim, Claim::Won { .. })
}

#[tokio::test(start_paused = true)]
async fn concurrent_claims_on_two_nodes_have_one_winner() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = start_node(&kv, settings(1, small_meta(2, 8)), start);
    let b = start_node(&kv, settings(2, small_meta(2, 8)), start);
    let (first, second) = tokio::join!(
        a.handle.claim(key(1), RequestId(1)),
        b.handle.claim(key(1), RequestId(2))
    );
    let results = [first.unwrap(), second.unwrap()];
    assert_eq!(results.iter().filter(|c| is_won(c)).count(), 1);
}

#[tokio::test(start_paused = true)]
async fn lost_claim_reports_the_outcome_of_a_finished_holder() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = start_node(&kv, settings(1, small_meta(2, 8)), start);
    let b = start_node(&kv, settings(2, small_meta(2, 8)), start);
    assert!(is_won(&a.handle.claim(key(1), RequestId(1)).await.unwrap()));
    a.handle
        .finish(key(1), RequestId(1), Outcome::Complete)
        .unwrap();
    sleep(SECOND).await;
    let expected = Claim::Lost {
        by: RequestId(1),
        finished: Some(Outcome::Complete),
    };
    assert_eq!(
        b.handle.claim(key(1), RequestId(2)).await.unwrap(),
        expected
    );
}

#[tokio::test(start_paused = true)]
async fn first_pin_of_a_session_wins() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = start_node(&kv, settings(1, small_meta(2, 8)), start);
    let b = start_node(&kv, settings(2, small_meta(2, 8)), start);
    let first_pin = pin("planner/1");
    a.handle.pin(session(1), first_pin.clone()).await.unwrap();
    let effective_pin = b.handle.pin(session(1), pin("planner/2")).await.unwrap();
    assert_eq!(effective_pin, first_pin);
}

// The service stores a segment but its response is lost. A node that treated this as a failure
// would reject a claim that is in effect, or write a bill that is already stored.
#[tokio::test(start_paused = true)]
async fn lost_response_is_resolved_by_reading_the_log() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = start_node(&kv, settings(1, small_meta(1, 8)), start);
    a.handle.pin(session(1), pin("planner/1")).await.unwrap();
    kv.script("node-1", [KvFault::LostAnswer, KvFault::LostRequest]);
    let first = a.handle.claim(key(1), RequestId(1)).await.unwrap();
    assert!(is_won(&first));
    let second = a.handle.claim(key(2), RequestId(2)).await.unwrap();
    assert!(is_won(&second));
    let counters = kv.counters();
    assert_eq!((counters.lost_answers, counters.lost_requests), (1, 1));
}

// The write of a claim is delayed until after its node has given up and responded "not run". When
// the write arrives, the caller's retry must not find its key held by a request that never ran.
#[tokio::test(start_paused = true)]
async fn delayed_write_of_a_released_claim_has_no_effect() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = start_node(&kv, settings(1, small_meta(1, 8)), start);
    a.handle.pin(session(1), pin("planner/1")).await.unwrap();
    kv.script("node-1", [KvFault::Delay(5 * SECOND)]);
    let claim = a.handle.claim(key(1), RequestId(1));
    let outage = async {
        sleep(SECOND).await;
        kv.set_faults(KvFaults {
            outage: true,
            ..KvFaults::default()
        });
    };
    let (claim_result, ()) = tokio::join!(claim, outage);
    assert!(claim_result.is_err());
    a.handle.release(key(1), RequestId(1)).unwrap();
    sleep(3 * SECOND).await;
    kv.set_faults(KvFaults::default());
    sleep(5 * SECOND).await;
    assert_eq!(kv.counters().delayed, 1);
    let next = a.handle.claim(key(1), RequestId(2)).await.unwrap();
    assert!(is_won(&next));
}

// While the service is down, callers immediately get an error with a retry-after delay instead of
// waiting for their deadline. Claims succeed again after the outage.
#[tokio::test(start_paused = true)]
async fn outage_fails_claims_fast_and_claims_succeed_after_it() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = start_node(&kv, settings(1, small_meta(1, 8)), start);
    a.handle.pin(session(1), pin("planner/1")).await.unwrap();
    kv.set_faults(KvFaults {
        outage: true,
        ..KvFaults::default()
    });
    let called_at = Instant::now();
    for n in 0..50 {
        let error = a.handle.claim(key(1), RequestId(n)).await.unwrap_err();
        assert!(error.retry_after().is_some(), "{error}");
    }
    assert!(called_at.elapsed() < SECOND);
    let calls = kv.counters().calls();
    assert!(
        calls < 10,
        "{calls} calls to the service for rejected claims, expected fewer than 10"
    );
    kv.set_faults(KvFaults::default());
    sleep(2 * SECOND).await;
    let claim = a.handle.claim(key(1), RequestId(99)).await.unwrap();
    assert!(is_won(&claim));
}

// Appends are delayed, as when the service throttles one node after another. A caller whose wait
// limit expires gets its error then, not when the next append is due.
#[tokio::test(start_paused = true)]
async fn claim_fails_when_its_wait_limit_expires() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let mut slow_settings = settings(1, small_meta(1, 8));
    slow_settings.other_append_interval = 60 * SECOND;
    let a = start_node(&kv, slow_settings, start);
    a.handle.pin(session(1), pin("planner/1")).await.unwrap();
    let called_at = Instant::now();
    let result = a.handle.claim(key(1), RequestId(1)).await;
    assert!(result.unwrap_err().retry_after().is_some());
    assert!(
        called_at.elapsed() <= 2 * SECOND,
        "{:?}",
        called_at.elapsed()
    );
}

// After an outage all bill holders submit their bills. A booking that queued behind all of them
// would be refused although the service is healthy.
#[tokio::test(start_paused = true)]
async fn claim_is_not_delayed_by_a_bill_backlog() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let mut large_queue = settings(1, small_meta(1, 64));
    large_queue.queue_capacity = 50_000;
    let a = start_node(&kv, large_queue, start);
    a.handle.pin(session(1), pin("planner/1")).await.unwrap();
    let at = now(start);
    let backlog: Vec<_> = (0..30_000).map(|n| close_record(n, at, 1)).collect();
    let bill_handle = a.handle.clone();
    let backlog = tokio::spawn(async move { bill_handle.bill(backlog).await });
    sleep(std::time::Duration::from_millis(10)).await;
    let called_at = Instant::now();
    let claim = a.handle.claim(key(1), RequestId(1)).await.unwrap();
    assert!(is_won(&claim));
    assert!(called_at.elapsed() < SECOND, "{:?}", called_at.elapsed());
    assert!(!backlog.is_finished());
    backlog.await.unwrap().unwrap();
}

// The first node stored a shorter retention than the settings of a later node specify. If the
// later node used its own, its request could be dispatched after another request won the key.
#[tokio::test(start_paused = true)]
async fn dispatch_deadline_uses_the_stored_retention() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let mut short_retention = small_meta(1, 8);
    short_retention.retention.claims = 8_000;
    let a = start_node(&kv, settings(1, short_retention), start);
    a.handle.pin(session(1), pin("planner/1")).await.unwrap();
    let b = start_node(&kv, settings(2, small_meta(1, 8)), start);
    let called_at = Instant::now();
    let claim = b.handle.claim(key(1), RequestId(1)).await.unwrap();
    let Claim::Won { dispatch_by } = claim else {
        panic!("expected the claim to be won: no other request claims the key");
    };
    assert!(dispatch_by <= called_at + 2 * SECOND);
}

#[tokio::test(start_paused = true)]
async fn bills_are_exported_once_and_only_exported_bills_are_truncated() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = start_node(&kv, settings(1, small_meta(1, 8)), start);
    let at = now(start);
    a.handle
        .bill(vec![
            open_record(1, at),
            close_record(1, at, 10),
            close_record(1, at, 99),
        ])
        .await
        .unwrap();
    let exporter = Exporter::new(kv.client("operator"), 77).await.unwrap();
    let shard = exporter.shards().next().unwrap();
    let ledger = exporter.read_oldest(shard).await.unwrap();
    assert_eq!(ledger.bills, [common::closing(1, at, 10)]);
    assert_eq!(
        exporter.read_oldest(shard).await.unwrap().bills,
        ledger.bills
    );
    a.handle.bill(vec![close_record(2, at, 20)]).await.unwrap();
    exporter.truncate(&ledger).await.unwrap();
    exporter.truncate(&ledger).await.unwrap();
    let remaining = exporter.read_oldest(shard).await.unwrap();
    assert_eq!(remaining.bills, [common::closing(2, at, 20)]);
    exporter.truncate(&remaining).await.unwrap();
    // A bill holder that was disconnected writes both bills again.
    let resubmitted = vec![close_record(1, at, 99), close_record(2, at, 99)];
    a.handle.bill(resubmitted).await.unwrap();
    assert!(exporter.read_oldest(shard).await.unwrap().bills.is_empty());
}

#[tokio::test(start_paused = true)]
async fn new_node_replays_the_state_after_the_ring_wraps() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = start_node(&kv, settings(1, small_meta(1, 4)), start);
    for n in 1..=50 {
        let at = now(start);
        assert!(is_won(
            &a.handle
                .claim(key(n), RequestId(u128::from(n)))
                .await
                .unwrap()
        ));
        a.handle
            .bill(vec![close_record(u128::from(n), at, 1)])
            .await
            .unwrap();
    }
    let b = start_node(&kv, settings(2, small_meta(1, 4)), start);
    for n in 1..=50 {
        let claim = b.handle.claim(key(n), RequestId(1000)).await.unwrap();
        assert!(matches!(claim, Claim::Lost { by, .. } if by == RequestId(u128::from(n))));
    }
    let exporter = Exporter::new(kv.client("operator"), 77).await.unwrap();
    let shard = exporter.shards().next().unwrap();
    let mut requests = Vec::new();
    loop {
        let ledger = exporter.read_oldest(shard).await.unwrap();
        requests.extend(ledger.bills.iter().map(|b| b.request.0));
        exporter.truncate(&ledger).await.unwrap();
        if !ledger.has_more {
            break;
        }
    }
    assert_eq!(requests, (1..=50).collect::<Vec<_>>());
    let (stored, listed) = count_pages(&kv).await;
    assert_eq!(
        stored, listed,
        "every stored page is listed in the manifest"
    );
}

/// Returns the number of stored pages of the only shard and the number of state pages that its
/// manifest lists. Panics if the manifest lists pages of bills.
async fn count_pages(kv: &MemKv) -> (usize, usize) {
    let stored_pages = kv.list("journal/0000/page/", None, usize::MAX).await;
    let manifest = kv.get("journal/0000/manifest").await.unwrap().unwrap();
    let manifest: ciborium::Value = ciborium::from_reader(&*manifest.value).unwrap();
    let listed = |name: &str| {
        let fields = manifest.as_map().unwrap().iter();
        let mut matching = fields.filter(|(key, _)| key.as_text() == Some(name));
        matching.next().unwrap().1.as_array().unwrap().len()
    };
    assert_eq!(listed("b"), 0);
    (stored_pages.unwrap().len(), listed("s"))
}

// A new node loads a state that hundreds of compactions wrote incrementally. It includes claims
// that were released and won again, and requests opened and closed far apart. If a part were
// missing, a request would run twice or be billed twice.
#[tokio::test(start_paused = true)]
async fn incrementally_written_state_loads_completely() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = start_node(&kv, settings(1, small_meta(1, 4)), start);
    let at = now(start);
    let request_id = |n: u8, round: u128| RequestId(round * 1_000 + u128::from(n));
    for n in 1..=120 {
        a.handle.claim(key(n), request_id(n, 1)).await.unwrap();
        a.handle
            .bill(vec![open_record(request_id(n, 1).0, at)])
            .await
            .unwrap();
    }
    for n in (1..=120).step_by(3) {
        a.handle.release(key(n), request_id(n, 1)).unwrap();
        sleep(SECOND).await;
        assert!(is_won(
            &a.handle.claim(key(n), request_id(n, 2)).await.unwrap()
        ));
        a.handle
            .bill(vec![close_record(request_id(n, 1).0, at, 5)])
            .await
            .unwrap();
    }
    let b = start_node(&kv, settings(2, small_meta(1, 4)), start);
    for n in 1..=120 {
        let holder = request_id(n, if n % 3 == 1 { 2 } else { 1 });
        let claim = b.handle.claim(key(n), request_id(n, 3)).await.unwrap();
        assert!(matches!(claim, Claim::Lost { by, .. } if by == holder));
        let repeated_claim = b.handle.claim(key(n), request_id(n, 1)).await;
        match n % 3 {
            1 => assert!(matches!(repeated_claim, Ok(Claim::Lost { by, .. }) if by == holder)),
            _ => assert!(is_won(&repeated_claim.unwrap())),
        }
        b.handle
            .bill(vec![close_record(request_id(n, 1).0, at, 9)])
            .await
            .unwrap();
    }
    let exporter = Exporter::new(kv.client("operator"), 77).await.unwrap();
    let shard = exporter.shards().next().unwrap();
    let mut tokens = std::collections::BTreeMap::new();
    loop {
        let ledger = exporter.read_oldest(shard).await.unwrap();
        for bill in &ledger.bills {
            let previous = tokens.insert(bill.request, bill.output_tokens);
            assert_eq!(previous, None, "{} is billed twice", bill.request);
        }
        exporter.truncate(&ledger).await.unwrap();
        if !ledger.has_more {
            break;
        }
    }
    for n in 1..=120 {
        let expected_tokens = if n % 3 == 1 { 5 } else { 9 };
        assert_eq!(tokens[&request_id(n, 1)], expected_tokens);
    }
    let (stored, listed) = count_pages(&kv).await;
    assert_eq!(
        stored, listed,
        "every stored page is listed in the manifest"
    );
    assert!(
        listed <= 65,
        "the manifest lists {listed} state pages, expected at most 65"
    );
}

// A bill holder reconnects after the journal has dropped the request. Accepting the bill could
// charge the request twice, so the holder gets an error and nothing is written.
#[tokio::test(start_paused = true)]
async fn bill_after_its_retention_is_rejected() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = start_node(&kv, settings(1, small_meta(1, 64)), start);
    let at = now(start);
    a.handle.bill(vec![close_record(1, at, 1)]).await.unwrap();
    for n in 0..2000 {
        sleep(SECOND).await;
        let later = now(start);
        a.handle
            .bill(vec![close_record(100 + n, later, 1)])
            .await
            .unwrap();
    }
    let late = a.handle.bill(vec![close_record(1, at, 1)]).await;
    let request = RequestId(1);
    assert_eq!(late, Err(JournalError::TooLate { request }));
}

// The only node that knew of a request dies together with its bill holders. Without an automatic
// closing the response would never be billed and the opening would stay in the state forever.
#[tokio::test(start_paused = true)]
async fn opening_without_a_closing_is_billed_as_interrupted() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let mut meta = small_meta(1, 64);
    meta.retention.open = 5_000;
    let a = start_node(&kv, settings(1, meta), start);
    a.handle
        .bill(vec![open_record(1, now(start))])
        .await
        .unwrap();
    for n in 0..20 {
        sleep(SECOND).await;
        let later = now(start);
        a.handle
            .bill(vec![close_record(100 + n, later, 1)])
            .await
            .unwrap();
    }
    let exporter = Exporter::new(kv.client("operator"), 77).await.unwrap();
    let shard = exporter.shards().next().unwrap();
    let ledger = exporter.read_oldest(shard).await.unwrap();
    let overdue = ledger.bills.iter().find(|b| b.request == RequestId(1));
    assert_eq!(overdue.unwrap().outcome, Outcome::Interrupted);
}

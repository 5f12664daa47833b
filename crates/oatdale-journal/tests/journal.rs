//! What a caller of the journal is promised.

mod common;

use common::{SECOND, bill, key, node, now, opening, pin, session, settings, small_meta};
use oatdale_fakes::{KvFault, KvFaults, MemKv};
use oatdale_journal::{Claim, Exporter, JournalError, Outcome, RequestId};
use oatdale_platform::Kv;
use tokio::time::{Instant, sleep};

fn is_won(claim: &Claim) -> bool {
    matches!(claim, Claim::Won { .. })
}

#[tokio::test(start_paused = true)]
async fn one_of_two_claims_wins_on_two_nodes() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = node(&kv, settings(1, small_meta(2, 8)), start);
    let b = node(&kv, settings(2, small_meta(2, 8)), start);
    let (first, second) = tokio::join!(
        a.handle.claim(key(1), RequestId(1)),
        b.handle.claim(key(1), RequestId(2))
    );
    let won = [first.unwrap(), second.unwrap()];
    assert_eq!(won.iter().filter(|c| is_won(c)).count(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_finished_claim_tells_how_it_ended() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = node(&kv, settings(1, small_meta(2, 8)), start);
    let b = node(&kv, settings(2, small_meta(2, 8)), start);
    assert!(is_won(&a.handle.claim(key(1), RequestId(1)).await.unwrap()));
    a.handle
        .finish(key(1), RequestId(1), Outcome::Complete)
        .unwrap();
    sleep(SECOND).await;
    let lost = Claim::Lost {
        by: RequestId(1),
        finished: Some(Outcome::Complete),
    };
    assert_eq!(b.handle.claim(key(1), RequestId(2)).await.unwrap(), lost);
}

#[tokio::test(start_paused = true)]
async fn the_first_pin_holds() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = node(&kv, settings(1, small_meta(2, 8)), start);
    let b = node(&kv, settings(2, small_meta(2, 8)), start);
    let old = pin("planner/1");
    a.handle.pin(session(1), old.clone()).await.unwrap();
    let got = b.handle.pin(session(1), pin("planner/2")).await.unwrap();
    assert_eq!(got, old);
}

// The service stores a segment and its answer is lost. A node that took this for a failure would
// refuse a claim that stands, or write a bill that is there already.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_resolved_by_reading_back() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = node(&kv, settings(1, small_meta(1, 8)), start);
    a.handle.pin(session(1), pin("planner/1")).await.unwrap();
    kv.script("node-1", [KvFault::LostAnswer, KvFault::LostRequest]);
    let first = a.handle.claim(key(1), RequestId(1)).await.unwrap();
    assert!(is_won(&first));
    let second = a.handle.claim(key(2), RequestId(2)).await.unwrap();
    assert!(is_won(&second));
    let counters = kv.counters();
    assert_eq!((counters.lost_answers, counters.lost_requests), (1, 1));
}

// A claim's write is on its way for long while its node gives up and answers "not run". When the
// write arrives, the caller's next try must not find its key taken by a request that never ran.
#[tokio::test(start_paused = true)]
async fn a_released_claim_that_arrives_late_is_void() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = node(&kv, settings(1, small_meta(1, 8)), start);
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
    let (given_up, ()) = tokio::join!(claim, outage);
    assert!(given_up.is_err());
    a.handle.release(key(1), RequestId(1)).unwrap();
    sleep(3 * SECOND).await;
    kv.set_faults(KvFaults::default());
    sleep(5 * SECOND).await;
    assert_eq!(kv.counters().delayed, 1);
    let next = a.handle.claim(key(1), RequestId(2)).await.unwrap();
    assert!(is_won(&next));
}

// The service is down. Callers get an error with a time to come back at once, not after their
// deadline, and once it is back everything works again.
#[tokio::test(start_paused = true)]
async fn an_outage_refuses_at_once_and_ends() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = node(&kv, settings(1, small_meta(1, 8)), start);
    a.handle.pin(session(1), pin("planner/1")).await.unwrap();
    kv.set_faults(KvFaults {
        outage: true,
        ..KvFaults::default()
    });
    let asked = Instant::now();
    for n in 0..50 {
        let refused = a.handle.claim(key(1), RequestId(n)).await.unwrap_err();
        assert!(refused.retry_after().is_some(), "{refused}");
    }
    assert!(asked.elapsed() < SECOND);
    let calls = kv.counters().calls();
    assert!(calls < 10, "{calls} calls for refused claims");
    kv.set_faults(KvFaults::default());
    sleep(2 * SECOND).await;
    let claim = a.handle.claim(key(1), RequestId(99)).await.unwrap();
    assert!(is_won(&claim));
}

// The service throttles one node after the other, so appends are put off. A caller that has waited
// its time gets its refusal at that time, not when the next append happens to be due.
#[tokio::test(start_paused = true)]
async fn a_claim_is_refused_when_its_patience_ends() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let mut slow = settings(1, small_meta(1, 8));
    slow.other_pace = 60 * SECOND;
    let a = node(&kv, slow, start);
    a.handle.pin(session(1), pin("planner/1")).await.unwrap();
    let asked = Instant::now();
    let refused = a.handle.claim(key(1), RequestId(1)).await;
    assert!(refused.unwrap_err().retry_after().is_some());
    assert!(asked.elapsed() <= 2 * SECOND, "{:?}", asked.elapsed());
}

// After an outage every holder brings its bills. A booking that waited behind all of them would be
// refused although the service is well.
#[tokio::test(start_paused = true)]
async fn a_claim_does_not_wait_behind_a_backlog_of_bills() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let mut wide = settings(1, small_meta(1, 64));
    wide.queue = 50_000;
    let a = node(&kv, wide, start);
    a.handle.pin(session(1), pin("planner/1")).await.unwrap();
    let at = now(start);
    let backlog: Vec<_> = (0..30_000).map(|n| bill(n, at, 1)).collect();
    let holder = a.handle.clone();
    let backlog = tokio::spawn(async move { holder.bill(backlog).await });
    sleep(std::time::Duration::from_millis(10)).await;
    let asked = Instant::now();
    let claim = a.handle.claim(key(1), RequestId(1)).await.unwrap();
    assert!(is_won(&claim));
    assert!(asked.elapsed() < SECOND, "{:?}", asked.elapsed());
    assert!(!backlog.is_finished());
    backlog.await.unwrap().unwrap();
}

// The first node of all stored a shorter retention than a later node's settings name. Were that
// node to go by its own, its request could be dispatched after another won the key.
#[tokio::test(start_paused = true)]
async fn dispatch_ends_by_what_all_nodes_agreed_on() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let mut short = small_meta(1, 8);
    short.retention.claims = 8_000;
    let a = node(&kv, settings(1, short), start);
    a.handle.pin(session(1), pin("planner/1")).await.unwrap();
    let b = node(&kv, settings(2, small_meta(1, 8)), start);
    let asked = Instant::now();
    let claim = b.handle.claim(key(1), RequestId(1)).await.unwrap();
    let Claim::Won { dispatch_by } = claim else {
        panic!("nobody else claims");
    };
    assert!(dispatch_by <= asked + 2 * SECOND);
}

#[tokio::test(start_paused = true)]
async fn bills_are_exported_once_and_only_what_was_taken_goes() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = node(&kv, settings(1, small_meta(1, 8)), start);
    let at = now(start);
    a.handle
        .bill(vec![opening(1, at), bill(1, at, 10), bill(1, at, 99)])
        .await
        .unwrap();
    let exporter = Exporter::new(kv.client("operator"), 77).await.unwrap();
    let shard = exporter.shards().next().unwrap();
    let taken = exporter.take(shard).await.unwrap();
    assert_eq!(taken.bills, [common::closing(1, at, 10)]);
    assert_eq!(exporter.take(shard).await.unwrap().bills, taken.bills);
    a.handle.bill(vec![bill(2, at, 20)]).await.unwrap();
    exporter.truncate(&taken).await.unwrap();
    exporter.truncate(&taken).await.unwrap();
    let rest = exporter.take(shard).await.unwrap();
    assert_eq!(rest.bills, [common::closing(2, at, 20)]);
    exporter.truncate(&rest).await.unwrap();
    // A holder that was away writes both bills again.
    let again = vec![bill(1, at, 99), bill(2, at, 99)];
    a.handle.bill(again).await.unwrap();
    assert!(exporter.take(shard).await.unwrap().bills.is_empty());
}

#[tokio::test(start_paused = true)]
async fn the_ring_goes_round_and_a_fresh_node_replays() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = node(&kv, settings(1, small_meta(1, 4)), start);
    for n in 1..=50 {
        let at = now(start);
        assert!(is_won(
            &a.handle
                .claim(key(n), RequestId(u128::from(n)))
                .await
                .unwrap()
        ));
        a.handle
            .bill(vec![bill(u128::from(n), at, 1)])
            .await
            .unwrap();
    }
    let b = node(&kv, settings(2, small_meta(1, 4)), start);
    for n in 1..=50 {
        let claim = b.handle.claim(key(n), RequestId(1000)).await.unwrap();
        assert!(matches!(claim, Claim::Lost { by, .. } if by == RequestId(u128::from(n))));
    }
    let exporter = Exporter::new(kv.client("operator"), 77).await.unwrap();
    let shard = exporter.shards().next().unwrap();
    let mut requests = Vec::new();
    loop {
        let taken = exporter.take(shard).await.unwrap();
        requests.extend(taken.bills.iter().map(|b| b.request.0));
        exporter.truncate(&taken).await.unwrap();
        if !taken.more {
            break;
        }
    }
    assert_eq!(requests, (1..=50).collect::<Vec<_>>());
    let (pages, listed) = pages(&kv).await;
    assert_eq!(pages, listed, "nothing is left but what is listed");
}

/// How many pages there are in the only shard, and how many pages of state its manifest lists
/// while it lists no bills.
async fn pages(kv: &MemKv) -> (usize, usize) {
    let pages = kv.list("journal/0000/page/", None, usize::MAX).await;
    let manifest = kv.get("journal/0000/manifest").await.unwrap().unwrap();
    let manifest: ciborium::Value = ciborium::from_reader(&*manifest.value).unwrap();
    let listed = |name: &str| {
        let fields = manifest.as_map().unwrap().iter();
        let mut found = fields.filter(|(key, _)| key.as_text() == Some(name));
        found.next().unwrap().1.as_array().unwrap().len()
    };
    assert_eq!(listed("b"), 0);
    (pages.unwrap().len(), listed("s"))
}

// A node reads a state that was written bit by bit over hundreds of compactions, among it claims
// that were given back and won again, and requests that were opened and closed far apart. If a bit
// were missing, a request would run twice or be billed twice.
#[tokio::test(start_paused = true)]
async fn a_state_that_was_written_in_pieces_is_whole() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = node(&kv, settings(1, small_meta(1, 4)), start);
    let at = now(start);
    let id = |n: u8, round: u128| RequestId(round * 1_000 + u128::from(n));
    for n in 1..=120 {
        a.handle.claim(key(n), id(n, 1)).await.unwrap();
        a.handle.bill(vec![opening(id(n, 1).0, at)]).await.unwrap();
    }
    for n in (1..=120).step_by(3) {
        a.handle.release(key(n), id(n, 1)).unwrap();
        sleep(SECOND).await;
        assert!(is_won(&a.handle.claim(key(n), id(n, 2)).await.unwrap()));
        a.handle.bill(vec![bill(id(n, 1).0, at, 5)]).await.unwrap();
    }
    let b = node(&kv, settings(2, small_meta(1, 4)), start);
    for n in 1..=120 {
        let holder = id(n, if n % 3 == 1 { 2 } else { 1 });
        let claim = b.handle.claim(key(n), id(n, 3)).await.unwrap();
        assert!(matches!(claim, Claim::Lost { by, .. } if by == holder));
        let again = b.handle.claim(key(n), id(n, 1)).await;
        match n % 3 {
            1 => assert!(matches!(again, Ok(Claim::Lost { by, .. }) if by == holder)),
            _ => assert!(is_won(&again.unwrap())),
        }
        b.handle.bill(vec![bill(id(n, 1).0, at, 9)]).await.unwrap();
    }
    let exporter = Exporter::new(kv.client("operator"), 77).await.unwrap();
    let shard = exporter.shards().next().unwrap();
    let mut tokens = std::collections::BTreeMap::new();
    loop {
        let taken = exporter.take(shard).await.unwrap();
        for bill in &taken.bills {
            let first = tokens.insert(bill.request, bill.output_tokens);
            assert_eq!(first, None, "{} is billed twice", bill.request);
        }
        exporter.truncate(&taken).await.unwrap();
        if !taken.more {
            break;
        }
    }
    for n in 1..=120 {
        let first = if n % 3 == 1 { 5 } else { 9 };
        assert_eq!(tokens[&id(n, 1)], first);
    }
    let (pages, listed) = pages(&kv).await;
    assert_eq!(pages, listed, "nothing is left but what is listed");
    assert!(listed <= 65, "{listed} pages of state");
}

// A holder comes back after the journal forgot the request. Billing it might bill it twice, so
// the holder is told instead and nothing is written.
#[tokio::test(start_paused = true)]
async fn a_bill_after_the_window_is_refused() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let a = node(&kv, settings(1, small_meta(1, 64)), start);
    let at = now(start);
    a.handle.bill(vec![bill(1, at, 1)]).await.unwrap();
    for n in 0..2000 {
        sleep(SECOND).await;
        let later = now(start);
        a.handle.bill(vec![bill(100 + n, later, 1)]).await.unwrap();
    }
    let late = a.handle.bill(vec![bill(1, at, 1)]).await;
    let request = RequestId(1);
    assert_eq!(late, Err(JournalError::TooLate { request }));
}

// The one node that knew of a request dies with its holders. The customer would get the answer
// for free, and an opening would wait for ever.
#[tokio::test(start_paused = true)]
async fn an_opening_without_a_closing_gets_its_bill() {
    let (kv, start) = (MemKv::new(1), Instant::now());
    let mut meta = small_meta(1, 64);
    meta.retention.open = 5_000;
    let a = node(&kv, settings(1, meta), start);
    a.handle.bill(vec![opening(1, now(start))]).await.unwrap();
    for n in 0..20 {
        sleep(SECOND).await;
        let later = now(start);
        a.handle.bill(vec![bill(100 + n, later, 1)]).await.unwrap();
    }
    let exporter = Exporter::new(kv.client("operator"), 77).await.unwrap();
    let shard = exporter.shards().next().unwrap();
    let taken = exporter.take(shard).await.unwrap();
    let mine = taken.bills.iter().find(|b| b.request == RequestId(1));
    assert_eq!(mine.unwrap().outcome, Outcome::Interrupted);
}

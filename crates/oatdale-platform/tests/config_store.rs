//! Accepted texts are never lost or overwritten unseen, whatever the key-value service does.

use bytes::Bytes;
use oatdale_config::{ChangeId, Document, Revision};
use oatdale_fakes::{KvFault, KvFaults, KvLimits, MemKv};
use oatdale_platform::{
    Applied, CURRENT_KEY, Condition, ConfigStore, Kv, ModRevision, Proposal, StoreError,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const PATIENCE: Duration = Duration::from_secs(10);

fn deadline() -> Instant {
    Instant::now() + PATIENCE
}

fn text(n: u64) -> String {
    format!("# a line\n# change {n}\n# a last line\n")
}

/// A change to `text(change)`.
fn proposal(seen: u64, change: u64) -> Proposal {
    Proposal {
        seen: Revision(seen),
        change: ChangeId(change),
        operator: format!("operator {change}"),
        time: 1_764_633_600,
        text: text(change),
    }
}

async fn apply(store: &ConfigStore<MemKv>, seen: u64, change: u64) -> Result<Applied, StoreError> {
    store.apply(proposal(seen, change), deadline()).await
}

fn revision(applied: &Applied) -> u64 {
    match applied {
        Applied::Accepted(document) | Applied::Unchanged(document) => document.head.revision.0,
        Applied::Superseded { ours, .. } => ours.0,
    }
}

async fn current(store: &ConfigStore<MemKv>) -> Document {
    let stored = store
        .current(deadline())
        .await
        .expect("the service answers");
    stored.expect("there is a document").document
}

#[tokio::test(start_paused = true)]
async fn texts_follow_each_other() {
    let store = ConfigStore::new(MemKv::new(1));
    assert_eq!(store.current(deadline()).await.expect("an answer"), None);
    for n in 1..=3 {
        let applied = apply(&store, n - 1, n).await.expect("accepted");
        assert_eq!(revision(&applied), n);
    }
    assert_eq!(current(&store).await.text, text(3));
}

#[tokio::test(start_paused = true)]
async fn a_change_without_effect_writes_nothing() {
    let kv = MemKv::new(1);
    let store = ConfigStore::new(kv.clone());
    apply(&store, 0, 1).await.expect("accepted");
    let writes = kv.counters().writes;
    let mut same = proposal(1, 2);
    same.text = text(1);
    let applied = store.apply(same, deadline()).await.expect("an answer");
    assert!(matches!(applied, Applied::Unchanged(d) if d.head.revision == Revision(1)));
    assert_eq!(kv.counters().writes, writes);
}

// Two operators edit the same revision. The second to apply would take back what the first one
// changed, without either of them noticing.
#[tokio::test(start_paused = true)]
async fn a_racing_operator_gets_the_other_text() {
    let store = ConfigStore::new(MemKv::new(1));
    apply(&store, 0, 1).await.expect("accepted");
    apply(&store, 1, 2).await.expect("accepted");
    let error = apply(&store, 1, 3).await.unwrap_err();
    let StoreError::Conflict { seen, theirs } = error else {
        panic!("{error}");
    };
    assert_eq!(
        (seen, theirs.text.as_str()),
        (Revision(1), text(2).as_str())
    );
    assert_eq!(current(&store).await.text, text(2));
}

// Both operators read the same revision, and then both write.
#[tokio::test(start_paused = true)]
async fn of_two_writes_at_once_one_holds() {
    let kv = MemKv::new(1);
    let (a, b) = (kv.client("a"), kv.client("b"));
    let (a, b) = (ConfigStore::new(a), ConfigStore::new(b));
    apply(&a, 0, 1).await.expect("accepted");
    kv.set_faults(KvFaults {
        delay: Duration::from_millis(20),
        ..KvFaults::default()
    });
    let results = tokio::join!(apply(&a, 1, 2), apply(&b, 1, 3));
    let (won, lost) = match results {
        (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
        other => panic!("{other:?}"),
    };
    assert!(matches!(won, Applied::Accepted(ref d) if d.text == current(&a).await.text));
    assert!(matches!(lost, StoreError::Conflict { .. }), "{lost}");
}

#[tokio::test(start_paused = true)]
async fn a_revision_that_nobody_wrote_is_refused() {
    let store = ConfigStore::new(MemKv::new(1));
    apply(&store, 0, 1).await.expect("accepted");
    let error = apply(&store, 7, 2).await.unwrap_err();
    assert!(matches!(error, StoreError::NotYet { .. }), "{error}");
}

// The service stores the text and its answer is lost. An operator who is told "failed" would apply
// again, or go home with a text in force that nobody knows of.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_found_out() {
    let kv = MemKv::new(1);
    let store = ConfigStore::new(kv.client("a"));
    for fault in [KvFault::LostAnswer, KvFault::LostRequest, KvFault::Refused] {
        let seen = match store.current(deadline()).await.expect("an answer") {
            Some(stored) => stored.document.head.revision.0,
            None => 0,
        };
        // The first write of every later apply makes sure of the history's entry.
        kv.script("a", [fault]);
        let applied = apply(&store, seen, seen + 1).await.expect("accepted");
        assert_eq!(revision(&applied), seen + 1);
        assert!(matches!(applied, Applied::Accepted(_)));
        assert_eq!(current(&store).await.text, text(seen + 1));
    }
    let counters = kv.counters();
    assert_eq!((counters.lost_answers, counters.lost_requests), (1, 1));
}

// As above, and before the operator can look, somebody else applies on top of the change.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_found_out_behind_a_later_change() {
    let kv = MemKv::new(1);
    let (a, b) = (kv.client("a"), kv.client("b"));
    let (a, b) = (ConfigStore::new(a), ConfigStore::new(b));
    apply(&b, 0, 1).await.expect("accepted");
    kv.set_faults(KvFaults {
        slow: Duration::from_millis(100),
        ..KvFaults::default()
    });
    kv.script("a", [KvFault::LostAnswer]);
    let writes = kv.counters().writes;
    let slow = tokio::spawn(async move { apply(&a, 1, 2).await });
    while kv.counters().writes == writes {
        sleep(Duration::from_millis(1)).await;
    }
    kv.pause("a");
    apply(&b, 2, 3).await.expect("accepted");
    kv.resume("a");
    let applied = slow.await.expect("no panic").expect("accepted");
    assert_eq!(kv.counters().lost_answers, 1);
    let Applied::Superseded { ours, current } = applied else {
        panic!("{applied:?}");
    };
    assert_eq!((ours, current.text), (Revision(2), text(3)));
}

// The write is on its way for longer than the operator waits. It may still land, so "nothing was
// changed" would be a lie.
#[tokio::test(start_paused = true)]
async fn a_write_on_its_way_is_not_called_off() {
    let kv = MemKv::new(1);
    let store = ConfigStore::new(kv.client("a"));
    kv.script("a", [KvFault::Delay(2 * PATIENCE)]);
    let error = apply(&store, 0, 1).await.unwrap_err();
    assert!(matches!(error, StoreError::Unknown { .. }), "{error}");
    sleep(2 * PATIENCE).await;
    let again = apply(&store, 0, 1).await.expect("it holds");
    assert!(matches!(again, Applied::Accepted(d) if d.head.revision == Revision(1)));
}

#[tokio::test(start_paused = true)]
async fn an_apply_tried_again_behind_a_later_change_says_that_it_holds() {
    let store = ConfigStore::new(MemKv::new(1));
    for n in 1..=4 {
        apply(&store, n - 1, n).await.expect("accepted");
    }
    let again = apply(&store, 1, 2).await.expect("it held");
    assert!(matches!(again, Applied::Superseded { ours, .. } if ours == Revision(2)));
}

#[tokio::test(start_paused = true)]
async fn throttling_is_waited_out_and_an_outage_is_not_a_change() {
    let kv = MemKv::new(1);
    let store = ConfigStore::new(kv.clone());
    kv.set_limits(KvLimits {
        writes: 2.0,
        reads: 2.0,
    });
    for n in 1..=5 {
        apply(&store, n - 1, n).await.expect("accepted");
    }
    assert!(kv.counters().throttled > 0);
    kv.set_faults(KvFaults {
        outage: true,
        ..KvFaults::default()
    });
    let start = Instant::now();
    let error = apply(&store, 5, 6).await.unwrap_err();
    assert!(matches!(error, StoreError::Service { .. }), "{error}");
    assert!(start.elapsed() <= PATIENCE);
    assert!(kv.counters().outages > 0);
    kv.set_faults(KvFaults::default());
    assert_eq!(current(&store).await.text, text(5));
}

// An operator's program may be killed at any step of an apply. Were the old text overwritten before
// its history entry is there, the only copy of an accepted text would be gone.
#[tokio::test(start_paused = true)]
async fn a_crash_at_any_step_loses_no_accepted_text() {
    const STEP: Duration = Duration::from_millis(10);
    let mut crashes = 0;
    for steps in 1..12 {
        let kv = MemKv::new(steps);
        let store = ConfigStore::new(kv.clone());
        apply(&store, 0, 1).await.expect("accepted");
        apply(&store, 1, 2).await.expect("accepted");
        kv.set_faults(KvFaults {
            slow: STEP,
            ..KvFaults::default()
        });
        let at = STEP * u32::try_from(steps).expect("few") - STEP / 2;
        let crash = tokio::time::timeout(at, apply(&store, 2, 3)).await;
        crashes += u32::from(crash.is_err());
        let last = current(&store).await.head.revision.0;
        apply(&store, last, 4).await.expect("accepted");
        for n in 1..=last {
            let document = store.at(Revision(n), deadline()).await.expect("an answer");
            assert_eq!(document.expect("it is kept").text, text(n));
        }
    }
    assert!(crashes >= 4, "only {crashes} crashes happened");
}

#[tokio::test(start_paused = true)]
async fn every_kept_revision_can_be_had_again() {
    const CHANGES: u64 = 1_300;
    let store = ConfigStore::new(MemKv::new(1));
    for n in 1..=CHANGES {
        apply(&store, n - 1, n).await.expect("accepted");
    }
    let heads = store.history(5_000, deadline()).await.expect("an answer");
    let revisions: Vec<u64> = heads.iter().map(|h| h.revision.0).collect();
    let oldest = *revisions.last().expect("there are some");
    assert!(
        (CHANGES - 1_100..CHANGES - 1_000).contains(&oldest),
        "{oldest}"
    );
    assert!(revisions.iter().copied().eq((oldest..=CHANGES).rev()));
    for n in (oldest..=CHANGES).step_by(37).chain([CHANGES]) {
        let document = store.at(Revision(n), deadline()).await.expect("an answer");
        assert_eq!(document.expect("it is kept").text, text(n));
    }
    assert_eq!(
        store.at(Revision(3), deadline()).await.expect("an answer"),
        None
    );
    assert_eq!(
        store.history(2, deadline()).await.expect("an answer").len(),
        2
    );
}

// Somebody deletes the document by hand. Were revisions to begin at 1 again, nodes, which never
// take a lower one, would not follow any text until the count had caught up.
#[tokio::test(start_paused = true)]
async fn revisions_rise_across_a_deletion() {
    let kv = MemKv::new(1);
    let store = ConfigStore::new(kv.clone());
    for n in 1..=3 {
        apply(&store, n - 1, n).await.expect("accepted");
    }
    let entry = kv
        .get(CURRENT_KEY)
        .await
        .expect("an answer")
        .expect("a value");
    kv.delete(CURRENT_KEY, entry.revision)
        .await
        .expect("deleted");
    let applied = apply(&store, 0, 4).await.expect("accepted");
    assert_eq!(revision(&applied), 4);
}

#[tokio::test(start_paused = true)]
async fn a_damaged_value_is_reported_and_kept() {
    let kv = MemKv::new(1);
    let store = ConfigStore::new(kv.clone());
    let value = Bytes::from_static(b"not a document");
    let put = kv.put(CURRENT_KEY, value.clone(), Condition::Absent, None);
    put.await.expect("stored");
    let error = apply(&store, 0, 1).await.unwrap_err();
    assert!(matches!(error, StoreError::Damaged { .. }), "{error}");
    let entry = kv.get(CURRENT_KEY).await.expect("an answer");
    assert_eq!(entry.expect("a value").value, value);
}

#[tokio::test(start_paused = true)]
async fn a_watch_wakes_for_a_newer_document() {
    let store = ConfigStore::new(MemKv::new(1));
    let nothing = store.watch(ModRevision(0), Duration::from_secs(1)).await;
    assert_eq!(nothing.expect("an answer"), None);
    let (found, applied) = tokio::join!(store.watch(ModRevision(0), PATIENCE), apply(&store, 0, 1));
    applied.expect("accepted");
    let found = found.expect("an answer").expect("a document");
    assert_eq!(found.document.head.revision, Revision(1));
}

/// What one operator was told of a change.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Told {
    Accepted(u64),
    Refused,
    Unknown,
}

async fn operate(store: ConfigStore<MemKv>, id: u64, seed: u64) -> Vec<(u64, Told)> {
    let mut rng = Pcg64::seed_from_u64(seed * 100 + id);
    let mut told = Vec::new();
    for n in 0..8 {
        sleep(Duration::from_millis(rng.random_range(0..400))).await;
        let Ok(stored) = store.current(deadline()).await else {
            continue;
        };
        let seen = stored.map_or(0, |s| s.document.head.revision.0);
        let change = id * 1_000 + n + 1;
        let answer = match apply(&store, seen, change).await {
            Ok(applied) => Told::Accepted(revision(&applied)),
            Err(StoreError::Unknown { .. }) => Told::Unknown,
            Err(_) => Told::Refused,
        };
        told.push((change, answer));
    }
    told
}

// Three operators race while the service loses requests and answers, delays and throttles. What
// each was told must be what happened: an accepted change stands in the history once, at the
// revision that was named, and a refused one nowhere.
#[tokio::test(start_paused = true)]
async fn racing_operators_are_told_the_truth() {
    let (mut accepted, mut refused, mut faults) = (0, 0, 0);
    for seed in 0..40 {
        let kv = MemKv::new(seed);
        kv.set_limits(KvLimits {
            writes: 20.0,
            reads: 60.0,
        });
        kv.set_faults(KvFaults {
            lost_answers: 0.25,
            lost_requests: 0.25,
            delay: Duration::from_millis(60),
            ..KvFaults::default()
        });
        let operator = |id| {
            let store = ConfigStore::new(kv.client(&format!("operator {id}")));
            tokio::spawn(operate(store, id, seed))
        };
        let told = futures::future::join_all([operator(1), operator(2), operator(3)]).await;
        faults += kv.counters().faults();
        kv.set_faults(KvFaults::default());
        let store = ConfigStore::new(kv.client("reader"));
        let heads = store.history(1_000, deadline()).await.expect("an answer");
        let happened: BTreeMap<u64, u64> =
            heads.iter().map(|h| (h.change.0, h.revision.0)).collect();
        assert_eq!(
            happened.len(),
            heads.len(),
            "seed {seed}: a change stands twice"
        );
        for (change, answer) in told.into_iter().flat_map(|t| t.expect("no panic")) {
            let found = happened.get(&change).copied();
            match answer {
                Told::Accepted(revision) => assert_eq!(found, Some(revision), "seed {seed}"),
                Told::Refused => assert_eq!(found, None, "seed {seed}, change {change}"),
                Told::Unknown => {}
            }
            accepted += u32::from(matches!(answer, Told::Accepted(_)));
            refused += u32::from(answer == Told::Refused);
        }
        for head in &heads {
            let document = store
                .at(head.revision, deadline())
                .await
                .expect("an answer");
            assert_eq!(document.expect("it is kept").text, text(head.change.0));
        }
    }
    assert!(
        accepted > 300 && refused > 30,
        "{accepted} accepted, {refused} refused"
    );
    assert!(faults > 500, "only {faults} faults happened");
    println!("{accepted} accepted, {refused} refused, {faults} faults");
}

//! The replica of records that a reader serves to its followers.

use bytes::Bytes;
use oatdale_relay::{
    Content, FetchRequest, Members, Node, Record, Replica, ReplicaUpdate, Revision, Topic,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

const TOPIC: Topic = Topic::Endpoints;
const NO_WAIT: Duration = Duration::ZERO;
const WAIT: Duration = Duration::from_secs(1);

/// A revision of the service in its first era.
const fn rev(number: u64) -> Revision {
    Revision::new(1, number)
}

fn record(key: &str, revision: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: Some(Bytes::from(revision.to_string())),
        revision: rev(revision),
    }
}

fn deleted(key: &str, revision: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: None,
        revision: rev(revision),
    }
}

/// A replica with the records `a` and `b`, read at revision 10.
fn replica() -> Replica {
    let replica = Replica::default();
    replica.set_max_value_bytes(100);
    replica.replace(TOPIC, rev(10), &[record("a", 3), record("b", 7)]);
    replica
}

fn keys(update: &ReplicaUpdate) -> Vec<&str> {
    update.records.iter().map(|r| r.key.as_str()).collect()
}

fn request(after: Option<Revision>, wait: Duration) -> FetchRequest {
    FetchRequest {
        topic: TOPIC,
        after,
        wait_ms: u64::try_from(wait.as_millis()).expect("the wait fits in u64 milliseconds"),
        accepts_patches: false,
        node: None,
    }
}

fn node(host: &str) -> Node {
    let addr = ([127, 255, 0, 1], 1).into();
    Node {
        host: host.to_owned(),
        callers: addr,
        nodes: addr,
        state: Some(addr),
        domain: None,
        link_mbps: 0,
    }
}

fn hosts(nodes: &[Node]) -> Vec<&str> {
    nodes.iter().map(|n| n.host.as_str()).collect()
}

async fn fetch(replica: &Replica, after: Option<Revision>) -> Option<ReplicaUpdate> {
    replica.fetch(request(after, NO_WAIT)).await
}

#[tokio::test(start_paused = true)]
async fn a_fetch_without_a_revision_returns_a_snapshot() {
    let update = fetch(&replica(), None).await.expect("an update");
    assert!(update.is_snapshot);
    assert_eq!(
        (update.revision.number, keys(&update)),
        (10, vec!["a", "b"])
    );
    assert_eq!(update.reachable_for, None);
}

#[tokio::test(start_paused = true)]
async fn a_fetch_with_a_revision_returns_the_changes_after_it() {
    let replica = replica();
    replica.apply_changes(
        TOPIC,
        rev(14),
        &[record("c", 11), deleted("a", 12), record("c", 14)],
    );
    let update = fetch(&replica, Some(rev(10))).await.expect("an update");
    assert!(!update.is_snapshot);
    assert_eq!(
        (update.revision.number, keys(&update)),
        (14, vec!["a", "c"])
    );
    assert_eq!(update.records[0].content, Content::Deleted);
    let update = fetch(&replica, Some(rev(12))).await.expect("an update");
    assert_eq!(keys(&update), ["c"]);
    let update = fetch(&replica, Some(rev(14))).await.expect("an update");
    assert_eq!((update.revision.number, keys(&update)), (14, vec![]));
}

// A follower switches from a reader that was ahead of this one. Its revision must not go back to
// this reader's.
#[tokio::test(start_paused = true)]
async fn a_follower_ahead_of_the_reader_keeps_its_revision() {
    let replica = replica();
    let update = fetch(&replica, Some(rev(20))).await.expect("an update");
    assert_eq!((update.revision.number, keys(&update)), (20, vec![]));
    replica.apply_changes(TOPIC, rev(21), &[record("b", 21)]);
    let update = fetch(&replica, Some(rev(20))).await.expect("an update");
    assert_eq!((update.revision.number, keys(&update)), (21, vec!["b"]));
}

// Changes that were discarded, or made before the reader began to read, cannot be sent
// individually.
#[tokio::test(start_paused = true)]
async fn a_follower_behind_all_kept_changes_gets_a_snapshot() {
    let replica = replica();
    let update = fetch(&replica, Some(rev(9))).await.expect("an update");
    assert!(update.is_snapshot);
    for revision in 11..6_000 {
        replica.apply_changes(TOPIC, rev(revision), &[record("a", revision)]);
    }
    let update = fetch(&replica, Some(rev(11))).await.expect("an update");
    assert!(update.is_snapshot);
    let update = fetch(&replica, Some(rev(5_900))).await.expect("an update");
    assert!(!update.is_snapshot);
}

// The reader has to re-read all records after an outage. Its followers must get the difference, or
// an endpoint that was deleted meanwhile would stay in their records for ever.
#[tokio::test(start_paused = true)]
async fn a_full_re_read_is_served_as_changes() {
    let replica = replica();
    replica.replace(TOPIC, rev(20), &[record("b", 7), record("c", 18)]);
    let update = fetch(&replica, Some(rev(10))).await.expect("an update");
    assert!(!update.is_snapshot);
    assert_eq!(
        (update.revision.number, keys(&update)),
        (20, vec!["c", "a"])
    );
    assert_eq!(update.records[1].content, Content::Deleted);
}

// A follower learned from another reader of an endpoint that was written and deleted again while
// this reader was cut off from the service. If this reader sent only its own differences, the
// follower would send requests to that endpoint for ever.
#[tokio::test(start_paused = true)]
async fn a_follower_inside_a_gap_gets_a_snapshot() {
    let replica = replica();
    replica.replace(TOPIC, rev(20), &[record("a", 3), record("b", 7)]);
    let update = fetch(&replica, Some(rev(15))).await.expect("an update");
    assert!(update.is_snapshot);
    let update = fetch(&replica, Some(rev(10))).await.expect("an update");
    assert!(!update.is_snapshot);
    let update = fetch(&replica, Some(rev(20))).await.expect("an update");
    assert!(!update.is_snapshot);
    for n in 0..200 {
        replica.replace(TOPIC, rev(30 + n), &[record("a", 3), record("b", 7)]);
    }
    // The number of remembered gaps is bounded; a follower that is behind them gets a snapshot.
    let update = fetch(&replica, Some(rev(15))).await.expect("an update");
    assert!(update.is_snapshot);
}

// A change is written while the reader reads a snapshot page by page. A later page holds it, with a
// revision after that of the first page, from which the reader continues. A follower at the first
// page's revision must get it too.
#[tokio::test(start_paused = true)]
async fn a_change_on_a_later_page_is_served_to_a_follower_at_the_first_page() {
    let replica = replica();
    replica.replace(TOPIC, rev(20), &[record("b", 7), record("c", 25)]);
    let update = fetch(&replica, Some(rev(10))).await.expect("an update");
    assert_eq!(keys(&update), ["a", "c"]);
    let update = fetch(&replica, Some(rev(20))).await.expect("an update");
    assert_eq!(keys(&update), ["c"]);
}

// An endpoint leaves while a follower waits at the reader. The follower must learn it at once, not
// with its next request.
#[tokio::test(start_paused = true)]
async fn a_waiting_fetch_returns_a_change_at_once() {
    let replica = Arc::new(replica());
    let reader = replica.clone();
    let pending = tokio::spawn(async move { reader.fetch(request(Some(rev(10)), WAIT)).await });
    tokio::time::sleep(WAIT / 4).await;
    let start = Instant::now();
    replica.apply_changes(TOPIC, rev(11), &[deleted("a", 11)]);
    let update = pending
        .await
        .expect("the fetch completes")
        .expect("an update");
    assert_eq!(keys(&update), ["a"]);
    assert!(start.elapsed() < Duration::from_millis(1));
}

#[tokio::test(start_paused = true)]
async fn a_waiting_fetch_without_changes_returns_after_its_wait() {
    let replica = replica();
    let start = Instant::now();
    let update = replica.fetch(request(Some(rev(10)), WAIT)).await;
    assert_eq!(keys(&update.expect("an update")), Vec::<&str>::new());
    assert_eq!(start.elapsed(), WAIT);
}

// The reader is cut off from the service and its followers are not. If they kept waiting at the
// reader, they would send requests to endpoints that have left.
#[tokio::test(start_paused = true)]
async fn a_waiting_fetch_is_refused_when_the_service_becomes_unreachable() {
    let replica = Arc::new(replica());
    let reader = replica.clone();
    let pending = tokio::spawn(async move { reader.fetch(request(Some(rev(10)), WAIT)).await });
    tokio::time::sleep(WAIT / 4).await;
    replica.suspend();
    let ended = timeout(WAIT / 100, pending).await;
    assert_eq!(
        ended
            .expect("the fetch ends at once")
            .expect("the fetch completes"),
        None
    );
    assert_eq!(fetch(&replica, Some(rev(10))).await, None);
    // An answer for the operators' topic does not show that the endpoints are current.
    replica.replace(Topic::Operators, rev(12), &[]);
    assert_eq!(fetch(&replica, Some(rev(10))).await, None);
}

// Endpoints whose records expired during an outage write them again shortly afterwards. A follower
// that did not detect the outage itself must not treat them as gone.
#[tokio::test(start_paused = true)]
async fn an_update_carries_the_time_since_an_outage_ended() {
    let replica = replica();
    replica.suspend();
    replica.replace(TOPIC, rev(20), &[record("b", 7)]);
    tokio::time::sleep(WAIT).await;
    let update = fetch(&replica, Some(rev(10))).await.expect("an update");
    assert_eq!(update.reachable_for, Some(WAIT));
}

#[tokio::test(start_paused = true)]
async fn a_cleared_replica_refuses_fetches() {
    let replica = replica();
    assert!(replica.is_loaded(TOPIC));
    replica.clear();
    assert!(!replica.is_loaded(TOPIC));
    assert_eq!(fetch(&replica, None).await, None);
    replica.apply_changes(TOPIC, rev(30), &[record("a", 30)]);
    assert_eq!(fetch(&replica, None).await, None);
}

// A configuration with some thousand routes would saturate the reader's link and delay updates of
// endpoints.
#[tokio::test(start_paused = true)]
async fn long_values_are_not_passed_on() {
    let replica = replica();
    let mut long = record("a", 11);
    long.value = Some(Bytes::from(vec![b'x'; 101]));
    replica.apply_changes(TOPIC, rev(11), &[long]);
    let update = fetch(&replica, Some(rev(10))).await.expect("an update");
    assert_eq!(update.records[0].content, Content::TooLong);
    assert_eq!(update.records[0].revision, rev(11));
}

// All nodes start at once, and a request arrives before the node knows that it is a reader. If it
// refused, all other nodes would read all records from the service themselves.
#[tokio::test(start_paused = true)]
async fn an_early_fetch_waits_until_the_records_are_loaded() {
    let replica = Arc::new(Replica::default());
    let reader = replica.clone();
    let pending = tokio::spawn(async move { reader.fetch(request(None, WAIT)).await });
    timeout(WAIT / 4, replica.load_requested())
        .await
        .expect("the early request is signalled");
    replica.replace(TOPIC, rev(10), &[record("a", 3)]);
    let update = pending
        .await
        .expect("the fetch completes")
        .expect("an update");
    assert_eq!(keys(&update), ["a"]);
    assert_eq!(Replica::default().fetch(request(None, WAIT)).await, None);
}

// Followers have no record of their own. Callers must get their addresses while they run, and no
// longer soon after they lost power.
// Guards against followers that ask again and again while their reader, which starts at the same time,
// loads the records, and against ones that wait for a reader that the service does not answer.
#[tokio::test(start_paused = true)]
async fn a_starting_reader_holds_fetches_unless_the_service_does_not_answer() {
    let replica = Arc::new(Replica::default());
    replica.set_max_value_bytes(100);
    replica.begin_reading();
    let waiting = replica.clone();
    let held = tokio::spawn(async move { fetch(&waiting, None).await });
    tokio::time::sleep(Duration::from_millis(600)).await;
    replica.replace(TOPIC, rev(10), &[record("a", 3)]);
    let update = held.await.expect("the fetch ends").expect("it is answered");
    assert_eq!(keys(&update), ["a"]);

    let replica = Replica::default();
    replica.begin_reading();
    replica.suspend();
    let began = Instant::now();
    assert_eq!(fetch(&replica, None).await, None);
    assert_eq!(began.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_fetching_node_is_listed_as_running() {
    let replica = Arc::new(replica());
    let mut announcing = request(Some(rev(10)), WAIT);
    announcing.node = Some(node("f"));
    for _ in 0..5 {
        let reader = replica.clone();
        let cloned = announcing.clone();
        let pending = tokio::spawn(async move { reader.fetch(cloned).await });
        tokio::time::sleep(WAIT / 2).await;
        assert_eq!(hosts(&replica.members()), ["f"]);
        pending.await.expect("the fetch completes");
    }
    // The connection breaks while the request is in flight.
    let reader = replica.clone();
    let pending = tokio::spawn(async move { reader.fetch(announcing).await });
    tokio::time::sleep(WAIT / 2).await;
    pending.abort();
    tokio::time::sleep(WAIT).await;
    assert_eq!(hosts(&replica.members()), ["f"]);
    tokio::time::sleep(WAIT).await;
    assert!(replica.members().is_empty());
}

// A process ends and the next one on its host sends a request before the first one's connection is
// known to be broken.
#[test]
fn a_restarted_process_replaces_the_previous_one_on_its_host() {
    let mut members = Members::default();
    let secs = Duration::from_secs;
    members.begin_request(secs(0), node("f"));
    members.begin_request(secs(1), node("f"));
    members.end_request(secs(2), "f");
    assert_eq!(hosts(&members.running(secs(9))), ["f"]);
    members.end_request(secs(10), "f");
    assert_eq!(hosts(&members.running(secs(11))), ["f"]);
    assert!(members.running(secs(12)).is_empty());
}

// A client keeps sending requests under new host names. The list of nodes must not outgrow what a
// record can hold.
#[test]
fn the_number_of_listed_nodes_is_bounded() {
    let mut members = Members::default();
    for n in 0..5_000 {
        members.begin_request(Duration::ZERO, node(&format!("f-{n}")));
    }
    assert!(members.running(Duration::ZERO).len() <= 1_024);
}

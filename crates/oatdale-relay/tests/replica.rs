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
const fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

fn record(key: &str, revision: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: Some(Bytes::from(revision.to_string())),
        revision: at(revision),
    }
}

fn gone(key: &str, revision: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: None,
        revision: at(revision),
    }
}

/// A replica with the records `a` and `b`, read at revision 10.
fn replica() -> Replica {
    let replica = Replica::default();
    replica.set_longest(100);
    replica.replace(TOPIC, at(10), &[record("a", 3), record("b", 7)]);
    replica
}

fn keys(told: &ReplicaUpdate) -> Vec<&str> {
    told.records.iter().map(|r| r.key.as_str()).collect()
}

fn question(after: Option<Revision>, wait: Duration) -> FetchRequest {
    FetchRequest {
        topic: TOPIC,
        after,
        wait_ms: u64::try_from(wait.as_millis()).expect("the wait fits in u64 milliseconds"),
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

async fn tell(replica: &Replica, after: Option<Revision>) -> Option<ReplicaUpdate> {
    replica.tell(question(after, NO_WAIT)).await
}

#[tokio::test(start_paused = true)]
async fn a_follower_that_knows_nothing_gets_everything() {
    let told = tell(&replica(), None).await.expect("an update");
    assert!(told.is_snapshot);
    assert_eq!((told.revision.number, keys(&told)), (10, vec!["a", "b"]));
    assert_eq!(told.back, None);
}

#[tokio::test(start_paused = true)]
async fn a_follower_goes_on_from_where_it_is() {
    let replica = replica();
    replica.change(
        TOPIC,
        at(14),
        &[record("c", 11), gone("a", 12), record("c", 14)],
    );
    let told = tell(&replica, Some(at(10))).await.expect("an update");
    assert!(!told.is_snapshot);
    assert_eq!((told.revision.number, keys(&told)), (14, vec!["a", "c"]));
    assert_eq!(told.records[0].content, Content::Deleted);
    let told = tell(&replica, Some(at(12))).await.expect("an update");
    assert_eq!(keys(&told), ["c"]);
    let told = tell(&replica, Some(at(14))).await.expect("an update");
    assert_eq!((told.revision.number, keys(&told)), (14, vec![]));
}

// A follower switches from a reader that was ahead of this one. Its revision must not go back to
// this reader's.
#[tokio::test(start_paused = true)]
async fn a_follower_that_is_ahead_stays_there() {
    let replica = replica();
    let told = tell(&replica, Some(at(20))).await.expect("an update");
    assert_eq!((told.revision.number, keys(&told)), (20, vec![]));
    replica.change(TOPIC, at(21), &[record("b", 21)]);
    let told = tell(&replica, Some(at(20))).await.expect("an update");
    assert_eq!((told.revision.number, keys(&told)), (21, vec!["b"]));
}

// Changes that were discarded, or made before the reader began to read, cannot be sent
// individually.
#[tokio::test(start_paused = true)]
async fn who_is_too_far_behind_gets_everything() {
    let replica = replica();
    let told = tell(&replica, Some(at(9))).await.expect("an update");
    assert!(told.is_snapshot);
    for revision in 11..6_000 {
        replica.change(TOPIC, at(revision), &[record("a", revision)]);
    }
    let told = tell(&replica, Some(at(11))).await.expect("an update");
    assert!(told.is_snapshot);
    let told = tell(&replica, Some(at(5_900))).await.expect("an update");
    assert!(!told.is_snapshot);
}

// The reader has to re-read all records after an outage. Its followers must get the difference, or
// an endpoint that was deleted meanwhile would stay in their records for ever.
#[tokio::test(start_paused = true)]
async fn reading_anew_tells_what_differs() {
    let replica = replica();
    replica.replace(TOPIC, at(20), &[record("b", 7), record("c", 18)]);
    let told = tell(&replica, Some(at(10))).await.expect("an update");
    assert!(!told.is_snapshot);
    assert_eq!((told.revision.number, keys(&told)), (20, vec!["c", "a"]));
    assert_eq!(told.records[1].content, Content::Deleted);
}

// A follower learned from another reader of an endpoint that was written and deleted again while
// this reader was cut off from the service. If this reader sent only its own differences, the
// follower would send requests to that endpoint for ever.
#[tokio::test(start_paused = true)]
async fn who_was_ahead_of_a_reader_that_reads_anew_gets_everything() {
    let replica = replica();
    replica.replace(TOPIC, at(20), &[record("a", 3), record("b", 7)]);
    let told = tell(&replica, Some(at(15))).await.expect("an update");
    assert!(told.is_snapshot);
    let told = tell(&replica, Some(at(10))).await.expect("an update");
    assert!(!told.is_snapshot);
    let told = tell(&replica, Some(at(20))).await.expect("an update");
    assert!(!told.is_snapshot);
    for n in 0..200 {
        replica.replace(TOPIC, at(30 + n), &[record("a", 3), record("b", 7)]);
    }
    // The number of remembered gaps is bounded; a follower that is behind them gets a snapshot.
    let told = tell(&replica, Some(at(15))).await.expect("an update");
    assert!(told.is_snapshot);
}

// A change is written while the reader reads a snapshot page by page. A later page holds it, with a
// revision after that of the first page, from which the reader continues. A follower at the first
// page's revision must get it too.
#[tokio::test(start_paused = true)]
async fn what_later_pages_hold_is_told() {
    let replica = replica();
    replica.replace(TOPIC, at(20), &[record("b", 7), record("c", 25)]);
    let told = tell(&replica, Some(at(10))).await.expect("an update");
    assert_eq!(keys(&told), ["a", "c"]);
    let told = tell(&replica, Some(at(20))).await.expect("an update");
    assert_eq!(keys(&told), ["c"]);
}

// An endpoint leaves while a follower waits at the reader. The follower must learn it at once, not
// with its next request.
#[tokio::test(start_paused = true)]
async fn who_waits_is_told_at_once() {
    let replica = Arc::new(replica());
    let asked = replica.clone();
    let waiting = tokio::spawn(async move { asked.tell(question(Some(at(10)), WAIT)).await });
    tokio::time::sleep(WAIT / 4).await;
    let began = Instant::now();
    replica.change(TOPIC, at(11), &[gone("a", 11)]);
    let told = waiting
        .await
        .expect("the fetch completes")
        .expect("an update");
    assert_eq!(keys(&told), ["a"]);
    assert!(began.elapsed() < Duration::from_millis(1));
}

#[tokio::test(start_paused = true)]
async fn who_waits_for_nothing_is_told_so_in_the_end() {
    let replica = replica();
    let began = Instant::now();
    let told = replica.tell(question(Some(at(10)), WAIT)).await;
    assert_eq!(keys(&told.expect("an update")), Vec::<&str>::new());
    assert_eq!(began.elapsed(), WAIT);
}

// The reader is cut off from the service and its followers are not. If they kept waiting at the
// reader, they would send requests to endpoints that have left.
#[tokio::test(start_paused = true)]
async fn who_waits_is_sent_elsewhere_when_the_service_is_silent() {
    let replica = Arc::new(replica());
    let asked = replica.clone();
    let waiting = tokio::spawn(async move { asked.tell(question(Some(at(10)), WAIT)).await });
    tokio::time::sleep(WAIT / 4).await;
    replica.suspend();
    let told = timeout(WAIT / 100, waiting).await;
    assert_eq!(
        told.expect("the fetch ends at once")
            .expect("the fetch completes"),
        None
    );
    assert_eq!(tell(&replica, Some(at(10))).await, None);
    // An answer for the operators' topic does not show that the endpoints are current.
    replica.replace(Topic::Operators, at(12), &[]);
    assert_eq!(tell(&replica, Some(at(10))).await, None);
}

// Endpoints whose records expired during an outage write them again shortly afterwards. A follower
// that did not detect the outage itself must not treat them as gone.
#[tokio::test(start_paused = true)]
async fn followers_hear_that_the_service_was_away() {
    let replica = replica();
    replica.suspend();
    replica.replace(TOPIC, at(20), &[record("b", 7)]);
    tokio::time::sleep(WAIT).await;
    let told = tell(&replica, Some(at(10))).await.expect("an update");
    assert_eq!(told.back, Some(WAIT));
}

#[tokio::test(start_paused = true)]
async fn a_node_that_reads_elsewhere_tells_nothing() {
    let replica = replica();
    assert!(replica.has(TOPIC));
    replica.clear();
    assert!(!replica.has(TOPIC));
    assert_eq!(tell(&replica, None).await, None);
    replica.change(TOPIC, at(30), &[record("a", 30)]);
    assert_eq!(tell(&replica, None).await, None);
}

// A configuration with some thousand routes would saturate the reader's link and delay updates of
// endpoints.
#[tokio::test(start_paused = true)]
async fn long_values_are_not_passed_on() {
    let replica = replica();
    let mut long = record("a", 11);
    long.value = Some(Bytes::from(vec![b'x'; 101]));
    replica.change(TOPIC, at(11), &[long]);
    let told = tell(&replica, Some(at(10))).await.expect("an update");
    assert_eq!(told.records[0].content, Content::TooLong);
    assert_eq!(told.records[0].revision, at(11));
}

// All nodes start at once, and a request arrives before the node knows that it is a reader. If it
// refused, all other nodes would read all records from the service themselves.
#[tokio::test(start_paused = true)]
async fn who_asks_too_early_waits_until_the_records_are_read() {
    let replica = Arc::new(Replica::default());
    let asked = replica.clone();
    let waiting = tokio::spawn(async move { asked.tell(question(None, WAIT)).await });
    timeout(WAIT / 4, replica.wanted())
        .await
        .expect("the early request is signalled");
    replica.replace(TOPIC, at(10), &[record("a", 3)]);
    let told = waiting
        .await
        .expect("the fetch completes")
        .expect("an update");
    assert_eq!(keys(&told), ["a"]);
    assert_eq!(Replica::default().tell(question(None, WAIT)).await, None);
}

// Followers have no record of their own. Callers must get their addresses while they run, and no
// longer soon after they lost power.
#[tokio::test(start_paused = true)]
async fn who_asks_is_known_to_run() {
    let replica = Arc::new(replica());
    let mut asking = question(Some(at(10)), WAIT);
    asking.node = Some(node("f"));
    for _ in 0..5 {
        let asked = replica.clone();
        let question = asking.clone();
        let waiting = tokio::spawn(async move { asked.tell(question).await });
        tokio::time::sleep(WAIT / 2).await;
        assert_eq!(hosts(&replica.members()), ["f"]);
        waiting.await.expect("the fetch completes");
    }
    // The connection breaks while the request is in flight.
    let asked = replica.clone();
    let waiting = tokio::spawn(async move { asked.tell(asking).await });
    tokio::time::sleep(WAIT / 2).await;
    waiting.abort();
    tokio::time::sleep(WAIT).await;
    assert_eq!(hosts(&replica.members()), ["f"]);
    tokio::time::sleep(WAIT).await;
    assert!(replica.members().is_empty());
}

// A process ends and the next one on its host sends a request before the first one's connection is
// known to be broken.
#[test]
fn the_next_process_of_a_host_takes_its_place() {
    let mut members = Members::default();
    let at = Duration::from_secs;
    members.asks(at(0), node("f"));
    members.asks(at(1), node("f"));
    members.answered(at(2), "f");
    assert_eq!(hosts(&members.running(at(9))), ["f"]);
    members.answered(at(10), "f");
    assert_eq!(hosts(&members.running(at(11))), ["f"]);
    assert!(members.running(at(12)).is_empty());
}

// A client keeps sending requests under new host names. The list of nodes must not outgrow what a
// record can hold.
#[test]
fn the_nodes_that_are_listed_are_bounded() {
    let mut members = Members::default();
    for n in 0..5_000 {
        members.asks(Duration::ZERO, node(&format!("f-{n}")));
    }
    assert!(members.running(Duration::ZERO).len() <= 1_024);
}

//! Records that a node keeps for others that follow them.

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

/// A place in the service's history.
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
        wait_ms: u64::try_from(wait.as_millis()).expect("it is short"),
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
    let told = tell(&replica(), None).await.expect("it is current");
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
    let told = tell(&replica, Some(at(10))).await.expect("it is current");
    assert!(!told.is_snapshot);
    assert_eq!((told.revision.number, keys(&told)), (14, vec!["a", "c"]));
    assert_eq!(told.records[0].content, Content::Deleted);
    let told = tell(&replica, Some(at(12))).await.expect("it is current");
    assert_eq!(keys(&told), ["c"]);
    let told = tell(&replica, Some(at(14))).await.expect("it is current");
    assert_eq!((told.revision.number, keys(&told)), (14, vec![]));
}

// A follower comes from another reader that is ahead. It must not fall back to what this one knows.
#[tokio::test(start_paused = true)]
async fn a_follower_that_is_ahead_stays_there() {
    let replica = replica();
    let told = tell(&replica, Some(at(20))).await.expect("it is current");
    assert_eq!((told.revision.number, keys(&told)), (20, vec![]));
    replica.change(TOPIC, at(21), &[record("b", 21)]);
    let told = tell(&replica, Some(at(20))).await.expect("it is current");
    assert_eq!((told.revision.number, keys(&told)), (21, vec!["b"]));
}

// Changes that nobody remembers any more, or that were before this node began to read, can't be told one by one.
#[tokio::test(start_paused = true)]
async fn who_is_too_far_behind_gets_everything() {
    let replica = replica();
    let told = tell(&replica, Some(at(9))).await.expect("it is current");
    assert!(told.is_snapshot);
    for revision in 11..6_000 {
        replica.change(TOPIC, at(revision), &[record("a", revision)]);
    }
    let told = tell(&replica, Some(at(11))).await.expect("it is current");
    assert!(told.is_snapshot);
    let told = tell(&replica, Some(at(5_900)))
        .await
        .expect("it is current");
    assert!(!told.is_snapshot);
}

// The reader had to read everything anew, after an outage. Its followers get what differs; an endpoint that went
// meanwhile would otherwise stay with them for ever.
#[tokio::test(start_paused = true)]
async fn reading_anew_tells_what_differs() {
    let replica = replica();
    replica.replace(TOPIC, at(20), &[record("b", 7), record("c", 18)]);
    let told = tell(&replica, Some(at(10))).await.expect("it is current");
    assert!(!told.is_snapshot);
    assert_eq!((told.revision.number, keys(&told)), (20, vec!["c", "a"]));
    assert_eq!(told.records[1].content, Content::Deleted);
}

// A follower has heard from another reader of an endpoint that this one never knew: it came and went while this one
// was cut off. ReplicaUpdate only what differs for this reader, the follower would send requests there for ever.
#[tokio::test(start_paused = true)]
async fn who_was_ahead_of_a_reader_that_reads_anew_gets_everything() {
    let replica = replica();
    replica.replace(TOPIC, at(20), &[record("a", 3), record("b", 7)]);
    let told = tell(&replica, Some(at(15))).await.expect("it is current");
    assert!(told.is_snapshot);
    let told = tell(&replica, Some(at(10))).await.expect("it is current");
    assert!(!told.is_snapshot);
    let told = tell(&replica, Some(at(20))).await.expect("it is current");
    assert!(!told.is_snapshot);
    for n in 0..200 {
        replica.replace(TOPIC, at(30 + n), &[record("a", 3), record("b", 7)]);
    }
    // Gaps are not remembered without end; who is behind them gets everything.
    let told = tell(&replica, Some(at(15))).await.expect("it is current");
    assert!(told.is_snapshot);
}

// A change is written while everything is read page by page: a later page holds it, with a revision after that
// of the first page, which is what the reader goes on from. It must be told even to who is at that revision.
#[tokio::test(start_paused = true)]
async fn what_later_pages_hold_is_told() {
    let replica = replica();
    replica.replace(TOPIC, at(20), &[record("b", 7), record("c", 25)]);
    let told = tell(&replica, Some(at(10))).await.expect("it is current");
    assert_eq!(keys(&told), ["a", "c"]);
    let told = tell(&replica, Some(at(20))).await.expect("it is current");
    assert_eq!(keys(&told), ["c"]);
}

// Followers wait at the reader, and an endpoint leaves. They must know it at once, not with their next question.
#[tokio::test(start_paused = true)]
async fn who_waits_is_told_at_once() {
    let replica = Arc::new(replica());
    let asked = replica.clone();
    let waiting = tokio::spawn(async move { asked.tell(question(Some(at(10)), WAIT)).await });
    tokio::time::sleep(WAIT / 4).await;
    let began = Instant::now();
    replica.change(TOPIC, at(11), &[gone("a", 11)]);
    let told = waiting.await.expect("it ends").expect("it is current");
    assert_eq!(keys(&told), ["a"]);
    assert!(began.elapsed() < Duration::from_millis(1));
}

#[tokio::test(start_paused = true)]
async fn who_waits_for_nothing_is_told_so_in_the_end() {
    let replica = replica();
    let began = Instant::now();
    let told = replica.tell(question(Some(at(10)), WAIT)).await;
    assert_eq!(keys(&told.expect("it is current")), Vec::<&str>::new());
    assert_eq!(began.elapsed(), WAIT);
}

// The reader is cut off from the service, its followers are not. Were they to go on waiting there, they would
// send requests to endpoints that have left.
#[tokio::test(start_paused = true)]
async fn who_waits_is_sent_elsewhere_when_the_service_is_silent() {
    let replica = Arc::new(replica());
    let asked = replica.clone();
    let waiting = tokio::spawn(async move { asked.tell(question(Some(at(10)), WAIT)).await });
    tokio::time::sleep(WAIT / 4).await;
    replica.suspend();
    let told = timeout(WAIT / 100, waiting).await;
    assert_eq!(told.expect("at once").expect("it ends"), None);
    assert_eq!(tell(&replica, Some(at(10))).await, None);
    // The operators' watch alone says nothing of the endpoints.
    replica.replace(Topic::Operators, at(12), &[]);
    assert_eq!(tell(&replica, Some(at(10))).await, None);
}

// Endpoints whose records lapsed during an outage write them anew a moment later. A follower that did not notice
// the outage by itself must not take them for gone.
#[tokio::test(start_paused = true)]
async fn followers_hear_that_the_service_was_away() {
    let replica = replica();
    replica.suspend();
    replica.replace(TOPIC, at(20), &[record("b", 7)]);
    tokio::time::sleep(WAIT).await;
    let told = tell(&replica, Some(at(10))).await.expect("it is current");
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

// A configuration of some thousand routes would fill the reader's link, and news of endpoints wait behind it.
#[tokio::test(start_paused = true)]
async fn long_values_are_not_passed_on() {
    let replica = replica();
    let mut long = record("a", 11);
    long.value = Some(Bytes::from(vec![b'x'; 101]));
    replica.change(TOPIC, at(11), &[long]);
    let told = tell(&replica, Some(at(10))).await.expect("it is current");
    assert_eq!(told.records[0].content, Content::TooLong);
    assert_eq!(told.records[0].revision, at(11));
}

// All nodes start at once, and one is asked before it knows that it is to read for others. Were it to refuse, all
// others would read everything by themselves.
#[tokio::test(start_paused = true)]
async fn who_asks_too_early_waits_until_the_records_are_read() {
    let replica = Arc::new(Replica::default());
    let asked = replica.clone();
    let waiting = tokio::spawn(async move { asked.tell(question(None, WAIT)).await });
    timeout(WAIT / 4, replica.wanted())
        .await
        .expect("it is wanted");
    replica.replace(TOPIC, at(10), &[record("a", 3)]);
    let told = waiting.await.expect("it ends").expect("it is current");
    assert_eq!(keys(&told), ["a"]);
    assert_eq!(Replica::default().tell(question(None, WAIT)).await, None);
}

// Nodes that read at another one have no record of their own. Callers are to be told of them while they run, and
// soon no more once they have lost their power.
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
        waiting.await.expect("it ends");
    }
    // Its connection breaks while it waits for an answer.
    let asked = replica.clone();
    let waiting = tokio::spawn(async move { asked.tell(asking).await });
    tokio::time::sleep(WAIT / 2).await;
    waiting.abort();
    tokio::time::sleep(WAIT).await;
    assert_eq!(hosts(&replica.members()), ["f"]);
    tokio::time::sleep(WAIT).await;
    assert!(replica.members().is_empty());
}

// A process ends and the next one of its host asks at once, before the connection of the first is known to be gone.
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

// Something asks under ever new names. The list of nodes must not grow until the record can't be written any more.
#[test]
fn the_nodes_that_are_listed_are_bounded() {
    let mut members = Members::default();
    for n in 0..5_000 {
        members.asks(Duration::ZERO, node(&format!("f-{n}")));
    }
    assert!(members.running(Duration::ZERO).len() <= 1_024);
}

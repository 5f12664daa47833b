//! What a reader sends to its followers: bytes for each change, and encodings for each response.

use bytes::Bytes;
use oatdale_relay::{Content, FetchRequest, Record, Replica, ReplicaUpdate, Revision, Topic};
use std::fmt::Write;

const TOPIC: Topic = Topic::Endpoints;

const LIST_KEY: &str = "nodes/reader";

const fn rev(number: u64) -> Revision {
    Revision::new(1, number)
}

fn request(after: Option<Revision>) -> FetchRequest {
    FetchRequest {
        topic: TOPIC,
        after,
        wait_ms: 0,
        accepts_patches: true,
        node: None,
    }
}

fn list_record(revision: u64, members: impl Iterator<Item = usize>) -> Record {
    let mut list = String::new();
    for n in members {
        let addr = format!("10.0.{}.{}", n / 250, n % 250);
        write!(
            list,
            r#"{{"host":"front-{n}","callers":"{addr}:8700","nodes":"{addr}:8740","state":"{addr}:8741","domain":"a"}},"#
        )
        .expect("a string can be written to");
    }
    Record {
        key: LIST_KEY.to_owned(),
        value: Some(list.into()),
        revision: rev(revision),
    }
}

fn endpoint_record(n: u64) -> Record {
    // Ids and addresses have no pattern.
    let random = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let value = format!(
        r#"{{"service":"pool","addr":"10.4.{}.{}:8747","domain":"a","version":"v1","concurrency":12,"leaving":false,"cold_left":0,"serial":1,"started":{}}}"#,
        random >> 56,
        (random >> 40) & 0xff,
        1_770_608_116_000 + random % 1_000,
    );
    Record {
        key: format!("endpoints/{:010x}", random >> 24),
        value: Some(value.into()),
        revision: rev(n),
    }
}

async fn fetch(replica: &Replica, after: Option<Revision>) -> ReplicaUpdate {
    let update = replica.fetch(request(after)).await;
    update.expect("the records are loaded")
}

async fn encoded_len(replica: &Replica, after: Option<Revision>) -> usize {
    let encoded = replica.fetch_encoded(request(after)).await;
    let encoded = encoded.expect("the update is encodable");
    encoded.expect("the records are loaded").body.len()
}

// Hosts restart one after the other, and a reader's list of its followers changes each time. Sent
// whole to all nodes, the lists take bytes that grow with the square of the number of nodes.
#[tokio::test(start_paused = true)]
async fn changed_list_is_sent_in_bytes_that_do_not_grow_with_its_length() {
    for members in [100, 400] {
        let replica = Replica::default();
        replica.set_max_value_bytes(1 << 20);
        replica.replace(TOPIC, rev(10), &[list_record(10, 0..members)]);
        let without_one = (0..members).filter(|n| *n != members / 2);
        replica.apply_changes(TOPIC, rev(11), &[list_record(11, without_one)]);
        replica.apply_changes(TOPIC, rev(12), &[list_record(12, 0..members)]);
        for after in [10, 11] {
            let bytes = encoded_len(&replica, Some(rev(after))).await;
            assert!(bytes <= 512, "{bytes} bytes for a list of {members} nodes");
        }
    }
}

// The followers of a reader all wait for the same change. Encoding it for each of them would take
// more of the reader's processor the more nodes there are.
#[tokio::test(start_paused = true)]
async fn response_is_encoded_once_for_all_followers() {
    for followers in [10, 100] {
        let replica = Replica::default();
        replica.set_max_value_bytes(1 << 20);
        replica.replace(TOPIC, rev(0), &[]);
        let changes: Vec<_> = (1..500).map(endpoint_record).collect();
        replica.apply_changes(TOPIC, rev(499), &changes);
        for _ in 0..followers {
            encoded_len(&replica, Some(rev(0))).await;
            encoded_len(&replica, None).await;
        }
        assert_eq!(replica.encodings(), 2, "{followers} followers");
        replica.apply_changes(TOPIC, rev(500), &[endpoint_record(500)]);
        assert_eq!(fetch(&replica, Some(rev(499))).await.records.len(), 1);
        encoded_len(&replica, Some(rev(499))).await;
        assert_eq!(replica.encodings(), 3);
    }
}

// All endpoints start at once, and each node gets the record of each of them.
#[tokio::test(start_paused = true)]
async fn records_of_starting_endpoints_are_compressed() {
    let replica = Replica::default();
    replica.set_max_value_bytes(1 << 20);
    replica.replace(TOPIC, rev(0), &[]);
    let changes: Vec<_> = (1..=500).map(endpoint_record).collect();
    replica.apply_changes(TOPIC, rev(500), &changes);
    let plain: usize = changes
        .iter()
        .map(|r| r.key.len() + r.value.as_ref().map_or(0, Bytes::len))
        .sum();
    let bytes = encoded_len(&replica, Some(rev(0))).await;
    assert!(bytes * 3 <= plain, "{bytes} bytes sent for {plain}");
}

#[tokio::test(start_paused = true)]
async fn patch_makes_the_new_value_of_the_version_it_names() {
    let replica = Replica::default();
    replica.set_max_value_bytes(1 << 20);
    let (old, new) = (list_record(10, 0..100), list_record(12, 1..101));
    replica.replace(TOPIC, rev(10), std::slice::from_ref(&old));
    replica.apply_changes(TOPIC, rev(12), std::slice::from_ref(&new));
    let update = fetch(&replica, Some(rev(11))).await;
    let Content::Patch { base, patch } = &update.records[0].content else {
        panic!("a patch expected: {update:?}");
    };
    assert_eq!((*base, update.records[0].revision), (rev(10), rev(12)));
    let old = old.value.expect("the record has a value");
    assert_eq!(Content::apply_patch(&old, patch).ok(), new.value);
    // A damaged patch, or another base, makes no value.
    let mut damaged = patch.to_vec();
    let last = damaged.len() - 1;
    damaged[last] ^= 1;
    assert!(Content::apply_patch(&old, &damaged).is_err());
    assert!(Content::apply_patch(&old, &patch[..last]).is_err());
    assert!(Content::apply_patch(&old[..old.len() - 1], patch).is_err());
}

/// Returns the version that a response's patch is made of; `None` if the value is whole.
fn patched_version(update: &ReplicaUpdate) -> Option<Revision> {
    match update.records[0].content {
        Content::Patch { base, .. } => Some(base),
        _ => None,
    }
}

// Guards against patches of a version before the one that the follower has: a list that becomes
// short for a moment was not kept as a version.
#[tokio::test(start_paused = true)]
async fn patch_is_not_made_of_a_version_before_a_short_one() {
    let replica = Replica::default();
    replica.set_max_value_bytes(1 << 20);
    replica.replace(TOPIC, rev(10), &[list_record(10, 0..50)]);
    replica.apply_changes(TOPIC, rev(11), &[list_record(11, 0..2)]);
    replica.apply_changes(TOPIC, rev(12), &[list_record(12, 0..51)]);
    replica.apply_changes(TOPIC, rev(13), &[list_record(13, 0..52)]);
    for after in [11, 12] {
        let base = patched_version(&fetch(&replica, Some(rev(after))).await);
        assert!(base.is_none_or(|base| base == rev(after)), "{base:?}");
    }
}

// Guards against patches for a follower that may have read versions which this node has not: those
// written while the service had dropped its history.
#[tokio::test(start_paused = true)]
async fn follower_within_a_gap_gets_whole_values() {
    let replica = Replica::default();
    replica.set_max_value_bytes(1 << 20);
    replica.replace(TOPIC, rev(10), &[list_record(10, 0..50)]);
    replica.replace(TOPIC, rev(20), &[list_record(18, 0..52)]);
    let update = fetch(&replica, Some(rev(15))).await;
    assert!(update.is_snapshot);
    assert_eq!(patched_version(&update), None);
}

// A follower that is behind all kept versions, or has none, gets the whole value.
#[tokio::test(start_paused = true)]
async fn value_is_sent_whole_without_a_version_to_patch() {
    let replica = Replica::default();
    replica.set_max_value_bytes(1 << 20);
    replica.replace(TOPIC, rev(10), &[list_record(10, 0..50)]);
    for n in 11..20 {
        replica.apply_changes(TOPIC, rev(n), &[list_record(n, 0..n as usize * 10)]);
    }
    for after in [None, Some(rev(10))] {
        let update = fetch(&replica, after).await;
        assert!(
            matches!(update.records[0].content, Content::Value(_)),
            "{after:?}"
        );
    }
    let req = FetchRequest {
        accepts_patches: false,
        ..request(Some(rev(18)))
    };
    let update = replica.fetch(req).await.expect("the records are loaded");
    assert!(matches!(update.records[0].content, Content::Value(_)));
}

//! Endpoints that are added, removed, restarted, cold or evacuated.

use oatdale_relay::{Directory, Endpoint, RecordChange};
use std::time::Duration;

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        service: "pool".to_owned(),
        addr: "10.0.0.1:80".parse().unwrap(),
        domain: "a".to_owned(),
        version: "v1".to_owned(),
        slots: 4,
        leaving: false,
        born: None,
        cold_left: Some(Duration::ZERO),
        serial: 1,
    }
}

fn started_at(id: &str, born: u64) -> Endpoint {
    Endpoint {
        born: Some(born),
        ..endpoint(id)
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn usable(directory: &Directory, now: Duration) -> Vec<String> {
    let all = directory.usable(now, "pool");
    all.map(|(_, e)| e.endpoint.id.clone()).collect()
}

fn remaining_back_off(directory: &Directory, now: Duration, service: &str) -> Option<Duration> {
    let next = Directory::next_to_accept(now, directory.eligible(now, service));
    next.map(|(_, remaining)| remaining)
}

#[test]
fn missing_entry_without_an_outage_removes_the_endpoint() {
    let mut directory = Directory::default();
    directory.replace(ms(0), vec![endpoint("x"), endpoint("y")]);
    directory.remove(ms(100), "x");
    assert_eq!(usable(&directory, ms(100)), ["y"]);
    directory.replace(ms(200), vec![endpoint("y"), endpoint("z")]);
    assert_eq!(usable(&directory, ms(200)), ["y", "z"]);
}

// All entries expire during an outage of the key-value service. If they were removed on its
// recovery, every request would be refused until they are rewritten.
#[test]
fn entries_that_expired_in_an_outage_stay_usable_in_the_grace_period() {
    let mut directory = Directory::default();
    directory.replace(ms(0), vec![endpoint("x"), endpoint("y")]);
    directory.mark_store_unavailable();
    directory.mark_store_available(ms(5_000));
    directory.replace(ms(5_000), Vec::new());
    assert_eq!(usable(&directory, ms(5_100)), ["x", "y"]);
    directory.upsert(ms(6_000), endpoint("y"));
    directory.tick(ms(7_000));
    assert_eq!(usable(&directory, ms(7_000)), ["y"]);
    // The grace period is over: a missing entry is removed at once.
    directory.remove(ms(8_000), "y");
    assert!(usable(&directory, ms(8_000)).is_empty());
}

// Guards against new requests to a leaving endpoint: a node reads an older record after it learned
// of the leaving.
#[test]
fn leaving_endpoint_stays_unusable_after_an_older_record() {
    let mut directory = Directory::default();
    directory.upsert(ms(0), endpoint("x"));
    let leaving = Endpoint {
        leaving: true,
        ..endpoint("x")
    };
    directory.upsert(ms(10), leaving);
    directory.upsert(ms(20), endpoint("x"));
    assert!(usable(&directory, ms(20)).is_empty());
}

// Guards against unbounded growth of the directory: endpoints are replaced all day.
#[test]
fn long_removed_endpoints_are_evicted() {
    let mut directory = Directory::default();
    for n in 0..1_000_u64 {
        let id = format!("e{n}");
        directory.upsert(ms(n * 1_000), endpoint(&id));
        directory.remove(ms(n * 1_000 + 500), &id);
    }
    assert_eq!(directory.len(), 0);
    assert!(
        directory.tracked_len() < 100,
        "{} endpoints in memory, less than 100 expected",
        directory.tracked_len()
    );
}

// A long prompt that another node sent blocks the endpoint for about a second. This node must count
// it as load exactly until it is read.
#[test]
fn long_prompts_of_other_nodes_count_as_load_until_read() {
    let mut directory = Directory::default();
    directory.upsert(ms(0), endpoint("x"));
    let entry = directory.by_id_mut("x").unwrap();
    entry.add_remote_prompt(ms(100), ms(1_000), 5.0);
    entry.add_remote_prompt(ms(200), ms(400), 2.0);
    let loads = [150, 300, 700, 1_200].map(|now| entry.known_load(ms(now), None));
    assert_eq!(loads, [7.0, 7.0, 5.0, 0.0]);
    // Load sums computed after the first prompt was announced already include it.
    assert_eq!(entry.known_load(ms(300), Some(ms(150))), 2.0);
    assert!(directory.by_id_mut("y").is_none());
}

// An endpoint announces its leaving, crashes, and restarts under its id. It must get requests
// again, without the failures and load recorded for its previous incarnation.
#[test]
fn restarted_endpoint_inherits_nothing_from_its_previous_incarnation() {
    let mut directory = Directory::default();
    directory.upsert(ms(0), started_at("x", 1_000));
    let entry = directory.by_id_mut("x").unwrap();
    entry.load = 7.0;
    entry.health.record_no_response(ms(0));
    let leaving = Endpoint {
        leaving: true,
        ..started_at("x", 1_000)
    };
    assert_eq!(directory.upsert(ms(10), leaving), RecordChange::Leaves);
    let change = directory.upsert(ms(20), started_at("x", 2_000));
    assert_eq!(
        change,
        RecordChange::Restarted("10.0.0.1:80".parse().unwrap())
    );
    assert_eq!(usable(&directory, ms(20)), ["x"]);
    assert_eq!(directory.len(), 1);
    let entry = directory.by_id_mut("x").unwrap();
    assert_eq!((entry.load, entry.in_flight), (0.0, 0));
    assert!(!entry.health.is_ejected(ms(20)));
}

// A record of an earlier incarnation arrives, directly or from another node, after the endpoint has
// restarted. It must not end the new incarnation or bring back the earlier one.
#[test]
fn late_records_of_an_earlier_incarnation_are_ignored() {
    let mut directory = Directory::default();
    directory.upsert(ms(0), started_at("x", 2_000));
    let leaving = Endpoint {
        leaving: true,
        version: "v0".to_owned(),
        ..started_at("x", 1_000)
    };
    assert_eq!(
        directory.upsert(ms(10), leaving.clone()),
        RecordChange::None
    );
    assert!(!directory.mark_leaving("x", leaving.born));
    assert!(!directory.remove_incarnation(ms(20), "x", leaving.born));
    assert!(!directory.remove_incarnation(ms(20), "x", None));
    assert_eq!(usable(&directory, ms(20)), ["x"]);
    assert!(directory.mark_leaving("x", Some(2_000)));
    assert!(usable(&directory, ms(30)).is_empty());
    // A record without a start time is not of a later incarnation either.
    directory.upsert(ms(40), endpoint("x"));
    assert!(usable(&directory, ms(40)).is_empty());
}

// Guards against a back-off that applies to a new incarnation of its endpoint, or that is shortened
// by a later, shorter one.
#[test]
fn back_off_applies_to_one_incarnation_of_an_endpoint() {
    let mut directory = Directory::default();
    directory.replace(ms(0), vec![started_at("x", 1)]);
    assert_eq!(remaining_back_off(&directory, ms(0), "pool"), None);
    directory.by_id_mut("x").unwrap().back_off(ms(0), ms(500));
    directory.by_id_mut("x").unwrap().back_off(ms(100), ms(100));
    assert!(usable(&directory, ms(499)).is_empty());
    assert_eq!(
        remaining_back_off(&directory, ms(200), "pool"),
        Some(ms(300))
    );
    assert_eq!(usable(&directory, ms(500)), ["x"]);
    directory.by_id_mut("x").unwrap().back_off(ms(500), ms(500));
    directory.upsert(ms(600), started_at("x", 2));
    assert_eq!(usable(&directory, ms(600)), ["x"]);
}

// Guards against refusing callers because of the back-off of one endpoint while another one takes
// requests, or because of the back-off of a leaving endpoint.
#[test]
fn remaining_back_off_is_that_of_the_first_available_endpoint() {
    let mut directory = Directory::default();
    directory.replace(ms(0), vec![endpoint("x"), endpoint("y"), endpoint("z")]);
    directory.by_id_mut("x").unwrap().back_off(ms(0), ms(500));
    directory.by_id_mut("y").unwrap().back_off(ms(0), ms(900));
    assert_eq!(remaining_back_off(&directory, ms(0), "pool"), None);
    directory.mark_leaving("z", None);
    assert_eq!(remaining_back_off(&directory, ms(0), "pool"), Some(ms(500)));
    directory.mark_leaving("x", None);
    assert_eq!(remaining_back_off(&directory, ms(0), "pool"), Some(ms(900)));
    assert_eq!(remaining_back_off(&directory, ms(0), "desk"), None);
}

// Guards against a panic on overflow: records of endpoints also come unchecked from other nodes.
#[test]
fn longest_cold_time_does_not_overflow() {
    let mut directory = Directory::default();
    let cold = Endpoint {
        cold_left: Some(Duration::MAX),
        ..endpoint("x")
    };
    directory.replace(ms(10), vec![cold.clone()]);
    let again = Endpoint { serial: 2, ..cold };
    directory.upsert(ms(20), again);
    assert_eq!(usable(&directory, ms(30)), ["x"]);
}

// Guards against requests to a domain that operators evacuated, and against treating its endpoints
// as removed.
#[test]
fn evacuated_domain_gets_no_requests_until_the_evacuation_is_lifted() {
    let mut directory = Directory::default();
    let far = Endpoint {
        domain: "b".to_owned(),
        ..endpoint("far")
    };
    directory.replace(ms(0), vec![endpoint("near"), far]);
    directory.set_evacuated(ms(10), ["b".to_owned()].into());
    assert_eq!(usable(&directory, ms(10)), ["near"]);
    assert_eq!(directory.len(), 2);
    directory.set_evacuated(ms(20), ["a".to_owned(), "b".to_owned()].into());
    assert!(usable(&directory, ms(20)).is_empty());
    directory.set_evacuated(ms(30), ["a".to_owned()].into());
    assert_eq!(usable(&directory, ms(30)), ["far"]);
}

/// Returns the entries visited while `count` endpoints are read one by one, replaced by their
/// successors, and looked at by a node that has no requests at them.
fn visits_while_reading(count: u64) -> u64 {
    let mut directory = Directory::default();
    for n in 0..count {
        directory.upsert(ms(n), endpoint(&format!("e{n}")));
        assert!(!directory.is_empty());
    }
    for n in 0..count {
        directory.remove(ms(60_000 + n), &format!("e{n}"));
        directory.upsert(ms(200_000 + n), endpoint(&format!("successor{n}")));
    }
    assert_eq!(directory.loads().count(), 0);
    assert!(!directory.has_other_work("pool", "v2"));
    assert_eq!(directory.len(), count as usize);
    assert_eq!(directory.tracked_len(), count as usize);
    directory.visited()
}

// A node that starts reads thousands of endpoints. If each of them costs a walk over those already
// known, a small host spends its first seconds on that alone, before it can serve.
#[test]
fn reading_endpoints_visits_each_a_bounded_number_of_times() {
    for count in [200, 2_000] {
        let visits = visits_while_reading(count);
        assert!(
            visits <= 2 * count,
            "{visits} entries visited for {count} endpoints, at most two each expected"
        );
    }
}

// A plain request must not be placed by looking at thousands of engines beside its few endpoints.
#[test]
fn placing_a_request_visits_only_endpoints_of_its_service() {
    let mut directory = Directory::default();
    for n in 0..2_000 {
        directory.upsert(ms(0), endpoint(&format!("engine{n}")));
    }
    let desk = Endpoint {
        service: "desk".to_owned(),
        ..endpoint("desk1")
    };
    directory.upsert(ms(0), desk);
    let before = directory.visited();
    assert_eq!(directory.usable(ms(10), "desk").count(), 1);
    assert_eq!(directory.visited() - before, 1);
}

// A host estimates the load of a service for each escalation. Looking at each of thousands of
// endpoints would take milliseconds, in which it decides nothing else.
#[test]
fn sample_visits_a_bounded_number_of_endpoints() {
    let mut directory = Directory::default();
    for n in 0..2_000 {
        directory.upsert(ms(0), endpoint(&format!("e{n}")));
    }
    for n in 0..1_000 {
        directory.remove(ms(5), &format!("e{n}"));
    }
    let before = directory.visited();
    let sample = directory.sample_usable(ms(10), "pool", 200);
    assert_eq!(directory.visited() - before, 200);
    assert!((50..150).contains(&sample.len()), "{}", sample.len());
    assert_eq!(directory.sample_usable(ms(10), "pool", 2_000).len(), 1_000);
    assert!(directory.sample_usable(ms(10), "desk", 200).is_empty());
}

// Guards against an estimate that is dominated by the endpoint after a gap in the keys, which other
// services or removed endpoints leave.
#[test]
fn sample_has_each_endpoint_at_most_once() {
    let mut directory = Directory::default();
    for n in 0..2_000 {
        let service = if (200..1_800).contains(&n) {
            "desk"
        } else {
            "pool"
        };
        let endpoint = Endpoint {
            service: service.to_owned(),
            ..endpoint(&format!("e{n}"))
        };
        directory.upsert(ms(0), endpoint);
    }
    let sample = directory.sample_usable(ms(10), "pool", 300);
    let ids: std::collections::HashSet<_> = sample.iter().map(|e| &e.endpoint.id).collect();
    assert_eq!((sample.len(), ids.len()), (300, 300));
}

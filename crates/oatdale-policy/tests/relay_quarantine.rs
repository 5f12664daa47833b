//! Quarantine of requests under which endpoints crash.

use oatdale_policy::relay::{Fingerprint, MAX_CRASHES, QUARANTINE_TIME, Quarantine, Tracking};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::HashMap;
use std::time::Duration;

const REQUEST: Fingerprint = Fingerprint(7);

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Records the crashes of `MAX_CRASHES` endpoints; returns whether the last one quarantines the
/// request.
fn crash_max_endpoints(quarantine: &mut Quarantine, now: Duration, request: Fingerprint) -> bool {
    let crashed = (0..MAX_CRASHES as u32).map(|e| quarantine.record_crash(now, request, e));
    crashed.last().unwrap_or(false)
}

#[test]
fn request_is_quarantined_after_the_third_endpoint_crash() {
    let mut quarantine = Quarantine::default();
    assert!(!quarantine.record_crash(secs(1), REQUEST, 1));
    assert!(!quarantine.record_crash(secs(2), REQUEST, 2));
    assert_eq!(quarantine.remaining(secs(2), REQUEST), None);
    assert!(quarantine.record_crash(secs(3), REQUEST, 3));
    assert_eq!(
        quarantine.remaining(secs(3), REQUEST),
        Some(QUARANTINE_TIME)
    );
    // The quarantine is reported once.
    assert!(!quarantine.record_crash(secs(4), REQUEST, 4));
    assert!(!quarantine.quarantine(secs(4), REQUEST));
}

// Guards against one crash being counted for each node or copy that reports it.
#[test]
fn duplicate_crash_reports_count_once() {
    let mut quarantine = Quarantine::default();
    for _ in 0..10 {
        assert!(!quarantine.record_crash(secs(1), REQUEST, 1));
        assert!(!quarantine.record_crash(secs(1), REQUEST, 2));
    }
    assert!(quarantine.record_crash(secs(1), REQUEST, 3));
}

// Guards against a frequent request being refused because it happens to share crashing endpoints
// now and then.
#[test]
fn completed_copy_clears_all_crashes() {
    let mut quarantine = Quarantine::default();
    for round in 0..5 {
        quarantine.record_crash(secs(round), REQUEST, 10 * round as u32);
        quarantine.record_crash(secs(round), REQUEST, 10 * round as u32 + 1);
        assert_eq!(quarantine.clear(REQUEST), Tracking::Suspected);
    }
    assert!(crash_max_endpoints(&mut quarantine, secs(9), REQUEST));
    assert_eq!(quarantine.clear(REQUEST), Tracking::Quarantined);
    assert_eq!(quarantine.clear(REQUEST), Tracking::Unknown);
    assert!(quarantine.is_empty());
}

// Guards against a request that was quarantined by mistake being refused forever.
#[test]
fn quarantine_expires() {
    let mut quarantine = Quarantine::default();
    crash_max_endpoints(&mut quarantine, secs(1), REQUEST);
    let end = secs(1) + QUARANTINE_TIME;
    assert!(quarantine.remaining(end - secs(1), REQUEST).is_some());
    assert_eq!(quarantine.remaining(end, REQUEST), None);
    assert_eq!(quarantine.quarantined(end).count(), 0);
    assert!(quarantine.quarantine(end, REQUEST));
}

// Guards against unrelated crashes adding up over hours.
#[test]
fn old_crashes_do_not_count() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(secs(1), REQUEST, 1);
    quarantine.record_crash(secs(2), REQUEST, 2);
    assert!(!quarantine.record_crash(secs(200), REQUEST, 3));
    quarantine.expire(secs(400));
    assert!(quarantine.is_empty());
}

// Guards against a burst of crashes evicting requests that are known to be at fault, or exhausting
// memory.
#[test]
fn suspected_requests_are_evicted_before_quarantined_ones() {
    let mut quarantine = Quarantine::default();
    crash_max_endpoints(&mut quarantine, secs(1), REQUEST);
    for n in 0..10_000 {
        quarantine.record_crash(secs(2), Fingerprint(1_000 + n), 1);
    }
    assert!(quarantine.remaining(secs(3), REQUEST).is_some());
}

/// Simulates a pool of engines, each with `concurrency` requests in flight, of which one crashes
/// its engine. Requests whose engine crashed are resumed on another one, at most three times, as
/// the one at fault is. Returns the number of innocent requests that were quarantined, and the
/// number of crashes.
fn simulate_crashes(seed: u64, engines: usize, concurrency: usize) -> (usize, usize) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut innocent_requests: HashMap<u128, usize> = (1..=(engines * concurrency) as u128)
        .map(|request| (request, rng.random_range(0..engines)))
        .collect();
    let (mut quarantined, mut crashes) = (0, 0);
    while quarantine.remaining(secs(1), Fingerprint(0)).is_none() {
        let engine = (0..engines).choose(&mut rng).expect("at least one engine");
        let incarnation = (engine + engines * crashes) as u32;
        crashes += 1;
        quarantine.record_crash(secs(1), Fingerprint(0), incarnation);
        for (request, at) in innocent_requests
            .iter_mut()
            .filter(|(_, at)| **at == engine)
        {
            quarantined +=
                usize::from(quarantine.record_crash(secs(1), Fingerprint(*request), incarnation));
            *at = rng.random_range(0..engines);
        }
    }
    (quarantined, crashes)
}

// Guards against many innocent requests being quarantined for the crashes of one: at most one in
// fifty of all that run.
#[test]
fn few_innocent_requests_are_quarantined() {
    for (engines, concurrency) in [(9, 8), (9, 64), (60, 12), (256, 12)] {
        let runs = 20;
        let quarantined: usize = (0..runs)
            .map(|seed| simulate_crashes(seed, engines, concurrency).0)
            .sum();
        let share = quarantined as f64 / (runs as usize * engines * concurrency) as f64;
        assert!(
            share <= 0.02,
            "{engines} engines, {concurrency} requests each: share {share}"
        );
    }
}

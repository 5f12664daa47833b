//! Which requests are held for the endpoints that crashed under them.

use oatdale_policy::relay::{Cleared, Fingerprint, MAX_CRASHES, QUARANTINE_TIME, Quarantine};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::HashMap;
use std::time::Duration;

const REQUEST: Fingerprint = Fingerprint(7);

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn crash_all(quarantine: &mut Quarantine, now: Duration, request: Fingerprint) -> bool {
    let crashed = (0..MAX_CRASHES as u32).map(|e| quarantine.note_crash(now, request, e));
    crashed.last().unwrap_or(false)
}

#[test]
fn a_request_is_held_after_the_third_endpoint() {
    let mut quarantine = Quarantine::default();
    assert!(!quarantine.note_crash(secs(1), REQUEST, 1));
    assert!(!quarantine.note_crash(secs(2), REQUEST, 2));
    assert_eq!(quarantine.left(secs(2), REQUEST), None);
    assert!(quarantine.note_crash(secs(3), REQUEST, 3));
    assert_eq!(quarantine.left(secs(3), REQUEST), Some(QUARANTINE_TIME));
    // It is news once.
    assert!(!quarantine.note_crash(secs(4), REQUEST, 4));
    assert!(!quarantine.hold(secs(4), REQUEST));
}

// Guards against one crash being counted for each node or copy that reports it.
#[test]
fn a_crash_counts_once_however_often_it_is_reported() {
    let mut quarantine = Quarantine::default();
    for _ in 0..10 {
        assert!(!quarantine.note_crash(secs(1), REQUEST, 1));
        assert!(!quarantine.note_crash(secs(1), REQUEST, 2));
    }
    assert!(quarantine.note_crash(secs(1), REQUEST, 3));
}

// Guards against a frequent request that now and then shares a crashing endpoint being refused for it.
#[test]
fn a_completed_copy_clears_all_crashes() {
    let mut quarantine = Quarantine::default();
    for round in 0..5 {
        quarantine.note_crash(secs(round), REQUEST, 10 * round as u32);
        quarantine.note_crash(secs(round), REQUEST, 10 * round as u32 + 1);
        assert_eq!(quarantine.clear(REQUEST), Cleared::Suspected);
    }
    assert!(crash_all(&mut quarantine, secs(9), REQUEST));
    assert_eq!(quarantine.clear(REQUEST), Cleared::Quarantined);
    assert_eq!(quarantine.clear(REQUEST), Cleared::Unknown);
    assert!(quarantine.is_empty());
}

// Guards against a request that was held by mistake being refused for good.
#[test]
fn a_quarantine_ends() {
    let mut quarantine = Quarantine::default();
    crash_all(&mut quarantine, secs(1), REQUEST);
    let end = secs(1) + QUARANTINE_TIME;
    assert!(quarantine.left(end - secs(1), REQUEST).is_some());
    assert_eq!(quarantine.left(end, REQUEST), None);
    assert_eq!(quarantine.held(end).count(), 0);
    assert!(quarantine.hold(end, REQUEST));
}

// Guards against crashes that have nothing to do with each other adding up over hours.
#[test]
fn crashes_that_are_long_past_do_not_count() {
    let mut quarantine = Quarantine::default();
    quarantine.note_crash(secs(1), REQUEST, 1);
    quarantine.note_crash(secs(2), REQUEST, 2);
    assert!(!quarantine.note_crash(secs(200), REQUEST, 3));
    quarantine.expire(secs(400));
    assert!(quarantine.is_empty());
}

// Guards against a storm of crashes pushing out what is known to be at fault, or filling the memory.
#[test]
fn suspected_requests_make_room_before_quarantined_ones() {
    let mut quarantine = Quarantine::default();
    crash_all(&mut quarantine, secs(1), REQUEST);
    for n in 0..10_000 {
        quarantine.note_crash(secs(2), Fingerprint(1_000 + n), 1);
    }
    assert!(quarantine.left(secs(3), REQUEST).is_some());
}

/// One run of a pool of engines, each with some requests at once, of which one crashes its engine. Requests whose
/// engine crashed are resumed at another one, three times at the most, as the one at fault is.
fn share_crashes(seed: u64, engines: usize, at_once: usize) -> (usize, usize) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut others: HashMap<u128, usize> = (1..=(engines * at_once) as u128)
        .map(|request| (request, rng.random_range(0..engines)))
        .collect();
    let (mut held, mut crashes) = (0, 0);
    while quarantine.left(secs(1), Fingerprint(0)).is_none() {
        let engine = (0..engines).choose(&mut rng).expect("there are some");
        let start = (engine + engines * crashes) as u32;
        crashes += 1;
        quarantine.note_crash(secs(1), Fingerprint(0), start);
        for (request, at) in others.iter_mut().filter(|(_, at)| **at == engine) {
            held += usize::from(quarantine.note_crash(secs(1), Fingerprint(*request), start));
            *at = rng.random_range(0..engines);
        }
    }
    (held, crashes)
}

// Guards against many innocent requests being held for the crashes of one: of all that run, at most one in fifty.
#[test]
fn few_requests_are_held_beside_the_one_at_fault() {
    for (engines, at_once) in [(9, 8), (9, 64), (60, 12), (256, 12)] {
        let runs = 20;
        let held: usize = (0..runs)
            .map(|seed| share_crashes(seed, engines, at_once).0)
            .sum();
        let share = held as f64 / (runs as usize * engines * at_once) as f64;
        assert!(
            share <= 0.02,
            "{engines} engines, {at_once} at once: {share}"
        );
    }
}

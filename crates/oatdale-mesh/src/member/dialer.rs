//! Chooses addresses to dial, with back-off after failures.

use crate::rank;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Time after which a dial with neither a connection nor a failure counts as failed.
const DIAL_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of concurrent dials to addresses of unknown hosts.
const MAX_UNKNOWN_DIALS: usize = 4;
/// Number of links at which dials to unknown hosts slow down to [`SLOW_DISCOVERY_INTERVAL`].
const SLOW_DISCOVERY_LINKS: usize = 3;
/// Interval between dials to unknown hosts once there are enough links.
const SLOW_DISCOVERY_INTERVAL: Duration = Duration::from_secs(2);

/// Addresses to dial and the state of each attempt.
#[derive(Debug)]
pub(crate) struct Dialer {
    own_address: SocketAddr,
    /// Addresses from the settings. The platform's host list never replaces them: it lags, and a
    /// list without a fleet that has just started would leave each of its nodes isolated.
    seeds: BTreeSet<SocketAddr>,
    candidates: BTreeSet<SocketAddr>,
    attempts: BTreeMap<SocketAddr, DialState>,
    next_unknown_dial: Duration,
    started_at: Duration,
}

#[derive(Debug)]
struct DialState {
    failures: u32,
    /// While dialing: when the dial times out. Otherwise: when to dial again.
    due_at: Duration,
    dialing: bool,
}

impl Dialer {
    pub(crate) fn new(seeds: &[SocketAddr], own_address: SocketAddr, now: Duration) -> Self {
        let seeds: BTreeSet<SocketAddr> = seeds
            .iter()
            .copied()
            .filter(|a| *a != own_address)
            .collect();
        Dialer {
            own_address,
            candidates: seeds.clone(),
            seeds,
            attempts: BTreeMap::new(),
            next_unknown_dial: now,
            started_at: now,
        }
    }

    /// Replaces the addresses from the previous host list; the seeds stay.
    pub(crate) fn set_candidates(&mut self, hosts: impl Iterator<Item = SocketAddr>) {
        self.candidates = hosts.filter(|a| *a != self.own_address).collect();
        self.candidates.extend(&self.seeds);
        let candidates = &self.candidates;
        self.attempts
            .retain(|a, t| t.dialing || candidates.contains(a));
    }

    /// Number of candidate addresses that belong to no known host; 0 once `max_age` has passed
    /// since the start, when they are too old to rely on.
    pub(crate) fn unknown_candidate_count(
        &self,
        is_known: impl Fn(SocketAddr) -> bool,
        max_age: Duration,
        now: Duration,
    ) -> usize {
        match now.saturating_sub(self.started_at) < max_age {
            true => self.candidates.iter().filter(|a| !is_known(**a)).count(),
            false => 0,
        }
    }

    /// Number of hosts to ask, as far as is known before any has answered.
    pub(crate) fn candidate_count(&self) -> usize {
        self.candidates.len()
    }

    pub(crate) fn on_success(&mut self, address: SocketAddr) {
        self.attempts.remove(&address);
    }

    pub(crate) fn on_failure(&mut self, address: SocketAddr, is_self: bool, now: Duration) {
        if is_self {
            self.candidates.remove(&address);
            self.seeds.remove(&address);
            self.attempts.remove(&address);
            return;
        }
        let entry = self.attempts.entry(address).or_insert(DialState {
            failures: 0,
            due_at: now,
            dialing: false,
        });
        let backoff = (MIN_BACKOFF * 2u32.pow(entry.failures.min(8))).min(MAX_BACKOFF);
        let jitter = rank::mix64(hash(address) ^ u64::from(entry.failures)) % 256;
        entry.due_at = now + backoff / 2 + backoff.mul_f64(jitter as f64 / 512.0);
        entry.failures += 1;
        entry.dialing = false;
    }

    /// Selects the addresses of known hosts to dial now.
    pub(crate) fn known_hosts_to_dial(
        &mut self,
        wanted: impl Iterator<Item = SocketAddr>,
        now: Duration,
    ) -> Vec<SocketAddr> {
        self.expire_dials(now);
        wanted
            .filter(|a| *a != self.own_address && self.begin_dial(*a, now))
            .collect()
    }

    /// Selects candidate addresses of unknown hosts to dial now: several at once while there are
    /// few links, otherwise one per [`SLOW_DISCOVERY_INTERVAL`], by which the two sides of a fleet
    /// find each other after a long network partition.
    pub(crate) fn unknown_hosts_to_dial(
        &mut self,
        is_known: impl Fn(SocketAddr) -> bool,
        link_count: usize,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let mut unknown_addresses: Vec<SocketAddr> = self
            .candidates
            .iter()
            .copied()
            .filter(|a| !is_known(*a))
            .collect();
        unknown_addresses.sort_by_key(|a| rank::mix64(hash(*a) ^ hash(self.own_address)));
        let in_progress = unknown_addresses
            .iter()
            .filter(|a| self.attempts.get(a).is_some_and(|t| t.dialing))
            .count();
        let budget = match link_count < SLOW_DISCOVERY_LINKS {
            true => MAX_UNKNOWN_DIALS.saturating_sub(in_progress),
            false if now >= self.next_unknown_dial => 1,
            false => 0,
        };
        if link_count >= SLOW_DISCOVERY_LINKS && budget > 0 {
            self.next_unknown_dial = now + SLOW_DISCOVERY_INTERVAL;
        }
        let mut chosen = Vec::new();
        for address in unknown_addresses {
            if chosen.len() < budget && self.begin_dial(address, now) {
                chosen.push(address);
            }
        }
        chosen
    }

    fn begin_dial(&mut self, address: SocketAddr, now: Duration) -> bool {
        let entry = self.attempts.entry(address).or_insert(DialState {
            failures: 0,
            due_at: now,
            dialing: false,
        });
        if entry.dialing || entry.due_at > now {
            return false;
        }
        entry.dialing = true;
        entry.due_at = now + DIAL_TIMEOUT;
        true
    }

    fn expire_dials(&mut self, now: Duration) {
        let timed_out: Vec<SocketAddr> = self
            .attempts
            .iter()
            .filter(|(_, t)| t.dialing && t.due_at <= now)
            .map(|(a, _)| *a)
            .collect();
        for address in timed_out {
            self.on_failure(address, false, now);
        }
    }
}

fn hash(address: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    address.hash(&mut hasher);
    hasher.finish()
}

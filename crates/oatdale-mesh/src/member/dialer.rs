//! Which addresses to connect to, and when to try again.

use crate::rank;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

const FIRST_RETRY: Duration = Duration::from_millis(200);
const LAST_RETRY: Duration = Duration::from_secs(5);
/// A dial that brought neither a connection nor a failure counts as failed after this.
const DIAL_TIMEOUT: Duration = Duration::from_secs(4);
/// Addresses of unknown hosts that are tried at once.
const UNKNOWN_AT_ONCE: usize = 4;
/// Links from which on unknown hosts are tried at leisure.
const ENOUGH_LINKS: usize = 3;
/// How often one of them is tried then.
const LEISURE: Duration = Duration::from_secs(2);

/// Addresses to try.
#[derive(Debug)]
pub(crate) struct Dialer {
    mine: SocketAddr,
    /// Addresses of the settings, which no list replaces: the platform's lags, and one without a
    /// fleet that has just come up would leave each of its nodes alone.
    seeds: BTreeSet<SocketAddr>,
    hints: BTreeSet<SocketAddr>,
    tries: BTreeMap<SocketAddr, Try>,
    next_unknown: Duration,
    started: Duration,
}

#[derive(Debug)]
struct Try {
    count: u32,
    /// While dialing: when to give up; else: when to dial again.
    next: Duration,
    dialing: bool,
}

impl Dialer {
    pub(crate) fn new(seeds: &[SocketAddr], mine: SocketAddr, now: Duration) -> Self {
        let seeds: BTreeSet<SocketAddr> = seeds.iter().copied().filter(|a| *a != mine).collect();
        Dialer {
            mine,
            hints: seeds.clone(),
            seeds,
            tries: BTreeMap::new(),
            next_unknown: now,
            started: now,
        }
    }

    /// Replaces what the last list added to the seeds.
    pub(crate) fn hint(&mut self, hosts: impl Iterator<Item = SocketAddr>) {
        self.hints = hosts.filter(|a| *a != self.mine).collect();
        self.hints.extend(&self.seeds);
        let hints = &self.hints;
        self.tries.retain(|a, t| t.dialing || hints.contains(a));
    }

    /// Seeds of which no card speaks; `None` once they are too old to count on.
    pub(crate) fn unknown_seeds(
        &self,
        known: impl Fn(SocketAddr) -> bool,
        trust: Duration,
        now: Duration,
    ) -> usize {
        match now.saturating_sub(self.started) < trust {
            true => self.hints.iter().filter(|a| !known(**a)).count(),
            false => 0,
        }
    }

    /// How many hosts there are to ask, as far as is known before any answered.
    pub(crate) fn hints(&self) -> usize {
        self.hints.len()
    }

    pub(crate) fn connected(&mut self, address: SocketAddr) {
        self.tries.remove(&address);
    }

    pub(crate) fn failed(&mut self, address: SocketAddr, myself: bool, now: Duration) {
        if myself {
            self.hints.remove(&address);
            self.seeds.remove(&address);
            self.tries.remove(&address);
            return;
        }
        let entry = self.tries.entry(address).or_insert(Try {
            count: 0,
            next: now,
            dialing: false,
        });
        let wait = (FIRST_RETRY * 2u32.pow(entry.count.min(8))).min(LAST_RETRY);
        let jitter = rank::mix(hash(address) ^ u64::from(entry.count)) % 256;
        entry.next = now + wait / 2 + wait.mul_f64(jitter as f64 / 512.0);
        entry.count += 1;
        entry.dialing = false;
    }

    /// Which of the addresses of known hosts to dial now.
    pub(crate) fn known(
        &mut self,
        wanted: impl Iterator<Item = SocketAddr>,
        now: Duration,
    ) -> Vec<SocketAddr> {
        self.give_up(now);
        wanted
            .filter(|a| *a != self.mine && self.begin(*a, now))
            .collect()
    }

    /// Which hints that belong to no known host to dial now: all at once while there are few
    /// links, else one now and then, which is how two halves find each other after a long cut.
    pub(crate) fn unknown(
        &mut self,
        known: impl Fn(SocketAddr) -> bool,
        links: usize,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let mut open: Vec<SocketAddr> = self.hints.iter().copied().filter(|a| !known(*a)).collect();
        open.sort_by_key(|a| rank::mix(hash(*a) ^ hash(self.mine)));
        let busy = open
            .iter()
            .filter(|a| self.tries.get(a).is_some_and(|t| t.dialing))
            .count();
        let room = match links < ENOUGH_LINKS {
            true => UNKNOWN_AT_ONCE.saturating_sub(busy),
            false if now >= self.next_unknown => 1,
            false => 0,
        };
        if links >= ENOUGH_LINKS && room > 0 {
            self.next_unknown = now + LEISURE;
        }
        let mut chosen = Vec::new();
        for address in open {
            if chosen.len() < room && self.begin(address, now) {
                chosen.push(address);
            }
        }
        chosen
    }

    fn begin(&mut self, address: SocketAddr, now: Duration) -> bool {
        let entry = self.tries.entry(address).or_insert(Try {
            count: 0,
            next: now,
            dialing: false,
        });
        if entry.dialing || entry.next > now {
            return false;
        }
        entry.dialing = true;
        entry.next = now + DIAL_TIMEOUT;
        true
    }

    fn give_up(&mut self, now: Duration) {
        let late: Vec<SocketAddr> = self
            .tries
            .iter()
            .filter(|(_, t)| t.dialing && t.next <= now)
            .map(|(a, _)| *a)
            .collect();
        for address in late {
            self.failed(address, false, now);
        }
    }
}

fn hash(address: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    address.hash(&mut hasher);
    hasher.finish()
}

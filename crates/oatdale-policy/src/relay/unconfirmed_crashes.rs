//! Broken connections of which it is not known yet whether the endpoint has crashed.
//!
//! A connection attempt right after the break may not tell. If no endpoint of the service accepts, either
//! the node is cut from all of them or a request has crashed the last one; if the endpoint accepts, it
//! either lives or has started again already. What becomes of the endpoint tells: a crashed one is
//! replaced, or its record goes without an announcement, and the endpoint of a node that was cut off goes
//! on. So the requests are kept until one of these shows, here or at another node.

use crate::relay::{CrashedRequest, Fingerprint};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long the end of an endpoint is put down to a broken connection. The platform drops the record of a
/// crashed endpoint, or has that of its next start, within a few seconds.
const CONFIRM_TIME: Duration = Duration::from_secs(10);

/// The same for an endpoint that has accepted a connection or responded since: either it lives, or this
/// is its next start, whose record is written at once.
const CONFIRM_TIME_IF_RESPONDING: Duration = Duration::from_millis(2_500);

/// Upper bound of the broken connections that are kept.
const MAX_BREAKS: usize = 4_096;

/// What has become of an endpoint, as its record and its address show.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndpointFate {
    /// No end is known.
    Present,
    /// It has announced that it leaves.
    Leaving,
    /// Its record is gone.
    Gone,
    /// It has started again, or another endpoint has its address.
    Replaced,
}

/// What is known of the crash of an endpoint at the end of a wait.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SettledCrash<K> {
    /// The endpoint.
    pub endpoint: K,
    /// What became of it.
    pub fate: EndpointFate,
    /// The requests whose connections broke, if it has crashed.
    pub crashed: Vec<CrashedRequest>,
    /// Number of requests for which that was not confirmed.
    pub dropped: usize,
}

/// Broken connections to endpoints with keys of type `K`, each of which stands for one start of an endpoint.
#[derive(Clone, Debug)]
pub struct UnconfirmedCrashes<K> {
    breaks: BTreeMap<K, Vec<Break>>,
    len: usize,
    /// Ends that other nodes have reported, and until when each is remembered: the report of a broken
    /// connection may come after it.
    reported_ends: BTreeMap<K, (EndpointFate, Duration)>,
}

#[derive(Clone, PartialEq, Eq, Debug)]
struct Break {
    request: CrashedRequest,
    /// When the connection was found to have broken.
    at: Duration,
    /// Until when the end of the endpoint is put down to it.
    until: Duration,
    /// Whether something at the endpoint's address has responded since.
    has_responded: bool,
}

impl<K> Default for UnconfirmedCrashes<K> {
    fn default() -> Self {
        UnconfirmedCrashes {
            breaks: BTreeMap::new(),
            len: 0,
            reported_ends: BTreeMap::new(),
        }
    }
}

impl<K: Copy + Ord> UnconfirmedCrashes<K> {
    /// Whether no broken connection is kept.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the endpoints with broken connections.
    pub fn endpoints(&self) -> impl Iterator<Item = K> {
        self.breaks.keys().copied()
    }

    /// Keeps requests whose connections to an endpoint broke. `accepts` tells whether the endpoint's address
    /// accepts connections again, or still. Beyond the upper bound, further requests are not kept.
    pub fn add(
        &mut self,
        now: Duration,
        endpoint: K,
        requests: impl IntoIterator<Item = CrashedRequest>,
        accepts: bool,
    ) {
        for request in requests {
            if self.len >= MAX_BREAKS {
                return;
            }
            let mut new = Break {
                request,
                at: now,
                until: now + CONFIRM_TIME,
                has_responded: false,
            };
            if accepts {
                new.record_response(now);
            }
            self.breaks.entry(endpoint).or_default().push(new);
            self.len += 1;
        }
    }

    /// Records a response of an endpoint to a request that was sent at `sent_at`.
    pub fn record_response(&mut self, now: Duration, endpoint: K, sent_at: Duration) {
        let breaks = self.breaks.get_mut(&endpoint).into_iter().flatten();
        for broken in breaks.filter(|b| b.at < sent_at) {
            broken.record_response(now);
        }
    }

    /// Returns the endpoints that have not responded since a connection broke.
    pub fn silent_endpoints(&self) -> impl Iterator<Item = K> {
        let is_silent = |breaks: &&Vec<Break>| breaks.iter().any(|b| !b.has_responded);
        let endpoints = self.breaks.iter();
        let silent = endpoints.filter(move |(_, breaks)| is_silent(breaks));
        silent.map(|(endpoint, _)| *endpoint)
    }

    /// Removes and returns the requests at an endpoint that is found to have crashed; those whose connections
    /// broke before it last responded stay.
    pub fn confirm(&mut self, endpoint: K) -> Vec<CrashedRequest> {
        let breaks = self.breaks.remove(&endpoint).unwrap_or_default();
        let (kept, crashed): (Vec<_>, Vec<_>) = breaks.into_iter().partition(|b| b.has_responded);
        self.len -= crashed.len();
        if !kept.is_empty() {
            self.breaks.insert(endpoint, kept);
        }
        crashed.into_iter().map(|b| b.request).collect()
    }

    /// Records that another node reports an endpoint as gone or replaced.
    pub fn record_end(&mut self, now: Duration, endpoint: K, fate: EndpointFate) {
        self.reported_ends.retain(|_, (_, until)| now < *until);
        let is_known = self.reported_ends.contains_key(&endpoint);
        if !is_known && self.reported_ends.len() >= MAX_BREAKS {
            return;
        }
        let end = (fate, now + CONFIRM_TIME);
        let known = self.reported_ends.entry(endpoint).or_insert(end);
        if fate == EndpointFate::Replaced {
            *known = end;
        }
    }

    /// Drops a request that has completed since, and returns the endpoints to which its connections broke.
    pub fn forget(&mut self, request: Fingerprint) -> Vec<K> {
        let mut endpoints = Vec::new();
        self.retain(|endpoint, b| {
            let is_kept = b.request.request != request;
            if !is_kept {
                endpoints.push(*endpoint);
            }
            is_kept
        });
        endpoints.dedup();
        endpoints
    }

    /// Returns the endpoints about which something is settled, given what has become of each; `None` for one
    /// that is no longer known.
    pub fn settle(
        &mut self,
        now: Duration,
        fate: impl Fn(K) -> Option<EndpointFate>,
    ) -> Vec<SettledCrash<K>> {
        let mut settled = Vec::new();
        let endpoints: Vec<_> = self.endpoints().collect();
        for endpoint in endpoints {
            let fate = match fate(endpoint).unwrap_or(EndpointFate::Leaving) {
                EndpointFate::Present => self.reported_end(now, endpoint),
                known => known,
            };
            let breaks = self.breaks.remove(&endpoint).unwrap_or_default();
            let before = breaks.len();
            let mut crashed = Vec::new();
            let mut kept = Vec::new();
            for broken in breaks {
                match broken.verdict(now, fate) {
                    Some(true) => crashed.push(broken.request),
                    Some(false) => {}
                    None => kept.push(broken),
                }
            }
            let dropped = before - crashed.len() - kept.len();
            self.len -= before - kept.len();
            if !kept.is_empty() {
                self.breaks.insert(endpoint, kept);
            }
            if dropped > 0 || !crashed.is_empty() {
                settled.push(SettledCrash {
                    endpoint,
                    fate,
                    crashed,
                    dropped,
                });
            }
        }
        settled
    }

    fn reported_end(&self, now: Duration, endpoint: K) -> EndpointFate {
        let end = self.reported_ends.get(&endpoint);
        let end = end.filter(|(_, until)| now < *until);
        end.map_or(EndpointFate::Present, |(fate, _)| *fate)
    }

    fn retain(&mut self, mut is_kept: impl FnMut(&K, &Break) -> bool) {
        self.breaks.retain(|endpoint, breaks| {
            breaks.retain(|b| is_kept(endpoint, b));
            !breaks.is_empty()
        });
        self.len = self.breaks.values().map(Vec::len).sum();
    }
}

impl Break {
    fn record_response(&mut self, now: Duration) {
        if !std::mem::replace(&mut self.has_responded, true) {
            self.until = self.until.min(now + CONFIRM_TIME_IF_RESPONDING);
        }
    }

    /// Whether the endpoint has crashed; `None` as long as that is not known.
    fn verdict(&self, now: Duration, fate: EndpointFate) -> Option<bool> {
        match fate {
            _ if now >= self.until => Some(false),
            EndpointFate::Replaced => Some(true),
            // A record may go without an announcement before its endpoint stops as planned.
            EndpointFate::Gone => Some(!self.has_responded),
            EndpointFate::Leaving => Some(false),
            EndpointFate::Present => None,
        }
    }
}

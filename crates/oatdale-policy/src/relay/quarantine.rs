//! Quarantine of requests that crash the endpoints that run them.
//!
//! When an endpoint crashes, all requests that it runs fail, and from outside they look alike. The
//! one at fault crashes the next endpoint too and never completes; the others complete there. So
//! the endpoints that crashed under a request are counted until a copy of it completes.

use crate::relay::Fingerprint;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::Duration;

/// Number of endpoints that crash under a request, that is, while running it, until it is
/// quarantined.
///
/// Of the requests that share a crashing endpoint, few are sent to the same next one, and hardly
/// any share a third.
pub const MAX_CRASHES: usize = 3;

/// How long copies of a quarantined request are refused. The software that it crashes may be fixed
/// by then, and a request that was quarantined by mistake must not be refused forever.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// How long crashes under a request are remembered.
pub const SUSPECT_TIME: Duration = Duration::from_secs(60);

/// Upper bound of the requests that are tracked.
const MAX_TRACKED_REQUESTS: usize = 4_096;

/// Requests under which endpoints crashed, as seen by one node.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    tracked: HashMap<Fingerprint, TrackedRequest>,
}

#[derive(Clone, Debug)]
struct TrackedRequest {
    state: State,
    /// When the entry is dropped.
    expires_at: Duration,
}

#[derive(Clone, Debug)]
enum State {
    /// The endpoints that crashed under the request, each once.
    Suspected(SmallVec<[u32; MAX_CRASHES]>),
    Quarantined,
}

/// How a request was tracked before it completed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Tracking {
    /// It was not tracked.
    Unknown,
    /// Endpoints had crashed under it.
    Suspected,
    /// It was refused on all nodes.
    Quarantined,
}

impl Quarantine {
    /// Whether no request is tracked, so that none has to be fingerprinted.
    pub fn is_empty(&self) -> bool {
        self.tracked.is_empty()
    }

    /// Records that an endpoint crashed under a request; returns whether this crash quarantines the
    /// request.
    ///
    /// `endpoint` identifies one start of the endpoint: several nodes report the same crash.
    pub fn record_crash(&mut self, now: Duration, request: Fingerprint, endpoint: u32) -> bool {
        self.ensure_capacity(now, request);
        let tracked = self
            .tracked
            .entry(request)
            .or_insert_with(|| TrackedRequest {
                state: State::Suspected(SmallVec::new()),
                expires_at: now,
            });
        let State::Suspected(crashed_endpoints) = &mut tracked.state else {
            return false;
        };
        if !crashed_endpoints.contains(&endpoint) {
            crashed_endpoints.push(endpoint);
        }
        tracked.expires_at = now + SUSPECT_TIME;
        crashed_endpoints.len() >= MAX_CRASHES && self.quarantine(now, request)
    }

    /// Quarantines a request; returns whether it was not quarantined before.
    pub fn quarantine(&mut self, now: Duration, request: Fingerprint) -> bool {
        if self.remaining(now, request).is_some() {
            return false;
        }
        self.ensure_capacity(now, request);
        let tracked = TrackedRequest {
            state: State::Quarantined,
            expires_at: now + QUARANTINE_TIME,
        };
        self.tracked.insert(request, tracked);
        true
    }

    /// Returns how much longer a request is refused; `None` if it is not quarantined.
    pub fn remaining(&self, now: Duration, request: Fingerprint) -> Option<Duration> {
        let tracked = self.tracked.get(&request)?;
        match tracked.state {
            State::Quarantined => tracked
                .expires_at
                .checked_sub(now)
                .filter(|remaining| !remaining.is_zero()),
            State::Suspected(_) => None,
        }
    }

    /// Returns the endpoints that crashed under a request, if there are too few to quarantine it.
    pub fn crashed(&self, request: Fingerprint) -> &[u32] {
        match self.tracked.get(&request).map(|t| &t.state) {
            Some(State::Suspected(crashed_endpoints)) => crashed_endpoints,
            Some(State::Quarantined) | None => &[],
        }
    }

    /// Whether endpoints crashed under a request, but too few to quarantine it.
    pub fn is_suspected(&self, now: Duration, request: Fingerprint) -> bool {
        let tracked = self.tracked.get(&request).filter(|t| t.expires_at > now);
        tracked.is_some_and(|t| matches!(t.state, State::Suspected(_)))
    }

    /// Stops tracking a request, a copy of which completed and which thus is not at fault; returns
    /// how it was tracked before.
    pub fn clear(&mut self, request: Fingerprint) -> Tracking {
        match self.tracked.remove(&request).map(|t| t.state) {
            None => Tracking::Unknown,
            Some(State::Suspected(_)) => Tracking::Suspected,
            Some(State::Quarantined) => Tracking::Quarantined,
        }
    }

    /// Drops expired entries.
    pub fn expire(&mut self, now: Duration) {
        self.tracked.retain(|_, t| t.expires_at > now);
    }

    /// Iterates over the requests that are quarantined.
    pub fn quarantined(&self, now: Duration) -> impl Iterator<Item = Fingerprint> {
        let requests = self.tracked.keys().copied();
        requests.filter(move |request| self.remaining(now, *request).is_some())
    }

    /// Makes room for an untracked request by eviction: suspected requests before quarantined ones,
    /// the first to expire first.
    fn ensure_capacity(&mut self, now: Duration, request: Fingerprint) {
        if self
            .tracked
            .get(&request)
            .is_some_and(|t| t.expires_at > now)
        {
            return;
        }
        self.expire(now);
        if self.tracked.len() < MAX_TRACKED_REQUESTS {
            return;
        }
        let eviction_key =
            |t: &TrackedRequest| (matches!(t.state, State::Quarantined), t.expires_at);
        let evicted = self.tracked.iter().min_by_key(|(_, t)| eviction_key(t));
        if let Some(request) = evicted.map(|(request, _)| *request) {
            self.tracked.remove(&request);
        }
    }
}

//! Session pinning: the version that each session runs on.
//!
//! A caller's next connection may go to another node. During a trial that node would treat the
//! session as a new one and route it to the new version. Nodes therefore announce the affected
//! sessions to each other: each new one at once, since its next request may follow within a second,
//! and all of them periodically, for nodes that missed the first message or started later.

use super::report::OldSessions;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Maximum number of sessions kept. Further ones are not pinned, which matters only during a trial.
const MAX_SESSIONS: usize = 20_000;

/// Maximum number of sessions in one datagram.
const SESSIONS_PER_DATAGRAM: usize = 100;

/// Maximum number of datagrams for the full list. Sessions beyond them may change their version
/// during a trial, which happens only with several hundred callers per node.
const MAX_DATAGRAMS: usize = 3;

/// Number of recent sessions in each announcement, so that the next datagram makes up for a lost
/// one.
const RECENT_SESSIONS: usize = 16;

/// Time after which a session is announced again. Other nodes drop it at the end of its lifetime,
/// which is several times as long.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Sessions by hash of their name.
#[derive(Debug, Default)]
pub(super) struct Sessions {
    pins: HashMap<u64, Pin>,
    /// Most recently announced sessions, newest first.
    recent: VecDeque<u64>,
}

#[derive(Clone, Debug, Default)]
struct Pin {
    /// `None` if another node announced that the session is on an old version.
    version: Option<String>,
    last_used: Duration,
    /// When this node last announced the session.
    announced_at: Option<Duration>,
}

impl Sessions {
    /// Whether a request of the session has been sent to an endpoint.
    pub(super) fn contains(&self, session: u64) -> bool {
        self.pins.contains_key(&session)
    }

    /// Pins a session to the version that its request went to.
    pub(super) fn pin(&mut self, now: Duration, session: u64, version: &str) {
        let is_known = self.pins.contains_key(&session);
        if is_known || self.pins.len() < MAX_SESSIONS {
            let pin = self.pins.entry(session).or_default();
            pin.version = Some(version.to_owned());
            pin.last_used = now;
        }
    }

    /// Returns the announcement of a session that this node has just pinned to an old version, or
    /// `None` if it was announced less than `ANNOUNCE_INTERVAL` ago.
    pub(super) fn announce(&mut self, now: Duration, session: u64) -> Option<OldSessions> {
        let pin = self.pins.get_mut(&session)?;
        if pin
            .announced_at
            .is_some_and(|announced_at| now < announced_at + ANNOUNCE_INTERVAL)
        {
            return None;
        }
        pin.announced_at = Some(now);
        self.recent.push_front(session);
        self.recent.truncate(RECENT_SESSIONS);
        let sessions = self.recent.iter().copied().collect();
        Some(OldSessions { sessions })
    }

    /// Pins a session that another node has on an old version.
    pub(super) fn pin_old(&mut self, now: Duration, session: u64) {
        self.pins.entry(session).or_default().last_used = now;
    }

    /// Removes sessions whose last request was more than `ttl` ago.
    pub(super) fn expire(&mut self, now: Duration, ttl: Duration) {
        self.pins.retain(|_, pin| now < pin.last_used + ttl);
    }

    /// Whether a session runs on a version other than `target`.
    pub(super) fn is_on_old(&self, session: u64, target: &str) -> bool {
        let pin = self.pins.get(&session);
        pin.is_some_and(|pin| pin.version.as_deref() != Some(target))
    }

    /// Returns announcements of the sessions that this node itself has on an old version and that
    /// other nodes might route to the new one because they may be in the trial.
    pub(super) fn to_send(&self, target: &str, may_join: impl Fn(u64) -> bool) -> Vec<OldSessions> {
        let on_old = |pin: &Pin| pin.version.as_deref().is_some_and(|v| v != target);
        let all: Vec<u64> = self
            .pins
            .iter()
            .filter(|(hash, pin)| may_join(**hash) && on_old(pin))
            .map(|(hash, _)| *hash)
            .take(SESSIONS_PER_DATAGRAM * MAX_DATAGRAMS)
            .collect();
        let batches = all.chunks(SESSIONS_PER_DATAGRAM);
        batches
            .map(|batch| OldSessions {
                sessions: batch.to_vec(),
            })
            .collect()
    }
}

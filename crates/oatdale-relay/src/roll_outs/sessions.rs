//! Session pinning: the version that each session runs on.
//!
//! A caller's next connection may go to another node. During a trial that node would treat the
//! session as a new one and route it to the new version. Nodes therefore announce the affected
//! sessions to each other: each new one at once, since its next request may follow within a second,
//! and all of them periodically, for nodes that missed the first message or started later.

use super::report::OldSessions;
use crate::state::hash;
use std::collections::{BTreeMap, HashMap, VecDeque};
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

/// A session of a service: hash of the service's name, hash of the session's.
type SessionKey = (u64, u64);

/// Sessions by service and name.
#[derive(Debug, Default)]
pub(super) struct Sessions {
    pins: HashMap<SessionKey, Pin>,
    /// Most recently announced sessions, newest first.
    recent: VecDeque<SessionKey>,
}

#[derive(Clone, Debug, Default)]
struct Pin {
    /// `None` if a node of an earlier version announced that the session is on an old version.
    version: Option<String>,
    /// Whether this node sent a request of the session.
    is_own: bool,
    last_used: Duration,
    /// When this node last announced the session.
    announced_at: Option<Duration>,
}

impl Sessions {
    /// Whether a request of the session has been sent to an endpoint.
    pub(super) fn contains(&self, service: &str, session: u64) -> bool {
        self.pins.contains_key(&key(Some(service), session))
    }

    /// Pins a session to the version that its request went to.
    pub(super) fn pin(&mut self, now: Duration, service: &str, session: u64, version: &str) {
        let key = key(Some(service), session);
        let is_known = self.pins.contains_key(&key);
        if is_known || self.pins.len() < MAX_SESSIONS {
            let pin = self.pins.entry(key).or_default();
            pin.version = Some(version.to_owned());
            pin.is_own = true;
            pin.last_used = now;
        }
    }

    /// Returns the version of a session, if it is known.
    pub(super) fn version(&self, service: &str, session: u64) -> Option<&str> {
        let pin = self.pins.get(&key(Some(service), session))?;
        pin.version.as_deref()
    }

    /// Returns the announcement of a session that this node has just pinned to an old version, or
    /// `None` if it was announced less than `ANNOUNCE_INTERVAL` ago.
    pub(super) fn announce(
        &mut self,
        now: Duration,
        service: &str,
        session: u64,
    ) -> Option<OldSessions> {
        let key = key(Some(service), session);
        let pin = self.pins.get_mut(&key)?;
        if pin
            .announced_at
            .is_some_and(|announced_at| now < announced_at + ANNOUNCE_INTERVAL)
        {
            return None;
        }
        pin.announced_at = Some(now);
        let version = pin.version.clone();
        self.recent.push_front(key);
        self.recent.truncate(RECENT_SESSIONS);
        let is_alike = |other: &&SessionKey| {
            let pin = self.pins.get(other);
            other.0 == key.0 && pin.is_some_and(|pin| pin.version == version)
        };
        let sessions = self.recent.iter().filter(is_alike);
        Some(OldSessions {
            sessions: sessions.map(|(_, session)| *session).collect(),
            service: Some(service.to_owned()),
            version,
        })
    }

    /// Pins sessions that another node has on an old version. What this node knows of a session's
    /// version takes precedence.
    pub(super) fn pin_old(&mut self, now: Duration, old_sessions: &OldSessions) {
        for &session in &old_sessions.sessions {
            let key = key(old_sessions.service.as_deref(), session);
            if self.pins.len() >= MAX_SESSIONS && !self.pins.contains_key(&key) {
                continue;
            }
            let pin = self.pins.entry(key).or_default();
            pin.last_used = now;
            if !pin.is_own {
                pin.version.clone_from(&old_sessions.version);
            }
        }
    }

    /// Removes sessions whose last request was more than `ttl` ago.
    pub(super) fn expire(&mut self, now: Duration, ttl: Duration) {
        self.pins.retain(|_, pin| now < pin.last_used + ttl);
    }

    /// Whether a session runs on a version other than `target`.
    pub(super) fn is_on_old(&self, service: &str, session: u64, target: &str) -> bool {
        let pin = self.pins.get(&key(Some(service), session));
        let pin = pin.or_else(|| self.pins.get(&key(None, session)));
        pin.is_some_and(|pin| pin.version.as_deref() != Some(target))
    }

    /// Returns announcements of a service's sessions on which this node has sent requests and that
    /// `needs_sending` selects by session and version.
    pub(super) fn to_send(
        &self,
        service: &str,
        needs_sending: impl Fn(u64, &str) -> bool,
    ) -> Vec<OldSessions> {
        let (service_hash, _) = key(Some(service), 0);
        let mut by_version: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        let own = self.pins.iter().filter(|(_, pin)| pin.is_own);
        let own = own.filter_map(|(key, pin)| Some((key, pin.version.as_deref()?)));
        let selected = own.filter(|((hash, session), version)| {
            *hash == service_hash && needs_sending(*session, version)
        });
        for ((_, session), version) in selected.take(SESSIONS_PER_DATAGRAM * MAX_DATAGRAMS) {
            by_version.entry(version).or_default().push(*session);
        }
        let batches = by_version.into_iter().flat_map(|(version, all)| {
            all.chunks(SESSIONS_PER_DATAGRAM)
                .map(move |b| (version, b.to_vec()))
                .collect::<Vec<_>>()
        });
        batches
            .map(|(version, sessions)| OldSessions {
                sessions,
                service: Some(service.to_owned()),
                version: Some(version.to_owned()),
            })
            .collect()
    }
}

fn key(service: Option<&str>, session: u64) -> SessionKey {
    (service.map_or(0, |service| hash(&service)), session)
}

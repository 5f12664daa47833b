//! Which version each session runs on.
//!
//! A caller's next connection may be to another node. During a trial that node would take the session
//! for a new one and send it to the new version; so nodes tell each other of the sessions for which
//! this matters: each new one at once, since its next request may follow within a second, and all of
//! them again and again, for nodes that missed it or started later.

use super::report::OnOld;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Sessions that are remembered at most. More are not pinned, which counts only in a trial.
const MAX_SESSIONS: usize = 20_000;

/// Sessions that one datagram names, and how many datagrams there are at the most. More sessions
/// may change their version in a trial, which needs some hundred callers a node.
const TOLD_AT_ONCE: usize = 100;
const TOLD_TIMES: usize = 3;

/// Sessions that a datagram about a new one names again, so that a lost one is made up for by the next.
const TOLD_AGAIN: usize = 16;

/// Time after which other nodes are told of a session again. They forget one after its life, which is
/// several times as long.
const TELL_AGAIN: Duration = Duration::from_millis(1_500);

/// Sessions by the hash of their names.
#[derive(Debug, Default)]
pub(super) struct Sessions {
    pins: HashMap<u64, Pin>,
    /// Those that others were told of last.
    last_told: VecDeque<u64>,
}

#[derive(Clone, Debug, Default)]
struct Pin {
    /// `None` if another node said that it is an old one.
    version: Option<String>,
    used: Duration,
    /// When this node last told others of it.
    told: Option<Duration>,
}

impl Sessions {
    /// Notes which version a session's request went to.
    pub(super) fn pin(&mut self, now: Duration, session: u64, version: &str) {
        let is_known = self.pins.contains_key(&session);
        if is_known || self.pins.len() < MAX_SESSIONS {
            let pin = self.pins.entry(session).or_default();
            pin.version = Some(version.to_owned());
            pin.used = now;
        }
    }

    /// What to tell others of a session that this node has just pinned to an old version, unless it did
    /// so a moment ago.
    pub(super) fn tell(&mut self, now: Duration, session: u64) -> Option<OnOld> {
        let pin = self.pins.get_mut(&session)?;
        if pin.told.is_some_and(|told| now < told + TELL_AGAIN) {
            return None;
        }
        pin.told = Some(now);
        self.last_told.push_front(session);
        self.last_told.truncate(TOLD_AGAIN);
        let sessions = self.last_told.iter().copied().collect();
        Some(OnOld { sessions })
    }

    /// Notes that another node has a session on an old version.
    pub(super) fn pin_old(&mut self, now: Duration, session: u64) {
        self.pins.entry(session).or_default().used = now;
    }

    /// Forgets sessions whose last request was longer ago than `life`.
    pub(super) fn forget(&mut self, now: Duration, life: Duration) {
        self.pins.retain(|_, pin| now < pin.used + life);
    }

    /// Whether a session runs on another version than `target`.
    pub(super) fn is_on_old(&self, session: u64, target: &str) -> bool {
        let pin = self.pins.get(&session);
        pin.is_some_and(|pin| pin.version.as_deref() != Some(target))
    }

    /// Sessions that this node itself sees on an old version and that may try the new one, so that
    /// other nodes would send them there.
    pub(super) fn to_tell(&self, target: &str, may_try: impl Fn(u64) -> bool) -> Vec<OnOld> {
        let on_old = |pin: &Pin| pin.version.as_deref().is_some_and(|v| v != target);
        let all: Vec<u64> = self
            .pins
            .iter()
            .filter(|(hash, pin)| may_try(**hash) && on_old(pin))
            .map(|(hash, _)| *hash)
            .take(TOLD_AT_ONCE * TOLD_TIMES)
            .collect();
        let parts = all.chunks(TOLD_AT_ONCE);
        parts
            .map(|part| OnOld {
                sessions: part.to_vec(),
            })
            .collect()
    }
}

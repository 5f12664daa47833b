//! Which version each session runs on.
//!
//! A caller's next connection may be to another node. During a trial that node would take the session
//! for a new one and send it to the new version; so nodes tell each other of the sessions for which
//! this matters.

use super::report::OnOld;
use oatdale_policy::relay::is_in_trial;
use std::collections::HashMap;
use std::time::Duration;

/// Sessions that are remembered at most. More are not pinned, which counts only in a trial.
const MAX_SESSIONS: usize = 20_000;

/// Sessions that one datagram names, and how many datagrams there are at the most. More sessions
/// may change their version in a trial, which needs some hundred callers a node.
const TOLD_AT_ONCE: usize = 100;
const TOLD_TIMES: usize = 3;

/// Sessions by the hash of their names.
#[derive(Debug, Default)]
pub(super) struct Sessions {
    pins: HashMap<u64, Pin>,
}

#[derive(Clone, Debug)]
struct Pin {
    /// `None` if another node said that it is an old one.
    version: Option<String>,
    used: Duration,
}

impl Sessions {
    /// Notes which version a session's request went to.
    pub(super) fn pin(&mut self, now: Duration, session: u64, version: &str) {
        if self.pins.len() < MAX_SESSIONS {
            let version = Some(version.to_owned());
            self.pins.insert(session, Pin { version, used: now });
        }
    }

    /// Notes that another node has a session on an old version.
    pub(super) fn pin_old(&mut self, now: Duration, session: u64) {
        let new = Pin {
            version: None,
            used: now,
        };
        self.pins.entry(session).or_insert(new).used = now;
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

    /// Sessions that this node itself sees on an old version and that other nodes would take for
    /// new ones that try the new version, in a trial with this share.
    pub(super) fn to_tell(&self, target: &str, share: f64) -> Vec<OnOld> {
        let on_old = |pin: &Pin| pin.version.as_deref().is_some_and(|v| v != target);
        let all: Vec<u64> = self
            .pins
            .iter()
            .filter(|(hash, pin)| is_in_trial(share, **hash) && on_old(pin))
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

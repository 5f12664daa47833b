//! Pins of caller-named sessions that this thread has looked up.

use oatdale_journal::SessionKey;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Sessions that are remembered; when more come the oldest half is forgotten.
const MAX_PINS: usize = 16_384;

/// A pin never changes while the journal remembers it; this is far below its retention.
const KEPT: Duration = Duration::from_secs(600);

/// A bounded cache of pins.
#[derive(Default)]
pub(crate) struct PinCache {
    pins: Mutex<HashMap<SessionKey, (Instant, String)>>,
}

impl PinCache {
    /// The version that a session is known to be pinned to.
    pub(crate) fn get(&self, key: SessionKey) -> Option<String> {
        let pins = self.pins.lock().unwrap_or_else(PoisonError::into_inner);
        let (since, version) = pins.get(&key)?;
        (since.elapsed() < KEPT).then(|| version.clone())
    }

    /// Remembers a pin that the journal confirmed.
    pub(crate) fn put(&self, key: SessionKey, version: String) {
        let mut pins = self.pins.lock().unwrap_or_else(PoisonError::into_inner);
        if pins.len() >= MAX_PINS {
            forget_older_half(&mut pins);
        }
        pins.insert(key, (Instant::now(), version));
    }
}

fn forget_older_half(pins: &mut HashMap<SessionKey, (Instant, String)>) {
    let mut times: Vec<Instant> = pins.values().map(|(since, _)| *since).collect();
    times.sort_unstable();
    let middle = times[times.len() / 2];
    pins.retain(|_, (since, _)| *since > middle);
}

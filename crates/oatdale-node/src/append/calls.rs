//! Calls to other nodes that wait for their answers.

use crate::append::Answer;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Calls to one host that may wait at once; beyond that this node appends for itself. The mesh
/// closes a link on which more than 256 messages wait.
const MAX_CALLS: usize = 128;

/// How long a node that gave no answer is not asked again. It may be paused, cut off from the
/// key-value service or of a release that knows no such calls; without this each request would
/// wait for it in vain.
const AVOID: Duration = Duration::from_secs(5);

/// The calls under way and the nodes that failed lately.
pub(super) struct Calls {
    inner: Mutex<Inner>,
}

struct Inner {
    /// Starts at random: an answer to a former process under this host's name must not be taken
    /// for the answer to another call.
    next: u128,
    waiting: HashMap<u128, Waiting>,
    avoided: HashMap<String, Instant>,
}

struct Waiting {
    host: String,
    tx: oneshot::Sender<Answer>,
}

/// A call that waits; dropping it forgets it.
pub(super) struct Call<'a> {
    calls: &'a Calls,
    pub(super) number: u128,
    pub(super) answer: oneshot::Receiver<Answer>,
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        self.calls.lock().waiting.remove(&self.number);
    }
}

impl Calls {
    pub(super) fn new() -> Calls {
        let inner = Inner {
            next: rand::random(),
            waiting: HashMap::new(),
            avoided: HashMap::new(),
        };
        Calls {
            inner: Mutex::new(inner),
        }
    }

    /// Begins a call, unless too many wait or the host failed a moment ago.
    pub(super) fn begin(&self, host: &str) -> Option<Call<'_>> {
        let mut inner = self.lock();
        let now = Instant::now();
        inner.avoided.retain(|_, until| *until > now);
        let under_way = inner.waiting.values().filter(|w| w.host == host).count();
        if under_way >= MAX_CALLS || inner.avoided.contains_key(host) {
            return None;
        }
        let (tx, answer) = oneshot::channel();
        let number = inner.next;
        inner.next = number.wrapping_add(1);
        let host = host.to_owned();
        inner.waiting.insert(number, Waiting { host, tx });
        Some(Call {
            calls: self,
            number,
            answer,
        })
    }

    /// Gives an answer to the call that waits for it; one that comes late is dropped.
    pub(super) fn answered(&self, from: &str, number: u128, answer: Answer) {
        let mut inner = self.lock();
        let asked = inner.waiting.get(&number).is_some_and(|w| w.host == from);
        let waiting = asked.then(|| inner.waiting.remove(&number)).flatten();
        if let Some(waiting) = waiting {
            // The caller may have gone in this moment.
            let _ = waiting.tx.send(answer);
        }
    }

    /// Has a host not be asked for a while.
    pub(super) fn avoid(&self, host: &str) {
        let until = Instant::now() + AVOID;
        self.lock().avoided.insert(host.to_owned(), until);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Each change is a single call to a map, so a panic elsewhere leaves it whole.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

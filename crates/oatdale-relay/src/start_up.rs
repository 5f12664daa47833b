//! Holds requests that arrive at a starting node until it has a configuration and endpoints.
//!
//! When all nodes were killed at once, their callers return within a quarter of a second, while the
//! configuration is read after about 120 ms. A caller retries only once, so a refusal at that time
//! is its last response. Nothing of a held request has been sent, so it can still be refused.

use crate::body::BodyMemory;
use crate::wire::RequestMetadata;
use http::request;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

/// Maximum time for which a request is held. A starting node reads the records within a few hundred
/// milliseconds; if that takes longer, another node is the better choice.
const MAX_HOLD_TIME: Duration = Duration::from_secs(1);

/// Part of a request's time for which it may be held. The rest has to suffice for its response, or
/// for a retry at another node.
const HOLD_TIME_DIVISOR: u32 = 4;

/// Bytes of a body that may arrive in the connection's buffer while the request is held.
const UNREAD_BODY_BYTES: usize = 16 << 10;

/// What a starting node has learned so far.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
struct Progress {
    has_site: bool,
    has_endpoints: bool,
    /// Whether the key-value service is known not to answer.
    is_store_unavailable: bool,
}

/// Requests held while this node starts, and what they wait for.
#[derive(Debug, Default)]
pub(crate) struct StartUp {
    progress: watch::Sender<Progress>,
}

impl Progress {
    fn is_complete(self) -> bool {
        self.has_site && self.has_endpoints
    }
}

impl StartUp {
    /// Records that a configuration is in force.
    pub(crate) fn record_site(&self) {
        self.record(|progress| progress.has_site = true);
    }

    /// Records that this node knows endpoints.
    pub(crate) fn record_endpoints(&self) {
        self.record(|progress| progress.has_endpoints = true);
    }

    /// Records whether the key-value service answers.
    pub(crate) fn record_store(&self, is_available: bool) {
        self.record(|progress| progress.is_store_unavailable = !is_available);
    }

    fn record(&self, change: impl FnOnce(&mut Progress)) {
        self.progress.send_if_modified(|progress| {
            let previous = *progress;
            change(progress);
            if !previous.is_complete() && progress.is_complete() {
                let held = self.progress.receiver_count();
                log::info!(target: "node", "event=start_up_complete held={held}");
            }
            *progress != previous
        });
    }

    /// Waits until this node has a configuration and endpoints, as long as the request may be held
    /// and there is memory for it. Does not wait if the key-value service is known not to answer.
    pub(crate) async fn hold(
        &self,
        memory: &BodyMemory,
        head: &request::Parts,
        metadata: &RequestMetadata,
        arrival: Instant,
    ) {
        if self.progress.borrow().is_complete() {
            return;
        }
        let Some(_reservation) = memory.try_reserve(head_bytes(head) + UNREAD_BODY_BYTES) else {
            return;
        };
        let share = metadata.timeout.map(|time| time / HOLD_TIME_DIVISOR);
        let until = arrival + share.map_or(MAX_HOLD_TIME, |share| share.min(MAX_HOLD_TIME));
        let mut progress = self.progress.subscribe();
        let can_continue = progress.wait_for(|p| p.is_complete() || p.is_store_unavailable);
        // The caller finds out what is known then, in any of the cases.
        let _ = timeout_at(until, can_continue).await;
    }
}

/// Approximate size of a request head in bytes.
fn head_bytes(head: &request::Parts) -> usize {
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len());
    headers.sum::<usize>() + head.uri.path().len() + head.uri.query().map_or(0, str::len)
}

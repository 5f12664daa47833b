//! Holds requests that arrive at a starting node until it has a configuration and endpoints.
//!
//! When all nodes have been killed at once, their callers return before the new nodes have read the
//! configuration. A caller retries only once, so a refusal at that time is its last response. Nothing
//! of a held request has been sent, so it can still be refused.

use crate::body::BodyMemory;
use crate::request_context::RequestContext;
use crate::wire::RequestMetadata;
use http::{HeaderMap, Uri, request};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

/// Maximum time for which a request is held. A starting node reads the records within a few hundred
/// milliseconds; if that takes longer, another node is the better choice.
const MAX_HOLD_TIME: Duration = Duration::from_secs(1);

/// Time after the start of the process from which on nothing is held: a node without endpoints by then
/// has more than a start to wait for.
const MAX_START_TIME: Duration = Duration::from_secs(5);

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
#[derive(Debug)]
pub(crate) struct StartUp {
    progress: watch::Sender<Progress>,
    /// Time from which on nothing is held; `None` if requests are never held.
    hold_until: Option<Instant>,
}

impl Progress {
    fn is_complete(self) -> bool {
        self.has_site && self.has_endpoints
    }
}

impl StartUp {
    /// Creates the state of a node that starts now.
    pub(crate) fn new(may_hold: bool) -> Self {
        StartUp {
            progress: watch::Sender::default(),
            hold_until: may_hold.then(|| Instant::now() + MAX_START_TIME),
        }
    }

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

    /// Waits until this node has a configuration, by which requests are routed.
    pub(crate) async fn hold_for_site(
        &self,
        memory: &BodyMemory,
        head: &request::Parts,
        metadata: &RequestMetadata,
        arrival: Instant,
    ) {
        let bytes = head_bytes(&head.uri, &head.headers) + UNREAD_BODY_BYTES;
        self.hold(memory, bytes, metadata.timeout, arrival, |p| p.has_site)
            .await;
    }

    /// Waits until this node knows endpoints. The request has been routed and its body read.
    pub(crate) async fn hold_for_endpoints(
        &self,
        memory: &BodyMemory,
        request_cx: &RequestContext,
    ) {
        let bytes = head_bytes(&request_cx.uri, &request_cx.headers);
        let (timeout, arrival) = (request_cx.metadata.timeout, request_cx.arrival);
        self.hold(memory, bytes, timeout, arrival, Progress::is_complete)
            .await;
    }

    /// Waits until this node is ready, as long as the request may be held and there is memory for it.
    /// Does not wait if the key-value service is known not to answer.
    async fn hold(
        &self,
        memory: &BodyMemory,
        bytes: usize,
        timeout: Option<Duration>,
        arrival: Instant,
        is_ready: impl Fn(Progress) -> bool,
    ) {
        let Some(hold_until) = self.hold_until.filter(|until| Instant::now() < *until) else {
            return;
        };
        if is_ready(*self.progress.borrow()) {
            return;
        }
        let Some(_reservation) = memory.try_reserve(bytes) else {
            return;
        };
        let share = timeout.map(|time| time / HOLD_TIME_DIVISOR);
        let until = arrival + share.map_or(MAX_HOLD_TIME, |share| share.min(MAX_HOLD_TIME));
        let mut progress = self.progress.subscribe();
        let can_continue = progress.wait_for(|p| is_ready(*p) || p.is_store_unavailable);
        // The caller finds out what is known then, in any of the cases.
        let _ = timeout_at(until.min(hold_until), can_continue).await;
    }
}

/// Approximate size of a request head in bytes.
fn head_bytes(uri: &Uri, headers: &HeaderMap) -> usize {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    sizes.sum::<usize>() + uri.path().len() + uri.query().map_or(0, str::len)
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against holding requests where the settings do not enable it, long after the start, or
    // when what they wait for is known.
    #[tokio::test(start_paused = true)]
    async fn requests_are_held_only_where_enabled_and_soon_after_the_start() {
        let memory = BodyMemory::default();
        let held = async |start_up: &StartUp| {
            let arrival = Instant::now();
            start_up
                .hold(&memory, 1, None, arrival, Progress::is_complete)
                .await;
            arrival.elapsed()
        };
        assert_eq!(held(&StartUp::new(false)).await, Duration::ZERO);
        let start_up = StartUp::new(true);
        assert!(held(&start_up).await >= MAX_HOLD_TIME);
        tokio::time::advance(MAX_START_TIME).await;
        assert_eq!(held(&start_up).await, Duration::ZERO);
        let start_up = StartUp::new(true);
        start_up.record_site();
        start_up.record_endpoints();
        assert_eq!(held(&start_up).await, Duration::ZERO);
    }
}

//! In-flight requests at endpoints, and the state that their endpoints report meanwhile.

use crate::cx::Cx;
use crate::directory::{EndpointKey, Entry};
use crate::gossip::{self, Message};
use crate::reachability;
use crate::state::{Pick, State, TimeBasis};
use crate::wire::Wire;
use oatdale_policy::relay::RequestLimit;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Weight of a request whose prompt has been processed.
const DECODE_WEIGHT: f64 = 1.0;

/// An in-flight request at an endpoint; dropping it reduces the endpoint's load.
pub(crate) struct InFlightRequest<W> {
    pub(crate) cx: Arc<Cx<W>>,
    pub(crate) key: EndpointKey,
    pub(crate) weight: f64,
    pub(crate) addr: SocketAddr,
    pub(crate) id: String,
    pub(crate) version: String,
    /// Whether the endpoint had a high failure rate when it was picked.
    pub(crate) is_failing: bool,
    /// The endpoint's load when it was picked, for the log.
    pub(crate) load_before: f64,
    /// Number of candidates among which the endpoint was picked, for the log.
    pub(crate) candidate_count: usize,
    /// Expected time until the response head when the endpoint was picked.
    pub(crate) expected: Duration,
    /// What that time was computed from; `None` where load control is off.
    basis: Option<TimeBasis>,
    /// The endpoint's limit as known when it was picked, for the log.
    pub(crate) limit_before: RequestLimit,
    /// Cancelled when the endpoint restarts.
    restarted: CancellationToken,
}

impl<W> InFlightRequest<W> {
    /// Returns a request that the directory has counted at the endpoint that was picked for it.
    pub(crate) fn new(cx: Arc<Cx<W>>, pick: &Pick, entry: &Entry, weight: f64) -> Self {
        InFlightRequest {
            cx,
            key: pick.key,
            weight,
            addr: entry.endpoint.addr,
            id: entry.endpoint.id.clone(),
            version: entry.endpoint.version.clone(),
            is_failing: entry.health.is_failing(),
            load_before: (entry.load - weight).max(0.0),
            candidate_count: pick.candidate_count,
            expected: pick.expected,
            basis: pick.basis,
            limit_before: entry.limit,
            restarted: entry.restart_token.clone(),
        }
    }

    /// Reduces the request's weight once its prompt has been processed: from then on it is one of
    /// several in each decoding step.
    pub(crate) fn finish_prefill(&mut self) {
        let remaining = self.weight.min(DECODE_WEIGHT);
        if let Some(entry) = self.cx.state().directory.get_mut(self.key) {
            entry.load = (entry.load - (self.weight - remaining)).max(0.0);
        }
        self.weight = remaining;
    }
}

/// Records that an endpoint could not be reached, and broadcasts this if it is new and its service
/// limits the request rate of cold endpoints.
pub(crate) fn handle_unreachable<W: Wire>(cx: &Cx<W>, state: &mut State, key: EndpointKey) {
    let now = cx.now();
    let Some(entry) = state.directory.get_mut(key) else {
        return;
    };
    let is_new = entry.mark_unreachable(now);
    let (id, born) = (entry.endpoint.id.clone(), entry.endpoint.born);
    let service = entry.endpoint.service.clone();
    if !is_new || !state.has_cold_rate(&service) {
        return;
    }
    log::info!(target: "directory", "event=endpoint_unreachable id={id}");
    let message = Message::EndpointCold {
        id,
        born,
        left_ms: None,
    };
    gossip::broadcast(cx, state, &message);
}

impl<W> Drop for InFlightRequest<W> {
    fn drop(&mut self) {
        let mut state = self.cx.state();
        state.directory.end_request(self.key, self.weight);
        let entry = state.directory.get(self.key);
        if entry.is_some_and(|e| e.limit.max_rejections().is_some()) {
            state.held_changes.record(self.key);
            self.cx.held_changed.notify_one();
        }
    }
}

impl<W: Wire> InFlightRequest<W> {
    /// Resolves when the endpoint is known to have restarted and therefore to have lost this
    /// request.
    ///
    /// Its previous process may have ended without closing its connections, which then stay open
    /// and silent. Without this check the request and its caller would wait for the timeout.
    pub(crate) async fn wait_restarted(&self) {
        self.restarted.cancelled().await;
    }

    /// Whether the endpoint announced that it leaves, or its record is gone: in both cases it stops
    /// as planned.
    pub(crate) fn is_leaving(&self) -> bool {
        let now = self.cx.now();
        let state = self.cx.state();
        let entry = state.directory.get(self.key);
        entry.is_none_or(|e| e.has_planned_end(now))
    }

    /// Records that bytes arrived from the endpoint.
    pub(crate) fn record_progress(&self) {
        let now = self.cx.now();
        if let Some(entry) = self.cx.state().directory.get_mut(self.key) {
            entry.last_progress = now;
        }
    }

    /// Records a valid response to a request that was sent at `sent_at`.
    pub(crate) fn record_valid_response(&self, sent_at: Duration) {
        let now = self.cx.now();
        let unconfirmed = &mut self.cx.state().unconfirmed_crashes;
        unconfirmed.record_response(now, self.key, sent_at);
    }

    /// Whether bytes have arrived from the endpoint since this time, on any connection.
    pub(crate) fn has_progress_since(&self, since: Duration) -> bool {
        let state = self.cx.state();
        let entry = state.directory.get(self.key);
        entry.is_some_and(|e| e.last_progress > since)
    }

    /// Records how long the response head took, or for how long it had not arrived if `is_missing`.
    pub(crate) fn record_response_time(&self, time: Duration, is_missing: bool) {
        let now = self.cx.now();
        if let Some(basis) = &self.basis {
            let mut state = self.cx.state();
            state.record_response_time(now, self.key, basis, time, is_missing);
        }
    }

    /// Records a response; `is_ok` is false if the endpoint failed.
    pub(crate) fn record_response(&self, is_ok: bool) {
        if let Some(entry) = self.cx.state().directory.get_mut(self.key) {
            entry.health.record_response(is_ok);
        }
    }

    /// Records that a response is late.
    pub(crate) fn record_late_response(&self) {
        log::info!(target: "attempt", "event=late endpoint={}", self.id);
        if let Some(entry) = self.cx.state().directory.get_mut(self.key) {
            entry.health.record_late_response();
        }
    }

    /// Records that an expected response did not arrive.
    pub(crate) fn record_no_response(&self) {
        let now = self.cx.now();
        if let Some(entry) = self.cx.state().directory.get_mut(self.key) {
            entry.health.record_no_response(now);
        }
    }

    /// Records that the endpoint announced in a response that it leaves. Its record may show this
    /// much later, or never.
    pub(crate) fn record_leaving(&self) {
        let mut state = self.cx.state();
        let Some(entry) = state.directory.get_mut(self.key) else {
            return;
        };
        if std::mem::replace(&mut entry.endpoint.leaving, true) {
            return;
        }
        log::info!(target: "directory", "event=endpoint_leaves id={} from=response", self.id);
        let message = Message::EndpointLeaves {
            id: self.id.clone(),
            born: entry.endpoint.born,
        };
        gossip::broadcast(&self.cx, &state, &message);
    }

    /// Records that the endpoint could not be reached: it may be restarting, and then handle fewer
    /// requests at first. This is broadcast to all nodes, since most of them are not sending it
    /// anything at that moment.
    pub(crate) fn record_unreachable(&self) {
        reachability::record_unreachable(&self.cx, self.key);
    }

    /// Records the remaining warm-up time that the endpoint announced in a response.
    pub(crate) fn record_cold(&self, cold_time: Duration) {
        let now = self.cx.now();
        let mut state = self.cx.state();
        let Some(entry) = state.directory.get_mut(self.key) else {
            return;
        };
        let is_new = !entry.reports_cold(now) && !cold_time.is_zero();
        entry.set_cold_time(now, cold_time);
        if !is_new {
            return;
        }
        log::info!(target: "directory", "event=endpoint_cold id={} left={cold_time:?} from=response", self.id);
        let message = Message::EndpointCold {
            id: self.id.clone(),
            born: entry.endpoint.born,
            left_ms: u32::try_from(cold_time.as_millis()).ok(),
        };
        gossip::broadcast(&self.cx, &state, &message);
    }

    /// Records that the endpoint rejected the request and asked this node to back off for `time`.
    pub(crate) fn record_back_off(&self, time: Duration) {
        let now = self.cx.now();
        if let Some(entry) = self.cx.state().directory.get_mut(self.key) {
            entry.back_off(now, time);
        }
    }

    /// Records that another endpoint now runs at its address.
    pub(crate) fn record_replaced(&self) {
        self.cx.pool.forget(self.addr);
        if let Some(entry) = self.cx.state().directory.get_mut(self.key) {
            entry.mark_replaced();
        }
    }
}

//! Quarantine of requests that crash the endpoints that run them. The nodes share what they observe
//! to detect such requests, and every node rejects them.
//!
//! A broken connection alone is no proof of a crash, since the endpoint or the network may have
//! reset it; an endpoint that crashed refuses new connections. Each node reports the requests whose
//! endpoints crashed to a few nodes selected by the request's fingerprint, which count the crashes
//! seen by all nodes. A quarantined request is broadcast to all nodes at once and recorded on the
//! platform, for nodes that miss the broadcast or start later. So are the crashes under a request that
//! one more would quarantine, since all nodes may be killed at once.

mod check;
mod parts;
mod records;
mod unconfirmed;

pub(crate) use crate::crashes::check::{
    CrashChecks, check_for_crash, handle_endpoint_record, has_ended, recheck, settle,
    wait_for_checks,
};
pub(crate) use crate::crashes::parts::{Parts, handle_answers, handle_suspected, record_parts};
pub(crate) use crate::crashes::records::PendingRecords;
pub(crate) use crate::crashes::unconfirmed::{handle_endpoint_end, handle_possible_crash};

use crate::cx::Cx;
use crate::gossip::{self, Message};
use crate::headers::has_framing;
use crate::nodes::first_by_hash;
use crate::request_context::RequestContext;
use crate::state::State;
use crate::update::{Command, QuarantineState};
use crate::wire::Wire;
use http::response;
use oatdale_policy::relay::{CrashedRequest, Fingerprint, Tracking};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of nodes that count the crashes of one request. There are several because one may have
/// just started and a datagram may be lost.
const TALLY_NODES: usize = 3;

/// Number of crashes under a request from which on they are recorded on the platform. A single crash is
/// not: most requests that share a crashing endpoint are not at fault.
const MIN_RECORDED_CRASHES: usize = 2;

/// Maximum number of requests in one datagram.
const MAX_REQUESTS_PER_DATAGRAM: usize = 40;

impl<W: Wire> Cx<W> {
    /// Returns the remaining quarantine time of a request, if it is quarantined, or a part of its
    /// prompt.
    pub(crate) fn remaining_quarantine(&self, request_cx: &RequestContext) -> Option<Duration> {
        self.quarantined(request_cx).map(|(remaining, _)| remaining)
    }

    /// Returns the remaining time and which fingerprint is quarantined: the request's or that of a part
    /// of its prompt.
    pub(crate) fn quarantined(
        &self,
        request_cx: &RequestContext,
    ) -> Option<(Duration, Fingerprint)> {
        if self.state().quarantine.is_empty() {
            return None;
        }
        let request = [request_cx.fingerprint()];
        let all = request.iter().chain(request_cx.part_fingerprints());
        let (now, state) = (self.now(), self.state());
        let remaining = |f: &Fingerprint| Some((state.quarantine.remaining(now, *f)?, *f));
        all.filter_map(remaining).max()
    }

    /// Whether endpoints crashed while running a request, but too few to quarantine it.
    fn is_suspected(&self, request_cx: &RequestContext) -> bool {
        let request = request_cx.fingerprint();
        self.state().quarantine.is_suspected(self.now(), request)
    }

    /// Resolves when the request is quarantined.
    pub(crate) async fn wait_quarantined(&self, request_cx: &RequestContext) {
        let mut changes = self.quarantine_changed.subscribe();
        while self.remaining_quarantine(request_cx).is_none() {
            // Unreachable: `self` owns the sender.
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Records that an endpoint has sent its whole response, with this head, to a request. A failure
    /// shows nothing: the endpoint may have failed before it began to run the request. Nor does a
    /// response that ended with its connection, which may have ended with the endpoint.
    pub(crate) fn record_completion(&self, request_cx: &RequestContext, head: &response::Parts) {
        if !head.status.is_success() || !has_framing(&head.headers) {
            return;
        }
        self.record_answer(request_cx);
        self.record_success(request_cx);
    }

    /// Records that a copy of a request has succeeded.
    pub(crate) fn record_success(&self, request_cx: &RequestContext) {
        let mut guard = self.state();
        let state = &mut *guard;
        if state.quarantine.is_empty() && state.unconfirmed_crashes.is_empty() {
            return;
        }
        let request = request_cx.fingerprint();
        unconfirmed::forget(self, state, request);
        let msg = Message::Completed { request: request.0 };
        let is_recorded = state.quarantine.crashed(request).len() >= MIN_RECORDED_CRASHES;
        match state.quarantine.clear(request) {
            Tracking::Unknown => {}
            Tracking::Suspected if !is_recorded => {
                gossip::send_now(self, tally_peers(self, state, request), &msg);
            }
            Tracking::Suspected | Tracking::Quarantined => {
                log::warn!(target: "quarantine", "event=released request={request} reason=\"a copy completed\"");
                let released = QuarantineState::Released;
                state.pending_records.add(self.now(), request, released);
                gossip::broadcast(self, state, &msg);
            }
        }
    }
}

/// Reports that an endpoint of a service crashed while running these requests.
fn report_crash<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    service: &str,
    endpoint: u32,
    crashed: Vec<CrashedRequest>,
) {
    let requests: Vec<_> = crashed.iter().map(|r| r.request).collect();
    parts::report_crash(cx, state, service, endpoint, crashed);
    count_crash(cx, state, endpoint, &requests);
    let mut reports: HashMap<SocketAddr, Vec<u128>> = HashMap::new();
    for request in &requests {
        for to in tally_peers(cx, state, *request) {
            reports.entry(to).or_default().push(request.0);
        }
    }
    for (to, requests) in reports {
        for chunk in requests.chunks(MAX_REQUESTS_PER_DATAGRAM) {
            let msg = Message::Crashed {
                endpoint,
                requests: chunk.to_vec(),
            };
            gossip::send_now(cx, [to].into_iter(), &msg);
        }
    }
}

/// Counts a crash for these requests, and quarantines those that reach the limit.
pub(crate) fn count_crash<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    endpoint: u32,
    requests: &[Fingerprint],
) {
    for request in requests {
        let crashes_before = state.quarantine.crashed(*request).len();
        count_crash_under(cx, state, endpoint, *request);
        let crashed = state.quarantine.crashed(*request);
        if crashed.len() > crashes_before && crashed.len() >= MIN_RECORDED_CRASHES {
            let suspected = QuarantineState::Suspected(crashed.to_vec());
            schedule_suspected(cx, state, *request, suspected);
        }
    }
}

/// Counts a crash for one request, and quarantines it if it reaches the limit.
fn count_crash_under<W: Wire>(cx: &Cx<W>, state: &mut State, endpoint: u32, request: Fingerprint) {
    let now = cx.now();
    if !state.quarantine.record_crash(now, request, endpoint) {
        return;
    }
    log::warn!(
        target: "quarantine",
        "event=quarantined request={request} reason=\"endpoints crashed while running it\" endpoint={endpoint}"
    );
    state
        .pending_records
        .add(now, request, QuarantineState::Held);
    cx.records_due.notify_one();
    gossip::broadcast(cx, state, &Message::Quarantined { request: request.0 });
    cx.notify_quarantine_change(state);
}

/// Schedules the record of the crashes under a request, if this node is one of those that count them.
fn schedule_suspected<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    request: Fingerprint,
    suspected: QuarantineState,
) {
    let now = cx.now();
    let own_addr = cx.settings.listen.nodes;
    let rank = tally_nodes(state, now, request).position(|node| node == own_addr);
    if let Some(rank) = rank {
        log::info!(target: "quarantine", "event=suspected request={request} {suspected:?} rank={rank}");
        state
            .pending_records
            .add_ranked(now, request, suspected, rank);
        cx.records_due.notify_one();
    }
}

/// Applies another node's decision to quarantine a request. The nodes that count its crashes write
/// the record if that node stops before it has done so.
pub(crate) fn apply_quarantine<W: Wire>(cx: &Cx<W>, state: &mut State, request: Fingerprint) {
    let now = cx.now();
    let own_addr = cx.settings.listen.nodes;
    let rank = tally_nodes(state, now, request).position(|node| node == own_addr);
    let is_new = state.quarantine.remaining(now, request).is_none();
    match rank.filter(|_| is_new) {
        Some(rank) => state.pending_records.add_fallback(now, request, rank),
        // This node had released the request; endpoints have crashed while running it again since.
        None if is_new => state.pending_records.remove(request),
        None => {}
    }
    apply_state(cx, state, request, true);
}

/// Applies a quarantine record read from the platform.
pub(crate) fn apply_record<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    request: Fingerprint,
    recorded: &QuarantineState,
) {
    let now = cx.now();
    if !state.pending_records.handle_record(now, request, recorded) {
        log::info!(
            target: "quarantine",
            "event=late_record request={request} state={recorded:?} reason=\"a copy completed since\""
        );
        return;
    }
    match recorded {
        QuarantineState::Held => apply_state(cx, state, request, true),
        QuarantineState::Released => apply_state(cx, state, request, false),
        QuarantineState::Suspected(_) if state.quarantine.remaining(now, request).is_some() => {
            // It was written late, over the record of the quarantine.
            schedule_rewrite(state, now, request);
        }
        QuarantineState::Suspected(crashed) => {
            for endpoint in crashed {
                count_crash_under(cx, state, *endpoint, request);
            }
        }
    }
}

/// Applies another node's release of a request, a copy of which completed.
pub(crate) fn apply_release<W: Wire>(cx: &Cx<W>, state: &mut State, request: Fingerprint) {
    // A decision written after the release would quarantine the request again.
    state.pending_records.remove(request);
    state.unconfirmed_crashes.forget(request);
    apply_state(cx, state, request, false);
}

/// Applies whether a request is quarantined, as reported by another node or a record.
pub(crate) fn apply_state<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    request: Fingerprint,
    is_quarantined: bool,
) {
    let now = cx.now();
    let is_new = match is_quarantined {
        true => state.quarantine.quarantine(now, request),
        false => state.quarantine.clear(request) != Tracking::Unknown,
    };
    state.parts.set_quarantined(request, is_quarantined);
    if is_new {
        log::info!(target: "quarantine", "event=learned request={request} held={is_quarantined}");
        cx.notify_quarantine_change(state);
    }
}

/// Schedules writes of all quarantined requests, since their records may be lost. A record that
/// still exists cancels its write when it is read.
pub(crate) fn schedule_rewrites(state: &mut State, now: Duration) {
    let quarantined: Vec<_> = state.quarantine.quarantined(now).collect();
    for request in quarantined {
        schedule_rewrite(state, now, request);
    }
}

fn schedule_rewrite(state: &mut State, now: Duration, request: Fingerprint) {
    let rank = rand::random_range(0..TALLY_NODES);
    state.pending_records.add_fallback(now, request, rank);
}

/// Returns the commands that record this node's decisions and are due.
pub(crate) fn due_commands<W: Wire>(cx: &Cx<W>, state: &mut State, now: Duration) -> Vec<Command> {
    settle(cx, state, now);
    parts::decide_all(cx, state);
    state.quarantine.expire(now);
    let due = state.pending_records.due_writes(now).into_iter();
    due.map(|(request, state)| Command::RecordQuarantine { request, state })
        .collect()
}

/// Returns the nodes that count the crashes of a request, most preferred first; may include this
/// node.
fn tally_nodes(
    state: &State,
    now: Duration,
    request: Fingerprint,
) -> impl Iterator<Item = SocketAddr> + use<> {
    let first = first_by_hash(state.nodes.iter(now), request.0, TALLY_NODES);
    let addrs: Vec<_> = first.into_iter().map(|node| node.nodes).collect();
    addrs.into_iter()
}

/// Returns the nodes that count the crashes of a request, without this node.
fn tally_peers<W: Wire>(
    cx: &Cx<W>,
    state: &State,
    request: Fingerprint,
) -> impl Iterator<Item = SocketAddr> + use<W> {
    let own_addr = cx.settings.listen.nodes;
    tally_nodes(state, cx.now(), request).filter(move |to| *to != own_addr)
}

//! Quarantine of parts of prompts that crash the endpoints that answer requests with them.
//!
//! Each node reports the parts of the requests whose endpoints crashed to a few nodes, selected by the
//! service, which see all crashes of the service and so what they have in common. These ask all nodes
//! for answers to requests with the parts that they suspect.

use crate::cx::Cx;
use crate::gossip::{self, Message};
use crate::nodes::first_by_hash;
use crate::request_context::RequestContext;
use crate::state::State;
use crate::update::QuarantineState;
use crate::wire::Wire;
use oatdale_policy::relay::{CrashedRequest, Fingerprint, PartAnswers, PartCrashes, Tracking};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of nodes that see all crashes of a service.
const TALLY_NODES: usize = 3;

/// Maximum number of fingerprints in a datagram about a crash, and of parts in others.
const MAX_FINGERPRINTS_PER_DATAGRAM: usize = 54;
const MAX_PARTS_PER_DATAGRAM: usize = 24;

/// How long nodes report answers to requests with a suspected part.
const SUSPECT_TIME: Duration = Duration::from_secs(60);

/// Interval in which all nodes together send a datagram with answers to requests with suspected parts, and
/// the minimum for each of them.
const ANSWER_INTERVAL: Duration = Duration::from_millis(1);
const MIN_ANSWER_INTERVAL: Duration = Duration::from_millis(200);

/// What a node knows of the parts of prompts.
#[derive(Debug, Default)]
pub(crate) struct Parts {
    /// Crashes by service, if this node sees all of them.
    crashes: HashMap<String, PartCrashes>,
    /// Parts that this node has told the others to suspect, and when.
    announced: HashMap<Fingerprint, Duration>,
    /// Answers that this node has seen.
    answers: PartAnswers,
    /// Parts whose answers are to be reported: until when, and when the last was.
    suspected: HashMap<Fingerprint, (Duration, Duration)>,
}

impl Parts {
    /// Records whether a part is quarantined.
    pub(super) fn set_quarantined(&mut self, part: Fingerprint, is_quarantined: bool) {
        for crashes in self.crashes.values_mut().filter(|c| !c.is_empty()) {
            crashes.set_quarantined(part, is_quarantined);
        }
    }

    /// Returns the interval in which each of so many nodes reports answers.
    fn answer_interval(&self, nodes: u32) -> Duration {
        let datagrams = self.suspected.len().div_ceil(MAX_PARTS_PER_DATAGRAM).max(1);
        let datagrams = u32::try_from(datagrams).unwrap_or(u32::MAX);
        let interval = ANSWER_INTERVAL.saturating_mul(nodes.saturating_mul(datagrams));
        interval.max(MIN_ANSWER_INTERVAL)
    }

    /// Records an answer to a request with these parts, and returns those to report.
    fn record_answer(
        &mut self,
        now: Duration,
        interval: Duration,
        parts: &[Fingerprint],
    ) -> Vec<Fingerprint> {
        let mut due = Vec::new();
        for part in parts {
            self.answers.record(now, *part);
            let Some((until, reported_at)) = self.suspected.get_mut(part) else {
                continue;
            };
            if now < *until && now >= *reported_at + interval {
                *reported_at = now;
                due.push(*part);
            }
        }
        due
    }
}

impl<W: Wire> Cx<W> {
    /// Records that an endpoint answers a request, so that none of the parts of its prompt crashes
    /// endpoints.
    pub(crate) fn record_answer(&self, request_cx: &RequestContext) {
        let parts = request_cx.part_fingerprints();
        if parts.is_empty() {
            return;
        }
        let now = self.now();
        let mut guard = self.state();
        let state = &mut *guard;
        let nodes = u32::try_from(state.nodes.iter(now).count()).unwrap_or(u32::MAX);
        let interval = state.parts.answer_interval(nodes);
        let due = state.parts.record_answer(now, interval, parts);
        if !due.is_empty() {
            let answers: Vec<_> = due.into_iter().map(|part| (part, Duration::ZERO)).collect();
            report_answers(self, state, &request_cx.service, &answers);
        }
        for part in parts {
            if state.quarantine.is_empty() || state.quarantine.clear(*part) != Tracking::Quarantined
            {
                continue;
            }
            log::warn!(target: "quarantine", "event=released part={part} reason=\"a request with it was answered\"");
            state
                .pending_records
                .add(now, *part, QuarantineState::Released);
            state.parts.set_quarantined(*part, false);
            gossip::broadcast(self, state, &Message::Completed { request: part.0 });
            self.notify_quarantine_change(state);
        }
    }
}

/// Reports that an endpoint crashed while it held these requests.
pub(super) fn report_crash<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    service: &str,
    endpoint: u32,
    requests: Vec<CrashedRequest>,
) {
    let requests: Vec<_> = requests
        .into_iter()
        .filter(|r| !r.parts.is_empty())
        .collect();
    if requests.is_empty() {
        return;
    }
    let own = cx.settings.listen.nodes;
    let now = cx.now();
    let tally = tally_nodes(state, now, service);
    for datagram in split_into_datagrams(&requests) {
        let first_position = datagram.first().map_or(0, |request| request.first_position);
        let to_numbers = |r: &CrashedRequest| {
            let parts = r.parts.iter().map(|part| part.0).collect();
            (r.request.0, parts)
        };
        let message = Message::PartsCrashed {
            service: service.to_owned(),
            endpoint,
            requests: datagram.iter().map(to_numbers).collect(),
            first_position,
        };
        let others = tally.iter().copied().filter(|to| *to != own);
        gossip::send_now(cx, others, &message);
    }
    if tally.contains(&own) {
        record_parts(state, now, service, endpoint, requests);
    }
}

/// Groups requests so that each group fits into a datagram. One with more parts is divided, and its pieces
/// are groups of their own.
fn split_into_datagrams(requests: &[CrashedRequest]) -> Vec<Vec<CrashedRequest>> {
    let mut datagrams: Vec<Vec<CrashedRequest>> = Vec::new();
    let mut free = 0;
    for request in requests {
        let count = 1 + request.parts.len();
        if count <= MAX_FINGERPRINTS_PER_DATAGRAM {
            match datagrams.last_mut() {
                Some(last) if count <= free => last.push(request.clone()),
                _ => {
                    datagrams.push(vec![request.clone()]);
                    free = MAX_FINGERPRINTS_PER_DATAGRAM;
                }
            }
            free -= count;
            continue;
        }
        let pieces = request.parts.chunks(MAX_FINGERPRINTS_PER_DATAGRAM - 1);
        let mut first_position = request.first_position;
        for piece in pieces {
            datagrams.push(vec![CrashedRequest {
                request: request.request,
                parts: piece.into(),
                first_position,
            }]);
            first_position += piece.len();
        }
        free = 0;
    }
    datagrams
}

/// Records the parts of requests that an endpoint held when it crashed, as this node or another one reports
/// them.
pub(crate) fn record_parts(
    state: &mut State,
    now: Duration,
    service: &str,
    endpoint: u32,
    requests: impl IntoIterator<Item = CrashedRequest>,
) {
    let crashes = state.parts.crashes.entry(service.to_owned()).or_default();
    crashes.record_crash(now, endpoint, requests);
}

/// Asks all nodes for answers to requests with the parts that are suspected newly, but for those to which
/// this node has seen answers itself.
fn announce_suspected<W: Wire>(cx: &Cx<W>, state: &mut State, service: &str) {
    let now = cx.now();
    let parts = &mut state.parts;
    let Some(crashes) = parts.crashes.get_mut(service) else {
        return;
    };
    for part in crashes.suspected(now) {
        if let Some(at) = parts.answers.last(now, part) {
            crashes.record_answer(at, part);
        }
    }
    let suspected = crashes.suspected(now);
    let announced = &mut parts.announced;
    announced.retain(|_, at| now < *at + SUSPECT_TIME / 2);
    let is_new = |part: &Fingerprint| announced.insert(*part, now).is_none();
    let new: Vec<_> = suspected.into_iter().filter(is_new).collect();
    for chunk in new.chunks(MAX_PARTS_PER_DATAGRAM) {
        let message = Message::PartsSuspected {
            service: service.to_owned(),
            parts: chunk.iter().map(|part| part.0).collect(),
        };
        gossip::broadcast(cx, state, &message);
    }
    suspect(cx, state, service, &new);
}

/// Applies another node's suspicion of parts.
pub(crate) fn handle_suspected<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    service: &str,
    parts: Vec<u128>,
) {
    let parts: Vec<_> = parts.into_iter().map(Fingerprint).collect();
    suspect(cx, state, service, &parts);
}

/// Reports answers to requests with these parts from now on, and when the last one was.
fn suspect<W: Wire>(cx: &Cx<W>, state: &mut State, service: &str, parts: &[Fingerprint]) {
    let now = cx.now();
    let nodes = u32::try_from(state.nodes.iter(now).count()).unwrap_or(u32::MAX);
    let known = &mut state.parts;
    known.suspected.retain(|_, (until, _)| now < *until);
    let interval = known.answer_interval(nodes);
    let mut answers = Vec::new();
    for part in parts {
        let last = known.answers.last(now, *part);
        answers.extend(last.map(|at| (*part, now.saturating_sub(at))));
        // The nodes that report their last answers now do not report the next ones together too.
        let reported_at = match last {
            Some(_) => now.saturating_sub(interval.mul_f64(rand::random())),
            None => Duration::ZERO,
        };
        let suspected = known.suspected.entry(*part);
        suspected.or_insert((now, reported_at)).0 = now + SUSPECT_TIME;
    }
    report_answers(cx, state, service, &answers);
}

/// Reports answers to requests with parts, and how long ago they were.
fn report_answers<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    service: &str,
    answers: &[(Fingerprint, Duration)],
) {
    let now = cx.now();
    let own = cx.settings.listen.nodes;
    let tally = tally_nodes(state, now, service);
    for chunk in answers.chunks(MAX_PARTS_PER_DATAGRAM) {
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let message = Message::PartsAnswered {
            service: service.to_owned(),
            parts: chunk.iter().map(|(p, age)| (p.0, millis(*age))).collect(),
        };
        let others = tally.iter().copied().filter(|to| *to != own);
        gossip::send_now(cx, others, &message);
    }
    if tally.contains(&own) {
        record_answers(state, now, service, answers);
    }
}

/// Applies another node's report of answers.
pub(crate) fn handle_answers(
    state: &mut State,
    now: Duration,
    service: &str,
    parts: Vec<(u128, u32)>,
) {
    let ms = |ms: u32| Duration::from_millis(ms.into());
    let answers = parts.into_iter().map(|(p, age)| (Fingerprint(p), ms(age)));
    record_answers(state, now, service, &answers.collect::<Vec<_>>());
}

fn record_answers(
    state: &mut State,
    now: Duration,
    service: &str,
    answers: &[(Fingerprint, Duration)],
) {
    if let Some(crashes) = state.parts.crashes.get_mut(service) {
        for (part, age) in answers {
            crashes.record_answer(now.saturating_sub(*age), *part);
        }
    }
}

/// Evaluates the crashes of all services, and quarantines the parts that are found to be at fault.
pub(super) fn decide_all<W: Wire>(cx: &Cx<W>, state: &mut State) {
    let services = state.parts.crashes.iter();
    let services = services.filter(|(_, crashes)| !crashes.is_empty());
    let services: Vec<_> = services.map(|(service, _)| service.clone()).collect();
    for service in services {
        announce_suspected(cx, state, &service);
        decide(cx, state, &service);
    }
}

fn decide<W: Wire>(cx: &Cx<W>, state: &mut State, service: &str) {
    let now = cx.now();
    while let Some(crashes) = state.parts.crashes.get_mut(service)
        && let Some(part) = crashes.decide(now)
    {
        if !state.quarantine.quarantine(now, part) {
            continue;
        }
        log::warn!(
            target: "quarantine",
            "event=quarantined part={part} service={service} reason=\"endpoints crashed while requests with it were there, and none was answered\""
        );
        state.pending_records.add(now, part, QuarantineState::Held);
        gossip::broadcast(cx, state, &Message::Quarantined { request: part.0 });
        cx.notify_quarantine_change(state);
    }
}

/// Returns the nodes that see all crashes of a service, this node possibly among them.
fn tally_nodes(state: &State, now: Duration, service: &str) -> Vec<SocketAddr> {
    let first = first_by_hash(state.nodes.iter(now), ("parts", service), TALLY_NODES);
    first.into_iter().map(|node| node.nodes).collect()
}

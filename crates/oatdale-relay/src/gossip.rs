//! Datagrams between nodes: request counts of rollouts under way, announcements of leaving nodes
//! and endpoints, long prompts, loads and crashes.
//!
//! A lost datagram is made up for by the next one: each report carries the sender's counts
//! since the rollout was ordered, and a leaving node announces this several times.

use crate::crashes;
use crate::cx::Cx;
use crate::in_flight::InFlightRequest;
use crate::loads::{
    AGGREGATORS_PER_GROUP, AggregationScheme, GroupReport, GroupSums, Load, MAX_LOADS_PER_DATAGRAM,
};
use crate::nodes::first_by_hash;
use crate::permits::{self, HeldStatement, LimitStatement, PermitAnswer, PermitAsk};
use crate::roll_outs::{COORDINATORS, OldSessions, Report};
use crate::speeds::{self, EndpointSpeed};
use crate::state::State;
use crate::wire::Wire;
use oatdale_policy::relay::{
    CrashedRequest, Fingerprint, READ_TIME_PER_WEIGHT, is_prompt_announced,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval between reports while a rollout is under way: all nodes notice a bad version within
/// it, and a site of ten nodes sends about two hundred datagrams a second.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Longest datagram, in bytes, that passes every network unfragmented.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Number of announcements sent by a leaving node, and the interval between them.
const LEAVE_ANNOUNCEMENTS: usize = 3;
const LEAVE_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum weight of a request that is announced: a prompt of this length blocks its engine for
/// half a second, and other nodes would send their requests there meanwhile.
const LONG_PROMPT_WEIGHT: f64 = 3.0;

/// Maximum weight counted for one prompt.
const MAX_PROMPT_WEIGHT: f64 = 50.0;

/// Message of one datagram.
#[derive(Serialize, Deserialize)]
pub(crate) enum Message {
    Report(Report),
    /// The sender's sessions on old versions.
    OnOld(OldSessions),
    /// The node with this host name is stopping.
    Leaving(String),
    /// The endpoint with this id, started at `born`, announced that it is leaving.
    EndpointLeaves {
        id: String,
        born: Option<u64>,
    },
    /// The record of the endpoint with this id, started at `born`, is gone.
    EndpointGone {
        id: String,
        born: Option<u64>,
    },
    /// The endpoint with this id, started at `born`, is cold for `left_ms`; without a time, it was
    /// unreachable and may become cold.
    EndpointCold {
        id: String,
        born: Option<u64>,
        left_ms: Option<u32>,
    },
    /// A long prompt was sent to an endpoint.
    Heavy {
        /// Id of the endpoint.
        endpoint: String,
        weight: f64,
    },
    /// The sender's loads, for the aggregators.
    Loads(Vec<Load>),
    /// An endpoint crashed while it ran these requests.
    Crashed {
        /// Number of the endpoint.
        endpoint: u32,
        requests: Vec<u128>,
    },
    /// The connections of these requests to the endpoint with this id, started at `born`, broke, and it is
    /// not known whether it has crashed.
    MaybeCrashed {
        id: String,
        born: Option<u64>,
        /// Whether its address accepts connections.
        accepts: bool,
        requests: Vec<u128>,
    },
    /// The endpoint with this id, started at `born`, has ended without an announcement.
    EndpointEnded {
        id: String,
        born: Option<u64>,
        /// Whether it has started again, or another endpoint has its address.
        is_replaced: bool,
    },
    /// An endpoint of a service crashed while it held these requests, with the shared parts of their
    /// prompts.
    PartsCrashed {
        service: String,
        /// Number of the endpoint.
        endpoint: u32,
        requests: Vec<(u128, Vec<u128>)>,
        /// Position in its prompt of the first of these parts, if one datagram does not hold all parts of a
        /// request; it is the only one then.
        #[serde(default)]
        first_position: usize,
    },
    /// Endpoints crashed while they held requests with these parts in their prompts.
    PartsSuspected {
        service: String,
        parts: Vec<u128>,
    },
    /// Requests with these parts in their prompts were answered, so many milliseconds ago.
    PartsAnswered {
        service: String,
        parts: Vec<(u128, u32)>,
    },
    /// A request, or a part of prompts, crashes endpoints and must be refused.
    Quarantined {
        request: u128,
    },
    /// A request during which endpoints had crashed has completed.
    Completed {
        request: u128,
    },
    /// An endpoint's limit on its requests.
    Limit {
        statement: LimitStatement,
        /// Whether all nodes get it.
        is_announcement: bool,
    },
    /// Asks for a permit to send a request to a limited endpoint.
    PermitAsk(PermitAsk),
    /// Answers the request for a permit with this number.
    PermitAnswer {
        number: u32,
        answer: PermitAnswer,
    },
    /// The sender holds itself for the first issuer of permits for the endpoint with this id, started
    /// at `born`.
    PermitClaim {
        id: String,
        born: Option<u64>,
    },
    /// The sender's requests at endpoints that must not reject many.
    Held(Vec<HeldStatement>),
    /// The endpoints of a service fail if they reject more than so many requests in a second.
    BrittleService {
        service: String,
        max_rejections: u32,
    },
    /// Sums of the loads of `nodes` nodes at endpoints.
    Sums {
        nodes: usize,
        loads: Vec<Load>,
    },
    /// Estimates of the speeds of endpoints.
    Speeds(Vec<EndpointSpeed>),
}

impl Message {
    /// Name under which a sent datagram is counted.
    fn sent_kind(&self) -> &'static str {
        match self {
            Message::Report(_) | Message::OnOld(_) => "sent_roll_out",
            Message::Leaving(_) => "sent_leaving",
            Message::EndpointLeaves { .. }
            | Message::EndpointGone { .. }
            | Message::EndpointCold { .. } => "sent_endpoint",
            Message::Heavy { .. } => "sent_long_prompt",
            Message::Loads(_) => "sent_loads",
            Message::Crashed { .. }
            | Message::MaybeCrashed { .. }
            | Message::EndpointEnded { .. }
            | Message::PartsCrashed { .. }
            | Message::PartsSuspected { .. }
            | Message::PartsAnswered { .. }
            | Message::Quarantined { .. }
            | Message::Completed { .. } => "sent_crash",
            Message::Limit { .. } | Message::BrittleService { .. } => "sent_limit",
            Message::PermitAsk(_)
            | Message::PermitAnswer { .. }
            | Message::PermitClaim { .. }
            | Message::Held(_) => "sent_permit",
            Message::Sums { .. } => "sent_sums",
            Message::Speeds(_) => "sent_speeds",
        }
    }
}

/// Receives the datagrams of other nodes.
pub(crate) async fn listen<W: Wire>(cx: Arc<Cx<W>>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match cx.socket.recv_from(&mut buf).await {
            Ok((len, from)) => {
                cx.metrics.traffic.count("received", len);
                handle_datagram(&cx, &buf[..len], from);
            }
            Err(err) => {
                log::debug!(target: "gossip", "event=receive_failed err={err}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

fn handle_datagram<W: Wire>(cx: &Arc<Cx<W>>, datagram: &[u8], from: SocketAddr) {
    let now = cx.now();
    match ciborium::from_reader(datagram) {
        Ok(Message::Report(report)) => cx.state().roll_outs.merge_report(now, &report),
        Ok(Message::OnOld(sessions)) => cx.state().roll_outs.merge_old_sessions(now, &sessions),
        Ok(Message::Leaving(host)) => {
            let mut state = cx.state();
            let until = now + state.bounds.stop_time();
            if state.nodes.mark_node_leaving(now, until, &host) {
                log::info!(target: "gossip", "event=node_leaves host={host}");
            }
        }
        Ok(Message::EndpointLeaves { id, born }) => {
            if cx.state().directory.mark_leaving(&id, born) {
                log::info!(target: "gossip", "event=endpoint_leaves id={id} born={born:?} from={from}");
            }
        }
        Ok(Message::EndpointGone { id, born }) => {
            if cx.state().directory.remove_incarnation(now, &id, born) {
                log::info!(target: "gossip", "event=endpoint_gone id={id} born={born:?} from={from}");
            }
        }
        Ok(Message::EndpointCold { id, born, left_ms }) => apply_from_known(cx, from, |state| {
            let entry = state.directory.by_id_mut(&id);
            let Some(entry) = entry.filter(|e| e.endpoint.born <= born) else {
                return;
            };
            log::info!(target: "gossip", "event=endpoint_cold id={id} left_ms={left_ms:?} from={from}");
            match left_ms {
                Some(ms) => entry.extend_cold(now, Duration::from_millis(ms.into())),
                None => {
                    entry.mark_unreachable(now);
                }
            }
        }),
        Ok(Message::Heavy { endpoint, weight }) => {
            let mut state = cx.state();
            if let Some(entry) = state.directory.by_id_mut(&endpoint) {
                let weight = weight.clamp(0.0, MAX_PROMPT_WEIGHT);
                entry.add_remote_prompt(now, READ_TIME_PER_WEIGHT.mul_f64(weight), weight);
            }
        }
        Ok(Message::Loads(loads)) => apply_from_known(cx, from, |state| {
            state.load_aggregator.record_report(now, from, &loads);
        }),
        Ok(Message::Crashed { endpoint, requests }) => apply_from_known(cx, from, |state| {
            let requests: Vec<_> = requests.into_iter().map(Fingerprint).collect();
            crashes::count_crash(cx, state, endpoint, &requests);
        }),
        Ok(Message::MaybeCrashed {
            id,
            born,
            accepts,
            requests,
        }) => apply_from_known(cx, from, |state| {
            crashes::handle_possible_crash(cx, state, from, (id, born), requests, accepts);
        }),
        Ok(Message::EndpointEnded {
            id,
            born,
            is_replaced,
        }) => apply_from_known(cx, from, |state| {
            crashes::handle_endpoint_end(cx, state, &id, born, is_replaced);
        }),
        Ok(Message::PartsCrashed {
            service,
            endpoint,
            requests,
            first_position,
        }) => apply_from_known(cx, from, |state| {
            let requests = requests.into_iter();
            let requests = requests.map(|(request, parts)| CrashedRequest {
                request: Fingerprint(request),
                parts: parts.into_iter().map(Fingerprint).collect(),
                first_position,
            });
            crashes::record_parts(state, now, &service, endpoint, requests);
        }),
        Ok(Message::PartsSuspected { service, parts }) => apply_from_known(cx, from, |state| {
            crashes::handle_suspected(cx, state, &service, parts);
        }),
        Ok(Message::PartsAnswered { service, parts }) => apply_from_known(cx, from, |state| {
            crashes::handle_answers(state, now, &service, parts);
        }),
        Ok(Message::Quarantined { request }) => apply_from_known(cx, from, |state| {
            crashes::apply_quarantine(cx, state, Fingerprint(request));
        }),
        Ok(Message::Completed { request }) => apply_from_known(cx, from, |state| {
            crashes::apply_release(cx, state, Fingerprint(request));
        }),
        Ok(Message::Limit {
            statement,
            is_announcement,
        }) => apply_from_known(cx, from, |state| {
            permits::handle_statement(cx, state, from, &statement, is_announcement);
        }),
        Ok(Message::PermitAsk(ask)) => apply_from_known(cx, from, |state| {
            permits::handle_ask(cx, state, from, &ask);
        }),
        Ok(Message::PermitAnswer { number, answer }) => {
            cx.state().pending_asks.handle_answer(from, number, answer);
        }
        Ok(Message::PermitClaim { id, born }) => apply_from_known(cx, from, |state| {
            permits::handle_claim(state, now, from, &id, born);
        }),
        Ok(Message::Held(statements)) => apply_from_known(cx, from, |state| {
            permits::handle_reports(state, now, from, &statements);
        }),
        Ok(Message::BrittleService {
            service,
            max_rejections,
        }) => apply_from_known(cx, from, |state| {
            permits::handle_brittle_service(cx, state, from, &service, max_rejections);
        }),
        Ok(Message::Sums { nodes, loads }) => apply_from_known(cx, from, |state| {
            // No sum covers more nodes than are known; a sender that claims more would block the
            // sums of others.
            let known = state.nodes.iter(now).count();
            state.load_sums.record_sums(now, nodes.min(known), &loads);
        }),
        Ok(Message::Speeds(estimates)) => apply_from_known(cx, from, |state| {
            speeds::handle_speeds(cx, state, from, &estimates);
        }),
        Err(err) => log::warn!(target: "gossip", "event=bad_datagram from={from} err={err}"),
    }
}

/// Applies a message that affects placement, if its sender is a known node.
fn apply_from_known<W: Wire>(cx: &Cx<W>, from: SocketAddr, apply: impl FnOnce(&mut State)) {
    let now = cx.now();
    let mut state = cx.state();
    let is_known = state.nodes.iter(now).any(|n| n.nodes == from);
    match is_known {
        true => apply(&mut state),
        false => log::debug!(target: "gossip", "event=unknown_sender from={from}"),
    }
}

/// Reports the rollouts under way to other nodes.
///
/// All nodes report to the first ones by name, the coordinators; these report to all, so that the
/// number of datagrams grows with the number of nodes and not with its square. Sessions on old
/// versions are reported to all by the node that has them: with more nodes than coordinators, the
/// others would not learn of them otherwise.
pub(crate) async fn report_roll_outs<W: Wire>(cx: &Cx<W>) {
    for (datagram, to) in roll_out_datagrams(cx) {
        match cx.socket.send_to(&datagram, to).await {
            Ok(_) => cx.metrics.traffic.count("sent_roll_out", datagram.len()),
            Err(err) => log::debug!(target: "gossip", "event=send_failed to={to} err={err}"),
        }
    }
}

/// Announces a request with a long prompt to the other nodes.
///
/// Engines report their load late, and each node knows only its own requests: two long prompts at
/// one engine delay every request there. All nodes are notified, since the others would send their
/// requests there too, unless the site is so large that they hardly ever would.
pub(crate) fn announce_long_prompt<W: Wire>(cx: &Cx<W>, in_flight: &InFlightRequest<W>) {
    if in_flight.weight < LONG_PROMPT_WEIGHT {
        return;
    }
    let now = cx.now();
    let mut state = cx.state();
    let Some(entry) = state.directory.get(in_flight.key) else {
        return;
    };
    let service = entry.endpoint.service.clone();
    let endpoints = state.directory.len_of_service(&service);
    let limit = state.retry_limit(now);
    let limiter = state.retry_limiter(&service);
    let requests_per_second = limiter.requests_per_second(now, &limit);
    let read_time = READ_TIME_PER_WEIGHT.mul_f64(in_flight.weight.min(MAX_PROMPT_WEIGHT));
    if !is_prompt_announced(requests_per_second, read_time, endpoints) {
        return;
    }
    let message = Message::Heavy {
        endpoint: in_flight.id.clone(),
        weight: in_flight.weight,
    };
    broadcast(cx, &state, &message);
}

/// Notifies all other nodes at once of an event that they would learn of later or not at all: an
/// endpoint that gets no new work, a long prompt at one, a session whose version must be kept.
///
/// Each node reads the records only about once a second, since every call has a cost; together the
/// nodes read many times a second, so one of them learns of an event early. A lost datagram is made
/// up for by the node's own next read.
pub(crate) fn broadcast<W: Wire>(cx: &Cx<W>, state: &State, message: &Message) {
    send_now(cx, other_nodes(cx, state), message);
}

/// Periodically sends this node's loads to the aggregators and, if it is an aggregator itself, the
/// sums to the nodes that reported.
pub(crate) async fn run_load_exchange<W: Wire>(cx: Arc<Cx<W>>) {
    loop {
        tokio::time::sleep(AggregationScheme::INTERVAL).await;
        let mut state = cx.state();
        send_own_loads(&cx, &mut state);
        send_load_sums(&cx, &mut state);
    }
}

/// Sends the loads of each group of endpoints to the group's aggregators.
fn send_own_loads<W: Wire>(cx: &Cx<W>, state: &mut State) {
    let now = cx.now();
    let nodes = state.nodes.iter(now).count();
    let scheme = AggregationScheme::new(nodes, state.directory.len());
    state.load_sums.set_scheme(scheme);
    state.load_aggregator.set_scheme(scheme);
    for GroupReport { group, loads } in state.load_sums.own_reports(state.directory.loads()) {
        for to in aggregators(cx, state, group) {
            match to == cx.settings.listen.nodes {
                true => state.load_aggregator.record_report(now, to, &loads),
                false => send_loads(cx, [to].into_iter(), &loads, Message::Loads),
            }
        }
    }
}

fn send_load_sums<W: Wire>(cx: &Cx<W>, state: &mut State) {
    let now = cx.now();
    for sums in state.load_aggregator.sum(now) {
        let GroupSums {
            nodes,
            loads,
            reporters,
        } = sums;
        state.load_sums.record_sums(now, nodes, &loads);
        let reporters = reporters.into_iter();
        let reporters = reporters.filter(|to| *to != cx.settings.listen.nodes);
        let to_message = |loads| Message::Sums { nodes, loads };
        send_loads(cx, reporters, &loads, to_message);
    }
}

/// Returns the aggregators of a group: the first nodes by a hash that is the same on every node.
fn aggregators<W: Wire>(cx: &Cx<W>, state: &State, group: u32) -> Vec<SocketAddr> {
    let nodes = state.nodes.iter(cx.now());
    let first = first_by_hash(nodes, group, AGGREGATORS_PER_GROUP);
    first.into_iter().map(|node| node.nodes).collect()
}

fn send_loads<W: Wire>(
    cx: &Cx<W>,
    to: impl Iterator<Item = SocketAddr>,
    loads: &[Load],
    message: impl Fn(Vec<Load>) -> Message,
) {
    let to: Vec<_> = to.collect();
    // Sent without any load too: aggregators send sums only to nodes that report.
    let batches = loads
        .chunks(MAX_LOADS_PER_DATAGRAM)
        .chain(loads.is_empty().then_some(loads));
    for batch in batches {
        send_now(cx, to.iter().copied(), &message(batch.to_vec()));
    }
}

/// Sends a datagram without waiting; it is lost if the socket is not ready.
pub(crate) fn send_now<W: Wire>(
    cx: &Cx<W>,
    to: impl Iterator<Item = SocketAddr>,
    message: &Message,
) {
    let Some(datagram) = encode(message) else {
        return;
    };
    for to in to {
        match cx.socket.try_send_to(&datagram, to) {
            Ok(_) => cx
                .metrics
                .traffic
                .count(message.sent_kind(), datagram.len()),
            Err(err) => log::debug!(target: "gossip", "event=send_failed to={to} err={err}"),
        }
    }
}

/// Announces to all other nodes that this one is stopping.
pub(crate) async fn announce_leaving<W: Wire>(cx: &Cx<W>) {
    let others: Vec<_> = other_nodes(cx, &cx.state()).collect();
    let message = Message::Leaving(cx.settings.host.clone());
    let Some(datagram) = encode(&message) else {
        return;
    };
    for _ in 0..LEAVE_ANNOUNCEMENTS {
        for to in &others {
            match cx.socket.send_to(&datagram, to).await {
                Ok(_) => cx
                    .metrics
                    .traffic
                    .count(message.sent_kind(), datagram.len()),
                Err(err) => log::debug!(target: "gossip", "event=send_failed to={to} err={err}"),
            }
        }
        tokio::time::sleep(LEAVE_ANNOUNCEMENT_INTERVAL).await;
    }
}

/// Returns the datagram addresses of the other nodes.
pub(crate) fn other_nodes<'a, W: Wire>(
    cx: &'a Cx<W>,
    state: &'a State,
) -> impl Iterator<Item = SocketAddr> + 'a {
    let others = state.nodes.iter(cx.now());
    let others = others.filter(|n| n.host != cx.settings.host);
    others.map(|n| n.nodes)
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    let mut datagram = Vec::new();
    match ciborium::into_writer(message, &mut datagram) {
        Ok(()) if datagram.len() > MAX_DATAGRAM_BYTES => {
            log::warn!(
                target: "gossip",
                "event=datagram_too_long bytes={} max_bytes={MAX_DATAGRAM_BYTES}",
                datagram.len()
            );
            None
        }
        Ok(()) => Some(datagram),
        Err(err) => {
            log::warn!(target: "gossip", "event=encode_failed err={err}");
            None
        }
    }
}

fn roll_out_datagrams<W: Wire>(cx: &Cx<W>) -> Vec<(Vec<u8>, SocketAddr)> {
    let now = cx.now();
    let mut state = cx.state();
    let host = &cx.settings.host;
    let old_sessions = state.roll_outs.old_session_messages(now);
    let reports = state.roll_outs.reports(now, host, |service, target| {
        state.directory.has_other_work(service, target)
    });
    let mut nodes: Vec<_> = state.nodes.iter(now).collect();
    nodes.sort_by(|a, b| a.host.cmp(&b.host));
    let is_coordinator = nodes.iter().take(COORDINATORS).any(|n| n.host == *host);
    // A node that has announced its leaving still serves requests.
    for (_, node) in state.nodes.recently_removed(now) {
        if nodes.iter().all(|known| known.host != node.host) {
            nodes.push(node);
        }
    }
    let recipient_count = if is_coordinator {
        nodes.len()
    } else {
        COORDINATORS
    };
    let others = |limit: usize| {
        let first = nodes.iter().take(limit);
        first.filter(|n| n.host != *host).map(|n| n.nodes)
    };
    let mut datagrams = Vec::new();
    for datagram in reports
        .into_iter()
        .filter_map(|r| encode(&Message::Report(r)))
    {
        datagrams.extend(others(recipient_count).map(|to| (datagram.clone(), to)));
    }
    for datagram in old_sessions
        .into_iter()
        .filter_map(|o| encode(&Message::OnOld(o)))
    {
        datagrams.extend(others(usize::MAX).map(|to| (datagram.clone(), to)));
    }
    datagrams
}

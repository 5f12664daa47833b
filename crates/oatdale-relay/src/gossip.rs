//! Datagrams by which nodes add up what they saw of a roll-out, say that they leave, and tell of
//! long prompts that they send.
//!
//! A lost datagram is made up for by the next one: each has the sender's counts since the order, and
//! a leaving node says so several times.

use crate::crashes;
use crate::cx::Cx;
use crate::loads::{ADDERS, Load, MOST_LOADS, Scheme};
use crate::roll_outs::{JUDGES, OnOld, Report};
use crate::running::Running;
use crate::state::{State, hash};
use crate::wire::Wire;
use oatdale_policy::relay::Fingerprint;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between two reports while a roll-out is under way: a bad version is noticed by all within
/// it, and a site of ten nodes sends some two hundred datagrams a second.
pub(crate) const REPORT_EVERY: Duration = Duration::from_millis(400);

/// The longest datagram that passes every network whole.
const MAX_DATAGRAM: usize = 1_200;

/// How often a leaving node says so, and the pause between.
const SAID: usize = 3;
const SAID_EVERY: Duration = Duration::from_millis(100);

/// Requests from this weight on are told of: a prompt of this length holds up all others at its
/// engine for half a second, and other nodes would send theirs there meanwhile.
const HEAVY: f64 = 3.0;

/// The most that one prompt counts.
const MOST_WEIGHT: f64 = 50.0;

/// Time for which an engine reads a prompt, for each unit of weight: 3,000 tokens of the largest
/// model at some 15 to 20 tokens a millisecond.
const READ_TIME: Duration = Duration::from_millis(200);

/// One datagram.
#[derive(Serialize, Deserialize)]
pub(crate) enum Message {
    Report(Report),
    /// Sessions of the sender on old versions.
    OnOld(OnOld),
    /// The node with this host name stops.
    Leaving(String),
    /// The endpoint with this id that started then announced that it leaves.
    EndpointLeaves {
        id: String,
        born: Option<u64>,
    },
    /// The record of the endpoint with this id that started then is gone.
    EndpointGone {
        id: String,
        born: Option<u64>,
    },
    /// The endpoint with this id that started then is cold for so long, or may become so since it could not be
    /// reached.
    EndpointCold {
        id: String,
        born: Option<u64>,
        left_ms: Option<u32>,
    },
    /// A long prompt was sent to an endpoint.
    Heavy {
        /// The endpoint's id.
        endpoint: String,
        weight: f64,
    },
    /// The sender's loads, to be added up.
    Loads(Vec<Load>),
    /// An endpoint crashed under these requests.
    Crashed {
        /// The endpoint's number.
        endpoint: u32,
        requests: Vec<u128>,
    },
    /// A request crashes endpoints, and is to be refused.
    Quarantined {
        request: u128,
    },
    /// A request that endpoints had crashed under has completed.
    Completed {
        request: u128,
    },
    /// What so many nodes together have at endpoints.
    Sums {
        nodes: usize,
        loads: Vec<Load>,
    },
}

/// Takes in other nodes' datagrams.
pub(crate) async fn listen<W: Wire>(cx: Arc<Cx<W>>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        match cx.socket.recv_from(&mut buf).await {
            Ok((len, from)) => take(&cx, &buf[..len], from),
            Err(err) => {
                log::debug!(target: "gossip", "event=receive_failed err={err}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

fn take<W: Wire>(cx: &Cx<W>, datagram: &[u8], from: SocketAddr) {
    let now = cx.now();
    match ciborium::from_reader(datagram) {
        Ok(Message::Report(report)) => cx.state().roll_outs.merge_report(now, &report),
        Ok(Message::OnOld(on_old)) => cx.state().roll_outs.merge_old_sessions(now, &on_old),
        Ok(Message::Leaving(host)) => {
            log::info!(target: "gossip", "event=node_leaves host={host}");
            let mut state = cx.state();
            let until = now + state.bounds.stop();
            state.nodes.leave(until, &host);
        }
        Ok(Message::EndpointLeaves { id, born }) => {
            if cx.state().directory.leaves(&id, born) {
                log::info!(target: "gossip", "event=endpoint_leaves id={id} born={born:?} from={from}");
            }
        }
        Ok(Message::EndpointGone { id, born }) => {
            if cx.state().directory.remove_start(now, &id, born) {
                log::info!(target: "gossip", "event=endpoint_gone id={id} born={born:?} from={from}");
            }
        }
        Ok(Message::EndpointCold { id, born, left_ms }) => take_from_known(cx, from, |state| {
            let entry = state.directory.by_id_mut(&id);
            let Some(entry) = entry.filter(|e| e.endpoint.born <= born) else {
                return;
            };
            log::info!(target: "gossip", "event=endpoint_cold id={id} left_ms={left_ms:?} from={from}");
            match left_ms {
                Some(ms) => entry.stays_cold(now, Duration::from_millis(ms.into())),
                None => {
                    entry.unreachable(now);
                }
            }
        }),
        Ok(Message::Heavy { endpoint, weight }) => {
            let mut state = cx.state();
            if let Some(entry) = state.directory.by_id_mut(&endpoint) {
                let weight = weight.clamp(0.0, MOST_WEIGHT);
                entry.add_others(now, READ_TIME.mul_f64(weight), weight);
            }
        }
        Ok(Message::Loads(loads)) => take_from_known(cx, from, |state| {
            state.adder.take(now, from, &loads);
        }),
        Ok(Message::Crashed { endpoint, requests }) => take_from_known(cx, from, |state| {
            let requests: Vec<_> = requests.into_iter().map(Fingerprint).collect();
            crashes::note_crash(cx, state, endpoint, &requests);
        }),
        Ok(Message::Quarantined { request }) => take_from_known(cx, from, |state| {
            crashes::take_decision(cx, state, Fingerprint(request));
        }),
        Ok(Message::Completed { request }) => take_from_known(cx, from, |state| {
            crashes::take_release(cx, state, Fingerprint(request));
        }),
        Ok(Message::Sums { nodes, loads }) => take_from_known(cx, from, |state| {
            // No sum is over more nodes than there are; one that says so would keep others out.
            let known = state.nodes.iter(now).count();
            state.shared.take(now, nodes.min(known), &loads);
        }),
        Err(err) => log::warn!(target: "gossip", "event=bad_datagram from={from} err={err}"),
    }
}

/// Takes in what decides where requests go, if a node of the list says it.
fn take_from_known<W: Wire>(cx: &Cx<W>, from: SocketAddr, take: impl FnOnce(&mut State)) {
    let now = cx.now();
    let mut state = cx.state();
    let is_known = state.nodes.iter(now).any(|n| n.nodes == from);
    match is_known {
        true => take(&mut state),
        false => log::debug!(target: "gossip", "event=datagram_of_unknown from={from}"),
    }
}

/// Tells other nodes of the roll-outs under way.
///
/// All tell the first nodes by name, which judge; these tell all, so that the number of datagrams
/// grows with the number of nodes and not with its square. Sessions on old versions are told to all by
/// the node that has them: with more nodes than judges the others would never hear of them.
pub(crate) async fn report<W: Wire>(cx: &Cx<W>) {
    for (datagram, to) in datagrams(cx) {
        if let Err(err) = cx.socket.send_to(&datagram, to).await {
            log::debug!(target: "gossip", "event=send_failed to={to} err={err}");
        }
    }
}

/// Tells other nodes of a request with a long prompt.
///
/// Engines report their load late, and each node knows only its own requests: two long prompts that
/// meet at one engine make everybody there late. All nodes are told: those that are not would send theirs there too.
pub(crate) fn announce_long_prompt<W: Wire>(cx: &Cx<W>, running: &Running<W>) {
    if running.weight < HEAVY {
        return;
    }
    let message = Message::Heavy {
        endpoint: running.id.clone(),
        weight: running.weight,
    };
    broadcast(cx, &cx.state(), &message);
}

/// Tells all other nodes at once of something that they would see later by themselves, or not at all: an
/// endpoint that gets no new work, a long prompt at one, a session whose version they have to keep.
///
/// Each node reads the records only about once a second, since each call has its price; together they
/// look many times a second. A lost datagram is made up for by the node's own next look.
pub(crate) fn broadcast<W: Wire>(cx: &Cx<W>, state: &State, message: &Message) {
    send_now(cx, others(cx, state), message);
}

/// Tells this node's loads to those who add them up, again and again, and the sums to those who told theirs.
pub(crate) async fn share_loads<W: Wire>(cx: Arc<Cx<W>>) {
    loop {
        let every = cx.state().shared.scheme().every;
        tokio::time::sleep(every).await;
        let mut state = cx.state();
        send_own_loads(&cx, &mut state);
        send_load_sums(&cx, &mut state);
    }
}

/// Tells the loads of each group of endpoints to the two nodes that add them up.
fn send_own_loads<W: Wire>(cx: &Cx<W>, state: &mut State) {
    let now = cx.now();
    let nodes = state.nodes.iter(now).count();
    let scheme = Scheme::new(nodes, state.directory.len());
    state.shared.set_scheme(scheme);
    state.adder.set_scheme(scheme);
    let own = state.shared.report(state.directory.loads());
    for group in 0..scheme.groups {
        let loads = own.iter().filter(|l| scheme.group(l.endpoint) == group);
        let loads: Vec<_> = loads.copied().collect();
        for to in adders(cx, state, group) {
            match to == cx.settings.listen.nodes {
                true => state.adder.take(now, to, &loads),
                false => send_loads(cx, [to].into_iter(), &loads, Message::Loads),
            }
        }
    }
}

fn send_load_sums<W: Wire>(cx: &Cx<W>, state: &mut State) {
    let now = cx.now();
    let (nodes, sums, told) = state.adder.sum(now);
    if nodes == 0 {
        return;
    }
    state.shared.take(now, nodes, &sums);
    let told = told.into_iter();
    let told = told.filter(|to| *to != cx.settings.listen.nodes);
    let sums_of = |loads| Message::Sums { nodes, loads };
    send_loads(cx, told, &sums, sums_of);
}

/// The nodes that add up a group's loads: the first ones by a hash that is the same on every node.
fn adders<W: Wire>(cx: &Cx<W>, state: &State, group: u32) -> Vec<SocketAddr> {
    let mut nodes: Vec<_> = state.nodes.iter(cx.now()).collect();
    nodes.sort_by_cached_key(|n| hash(&(group, &n.host)));
    let first = nodes.into_iter().take(ADDERS);
    first.map(|n| n.nodes).collect()
}

fn send_loads<W: Wire>(
    cx: &Cx<W>,
    to: impl Iterator<Item = SocketAddr>,
    loads: &[Load],
    message: impl Fn(Vec<Load>) -> Message,
) {
    let to: Vec<_> = to.collect();
    // Without any load too: those who tell nothing are told nothing.
    let parts = loads
        .chunks(MOST_LOADS)
        .chain(loads.is_empty().then_some(loads));
    for part in parts {
        send_now(cx, to.iter().copied(), &message(part.to_vec()));
    }
}

/// Sends a datagram without waiting: what the socket does not take now is lost.
pub(crate) fn send_now<W: Wire>(
    cx: &Cx<W>,
    to: impl Iterator<Item = SocketAddr>,
    message: &Message,
) {
    let Some(datagram) = encode(message) else {
        return;
    };
    for to in to {
        if let Err(err) = cx.socket.try_send_to(&datagram, to) {
            log::debug!(target: "gossip", "event=send_failed to={to} err={err}");
        }
    }
}

/// Tells all other nodes that this one stops.
pub(crate) async fn leave<W: Wire>(cx: &Cx<W>) {
    let others: Vec<_> = others(cx, &cx.state()).collect();
    let message = Message::Leaving(cx.settings.host.clone());
    let Some(datagram) = encode(&message) else {
        return;
    };
    for _ in 0..SAID {
        for to in &others {
            if let Err(err) = cx.socket.send_to(&datagram, to).await {
                log::debug!(target: "gossip", "event=send_failed to={to} err={err}");
            }
        }
        tokio::time::sleep(SAID_EVERY).await;
    }
}

/// Where other nodes take datagrams.
fn others<'a, W: Wire>(cx: &'a Cx<W>, state: &'a State) -> impl Iterator<Item = SocketAddr> + 'a {
    let others = state.nodes.iter(cx.now());
    let others = others.filter(|n| n.host != cx.settings.host);
    others.map(|n| n.nodes)
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    let mut datagram = Vec::new();
    match ciborium::into_writer(message, &mut datagram) {
        Ok(()) if datagram.len() > MAX_DATAGRAM => {
            log::warn!(target: "gossip", "event=datagram_too_long bytes={}", datagram.len());
            None
        }
        Ok(()) => Some(datagram),
        Err(err) => {
            log::warn!(target: "gossip", "event=encode_failed err={err}");
            None
        }
    }
}

fn datagrams<W: Wire>(cx: &Cx<W>) -> Vec<(Vec<u8>, SocketAddr)> {
    let now = cx.now();
    let mut state = cx.state();
    let host = &cx.settings.host;
    let on_old = state.roll_outs.on_old(now);
    let reports = state.roll_outs.reports(now, host, |service, target| {
        state.directory.has_other_work(service, target)
    });
    let mut nodes: Vec<_> = state.nodes.iter(now).collect();
    nodes.sort_by(|a, b| a.host.cmp(&b.host));
    let judges = nodes.iter().take(JUDGES).any(|n| n.host == *host);
    let reach = if judges { nodes.len() } else { JUDGES };
    let others = |most: usize| {
        let first = nodes.iter().take(most);
        first.filter(|n| n.host != *host).map(|n| n.nodes)
    };
    let mut out = Vec::new();
    for datagram in reports
        .into_iter()
        .filter_map(|r| encode(&Message::Report(r)))
    {
        out.extend(others(reach).map(|to| (datagram.clone(), to)));
    }
    for datagram in on_old
        .into_iter()
        .filter_map(|o| encode(&Message::OnOld(o)))
    {
        out.extend(others(usize::MAX).map(|to| (datagram.clone(), to)));
    }
    out
}

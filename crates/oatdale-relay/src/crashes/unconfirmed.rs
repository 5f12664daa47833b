//! Unconfirmed crashes, which nodes share.
//!
//! When a connection breaks, it may not be known yet whether the endpoint has crashed. What becomes of the
//! endpoint shows it, but a node may be the last one to learn of that. So each node reports the requests whose
//! connections broke to a few nodes, selected by the endpoint's start, and whichever node first finds that the
//! endpoint has ended reports that to the same ones.

use crate::crashes::{TALLY_NODES, check};
use crate::cx::Cx;
use crate::directory::EndpointKey;
use crate::gossip::{self, Message};
use crate::nodes::first_by_hash;
use crate::reachability;
use crate::state::State;
use crate::wire::Wire;
use oatdale_policy::relay::{CrashedRequest, EndpointFate, Fingerprint};
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of requests in one datagram.
const MAX_REQUESTS_PER_DATAGRAM: usize = 40;

/// Adds requests whose connections to an endpoint broke, and reports them to other nodes. `accepts` tells
/// whether its address accepts connections.
pub(super) fn add<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    key: EndpointKey,
    requests: Vec<CrashedRequest>,
    accepts: bool,
) {
    if let Some(entry) = state.directory.get(key) {
        let (id, born) = (&entry.endpoint.id, entry.endpoint.born);
        for chunk in requests.chunks(MAX_REQUESTS_PER_DATAGRAM) {
            let msg = Message::MaybeCrashed {
                id: id.clone(),
                born,
                accepts,
                requests: chunk.iter().map(|r| r.request.0).collect(),
            };
            gossip::send_now(cx, recipients(cx, state, entry.number), &msg);
        }
    }
    let now = cx.now();
    state.unconfirmed_crashes.add(now, key, requests, accepts);
    check::settle(cx, state, now);
}

/// Handles another node's report of requests whose connections to an endpoint broke.
pub(crate) fn handle_possible_crash<W: Wire>(
    cx: &Arc<Cx<W>>,
    state: &mut State,
    from: SocketAddr,
    (id, born): (String, Option<u64>),
    requests: Vec<u128>,
    accepts: bool,
) {
    let now = cx.now();
    let Some((key, entry)) = state.directory.by_id_with_key(&id) else {
        return;
    };
    match entry.endpoint.born.cmp(&born) {
        // This node has not read its record yet.
        Ordering::Less => {}
        Ordering::Equal => {
            let service = entry.endpoint.service.clone();
            let requests = requests.into_iter().map(|request| CrashedRequest {
                request: Fingerprint(request),
                parts: std::iter::empty().collect(),
                first_position: 0,
            });
            state.unconfirmed_crashes.add(now, key, requests, accepts);
            check::settle(cx, state, now);
            if !accepts {
                reachability::schedule_check(cx, state, &service);
            }
        }
        Ordering::Greater => {
            let msg = Message::EndpointEnded {
                id,
                born,
                is_replaced: true,
            };
            gossip::send_now(cx, [from].into_iter(), &msg);
        }
    }
}

/// Reports that an endpoint has ended without an announcement.
pub(super) fn report_end<W: Wire>(cx: &Cx<W>, state: &State, key: EndpointKey, is_replaced: bool) {
    let Some(entry) = state.directory.get(key) else {
        return;
    };
    let msg = Message::EndpointEnded {
        id: entry.endpoint.id.clone(),
        born: entry.endpoint.born,
        is_replaced,
    };
    gossip::send_now(cx, recipients(cx, state, entry.number), &msg);
}

/// Handles another node's report that an endpoint has ended.
pub(crate) fn handle_endpoint_end<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    id: &str,
    born: Option<u64>,
    is_replaced: bool,
) {
    let now = cx.now();
    let known = state.directory.by_id_with_key(id);
    let Some((key, _)) = known.filter(|(_, entry)| entry.endpoint.born == born) else {
        return;
    };
    let fate = match is_replaced {
        true => EndpointFate::Replaced,
        false => EndpointFate::Gone,
    };
    state.unconfirmed_crashes.record_end(now, key, fate);
    check::settle(cx, state, now);
}

/// Drops a request that has completed, here and at the nodes to which it was reported.
pub(super) fn forget<W: Wire>(cx: &Cx<W>, state: &mut State, request: Fingerprint) {
    let msg = Message::Completed { request: request.0 };
    for key in state.unconfirmed_crashes.forget(request) {
        if let Some(entry) = state.directory.get(key) {
            gossip::send_now(cx, recipients(cx, state, entry.number), &msg);
        }
    }
}

/// Returns the nodes to which unconfirmed crashes of the endpoint with this number are reported, without this
/// node.
fn recipients<W: Wire>(
    cx: &Cx<W>,
    state: &State,
    number: u32,
) -> impl Iterator<Item = SocketAddr> + use<W> {
    let own_addr = cx.settings.listen.nodes;
    let first = first_by_hash(state.nodes.iter(cx.now()), ("ends", number), TALLY_NODES);
    let addrs: Vec<_> = first.into_iter().map(|node| node.nodes).collect();
    addrs.into_iter().filter(move |to| *to != own_addr)
}

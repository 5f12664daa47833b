//! The nodes that issue permits for an endpoint.

use crate::cx::Cx;
use crate::directory::EndpointKey;
use crate::gossip::{self, Message};
use crate::in_flight::InFlightRequest;
use crate::nodes::first_by_hash;
use crate::permits::held::{lower_room, record_report};
use crate::permits::statements::{announce_limit, apply_statement};
use crate::permits::wire::{PermitAnswer, PermitAsk, millis};
use crate::state::{State, hash};
use crate::update::Node;
use crate::wire::Wire;
use oatdale_policy::relay::{IssuerRank, IssuerView, PermitReply, PermitRequest};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Number of nodes that may issue permits for an endpoint.
const ISSUERS: usize = 2;

/// Answers another node's request for a permit.
pub(crate) fn handle_ask<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    from: SocketAddr,
    ask: &PermitAsk,
) {
    let now = cx.now();
    let key = apply_statement(cx, state, from, &ask.limit);
    if let Some(key) = key {
        record_report(state, now, key, from, ask.held.into());
    }
    let entry = key.and_then(|key| Some((key, state.directory.get(key)?)));
    let answer = match entry.map(|(key, entry)| (key, entry.limit)) {
        None => PermitAnswer::NotIssuer,
        Some((key, limit)) => match limit.per_second() {
            None => PermitAnswer::NoLimit {
                age_ms: millis(limit.age(now)),
            },
            Some(per_second) => {
                let request = PermitRequest {
                    per_second,
                    full: None,
                    refused: ask.refused,
                    is_remote: true,
                    is_optional: ask.is_optional,
                };
                let reply = decide(cx, state, key, &request);
                if let Some(entry) = state.directory.get_mut(key)
                    && reply == PermitReply::Granted
                {
                    let held = &mut entry.permits().held;
                    held.record_granted(now, &from, ask.number);
                }
                reply.into()
            }
        },
    };
    let number = ask.number;
    gossip::send_now(
        cx,
        [from].into_iter(),
        &Message::PermitAnswer { number, answer },
    );
}

/// Decides on a request for a permit as an issuer.
pub(super) fn decide<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    key: EndpointKey,
    request: &PermitRequest,
) -> PermitReply {
    let now = cx.now();
    let Some(number) = state.directory.get(key).map(|e| e.number) else {
        return PermitReply::NotIssuer;
    };
    let issuers = issuers(cx, state, now, number);
    let rank = own_rank(cx, &issuers);
    let rivals = removed_rivals(cx, state, now, number);
    let removed_at = rivals.iter().map(|(at, _)| *at).max().unwrap_or_default();
    let view = IssuerView {
        rank,
        first_since: state.listed_since().max(removed_at),
        is_listed: state.is_listed(now),
    };
    let Some(entry) = state.directory.get_mut(key) else {
        return PermitReply::NotIssuer;
    };
    let share = entry.permits().issuer.share(now, &view);
    let request = &PermitRequest {
        full: share.and_then(|share| entry.rate_if_full(now, share)),
        ..*request
    };
    let permits = entry.permits();
    let reply = permits.issuer.decide(now, &view, request);
    if reply == PermitReply::Granted {
        permits.room.record_granted(now);
    }
    if entry.permits().issuer.start_claim(now, &view) {
        let second = issuers.get(1).copied().filter(|_| view.is_new(now));
        let claim = Message::PermitClaim {
            id: entry.endpoint.id.clone(),
            born: entry.endpoint.born,
        };
        let removed = rivals.into_iter().map(|(_, addr)| addr);
        gossip::send_now(cx, second.into_iter().chain(removed), &claim);
    }
    if rank.is_some() && reply != PermitReply::NotIssuer {
        announce_limit(cx, state, key);
    }
    reply
}

/// Tells the issuers of an endpoint's permits that it has rejected a request, sent at `sent_at`, for
/// want of room.
pub(crate) fn report_rejection<W: Wire>(
    cx: &Cx<W>,
    in_flight: &InFlightRequest<W>,
    sent_at: Instant,
) {
    let now = cx.now();
    let mut guard = cx.state();
    let state = &mut *guard;
    let Some(entry) = state.directory.get_mut(in_flight.key) else {
        return;
    };
    let had_permit = match in_flight.limit_before.per_second() {
        Some(_) => "yes",
        None => "no",
    };
    cx.metrics.rejections.with_label_values(&[had_permit]).inc();
    log::info!(
        target: "permit",
        "event=rejected endpoint={} permit={had_permit} known_ms={} in_flight={}",
        in_flight.id, entry.known_for(now).as_millis(), entry.in_flight
    );
    let sent_at = now.saturating_sub(sent_at.elapsed());
    entry.record_rejection(sent_at);
    let number = entry.number;
    state.held_changes.record(in_flight.key);
    cx.held_changed.notify_one();
    if issuers(cx, state, now, number).contains(&cx.settings.listen.nodes) {
        lower_room(state, now, in_flight.key, sent_at);
    }
}

/// Records that another node holds itself for the first issuer of an endpoint.
pub(crate) fn handle_claim(
    state: &mut State,
    now: Duration,
    from: SocketAddr,
    id: &str,
    born: Option<u64>,
) {
    let entry = state.directory.by_id_mut(id);
    if let Some(entry) = entry.filter(|e| e.endpoint.born == born) {
        log::info!(target: "permit", "event=issuer_contested id={id} from={from}");
        entry.permits().issuer.record_claim(now);
    }
}

/// Returns the addresses of the nodes that may issue permits for an endpoint, first one first.
pub(super) fn issuers<W: Wire>(
    cx: &Cx<W>,
    state: &State,
    now: Duration,
    number: u32,
) -> Vec<SocketAddr> {
    let own = Node::from(&cx.settings);
    let own = state.may_issue_permits(now).then_some(&own);
    let others = state.nodes.iter(now).filter(|n| n.host != cx.settings.host);
    let first = first_by_hash(others.chain(own), number, ISSUERS);
    first.into_iter().map(|node| node.nodes).collect()
}

pub(super) fn own_rank<W: Wire>(cx: &Cx<W>, issuers: &[SocketAddr]) -> Option<IssuerRank> {
    let own = cx.settings.listen.nodes;
    match issuers.iter().position(|addr| *addr == own)? {
        0 => Some(IssuerRank::First),
        _ => Some(IssuerRank::Second),
    }
}

/// Returns the nodes that were removed lately and came before this one as issuers, and when they
/// were removed.
fn removed_rivals<W: Wire>(
    cx: &Cx<W>,
    state: &State,
    now: Duration,
    number: u32,
) -> Vec<(Duration, SocketAddr)> {
    let own_key = hash(&(number, &cx.settings.host));
    let removed = state.nodes.recently_removed(now);
    let rivals = removed.filter(|(_, n)| hash(&(number, &n.host)) < own_key);
    rivals.map(|(at, n)| (at, n.nodes)).collect()
}

//! What endpoints state of their limits, in responses to this node or to others.

use crate::cx::Cx;
use crate::directory::EndpointKey;
use crate::gossip::{self, Message};
use crate::in_flight::InFlightRequest;
use crate::permits::issuing::{issuers, own_rank};
use crate::permits::services;
use crate::permits::wire::LimitStatement;
use crate::state::State;
use crate::wire::{StatedLimit, Wire};
use oatdale_policy::relay::{IssuerRank, LimitChange, RequestLimit};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

impl<W: Wire> InFlightRequest<W> {
    /// Records what a response to a request sent at `sent_at` says of the endpoint's limit, and
    /// tells the issuers if that is new.
    pub(crate) fn record_limit(
        &self,
        stated: Option<StatedLimit>,
        max_rejections: Option<u32>,
        sent_at: Instant,
    ) {
        let cx = &*self.cx;
        let now = cx.now();
        let mut guard = cx.state();
        let state = &mut *guard;
        let sent_at = now.saturating_sub(sent_at.elapsed());
        let Some(entry) = state.directory.get(self.key) else {
            return;
        };
        let (service, known) = (entry.endpoint.service.clone(), entry.limit);
        services::record_response(cx, state, &service, max_rejections, sent_at);
        let limit = match stated {
            Some(StatedLimit::PerSecond(rate)) => RequestLimit::new(now, Some(rate)),
            Some(StatedLimit::Invalid) => {
                if state.endpoint_lines.allows(now) {
                    log::warn!(target: "directory", "event=bad_limit endpoint={}", self.id);
                }
                RequestLimit::new(now, known.stated_per_second())
            }
            None if max_rejections.is_some() => RequestLimit::new(now, None),
            None => RequestLimit::new(sent_at, None),
        };
        let limit = limit.with_max_rejections(max_rejections);
        let Some(entry) = state.directory.get_mut(self.key) else {
            return;
        };
        let change = entry.update_limit(limit);
        if change == LimitChange::Unchanged {
            return;
        }
        let number = entry.number;
        let (id, born) = (&entry.endpoint.id, entry.endpoint.born);
        let statement = LimitStatement::new(id, born, &entry.limit, now);
        log_limit(state, now, self.key, change, "response");
        // Nodes that ask for permits pass the limit's value on.
        if change == LimitChange::Adjusted {
            return;
        }
        let issuers = issuers(cx, state, now, number);
        if change == LimitChange::Began && own_rank(cx, &issuers) == Some(IssuerRank::First) {
            announce_limit(cx, state, self.key);
            return;
        }
        let others = issuers
            .into_iter()
            .filter(|to| *to != cx.settings.listen.nodes);
        let message = Message::Limit {
            statement,
            is_announcement: false,
        };
        gossip::send_now(cx, others, &message);
    }
}

/// Applies another node's statement of an endpoint's limit, which may be one to all nodes.
pub(crate) fn handle_statement<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    from: SocketAddr,
    statement: &LimitStatement,
    is_announcement: bool,
) {
    let Some(key) = apply_statement(cx, state, from, statement) else {
        return;
    };
    let number = match state.directory.get_mut(key) {
        Some(entry) if entry.limit.per_second().is_some() => {
            entry.permits().limit_announced |= is_announcement;
            entry.number
        }
        _ => return,
    };
    let issuers = issuers(cx, state, cx.now(), number);
    if own_rank(cx, &issuers) == Some(IssuerRank::First) {
        announce_limit(cx, state, key);
    }
}

/// Updates an endpoint's limit by another node's statement, and returns the endpoint's key if that
/// start of it is known.
pub(super) fn apply_statement<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    from: SocketAddr,
    statement: &LimitStatement,
) -> Option<EndpointKey> {
    let now = cx.now();
    let limit = match statement.limit(now) {
        Ok(limit) => limit,
        Err(err) => {
            if state.endpoint_lines.allows(now) {
                log::warn!(target: "permit", "event=bad_statement id={} from={from} err={err}", statement.id);
            }
            return None;
        }
    };
    let (key, entry) = state.directory.by_id_with_key(&statement.id)?;
    if entry.endpoint.born != statement.born {
        return None;
    }
    let change = entry.update_limit(limit);
    if change != LimitChange::Unchanged {
        log_limit(state, now, key, change, &from.to_string());
    }
    Some(key)
}

/// Tells all other nodes of an endpoint's limit, unless that has been done.
pub(super) fn announce_limit<W: Wire>(cx: &Cx<W>, state: &mut State, key: EndpointKey) {
    let now = cx.now();
    let Some(entry) = state.directory.get_mut(key) else {
        return;
    };
    // A service's endpoints all state that they must not reject many: the nodes are told of the service.
    if entry.limit.stated_per_second().is_none()
        || std::mem::replace(&mut entry.permits().limit_announced, true)
    {
        return;
    }
    let (id, born) = (&entry.endpoint.id, entry.endpoint.born);
    let statement = LimitStatement::new(id, born, &entry.limit, now);
    let message = Message::Limit {
        statement,
        is_announcement: true,
    };
    gossip::broadcast(cx, state, &message);
}

fn log_limit(state: &mut State, now: Duration, key: EndpointKey, change: LimitChange, from: &str) {
    if !state.endpoint_lines.allows(now) {
        return;
    }
    if let Some(entry) = state.directory.get(key) {
        log::info!(
            target: "directory",
            "event=endpoint_limit id={} change={change:?} per_second={:?} max_rejections={:?} from={from}",
            entry.endpoint.id, entry.limit.stated_per_second(), entry.limit.max_rejections()
        );
    }
}

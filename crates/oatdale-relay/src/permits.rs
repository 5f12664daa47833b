//! Endpoints that limit the requests from all nodes together, and the permits by which the nodes
//! share the limit.
//!
//! A node that hears of a limit, or of its end, tells the endpoint's issuers: the first two nodes
//! by a hash that is the same on every node. The first one tells all other nodes of a new limit.
//! Whoever then sends to the endpoint, for whatever purpose, asks an issuer for a permit, and sends
//! elsewhere or refuses its caller without one.

mod wire;

pub(crate) use crate::permits::wire::{LimitStatement, PermitAnswer, PermitAsk};

use crate::cx::Cx;
use crate::directory::EndpointKey;
use crate::gossip::{self, Message};
use crate::in_flight::InFlightRequest;
use crate::request_context::RequestContext;
use crate::state::{LimitedEndpoints, State, hash};
use crate::update::Node;
use crate::wire::{StatedLimit, Wire};
use oatdale_policy::relay::{
    IssuerRank, IssuerView, LimitChange, PermitReply, PermitRequest, RequestLimit,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};
use wire::millis;

/// How long an issuer may take to reply: nodes are a few milliseconds apart, and the request waits
/// meanwhile.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum number of limited endpoints that are asked for on behalf of one attempt. After that, it
/// is sent to an endpoint without a limit or fails.
const MAX_ASKS: usize = 3;

/// Requests for permits that wait for a reply.
#[derive(Debug, Default)]
pub(crate) struct PendingAsks {
    next: u32,
    asks: HashMap<u32, (SocketAddr, oneshot::Sender<PermitAnswer>)>,
}

/// How a permit is obtained.
enum Ask {
    /// None is needed: the endpoint has no limit.
    NoLimit,
    /// No issuer has to be asked.
    Decided(Option<PermitReply>),
    /// An issuer has been asked.
    Sent(u32, oneshot::Receiver<PermitAnswer>),
}

impl PendingAsks {
    fn add(&mut self, to: SocketAddr) -> (u32, oneshot::Receiver<PermitAnswer>) {
        let (tx, rx) = oneshot::channel();
        self.next = self.next.wrapping_add(1);
        self.asks.insert(self.next, (to, tx));
        (self.next, rx)
    }

    /// Passes a reply on to the request that waits for it. Late ones and those of other nodes than
    /// the one asked are dropped.
    pub(crate) fn handle_answer(&mut self, from: SocketAddr, number: u32, answer: PermitAnswer) {
        match self.asks.remove(&number) {
            Some((asked, tx)) if asked == from => {
                if tx.send(answer).is_err() {
                    log::debug!(target: "permit", "event=late_answer from={from}");
                }
            }
            Some(other) => {
                self.asks.insert(number, other);
                log::debug!(target: "permit", "event=foreign_answer from={from}");
            }
            None => log::debug!(target: "permit", "event=late_answer from={from}"),
        }
    }
}

/// Places a request at an endpoint, with a permit if the endpoint has a limit.
pub(crate) async fn place<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &RequestContext,
) -> Result<InFlightRequest<W>, crate::directory::IneligibleCounts> {
    for _ in 0..MAX_ASKS {
        let in_flight = request_cx.place(cx, LimitedEndpoints::Allowed)?;
        if obtain(cx, &in_flight).await {
            return Ok(in_flight);
        }
    }
    request_cx.place(cx, LimitedEndpoints::Excluded)
}

/// Returns whether a request may be sent to its endpoint: the endpoint has no limit, or an issuer
/// has granted a permit.
pub(crate) async fn obtain<W: Wire>(cx: &Arc<Cx<W>>, in_flight: &InFlightRequest<W>) -> bool {
    let key = in_flight.key;
    let asked_at = Instant::now();
    let (issuer, answer) = match ask(cx, key) {
        (_, Ask::NoLimit) => return true,
        (issuer, Ask::Decided(reply)) => (issuer, reply.map(PermitAnswer::from)),
        (issuer, Ask::Sent(number, rx)) => {
            let answer = timeout(REPLY_TIMEOUT, rx).await;
            cx.state().pending_asks.asks.remove(&number);
            // A permit that a paused process finds is too old: others were issued since.
            let is_late = asked_at.elapsed() > REPLY_TIMEOUT * 2;
            let answer = answer.ok().and_then(Result::ok);
            (issuer, answer.filter(|_| !is_late))
        }
    };
    let outcome = match answer {
        Some(PermitAnswer::Granted) => "granted",
        Some(PermitAnswer::Denied { .. }) => "denied",
        Some(PermitAnswer::NotIssuer) => "not-issuer",
        Some(PermitAnswer::NoLimit { .. }) => "no-limit",
        None => "no-answer",
    };
    cx.metrics.permits.with_label_values(&[outcome]).inc();
    let is_allowed = record_answer(cx, key, issuer, answer);
    if !is_allowed {
        log::info!(
            target: "permit",
            "event=no_permit endpoint={} issuer={issuer:?} outcome={outcome} answer={answer:?} took_ms={}",
            in_flight.id, asked_at.elapsed().as_millis()
        );
    }
    is_allowed
}

/// Asks the endpoint's issuer for a permit, or decides at once if that is this node.
fn ask<W: Wire>(cx: &Cx<W>, key: EndpointKey) -> (IssuerRank, Ask) {
    let now = cx.now();
    let mut guard = cx.state();
    let state = &mut *guard;
    let Some(entry) = state.directory.get_mut(key) else {
        return (IssuerRank::First, Ask::NoLimit);
    };
    let Some(per_second) = entry.limit.per_second() else {
        return (IssuerRank::First, Ask::NoLimit);
    };
    let issuer = entry.seeker.issuer(now);
    let refused = entry.seeker.take_refused();
    let (id, born) = (&entry.endpoint.id, entry.endpoint.born);
    let limit = LimitStatement::new(id, born, &entry.limit, now);
    let number = entry.number;
    let issuers = issuers(cx, state, now, number);
    let to = match issuer {
        IssuerRank::First => issuers.first(),
        IssuerRank::Second => issuers.get(1),
    };
    match to {
        None => (issuer, Ask::Decided(None)),
        Some(to) if *to == cx.settings.listen.nodes => {
            let request = PermitRequest {
                per_second,
                refused,
                is_remote: false,
            };
            let reply = decide(cx, state, key, &request);
            (issuer, Ask::Decided(Some(reply)))
        }
        Some(to) => {
            let (number, rx) = state.pending_asks.add(*to);
            let ask = PermitAsk {
                number,
                refused,
                limit,
            };
            gossip::send_now(cx, [*to].into_iter(), &Message::PermitAsk(ask));
            (issuer, Ask::Sent(number, rx))
        }
    }
}

/// Records an issuer's answer, or that none came, and returns whether the request may be sent.
fn record_answer<W: Wire>(
    cx: &Cx<W>,
    key: EndpointKey,
    issuer: IssuerRank,
    answer: Option<PermitAnswer>,
) -> bool {
    let now = cx.now();
    let mut state = cx.state();
    let Some(entry) = state.directory.get_mut(key) else {
        return false;
    };
    let ms = |ms: u32| Duration::from_millis(ms.into());
    let reply = match answer {
        Some(PermitAnswer::NoLimit { age_ms }) => {
            let stated_at = now.saturating_sub(ms(age_ms));
            entry.end_limit(now, stated_at);
            log::info!(target: "directory", "event=endpoint_limit id={} change=Ended from=issuer", entry.endpoint.id);
            return true;
        }
        Some(PermitAnswer::Granted) => Some(PermitReply::Granted),
        Some(PermitAnswer::Denied { wait_ms, pause_ms }) => Some(PermitReply::Denied {
            wait: ms(wait_ms),
            pause: ms(pause_ms),
        }),
        Some(PermitAnswer::NotIssuer) => Some(PermitReply::NotIssuer),
        None => None,
    };
    entry.seeker.record_reply(now, issuer, reply);
    reply == Some(PermitReply::Granted)
}

/// Answers another node's request for a permit.
pub(crate) fn handle_ask<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    from: SocketAddr,
    ask: &PermitAsk,
) {
    let now = cx.now();
    let key = apply_statement(cx, state, from, &ask.limit);
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
                    refused: ask.refused,
                    is_remote: true,
                };
                decide(cx, state, key, &request).into()
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
fn decide<W: Wire>(
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
    let reply = entry.issuer.decide(now, &view, request);
    if entry.issuer.start_claim(now, &view) {
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
        entry.issuer.record_claim(now);
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
            entry.limit_announced |= is_announcement;
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
fn apply_statement<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    from: SocketAddr,
    statement: &LimitStatement,
) -> Option<EndpointKey> {
    let now = cx.now();
    let limit = match statement.limit(now) {
        Ok(limit) => limit,
        Err(err) => {
            log::warn!(target: "permit", "event=bad_statement id={} from={from} err={err}", statement.id);
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
fn announce_limit<W: Wire>(cx: &Cx<W>, state: &mut State, key: EndpointKey) {
    let now = cx.now();
    let Some(entry) = state.directory.get_mut(key) else {
        return;
    };
    if std::mem::replace(&mut entry.limit_announced, true) {
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

impl<W: Wire> InFlightRequest<W> {
    /// Records what a response to a request sent at `sent_at` says of the endpoint's limit, and
    /// tells the issuers if that is new.
    pub(crate) fn record_limit(&self, stated: Option<StatedLimit>, sent_at: Instant) {
        let cx = &*self.cx;
        let now = cx.now();
        let mut guard = cx.state();
        let state = &mut *guard;
        let limit = match stated {
            Some(StatedLimit::PerSecond(rate)) => RequestLimit::new(now, Some(rate)),
            Some(StatedLimit::Invalid) => {
                if state.endpoint_lines.allows(now) {
                    log::warn!(target: "directory", "event=bad_limit endpoint={}", self.id);
                }
                return;
            }
            None => RequestLimit::new(now.saturating_sub(sent_at.elapsed()), None),
        };
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

/// Returns the addresses of the nodes that may issue permits for an endpoint, first one first.
fn issuers<W: Wire>(cx: &Cx<W>, state: &State, now: Duration, number: u32) -> Vec<SocketAddr> {
    let own = Node::from(&cx.settings);
    let own = state.may_issue_permits(now).then_some(&own);
    let others = state.nodes.iter(now).filter(|n| n.host != cx.settings.host);
    let mut first: Vec<(u64, SocketAddr)> = Vec::new();
    for node in others.chain(own) {
        let key = hash(&(number, &node.host));
        let position = first.partition_point(|(other, _)| *other <= key);
        if position < 2 {
            first.insert(position, (key, node.nodes));
            first.truncate(2);
        }
    }
    first.into_iter().map(|(_, addr)| addr).collect()
}

fn own_rank<W: Wire>(cx: &Cx<W>, issuers: &[SocketAddr]) -> Option<IssuerRank> {
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

fn log_limit(state: &mut State, now: Duration, key: EndpointKey, change: LimitChange, from: &str) {
    if !state.endpoint_lines.allows(now) {
        return;
    }
    if let Some(entry) = state.directory.get(key) {
        log::info!(
            target: "directory",
            "event=endpoint_limit id={} change={change:?} per_second={:?} from={from}",
            entry.endpoint.id, entry.limit.per_second()
        );
    }
}

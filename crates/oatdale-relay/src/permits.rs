//! Endpoints that limit the requests from all nodes together, and the permits by which the nodes
//! share the limit.
//!
//! A node that hears of a limit, or of its end, tells the endpoint's issuers: the first two nodes
//! by a hash that is the same on every node. The first one tells all other nodes of a new limit.
//! Whoever then sends to the endpoint, for whatever purpose, asks an issuer for a permit, and sends
//! elsewhere or refuses its caller without one.
//!
//! An endpoint that fails if it has to reject many requests needs permits too. Nodes report to the
//! issuers how many requests they have there and which were rejected, and the issuers limit the number
//! of requests that it holds.

mod held;
mod issuing;
mod services;
mod statements;
mod wire;

pub(crate) use crate::permits::held::{HeldChanges, handle_reports, run_reports};
pub(crate) use crate::permits::issuing::{handle_ask, handle_claim, report_rejection};
pub(crate) use crate::permits::services::{BrittleServices, handle_brittle_service};
pub(crate) use crate::permits::statements::handle_statement;
pub(crate) use crate::permits::wire::{HeldStatement, LimitStatement, PermitAnswer, PermitAsk};

use crate::cx::Cx;
use crate::directory::{EndpointKey, IneligibleCounts};
use crate::gossip::{self, Message};
use crate::in_flight::InFlightRequest;
use crate::request_context::RequestContext;
use crate::state::LimitedEndpoints;
use crate::wire::Wire;
use issuing::{decide, issuers};
use oatdale_policy::relay::{IssuerRank, PermitReply, PermitRequest};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

/// How long an issuer may take to reply: nodes are a few milliseconds apart, and the request waits
/// meanwhile.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum number of limited endpoints that are asked for on behalf of one attempt. After that, it
/// is sent to an endpoint without a limit or fails.
const MAX_ASKS: usize = 3;

/// The same for an attempt that its caller can do without.
const MAX_OPTIONAL_ASKS: usize = 1;

/// What a permit is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct PermitUse<'a> {
    /// Id of the request, if it is for one.
    pub(crate) id: Option<&'a str>,
    /// Whether the caller gets a response without it, if not as good or as soon.
    pub(crate) is_optional: bool,
}

/// Requests for permits that wait for a reply.
#[derive(Debug, Default)]
pub(crate) struct PendingAsks {
    next: u32,
    asks: HashMap<u32, (SocketAddr, oneshot::Sender<PermitAnswer>)>,
}

/// A request for a permit that waits for its reply; forgotten when dropped, also by a caller that
/// leaves.
struct PendingAsk<'a, W> {
    cx: &'a Cx<W>,
    key: EndpointKey,
    number: u32,
    /// Whether the issuer's answer has arrived.
    is_answered: bool,
    rx: oneshot::Receiver<PermitAnswer>,
}

impl<W> Drop for PendingAsk<'_, W> {
    fn drop(&mut self) {
        let mut state = self.cx.state();
        state.pending_asks.asks.remove(&self.number);
        if let Some(entry) = state.directory.get_mut(self.key) {
            let permits = entry.permits();
            permits.undecided = permits.undecided.saturating_sub(1);
            permits.answered = permits.answered.max(self.number);
        }
        // The issuer may have granted a permit that is not used.
        if !self.is_answered {
            state.held_changes.record(self.key);
            self.cx.held_changed.notify_one();
        }
    }
}

/// How a permit is obtained.
enum Ask<'a, W> {
    /// None is needed: the endpoint has no limit.
    NoLimit,
    /// No issuer has to be asked.
    Decided(Option<PermitReply>),
    /// An issuer has been asked.
    Sent(PendingAsk<'a, W>),
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
    is_optional: bool,
) -> Result<InFlightRequest<W>, IneligibleCounts> {
    let permit_use = PermitUse {
        id: request_cx.metadata.id.as_deref(),
        is_optional,
    };
    let max_asks = match is_optional {
        true => MAX_OPTIONAL_ASKS,
        false => MAX_ASKS,
    };
    for _ in 0..max_asks {
        let in_flight = request_cx.place(cx, LimitedEndpoints::Allowed)?;
        if obtain(cx, &in_flight, permit_use).await {
            return Ok(in_flight);
        }
    }
    request_cx.place(cx, LimitedEndpoints::Excluded)
}

/// Returns whether a request or probe may be sent to its endpoint: the endpoint has no limit, or an
/// issuer has granted a permit.
pub(crate) async fn obtain<W: Wire>(
    cx: &Cx<W>,
    in_flight: &InFlightRequest<W>,
    permit_use: PermitUse<'_>,
) -> bool {
    let key = in_flight.key;
    let asked_at = Instant::now();
    let (issuer, answer) = match ask(cx, key, permit_use.is_optional) {
        (_, Ask::NoLimit) => return true,
        (issuer, Ask::Decided(reply)) => (issuer, reply.map(PermitAnswer::from)),
        (issuer, Ask::Sent(mut pending)) => {
            let answer = timeout(REPLY_TIMEOUT, &mut pending.rx).await;
            // A permit that a paused process finds is too old: others were issued since.
            let is_late = asked_at.elapsed() > REPLY_TIMEOUT * 2;
            let answer = answer.ok().and_then(Result::ok).filter(|_| !is_late);
            pending.is_answered = answer.is_some();
            (issuer, answer)
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
            "event=no_permit id={} endpoint={} issuer={issuer:?} outcome={outcome} answer={answer:?} took_ms={}",
            permit_use.id.unwrap_or("-"), in_flight.id, asked_at.elapsed().as_millis()
        );
    }
    is_allowed
}

/// Asks the endpoint's issuer for a permit, or decides at once if that is this node.
fn ask<W: Wire>(cx: &Cx<W>, key: EndpointKey, is_optional: bool) -> (IssuerRank, Ask<'_, W>) {
    let now = cx.now();
    let mut guard = cx.state();
    let state = &mut *guard;
    let Some(entry) = state.directory.get_mut(key) else {
        return (IssuerRank::First, Ask::NoLimit);
    };
    let Some(per_second) = entry.limit.per_second() else {
        return (IssuerRank::First, Ask::NoLimit);
    };
    let seeker = &mut entry.permits().seeker;
    let issuer = seeker.issuer(now);
    let refused = seeker.take_refused();
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
                full: None,
                refused,
                is_remote: false,
                is_optional,
            };
            // The request is placed already, and does not count before it has a permit.
            if let Some(entry) = state.directory.get_mut(key) {
                entry.permits().undecided += 1;
            }
            let reply = decide(cx, state, key, &request);
            if let Some(entry) = state.directory.get_mut(key) {
                entry.permits().undecided -= 1;
            }
            (issuer, Ask::Decided(Some(reply)))
        }
        Some(to) => {
            let (number, rx) = state.pending_asks.add(*to);
            let Some(entry) = state.directory.get_mut(key) else {
                return (issuer, Ask::Decided(None));
            };
            entry.permits().undecided += 1;
            let ask = PermitAsk {
                number,
                refused,
                is_optional,
                limit,
                held: entry.held_report(now).into(),
            };
            gossip::send_now(cx, [*to].into_iter(), &Message::PermitAsk(ask));
            let pending = PendingAsk {
                cx,
                key,
                number,
                is_answered: false,
                rx,
            };
            (issuer, Ask::Sent(pending))
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
    entry.permits().seeker.record_reply(now, issuer, reply);
    reply == Some(PermitReply::Granted)
}

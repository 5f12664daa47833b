//! Permits for requests to an endpoint that limits its request rate.
//!
//! The limit holds for all nodes together. Divided among the nodes it would be less than one request
//! per window for each of them, and most of it would be unused, since a node rarely has a request
//! for a given endpoint. So one node, selected by a hash of the endpoint, issues a permit for each
//! request; a second one issues some while the first does not answer.
//!
//! No right stands behind this: nodes with different node lists may ask different issuers, and an
//! issuer that others no longer know may still issue permits to itself. What each may issue is
//! bounded so that the sum stays near the limit, and a new first issuer tells the nodes that may
//! hold themselves for the first one.

use std::time::Duration;

/// Share of the limit that a node may issue if others may be issuing permits too: as the second
/// issuer, or as the first one that the other nodes may not know yet, or no longer.
const UNCERTAIN_SHARE: f64 = 0.25;

/// Time that the other nodes need to learn of a new first issuer.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Interval at which a first issuer announces itself to the nodes that may hold themselves for it.
const CLAIM_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a request for a permit shows that another node knows this issuer.
const CONFIRMATION_TIME: Duration = Duration::from_secs(2);

/// Minimum time for which unused permits remain available, so that requests that come together can
/// use them. At low rates, one unused permit remains available until the next.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Minimum rate at which permits are issued: only a response of the endpoint shows that its limit
/// has ended.
const MIN_PERMITS_PER_SECOND: f64 = 0.2;

/// Longest interval at which nodes that got no permit are told to ask again: bounds the messages to an
/// issuer when all nodes want to use the endpoint.
const MAX_ASK_INTERVAL: Duration = Duration::from_millis(10);

/// Number of nodes that are told to ask again for each permit: some have no request then.
const ASKS_PER_PERMIT: u32 = 4;

/// Maximum time after which a node is told to ask again.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Time after a denial for which permits are scarce: those that remain are for requests that cannot
/// do without.
const SCARCITY_TIME: Duration = Duration::from_secs(1);

/// Maximum wait that a refused caller is told. Callers that wait longer give up.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Pause after neither issuer has answered.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(500);

/// Time for which the second issuer is asked after the first one has not answered once: the datagram may
/// have been lost. It is four times as long after each further one.
const MIN_SECOND_ISSUER_TIME: Duration = Duration::from_millis(100);

/// The same after the first one has stated that it is none, and the longest such time.
const SECOND_ISSUER_TIME: Duration = Duration::from_secs(2);

/// Position of a node among those that may issue permits for an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum IssuerRank {
    /// Issues permits.
    First,
    /// Issues permits while the first issuer does not answer.
    Second,
}

/// What an issuer knows of its own position when it is asked for a permit.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct IssuerView {
    /// The node's rank for the endpoint by its own node list; `None` if others are to be asked.
    pub rank: Option<IssuerRank>,
    /// When the last node that came before this one was removed from the list, or this node was
    /// listed again, if either was lately.
    pub first_since: Duration,
    /// Whether the platform confirms that the other nodes know this one.
    pub is_listed: bool,
}

impl IssuerView {
    /// Whether this node has been the first issuer for so short a time that others may not know it.
    pub fn is_new(&self, now: Duration) -> bool {
        now < self.first_since + SETTLE_TIME
    }
}

/// A node's request for a permit.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PermitRequest {
    /// The endpoint's limit in requests per second.
    pub per_second: f64,
    /// If the endpoint has no room for a request now, the rate at which it finishes them.
    pub full: Option<f64>,
    /// Callers that the node has refused since its last request, as it had no permit.
    pub refused: u16,
    /// Whether the request comes from another node.
    pub is_remote: bool,
    /// Whether the caller gets a response without it, if not as good or as soon.
    pub is_optional: bool,
}

/// Response to a request for a permit.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PermitReply {
    /// The node may send one request now.
    Granted,
    /// The node may not send a request.
    Denied {
        /// Time after which a refused caller may expect a permit.
        wait: Duration,
        /// Time after which the node may ask again.
        pause: Duration,
    },
    /// The asked node does not issue permits for the endpoint.
    NotIssuer,
}

/// Issues the permits for one endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct PermitIssuer {
    /// When the next permit is due if all before were issued on time.
    next_at: Duration,
    /// When the wait of all refused callers ends.
    queue_until: Duration,
    /// Time that the last denied node was told to ask again.
    ask_again_at: Duration,
    /// When a request that cannot do without was last denied.
    denied_at: Option<Duration>,
    /// When another node last asked.
    confirmed_at: Option<Duration>,
    /// When this node last announced itself as the first issuer.
    claimed_at: Option<Duration>,
    /// Until when another node that announced itself as the first issuer counts as such.
    contested_until: Duration,
}

impl PermitIssuer {
    /// Decides on a request for a permit.
    pub fn decide(
        &mut self,
        now: Duration,
        view: &IssuerView,
        request: &PermitRequest,
    ) -> PermitReply {
        if request.is_remote {
            self.record_remote_request(now);
        }
        let Some(share) = self.share(now, view) else {
            return PermitReply::NotIssuer;
        };
        let rate = request.full.unwrap_or(request.per_second);
        let rate = rate.min(request.per_second).max(MIN_PERMITS_PER_SECOND) * share;
        let interval = Duration::from_secs_f64(1.0 / rate);
        let refused_time = interval.saturating_mul(request.refused.into());
        let queue_until = self.queue_until.max(now) + refused_time;
        self.queue_until = queue_until.min(now + MAX_WAIT);
        let available_at = self.next_at.saturating_sub(interval.max(BURST_TIME));
        let is_available = request.full.is_none() && available_at <= now;
        let is_scarce = self.denied_at.is_some_and(|at| now < at + SCARCITY_TIME);
        match request.is_optional {
            // The node may ask for other requests at once.
            true if is_available && is_scarce => {
                return PermitReply::Denied {
                    wait: Duration::ZERO,
                    pause: Duration::ZERO,
                };
            }
            _ if is_available => {
                self.next_at = self.next_at.max(now) + interval;
                return PermitReply::Granted;
            }
            true => {}
            false => self.denied_at = Some(now),
        }
        let ask_interval = MAX_ASK_INTERVAL.min(interval / ASKS_PER_PERMIT);
        let ask_again_at = self.ask_again_at.max(available_at).max(now) + ask_interval;
        self.ask_again_at = ask_again_at.min(now + MAX_PAUSE);
        let next_at = match request.full {
            Some(_) => available_at.max(now + interval),
            None => available_at,
        };
        PermitReply::Denied {
            wait: self.queue_until.max(next_at) - now,
            pause: self.ask_again_at - now,
        }
    }

    /// Records that another node asks this one, and so knows it.
    pub fn record_remote_request(&mut self, now: Duration) {
        self.confirmed_at = Some(now);
    }

    /// Whether to announce this node, now, to those that may hold themselves for the first issuer.
    pub fn start_claim(&mut self, now: Duration, view: &IssuerView) -> bool {
        let is_first = view.rank == Some(IssuerRank::First);
        let is_due = is_first && self.claimed_at.is_none_or(|at| now >= at + CLAIM_INTERVAL);
        if is_due {
            self.claimed_at = Some(now);
        }
        is_due
    }

    /// Records that another node announced itself as the first issuer.
    pub fn record_claim(&mut self, now: Duration) {
        self.contested_until = now + SETTLE_TIME;
    }

    /// Returns the share of the limit that this node may issue; `None` if it may issue no permits.
    pub fn share(&self, now: Duration, view: &IssuerView) -> Option<f64> {
        let is_confirmed = self
            .confirmed_at
            .is_some_and(|at| now < at + CONFIRMATION_TIME);
        let is_certain = view.rank? == IssuerRank::First
            && !view.is_new(now)
            && now >= self.contested_until
            && (view.is_listed || is_confirmed);
        Some(if is_certain { 1.0 } else { UNCERTAIN_SHARE })
    }
}

/// A node's use of the permits for one endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct PermitSeeker {
    /// When the issuer may be asked again.
    paused_until: Duration,
    /// When a refused caller may expect a permit.
    expected_at: Duration,
    /// Until when the second issuer is asked.
    second_until: Duration,
    /// Requests that the first issuer has not answered since its last answer.
    unanswered: u8,
    /// Callers refused since the last request for a permit.
    refused: u16,
}

impl PermitSeeker {
    /// Whether an issuer may be asked for a permit.
    pub fn may_ask(&self, now: Duration) -> bool {
        now >= self.paused_until
    }

    /// Returns when a refused caller may expect a permit.
    pub fn expected_at(&self) -> Duration {
        self.expected_at.max(self.paused_until)
    }

    /// Returns the issuer to ask.
    pub fn issuer(&self, now: Duration) -> IssuerRank {
        match now < self.second_until {
            true => IssuerRank::Second,
            false => IssuerRank::First,
        }
    }

    /// Returns the number of callers refused since the last call.
    pub fn take_refused(&mut self) -> u16 {
        std::mem::take(&mut self.refused)
    }

    /// Records that a caller was refused and told to expect a permit at
    /// [`expected_at`](PermitSeeker::expected_at). The next one is told a later time.
    pub fn record_refused(&mut self, now: Duration, per_second: f64) {
        self.refused = self.refused.saturating_add(1);
        let interval = Duration::from_secs_f64(1.0 / per_second.max(MIN_PERMITS_PER_SECOND));
        self.expected_at = (self.expected_at() + interval).min(now + MAX_WAIT);
    }

    /// Records the reply of an issuer, or that it sent none in time.
    pub fn record_reply(&mut self, now: Duration, issuer: IssuerRank, reply: Option<PermitReply>) {
        match (issuer, reply) {
            (IssuerRank::First, None) => self.unanswered = self.unanswered.saturating_add(1),
            (IssuerRank::First, Some(_)) => self.unanswered = 0,
            (IssuerRank::Second, _) => {}
        }
        match (reply, issuer) {
            (Some(PermitReply::Granted), _) => {}
            (Some(PermitReply::Denied { wait, pause }), _) => {
                self.paused_until = now + pause.min(MAX_PAUSE);
                self.expected_at = now + wait.min(MAX_WAIT);
            }
            (Some(PermitReply::NotIssuer), IssuerRank::First) => {
                self.second_until = now + SECOND_ISSUER_TIME;
            }
            (None, IssuerRank::First) => {
                let factor = 4_u32.saturating_pow(u32::from(self.unanswered.saturating_sub(1)));
                let time = MIN_SECOND_ISSUER_TIME.saturating_mul(factor);
                self.second_until = now + time.min(SECOND_ISSUER_TIME);
            }
            (Some(PermitReply::NotIssuer) | None, IssuerRank::Second) => {
                self.paused_until = now + UNANSWERED_PAUSE;
            }
        }
    }
}

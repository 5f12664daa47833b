//! How other duties reach the router duty.

use super::{Opened, RequestId, Verdict};
use crate::live::Live;
use crate::rate::Rated;
use oatdale_config::{CustomerKey, EndpointKey, Revision, ServiceKey};
use oatdale_policy::{
    LoadReport, Outcome, Refusal, RefusalReason, RequestInfo, Ticket, VersionCounters,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// When to come back after the node's own channel was full.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What other duties tell or ask the router.
pub(super) enum Call {
    Offer {
        id: RequestId,
        live: Arc<Live>,
        request_info: RequestInfo,
        reply: oneshot::Sender<Verdict>,
    },
    OpenSession {
        live: Arc<Live>,
        customer: CustomerKey,
        service: ServiceKey,
        rollout_hash: u64,
        reply: oneshot::Sender<Result<Opened, Refusal>>,
    },
    Load {
        revision: Revision,
        endpoint: EndpointKey,
        report: LoadReport,
        leaving: bool,
    },
    Holds {
        endpoint: String,
        versions: Option<Vec<String>>,
    },
    Leaving {
        endpoints: Vec<String>,
    },
    Rating(Rated, f64),
    Shares(Vec<(String, f64)>),
    Evidence {
        node: u64,
        counters: Vec<(String, VersionCounters)>,
    },
    Stopped(Vec<String>),
}

/// Calls that must never be lost, since each gives back a place that a request holds.
pub(super) enum Release {
    Finish {
        ticket: Ticket,
        outcome: Outcome,
        reply: oneshot::Sender<Verdict>,
    },
    Cancel(Ticket),
}

/// A handle to the router duty.
#[derive(Clone)]
pub(crate) struct RouteHandle {
    pub(super) calls: mpsc::Sender<Call>,
    // Unbounded, yet bounded in fact: a ticket is finished or cancelled once an attempt, and the
    // tickets are bounded by the limits of the services. If these calls could be refused, a
    // service would lose a place for good each time, and in the end refuse everything.
    pub(super) releases: mpsc::UnboundedSender<Release>,
    pub(super) start: Instant,
}

impl RouteHandle {
    /// Time since the node's start, as the router counts it.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Offers a request; waits while the request waits for its turn.
    pub(crate) async fn offer(
        &self,
        id: RequestId,
        live: Arc<Live>,
        request_info: RequestInfo,
    ) -> Verdict {
        let (reply, answer) = oneshot::channel();
        let call = Call::Offer {
            id,
            live,
            request_info,
            reply,
        };
        match self.calls.try_send(call) {
            Ok(()) => answer.await.unwrap_or_else(|_| Verdict::Refuse(busy())),
            Err(_) => Verdict::Refuse(busy()),
        }
    }

    /// Tells how an attempt ended and asks what follows.
    pub(crate) async fn finish(&self, ticket: Ticket, outcome: Outcome) -> Verdict {
        let (reply, answer) = oneshot::channel();
        let release = Release::Finish {
            ticket,
            outcome,
            reply,
        };
        match self.releases.send(release) {
            Ok(()) => answer.await.unwrap_or_else(|_| Verdict::Refuse(busy())),
            Err(_) => Verdict::Refuse(busy()),
        }
    }

    /// Gives a ticket up.
    pub(crate) fn cancel(&self, ticket: Ticket) {
        // The duty ends after all requests, so a failure to send means that nothing is held.
        let _ = self.releases.send(Release::Cancel(ticket));
    }

    /// Chooses the version of a new session.
    pub(crate) async fn open_session(
        &self,
        live: Arc<Live>,
        customer: CustomerKey,
        service: ServiceKey,
        rollout_hash: u64,
    ) -> Result<Opened, Refusal> {
        let (reply, answer) = oneshot::channel();
        let call = Call::OpenSession {
            live,
            customer,
            service,
            rollout_hash,
            reply,
        };
        match self.calls.try_send(call) {
            Ok(()) => answer.await.unwrap_or_else(|_| Err(busy())),
            Err(_) => Err(busy()),
        }
    }

    /// Passes on an engine's load report; a report that finds the channel full is dropped, since
    /// the next answer brings a newer one.
    pub(crate) fn load(
        &self,
        revision: Revision,
        endpoint: EndpointKey,
        report: LoadReport,
        leaving: bool,
    ) {
        let _ = self.calls.try_send(Call::Load {
            revision,
            endpoint,
            report,
            leaving,
        });
    }

    /// Passes on which versions an engine holds.
    pub(crate) async fn holds(&self, endpoint: String, versions: Option<Vec<String>>) {
        let _ = self.calls.send(Call::Holds { endpoint, versions }).await;
    }

    /// Replaces the list of endpoints that are leaving.
    pub(crate) async fn leaving(&self, endpoints: Vec<String>) {
        let _ = self.calls.send(Call::Leaving { endpoints }).await;
    }

    /// Passes on a late rating.
    pub(crate) async fn rating(&self, rated: Rated, score: f64) {
        let _ = self.calls.send(Call::Rating(rated, score)).await;
    }

    /// Replaces this node's shares of the customers' limits.
    pub(crate) async fn shares(&self, shares: Vec<(String, f64)>) {
        let _ = self.calls.send(Call::Shares(shares)).await;
    }

    /// Passes on another node's counters.
    pub(crate) async fn evidence(&self, node: u64, counters: Vec<(String, VersionCounters)>) {
        let _ = self.calls.send(Call::Evidence { node, counters }).await;
    }

    /// Replaces the list of versions that were stopped as bad.
    pub(crate) async fn stopped(&self, versions: Vec<String>) {
        let _ = self.calls.send(Call::Stopped(versions)).await;
    }
}

fn busy() -> Refusal {
    Refusal {
        reason: RefusalReason::Overload,
        retry_after: Some(BUSY_RETRY_AFTER),
    }
}

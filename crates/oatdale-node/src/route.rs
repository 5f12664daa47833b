//! The router duty: one task owns the [`Router`] and answers the requests of all other duties.
//!
//! Requests come over a bounded channel. When it is full the node itself is overloaded, and the
//! request is refused at once.

mod handle;
mod news;
mod state;

use crate::latest::Latest;
use crate::live::Live;
use crate::metrics::Metrics;
use crate::route::handle::{Call, Release};
use crate::route::state::State;
use oatdale_config::{Revision, VersionKey};
use oatdale_policy::{Dispatch, NodeIdentity, Refusal, VersionCounters};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

pub(crate) use crate::route::handle::RouteHandle;

/// Calls that may wait for the router.
const WAITING_CALLS: usize = 4096;

/// How often the router's gauges are copied into the metrics and its evidence to other nodes.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// A request's id, the same in logs, bills and answers.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub(crate) struct RequestId(pub(crate) u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// An attempt to be sent, with the revision whose keys it uses.
#[derive(Clone)]
pub(crate) struct Routed {
    /// What to send where.
    pub(crate) dispatch: Dispatch,
    /// The revision that the decision was made under.
    pub(crate) live: Arc<Live>,
}

/// The router's answer to a request or to the end of one of its attempts.
pub(crate) enum Verdict {
    /// Send this attempt.
    Run(Routed),
    /// The request is over.
    Done,
    /// Give this as the final answer.
    Refuse(Refusal),
}

/// A session's version, chosen when the session opens.
pub(crate) struct Opened {
    /// The revision that `version` belongs to.
    pub(crate) live: Arc<Live>,
    /// The version.
    pub(crate) version: VersionKey,
}

/// What this node tells other nodes of its traffic.
#[derive(Clone, Default)]
pub(crate) struct Report {
    /// Demand by customer name, as a part of the customer's limit of requests a second.
    pub(crate) demand: Vec<(String, f64)>,
    /// Counters of versions, by name.
    pub(crate) evidence: Vec<(String, VersionCounters)>,
    /// From 0 (idle) to 1 (full).
    pub(crate) load: f32,
}
/// What the router duty reads and writes.
pub(crate) struct Duty {
    calls: mpsc::Receiver<Call>,
    releases: mpsc::UnboundedReceiver<Release>,
    links: Links,
    start: Instant,
}

/// The router duty's links to other duties.
pub(crate) struct Links {
    /// The configuration in force.
    pub(crate) live: Latest<Live>,
    /// Where it tells of its traffic.
    pub(crate) reports: watch::Sender<Report>,
    /// Where it tells of versions found to be bad.
    pub(crate) stops: mpsc::Sender<StopNotice>,
    /// The node's metrics.
    pub(crate) metrics: Metrics,
    /// The node's own failure domain.
    pub(crate) domain: String,
    /// The router's seed.
    pub(crate) identity: NodeIdentity,
}

/// A version that the evidence speaks against, to be recorded for all nodes.
#[derive(Clone, PartialEq, Debug)]
pub(crate) struct StopNotice {
    /// The version's name.
    pub(crate) version: String,
    /// The revision that the decision was made under.
    pub(crate) revision: Revision,
    /// Why, for operators.
    pub(crate) reason: String,
}

/// Makes the duty and a handle to it.
pub(crate) fn channel(links: Links) -> (RouteHandle, Duty) {
    let (tx, calls) = mpsc::channel(WAITING_CALLS);
    let (release_tx, releases) = mpsc::unbounded_channel();
    let start = Instant::now();
    let handle = RouteHandle {
        calls: tx,
        releases: release_tx,
        start,
    };
    let duty = Duty {
        calls,
        releases,
        links,
        start,
    };
    (handle, duty)
}

/// Runs the duty until every handle is gone.
pub(crate) async fn run(mut duty: Duty) {
    let links = &mut duty.links;
    let live = links.live.take();
    let mut state = State::new(links, live, duty.start);
    let mut report_at = Instant::now() + REPORT_INTERVAL;
    loop {
        let wake = state.next_wake().map_or(report_at, |at| at.min(report_at));
        tokio::select! {
            biased;
            Ok(()) = links.live.changed() => {
                let live = links.live.take();
                state.reconfigure(live);
            }
            Some(release) = duty.releases.recv() => {
                state.catch_up(&mut links.live);
                state.release(release);
            }
            call = duty.calls.recv() => match call {
                Some(call) => {
                    state.catch_up(&mut links.live);
                    state.call(call);
                }
                None => return,
            },
            () = sleep_until(wake) => {}
        }
        state.catch_up(&mut links.live);
        state.process_queue();
        if Instant::now() >= report_at {
            report_at = Instant::now() + REPORT_INTERVAL;
            links.reports.send_replace(state.report());
            state.notify_stops(&links.stops);
        }
    }
}

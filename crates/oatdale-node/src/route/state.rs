//! The router with the requests that wait for it.

use super::handle::{Call, Release};
use super::{Links, Opened, Report, RequestId, Routed, StopNotice, Verdict};
use crate::latest::Latest;
use crate::live::Live;
use crate::metrics::Metrics;
use log::info;
use oatdale_config::{CustomerKey, ServiceKey};
use oatdale_policy::{
    AdmissionDecision, AttemptDecision, Dispatch, Outcome, QueueDecision, Refusal, RefusalReason,
    RequestInfo, Router, Snapshot, StopDecision, Ticket, VersionReason,
};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

pub(super) struct State {
    pub(super) router: Router,
    pub(super) live: Arc<Live>,
    waiting: HashMap<Ticket, oneshot::Sender<Verdict>>,
    ids: HashMap<Ticket, RequestId>,
    stopped: Vec<String>,
    /// Endpoints that the platform's list says are leaving.
    pub(super) listed_leaving: HashSet<String>,
    /// Endpoints that said so themselves.
    pub(super) said_leaving: HashSet<String>,
    domain: String,
    start: Instant,
    metrics: Metrics,
}

impl State {
    /// A router under `live` that knows of nothing else.
    pub(super) fn new(links: &Links, live: Arc<Live>, start: Instant) -> State {
        State {
            router: Router::new(live.cfg.clone(), links.identity),
            waiting: HashMap::new(),
            ids: HashMap::new(),
            stopped: Vec::new(),
            listed_leaving: HashSet::new(),
            said_leaving: HashSet::new(),
            domain: links.domain.clone(),
            live,
            start,
            metrics: links.metrics.clone(),
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub(super) fn next_wake(&self) -> Option<Instant> {
        self.router.next_wake().map(|at| self.start + at)
    }

    /// Takes a revision that came while this duty was about to decide something else. Without it
    /// a version that was withdrawn could get a request that came after the node had said that the
    /// revision is in force.
    pub(super) fn catch_up(&mut self, live: &mut Latest<Live>) {
        if live.has_changed().unwrap_or(false) {
            let live = live.take();
            self.reconfigure(live);
        }
    }

    pub(super) fn reconfigure(&mut self, live: Arc<Live>) {
        let now = self.now();
        self.router.reconfigure(now, live.cfg.clone());
        info!(target: "route", "event=reconfigured revision={}", live.revision.0);
        self.live = live;
        let domain = self.live.cfg.domains.find(|d| d.name == self.domain);
        self.router.set_domain(domain);
        self.apply_stopped();
        self.apply_leaving();
    }

    fn apply_stopped(&mut self) {
        for key in self.live.cfg.versions.keys() {
            let name = self.live.cfg.version_name(key);
            let stopped = self.stopped.contains(&name);
            self.router.set_stopped(key, stopped);
        }
    }

    pub(super) fn call(&mut self, call: Call) {
        match call {
            Call::Offer {
                id,
                live,
                request_info,
                reply,
            } => self.offer(id, &live, &request_info, reply),
            Call::OpenSession {
                live,
                customer,
                service,
                rollout_hash,
                reply,
            } => {
                let opened = self.open_session(&live, customer, service, rollout_hash);
                // A caller that went away needs no session.
                let _ = reply.send(opened);
            }
            Call::Load {
                revision,
                endpoint,
                report,
                leaving,
            } if revision == self.live.revision && self.live.knows(endpoint) => {
                self.load(endpoint, report, leaving);
            }
            Call::Load { .. } => {}
            Call::Holds { endpoint, versions } => self.holds(&endpoint, versions),
            Call::Leaving { endpoints } => {
                self.listed_leaving = endpoints.into_iter().collect();
                self.apply_leaving();
            }
            Call::Rating(rated, score) => self.rating(&rated, score),
            Call::Shares(shares) => self.shares(&shares),
            Call::Evidence { node, counters } => self.evidence(node, counters),
            Call::Stopped(versions) => {
                self.stopped = versions;
                self.apply_stopped();
            }
        }
    }

    fn offer(
        &mut self,
        id: RequestId,
        from: &Live,
        request_info: &RequestInfo,
        reply: oneshot::Sender<Verdict>,
    ) {
        let Some(request_info) = self.live.translate(from, request_info) else {
            self.refuse(id, reply, no_version());
            return;
        };
        let now = self.now();
        match self.router.offer(now, &request_info) {
            AdmissionDecision::Run(dispatch) => {
                self.ids.insert(dispatch.ticket, id);
                self.send(reply, dispatch);
            }
            AdmissionDecision::Wait(ticket) => {
                self.ids.insert(ticket, id);
                self.waiting.insert(ticket, reply);
            }
            AdmissionDecision::Refuse(refusal) => self.refuse(id, reply, refusal),
        }
    }

    /// Hands a dispatch to its request; if the caller went away meanwhile, gives it back.
    fn send(&mut self, reply: oneshot::Sender<Verdict>, dispatch: Dispatch) {
        self.log_dispatch(&dispatch);
        let routed = Routed {
            dispatch,
            live: self.live.clone(),
        };
        if reply.send(Verdict::Run(routed)).is_err() {
            self.cancel(dispatch.ticket);
        }
    }

    fn refuse(&mut self, id: RequestId, reply: oneshot::Sender<Verdict>, refusal: Refusal) {
        info!(
            target: "route",
            "event=refused request={id} reason={:?} retry_after_ms={} revision={}",
            refusal.reason,
            refusal.retry_after.unwrap_or_default().as_millis(),
            self.live.revision.0
        );
        self.metrics.refused(refusal.reason);
        // A caller that went away needs no refusal.
        let _ = reply.send(Verdict::Refuse(refusal));
    }

    pub(super) fn release(&mut self, release: Release) {
        match release {
            Release::Cancel(ticket) => self.cancel(ticket),
            Release::Finish {
                ticket,
                outcome,
                reply,
            } => self.finish(ticket, &outcome, reply),
        }
    }

    fn cancel(&mut self, ticket: Ticket) {
        let now = self.now();
        self.router.cancel(now, ticket);
        self.waiting.remove(&ticket);
        self.ids.remove(&ticket);
    }

    fn finish(&mut self, ticket: Ticket, outcome: &Outcome, reply: oneshot::Sender<Verdict>) {
        let now = self.now();
        match self.router.finish(now, ticket, outcome) {
            AttemptDecision::Run(dispatch) => self.send(reply, dispatch),
            AttemptDecision::Done => {
                self.ids.remove(&ticket);
                let _ = reply.send(Verdict::Done);
            }
            AttemptDecision::Refuse(refusal) => {
                let id = self.ids.remove(&ticket).unwrap_or(RequestId(0));
                self.refuse(id, reply, refusal);
            }
        }
    }

    /// Answers the waiting requests on which the router has decided.
    pub(super) fn process_queue(&mut self) {
        let now = self.now();
        while let Some((ticket, decision)) = self.router.poll_queue(now) {
            let reply = self.waiting.remove(&ticket);
            match (decision, reply) {
                (QueueDecision::Run(dispatch), Some(reply)) => self.send(reply, dispatch),
                (QueueDecision::Run(_), None) => self.cancel(ticket),
                (QueueDecision::Refuse(refusal), Some(reply)) => {
                    let id = self.ids.remove(&ticket).unwrap_or(RequestId(0));
                    self.refuse(id, reply, refusal);
                }
                (QueueDecision::Refuse(_), None) => {
                    self.ids.remove(&ticket);
                }
            }
        }
    }

    fn open_session(
        &mut self,
        from: &Live,
        customer: CustomerKey,
        service: ServiceKey,
        rollout_hash: u64,
    ) -> Result<Opened, Refusal> {
        let customer = &from.cfg.customers[customer].name;
        let service = &from.cfg.services[service].name;
        let (Some(customer), Some(service)) = (
            self.live.cfg.customers.find(|c| c.name == *customer),
            self.live.service(service),
        ) else {
            return Err(no_version());
        };
        let now = self.now();
        let (version, reason) = self
            .router
            .open_session(now, customer, service, rollout_hash)?;
        info!(
            target: "route",
            "event=session customer={:?} service={:?} version={:?} why={reason:?} revision={}",
            self.live.cfg.customers[customer].name,
            self.live.cfg.services[service].name,
            self.live.cfg.version_name(version),
            self.live.revision.0
        );
        Ok(Opened {
            live: self.live.clone(),
            version,
        })
    }

    pub(super) fn report(&mut self) -> Report {
        let now = self.now();
        let snapshot = self.router.snapshot();
        self.metrics.router(&self.live.cfg, &snapshot);
        Report {
            demand: self
                .router
                .demand(now)
                .map(|(key, rate)| {
                    let customer = &self.live.cfg.customers[key];
                    let part = rate / customer.limits.requests_per_second;
                    (customer.name.clone(), part)
                })
                .collect(),
            evidence: self
                .router
                .evidence()
                .into_iter()
                .map(|counters| (self.live.cfg.version_name(counters.version), counters))
                .collect(),
            load: load(&snapshot),
        }
    }

    pub(super) fn notify_stops(&mut self, stops: &mpsc::Sender<StopNotice>) {
        let now = self.now();
        for StopDecision { version, fault, .. } in self.router.take_stops(now) {
            let notice = StopNotice {
                version: self.live.cfg.version_name(version),
                revision: self.live.revision,
                reason: format!("{fault:?}"),
            };
            info!(
                target: "route",
                "event=stop version={:?} reason={:?} revision={}",
                notice.version, notice.reason, notice.revision.0
            );
            // The router has stopped the version here in any case; if the channel is full the
            // evidence makes the next node decide the same.
            let _ = stops.try_send(notice);
        }
    }

    fn log_dispatch(&self, dispatch: &Dispatch) {
        let cfg = &self.live.cfg;
        let id = self.ids.get(&dispatch.ticket);
        let version = dispatch.version.map(|key| cfg.version_name(key));
        info!(
            target: "route",
            "event=dispatch request={} attempt={} endpoint={:?} version={:?} considered={} \
             why_version={:?} why_endpoint={:?} judge={} revision={}",
            id.copied().unwrap_or(RequestId(0)),
            dispatch.attempt,
            cfg.endpoints[dispatch.endpoint].name,
            version.as_deref().unwrap_or("-"),
            dispatch.considered,
            dispatch.version_reason,
            dispatch.endpoint_reason,
            dispatch.needs_rating,
            self.live.revision.0
        );
        self.metrics.dispatched(
            dispatch.version_reason == VersionReason::Escalated,
            dispatch.attempt,
        );
    }
}

/// How full the fullest pool is, from 0 to 1.
fn load(snapshot: &Snapshot) -> f32 {
    let full = snapshot
        .pools
        .iter()
        .map(|pool| f64::from(pool.running) / pool.limit.max(1.0))
        .fold(0.0, f64::max);
    full.min(1.0) as f32
}

fn no_version() -> Refusal {
    Refusal {
        reason: RefusalReason::NoVersion,
        retry_after: None,
    }
}

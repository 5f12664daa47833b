//! Probes engines on behalf of requests that wait there.
//!
//! A silent engine may be processing a long prompt, or it may be down; it may also have lost one
//! request while it responds to others. Without a probe, the relay would abandon streams that are
//! still running or wait for streams that are lost. The result of one probe serves all requests
//! that wait at the engine.

use crate::cx::Cx;
use crate::directory::Entry;
use crate::in_flight::InFlightRequest;
use crate::permits::{self, PermitUse};
use crate::reachability;
use crate::wire::{ResponseId, StatedLimit, Wire};
use http::{Request, Uri};
use http_body_util::{BodyExt, Full, Limited};
use oatdale_platform::{Reuse, discard_connection};
use oatdale_policy::relay::EngineReport;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How long an engine may take to respond to a probe.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which an engine's report lists a request that the engine has received: reports lag by
/// a few hundred milliseconds.
const REPORT_DELAY: Duration = Duration::from_millis(600);

/// How long a report is reused for other requests. Each probe costs the engine work, and many
/// requests wait there under overload.
const REPORT_MAX_AGE: Duration = Duration::from_millis(600);

/// Maximum size of a report in bytes: enough for a few hundred requests.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Result of a probe.
#[derive(Clone, PartialEq, Debug)]
enum ProbeResult {
    /// The engine limits its requests, and this node got no permit for the probe.
    NotSent,
    /// The engine did not respond in time.
    Unreachable,
    /// The engine responded; `report` is `None` if it sent none or an invalid one.
    Alive {
        report: Option<Arc<EngineReport>>,
        leaving: bool,
        cold_left: Option<Duration>,
        limit: Option<StatedLimit>,
        max_rejections: Option<u32>,
    },
}

impl ProbeResult {
    /// The engine responded to something else, so nothing but that it is alive is known.
    const ALIVE_WITHOUT_REPORT: Self = ProbeResult::Alive {
        report: None,
        leaving: false,
        cold_left: None,
        limit: None,
        max_rejections: None,
    };
}

/// An engine's report and the time at which it was received.
#[derive(Clone, Debug)]
pub(crate) struct ProbeReport {
    at: Duration,
    report: Arc<EngineReport>,
}

impl<W: Wire> InFlightRequest<W> {
    /// Whether the endpoint is unresponsive: no bytes were received for `silence`, and it does not
    /// respond to a probe, which a live engine answers at once.
    pub(crate) async fn is_unresponsive(&self, silence: Duration) -> bool {
        let now = self.cx.now();
        {
            let mut state = self.cx.state();
            let Some(entry) = state.directory.get_mut(self.key) else {
                return false;
            };
            if now < entry.last_progress + silence {
                return false;
            }
            if entry.health.is_ejected(now) {
                return true;
            }
            if !try_start_probe(entry, now) {
                return false;
            }
        }
        self.probe_endpoint().await == ProbeResult::Unreachable
    }

    /// Whether the endpoint's report shows that it does not have the request `id`, which was sent
    /// `waited` ago.
    pub(crate) async fn has_lost_request(&self, id: &str, waited: Duration) -> bool {
        let now = self.cx.now();
        let sent_at = now.saturating_sub(waited);
        {
            let mut state = self.cx.state();
            let Some(entry) = state.directory.get_mut(self.key) else {
                return false;
            };
            let cached = entry.report.as_ref();
            let cached =
                cached.filter(|r| r.at >= sent_at + REPORT_DELAY && now < r.at + REPORT_MAX_AGE);
            match cached.map(|r| r.report.has_lost(id)) {
                Some(lost) => return lost,
                None if waited < REPORT_DELAY || !try_start_probe(entry, now) => return false,
                None => {}
            }
        }
        match self.probe_endpoint().await {
            ProbeResult::Alive { report, .. } => report.is_some_and(|r| r.has_lost(id)),
            ProbeResult::Unreachable | ProbeResult::NotSent => false,
        }
    }

    async fn probe_endpoint(&self) -> ProbeResult {
        let permit_use = PermitUse {
            id: None,
            is_optional: true,
        };
        if !permits::obtain(&self.cx, self, permit_use).await {
            return ProbeResult::NotSent;
        }
        let sent_at = Instant::now();
        let result = self.cx.probe(self.addr).await;
        match &result {
            ProbeResult::NotSent => {}
            ProbeResult::Unreachable => {
                log::info!(target: "probe", "event=probed endpoint={} alive=false", self.id);
                self.record_no_response();
                reachability::record_failure(&self.cx, self.key);
            }
            ProbeResult::Alive {
                report,
                leaving,
                cold_left,
                limit,
                max_rejections,
            } => {
                match report {
                    Some(report) => {
                        log::info!(
                            target: "probe",
                            "event=probed endpoint={} alive=true waiting={} active={} generating={}",
                            self.id, report.waiting, report.active, report.generating.len()
                        );
                        self.store_report(report.clone());
                    }
                    None => {
                        log::info!(target: "probe", "event=probed endpoint={} alive=true", self.id);
                    }
                }
                self.record_progress();
                if let Some(left) = cold_left {
                    self.record_cold(*left);
                }
                // A missing limit shows its end only in responses to requests.
                if limit.is_some() || max_rejections.is_some() {
                    self.record_limit(*limit, *max_rejections, sent_at);
                }
                if *leaving {
                    self.record_leaving();
                }
            }
        }
        result
    }

    fn store_report(&self, report: Arc<EngineReport>) {
        let at = self.cx.now();
        if let Some(entry) = self.cx.state().directory.get_mut(self.key) {
            entry.report = Some(ProbeReport { at, report });
        }
    }
}

impl<W: Wire> Cx<W> {
    /// Sends a probe to an engine, which responds at once unless it is down.
    async fn probe(&self, addr: SocketAddr) -> ProbeResult {
        let mut req = Request::new(Full::default());
        *req.uri_mut() = Uri::from_static(self.wire.probe_path());
        let deadline = Instant::now() + PROBE_TIMEOUT;
        let Ok(res) = self.pool.send(addr, req, Reuse::Allowed, deadline).await else {
            return ProbeResult::Unreachable;
        };
        let (head, body) = res.into_parts();
        let metadata = self.wire.response(&head);
        // A probe has no id: this is a late response to a request, and the probe's own follows it.
        if metadata.id != ResponseId::Missing {
            discard_connection(&head);
            return ProbeResult::ALIVE_WITHOUT_REPORT;
        }
        let body = Limited::new(body, MAX_REPORT_BYTES).collect();
        let report = match timeout_at(deadline, body).await {
            Ok(Ok(body)) => self.wire.engine_report(&body.to_bytes()).map(Arc::new),
            Ok(Err(_)) | Err(_) => None,
        };
        ProbeResult::Alive {
            report,
            leaving: metadata.leaving,
            cold_left: metadata.cold_left,
            limit: metadata.limit,
            max_rejections: metadata.max_rejections,
        }
    }
}

/// Whether a probe may be sent now; if so, records its time. A request that may not probe sees the
/// result of the probe already sent at its next check.
fn try_start_probe(entry: &mut Entry, now: Duration) -> bool {
    let is_due = now >= entry.last_probe + PROBE_TIMEOUT * 2;
    if is_due {
        entry.last_probe = now;
    }
    is_due
}

//! Speeds of endpoints, learned from this node's responses and exchanged with the other nodes.
//!
//! Used only where the settings enable `endpoint-speeds`; otherwise nothing is recorded, sent or
//! accepted, and every factor is 1.

mod wire;

pub use crate::speeds::wire::{EndpointSpeed, MAX_SPEEDS_PER_DATAGRAM};

use crate::cx::Cx;
use crate::directory::EndpointKey;
use crate::gossip::{self, Message};
use crate::in_flight::InFlightRequest;
use crate::line_limit::LineLimit;
use crate::request_context::RequestContext;
use crate::state::{State, hash};
use crate::wire::Wire;
use oatdale_policy::relay::{
    EstimateFault, GapSampler, MergeOutcome, SlownessChange, SpeedOrigin, SpeedTable, UsualTime,
};
use rand::seq::IteratorRandom;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two datagrams with estimates.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Fraction by which the interval varies: nodes that started together would otherwise send at the
/// same moments.
const INTERVAL_JITTER: f64 = 0.1;

/// Nodes that each datagram is sent to.
const RECEIVERS: usize = 2;

/// Maximum number of kinds of work whose usual times are kept. Each rollout adds some; when there
/// are too many, all are learned again, which takes seconds.
const MAX_WORK_CLASSES: usize = 1_000;

/// Endpoints that may have an estimate, as a multiple of the known ones, and their minimum number: a
/// node that has just started does not know all endpoints yet.
const MAX_ESTIMATES_PER_ENDPOINT: usize = 2;
const MIN_ESTIMATES: usize = 1_000;

/// Maximum number of pairs of sender and fault that are logged.
const MAX_LOGGED_FAULTS: usize = 64;

/// What a node knows of the speeds of endpoints.
#[derive(Debug, Default)]
pub(crate) struct Speeds {
    table: SpeedTable,
    usual: HashMap<u64, UsualTime>,
    /// Faults in estimates, as logged.
    faults: BTreeSet<(SocketAddr, EstimateFault)>,
    lines: LineLimit,
}

/// Work whose time is compared between endpoints.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Work {
    /// The time between two events of a stream.
    Event,
    /// The time to the response of a plain call.
    Response,
}

/// Times of the reads of one stream, from which samples of its endpoint's speed are taken.
#[derive(Debug, Default)]
pub(crate) struct StreamTimes {
    sampler: GapSampler,
    /// Events of earlier reads.
    events: u64,
}

impl Speeds {
    /// Returns the time that a unit of work takes at an endpoint relative to the usual one; 1 if
    /// unknown.
    pub(crate) fn factor(&self, now: Duration, endpoint: u32) -> f64 {
        match self.table.is_empty() {
            true => 1.0,
            false => self.table.factor(now, endpoint),
        }
    }

    fn record(&mut self, now: Duration, endpoint: u32, class: u64, time: Duration) -> bool {
        if self.usual.len() >= MAX_WORK_CLASSES && !self.usual.contains_key(&class) {
            self.usual.clear();
        }
        let sample = self.usual.entry(class).or_default().record(time);
        if let Some(sample) = sample {
            self.table.record_sample(now, endpoint, sample);
        }
        sample.is_some()
    }
}

impl StreamTimes {
    /// Records a read that began at `began` and after which the stream has had `events` events.
    pub(crate) fn record_read<W: Wire>(
        &mut self,
        cx: &Cx<W>,
        request_cx: &RequestContext,
        in_flight: Option<&InFlightRequest<W>>,
        began: Duration,
        events: u64,
    ) {
        let new = events - std::mem::replace(&mut self.events, events);
        let gap = self.sampler.record_read(began, cx.now(), new);
        if let (Some(gap), Some(in_flight)) = (gap, in_flight) {
            record(cx, request_cx, in_flight, Work::Event, gap);
        }
    }

    /// Begins again at another endpoint, which continues the stream.
    pub(crate) fn restart(&mut self) {
        self.sampler = GapSampler::default();
    }
}

/// Records the time of a successful response to a plain call.
pub(crate) fn record_response<W: Wire>(
    cx: &Cx<W>,
    request_cx: &RequestContext,
    in_flight: &InFlightRequest<W>,
    time: Duration,
) {
    record(cx, request_cx, in_flight, Work::Response, time);
}

fn record<W: Wire>(
    cx: &Cx<W>,
    request_cx: &RequestContext,
    in_flight: &InFlightRequest<W>,
    work: Work,
    time: Duration,
) {
    if !cx.settings.load_control.endpoint_speeds {
        return;
    }
    let route = request_cx.route().name.as_str();
    let kind = match work {
        Work::Event => request_cx.model().unwrap_or(route),
        Work::Response => route,
    };
    let class = hash(&(work, &request_cx.service, &in_flight.version, kind));
    let mut state = cx.state();
    let Some(endpoint) = number(&state, in_flight.key) else {
        return;
    };
    if state.speeds.record(cx.now(), endpoint, class, time) {
        cx.metrics.speed_samples.inc();
    }
}

fn number(state: &State, key: EndpointKey) -> Option<u32> {
    state.directory.get(key).map(|entry| entry.number)
}

/// Merges the estimates of another node.
pub(crate) fn handle_speeds<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    from: SocketAddr,
    estimates: &[EndpointSpeed],
) {
    if !cx.settings.load_control.endpoint_speeds {
        return;
    }
    let now = cx.now();
    let max_len = MIN_ESTIMATES.max(MAX_ESTIMATES_PER_ENDPOINT * state.directory.len());
    for estimate in estimates {
        let outcome = state.speeds.table.merge(now, &estimate.into(), max_len);
        let label = match outcome {
            MergeOutcome::Kept => "kept",
            MergeOutcome::Older => "older",
            MergeOutcome::Full => "full",
            MergeOutcome::Invalid(_) => "invalid",
        };
        cx.metrics.speed_estimates.with_label_values(&[label]).inc();
        if let MergeOutcome::Invalid(fault) = outcome {
            log_fault(&mut state.speeds, from, fault);
        }
    }
}

fn log_fault(speeds: &mut Speeds, from: SocketAddr, fault: EstimateFault) {
    if speeds.faults.len() < MAX_LOGGED_FAULTS && speeds.faults.insert((from, fault)) {
        log::warn!(target: "speeds", "event=invalid_speed from={from} fault={fault:?}");
    }
}

/// Periodically sends estimates to other nodes.
pub(crate) async fn run_exchange<W: Wire>(cx: Arc<Cx<W>>) {
    loop {
        let jitter = rand::random_range(1.0 - INTERVAL_JITTER..1.0 + INTERVAL_JITTER);
        tokio::time::sleep(EXCHANGE_INTERVAL.mul_f64(jitter)).await;
        exchange(&cx);
    }
}

fn exchange<W: Wire>(cx: &Cx<W>) {
    let now = cx.now();
    let mut state = cx.state();
    log_changes(cx, &mut state);
    let estimates = state
        .speeds
        .table
        .next_estimates(now, MAX_SPEEDS_PER_DATAGRAM);
    if estimates.is_empty() {
        return;
    }
    let estimates = estimates.iter().map(EndpointSpeed::from).collect();
    let others = gossip::other_nodes(cx, &state);
    let receivers = others.sample(&mut rand::rng(), RECEIVERS);
    gossip::send_now(cx, receivers.into_iter(), &Message::Speeds(estimates));
}

/// Logs which endpoints have become slow, or are so no longer, and updates the metrics.
fn log_changes<W: Wire>(cx: &Cx<W>, state: &mut State) {
    let now = cx.now();
    let changes = state.speeds.table.update(now);
    cx.metrics
        .slow_endpoints
        .set(state.speeds.table.slow_count() as i64);
    cx.metrics
        .endpoint_speeds
        .set(state.speeds.table.len() as i64);
    if changes.is_empty() {
        return;
    }
    let changes: HashMap<u32, SlownessChange> =
        changes.into_iter().map(|c| (c.endpoint, c)).collect();
    for endpoint in state.directory.iter(now) {
        let Some(change) = changes.get(&endpoint.number()) else {
            continue;
        };
        if !state.speeds.lines.allows(now) {
            continue;
        }
        let from = match change.origin {
            SpeedOrigin::Own => "own",
            SpeedOrigin::Received => "nodes",
        };
        log::info!(
            target: "speeds",
            "event=endpoint_speed id={} factor={:.2} samples={:.1} from={from} slow={} slow_ms={}",
            endpoint.id, change.factor, change.samples, change.is_slow, change.slow_for.as_millis()
        );
    }
    let omitted = state.speeds.lines.take_omitted();
    if omitted > 0 {
        log::info!(target: "speeds", "event=endpoint_speeds omitted={omitted}");
    }
}

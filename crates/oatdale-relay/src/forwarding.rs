//! Requests that a node forwards to another one, since it reaches no endpoint of their service
//! itself.
//!
//! The other node handles the request like one of its own callers', with the attempts that are left,
//! and never forwards it further: two nodes that are both cut off must not pass it to and fro. What
//! has to be decided for the whole request stays with the node that has the caller: how often it may
//! still be sent, and where a broken stream resumes.

mod wire;

pub(crate) use crate::forwarding::wire::{
    FORWARDED, ForwardedRequest, ForwardedResponse, HeaderError, NodeRefusal,
};

use crate::attempt::{Failure, SendOptions, is_final, latency_target};
use crate::cx::Cx;
use crate::endpoint_response::{EndpointResponse, Upstream};
use crate::reachability;
use crate::reply::{Body, Refusal};
use crate::request_context::RequestContext;
use crate::state::hash;
use crate::update::Node;
use crate::wire::{ResponseId, Wire};
use http::{HeaderValue, Request, Response, StatusCode, header, response};
use http_body_util::Full;
use hyper::body::Incoming;
use oatdale_platform::{ResponseConnection, SendError, discard_connection};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time without a response, as a multiple of the target latency, after which the other node counts as
/// lost. It abandons endpoints itself much earlier.
const LOST_NODE_FACTOR: f64 = 4.0;

/// Maximum number of nodes tried for one request, with those that others name.
const MAX_TRIES_WITH_NAMED: usize = 6;

/// The node that a response was forwarded by.
#[derive(Clone, Debug)]
pub(crate) struct ForwardingNode {
    host: String,
    /// The endpoint whose response it is.
    pub(crate) endpoint: String,
}

/// What became of a request at another node.
enum Outcome<W> {
    Response(Box<EndpointResponse<W>>),
    /// Another node may serve it, perhaps the one on this host.
    OtherNode {
        reason: String,
        serving_host: Option<String>,
    },
    /// The node states that the request has not run, and that others would refuse it too.
    Refused(Failure),
    /// The node states that the request may have run and got no response.
    ResponseLost(Failure),
    /// The connection to the node failed.
    Failed(Failure),
}

/// Whether a request has to be forwarded, since this node reaches no endpoint of its service.
pub(crate) async fn is_needed<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &RequestContext,
    options: SendOptions,
) -> Result<bool, Failure> {
    let service = &request_cx.service;
    let is_unreachable = match options.purpose.follows_failure() {
        true => reachability::is_unreachable_after_failure(cx, service).await,
        false => reachability::is_unreachable(cx, service),
    };
    match is_unreachable && request_cx.forwarded.is_some() {
        true => Err(Failure::NoNode("cut off too".to_owned())),
        false => Ok(is_unreachable),
    }
}

/// Whether requests for a service can be forwarded, and have to be.
pub(crate) fn is_in_use<W: Wire>(cx: &Cx<W>, service: &str) -> bool {
    reachability::is_unreachable(cx, service) && cx.state().nodes.iter(cx.now()).count() > 1
}

/// Sends a request to other nodes, one after another, until one gets a response for it.
pub(crate) async fn forward<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &mut RequestContext,
    options: SendOptions,
) -> Result<EndpointResponse<W>, Failure> {
    let mut tried = Vec::new();
    let mut reason = "no other node is known".to_owned();
    let mut max_tries = {
        let mut state = cx.state();
        let reach = state.reach.entry(request_cx.service.clone()).or_default();
        reach.targets.max_tries(cx.now())
    };
    while tried.len() < max_tries {
        let Some(node) = pick_node(cx, &request_cx.service, &tried) else {
            break;
        };
        tried.push(hash(&node.host));
        let sent_at = Instant::now();
        request_cx.is_being_sent = true;
        let outcome = send(cx, request_cx, &node, options).await;
        request_cx.is_being_sent = false;
        if let Some(can_serve) = outcome.can_serve() {
            record(cx, &request_cx.service, &node.host, can_serve);
        }
        cx.metrics
            .forwarded
            .with_label_values(&[outcome.name()])
            .inc();
        log::info!(
            target: "forwarding",
            "event=forwarded id={} service={} purpose={} host={} after_event={:?} sends={} took_ms={} end={} {}",
            request_cx.metadata.id.as_deref().unwrap_or("-"), request_cx.service, options.purpose.name(),
            node.host, options.last_event_id, request_cx.sends, sent_at.elapsed().as_millis(),
            outcome.name(), outcome.detail()
        );
        match outcome {
            Outcome::Response(res) => return Ok(*res),
            Outcome::Refused(failure)
            | Outcome::ResponseLost(failure)
            | Outcome::Failed(failure) => return Err(failure),
            Outcome::OtherNode {
                reason: why,
                serving_host,
            } => {
                reason = why;
                let host = serving_host.filter(|host| *host != cx.settings.host);
                let is_new = host.is_some_and(|host| record_named(cx, &request_cx.service, &host));
                max_tries += usize::from(is_new && max_tries < MAX_TRIES_WITH_NAMED);
            }
        }
    }
    Err(Failure::NoNode(reason))
}

fn pick_node<W: Wire>(cx: &Cx<W>, service: &str, tried: &[u64]) -> Option<Node> {
    let now = cx.now();
    let state = cx.state();
    let targets = &state.reach.get(service)?.targets;
    let others = state.nodes.iter(now);
    let others = others.filter(|n| n.host != cx.settings.host && n.state.is_some());
    let others: Vec<_> = others.map(|node| (hash(&node.host), node)).collect();
    let candidates = others.iter().map(|(number, _)| *number);
    let candidates: Vec<_> = candidates.filter(|n| !tried.contains(n)).collect();
    let picked = targets.pick(now, &candidates, rand::random())?;
    let picked = others.iter().find(|(number, _)| *number == picked)?;
    Some(picked.1.clone())
}

/// Records whether a node can serve requests.
fn record<W: Wire>(cx: &Cx<W>, service: &str, host: &str, can_serve: bool) {
    let now = cx.now();
    let mut state = cx.state();
    let reach = state.reach.entry(service.to_owned()).or_default();
    reach.targets.record(now, hash(&host), can_serve);
}

/// Records that another node named this host, and returns whether that is new.
fn record_named<W: Wire>(cx: &Cx<W>, service: &str, host: &str) -> bool {
    let now = cx.now();
    let mut state = cx.state();
    let reach = state.reach.entry(service.to_owned()).or_default();
    reach.targets.record_named(now, hash(&host))
}

/// Returns the host of a node that has served requests for a service, to be named to others.
fn serving_host<W: Wire>(cx: &Cx<W>, service: &str) -> Option<String> {
    let now = cx.now();
    let state = cx.state();
    let targets = &state.reach.get(service)?.targets;
    let number = targets.confirmed(now, rand::random())?;
    let mut hosts = state.nodes.iter(now).map(|node| &node.host);
    hosts.find(|host| hash(host) == number).cloned()
}

/// Sends a request to another node and classifies the outcome.
async fn send<W: Wire>(
    cx: &Cx<W>,
    request_cx: &mut RequestContext,
    node: &Node,
    options: SendOptions,
) -> Outcome<W> {
    let Some(addr) = node.state else {
        return Outcome::other_node("no address".to_owned());
    };
    let req = match build_request(cx, request_cx, options.last_event_id) {
        Ok(req) => req,
        Err(reason) => return Outcome::Failed(Failure::NoNode(reason)),
    };
    let deadline = match options.may_abandon {
        true => Instant::now() + latency_target(request_cx).mul_f64(LOST_NODE_FACTOR),
        false => request_cx.deadline_at,
    };
    let deadline = deadline.min(request_cx.deadline_at);
    let reuse = request_cx.connection_reuse();
    let res = match cx.pool.send(addr, req, reuse, deadline).await {
        Ok(res) => res,
        Err(SendError::NotSent { message }) => return Outcome::other_node(message),
        Err(err) => {
            // How often it has been sent is not known.
            request_cx.sends += 1;
            return Outcome::Failed(match err {
                SendError::TimedOut if Instant::now() >= request_cx.deadline_at => {
                    Failure::TimedOut
                }
                SendError::TimedOut => Failure::Abandoned,
                err => Failure::Unknown(format!("other node: {err}")),
            });
        }
    };
    classify(cx, request_cx, node, res)
}

/// Builds the request for another node: the caller's, with the key that identifies the customer.
fn build_request<W: Wire>(
    cx: &Cx<W>,
    request_cx: &RequestContext,
    last_event_id: Option<u64>,
) -> Result<Request<Full<bytes::Bytes>>, String> {
    let stated = ForwardedRequest {
        attempts: request_cx.attempts().saturating_sub(request_cx.sends),
        is_counted: request_cx.is_counted,
        excluded: request_cx.ids_of_excluded(cx),
    };
    let stated = HeaderValue::try_from(&stated).map_err(|err| err.to_string())?;
    let mut req = request_cx.copy();
    cx.wire
        .forward_to_node(req.headers_mut(), request_cx.time_left(), last_event_id);
    req.headers_mut().insert(FORWARDED, stated);
    Ok(req)
}

fn classify<W: Wire>(
    cx: &Cx<W>,
    request_cx: &mut RequestContext,
    node: &Node,
    res: Response<Incoming>,
) -> Outcome<W> {
    let (mut head, body) = res.into_parts();
    let stated = match ForwardedResponse::try_from(&head.headers) {
        Ok(stated) if stated.request == request_cx.metadata.id => stated,
        // A node of a version that does not name the request; the endpoint's response does.
        Ok(stated) if stated.request.is_none() && stated.refusal.is_none() => stated,
        Ok(_) => return lost_response(request_cx, &head, "response to another request"),
        // A node of a version that knows no forwarded requests.
        Err(HeaderError::Missing)
            if head.status == StatusCode::NOT_FOUND
                && cx.wire.response(&head).id == ResponseId::Missing
                && is_first_on_connection(&head) =>
        {
            discard_connection(&head);
            return Outcome::other_node("requests are not accepted".to_owned());
        }
        Err(err) => return lost_response(request_cx, &head, &err.to_string()),
    };
    head.headers.remove(FORWARDED);
    let metadata = cx.wire.response(&head);
    let is_own = metadata.id.belongs_to(request_cx.metadata.id.as_deref());
    let is_response = is_own && metadata.signed && is_final(head.status);
    if stated.refusal.is_none() && !is_response {
        return lost_response(request_cx, &head, "bad response");
    }
    request_cx.sends += match stated.refusal {
        // A node of an earlier version does not count a send that its stop has cut short.
        Some(NodeRefusal::MayHaveRun) => stated.sends.max(1),
        _ => stated.sends,
    };
    let refusal = stated.refusal.map(|refusal| (refusal, head.status));
    match refusal {
        None => {
            let endpoint = stated.endpoint.unwrap_or_default();
            request_cx.exclude(cx, &endpoint);
            let upstream = Upstream::Node(ForwardingNode {
                host: node.host.clone(),
                endpoint,
            });
            Outcome::Response(Box::new(EndpointResponse {
                head,
                metadata,
                body: Some(body),
                upstream,
            }))
        }
        Some((NodeRefusal::OtherNode, status)) => Outcome::OtherNode {
            reason: format!("status {status}"),
            serving_host: stated.serving_host,
        },
        Some((NodeRefusal::NotRun, status)) => {
            request_cx.retry_after = retry_after(&head);
            Outcome::Refused(Failure::NoNode(format!("status {status}")))
        }
        Some((NodeRefusal::MayHaveRun, StatusCode::GATEWAY_TIMEOUT)) => {
            Outcome::ResponseLost(Failure::TimedOut)
        }
        Some((NodeRefusal::MayHaveRun, status)) => {
            Outcome::ResponseLost(Failure::Unknown(format!("other node: status {status}")))
        }
    }
}

fn is_first_on_connection(head: &response::Parts) -> bool {
    let connection = ResponseConnection::of(head);
    connection.is_some_and(|connection| connection.earlier_responses() == 0)
}

/// Counts the request as one that may have run, and closes its connection, which may carry further responses of
/// other requests.
fn lost_response<W>(
    request_cx: &mut RequestContext,
    head: &response::Parts,
    reason: &str,
) -> Outcome<W> {
    request_cx.sends += 1;
    discard_connection(head);
    Outcome::Failed(Failure::Unknown(format!("other node: {reason}")))
}

fn retry_after(head: &response::Parts) -> Option<Duration> {
    let value = head.headers.get(header::RETRY_AFTER)?;
    let seconds = value.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Adds the refusal of a forwarded request to the response for the node that forwarded it.
pub(crate) fn describe_refusal<W: Wire>(
    cx: &Cx<W>,
    res: &mut Response<Body>,
    request: Option<String>,
    request_cx: Option<&RequestContext>,
    refusal: Refusal,
) {
    let service = request_cx.map(|request_cx| request_cx.service.as_str());
    let is_cut_off = service.is_some_and(|service| reachability::is_unreachable(cx, service));
    let stated = ForwardedResponse {
        request,
        sends: request_cx.map_or(0, RequestContext::started_sends),
        endpoint: None,
        refusal: Some(NodeRefusal::new(refusal, is_cut_off)),
        serving_host: service.and_then(|service| serving_host(cx, service)),
    };
    describe(res, &stated);
}

/// Adds to the response to a forwarded request which endpoint it comes from.
pub(crate) fn describe_response(
    res: &mut Response<Body>,
    request: Option<String>,
    sends: u32,
    endpoint: String,
) {
    let stated = ForwardedResponse {
        request,
        sends,
        endpoint: Some(endpoint),
        refusal: None,
        serving_host: None,
    };
    describe(res, &stated);
}

fn describe(res: &mut Response<Body>, stated: &ForwardedResponse) {
    match HeaderValue::try_from(stated) {
        Ok(value) => {
            res.headers_mut().insert(FORWARDED, value);
        }
        Err(err) => log::error!(target: "forwarding", "event=bad_header err={err}"),
    }
}

impl NodeRefusal {
    /// What a refusal means for the node that forwarded the request. `is_cut_off` tells whether this
    /// node reaches no endpoint either.
    pub(crate) fn new(refusal: Refusal, is_cut_off: bool) -> Self {
        match refusal {
            Refusal::ResponseLost | Refusal::TimedOut => NodeRefusal::MayHaveRun,
            Refusal::NoEndpoint if is_cut_off => NodeRefusal::OtherNode,
            // The node that forwarded it has found a route and a customer: one of the two has an
            // older configuration.
            Refusal::NotReady
            | Refusal::Stopping
            | Refusal::NoMemory
            | Refusal::NoRoute
            | Refusal::BadKey
            | Refusal::TooLarge => NodeRefusal::OtherNode,
            Refusal::NoEndpoint
            | Refusal::Overloaded
            | Refusal::Evacuated
            | Refusal::NoTime
            | Refusal::Quarantined
            | Refusal::BadRequest
            | Refusal::SlowBody => NodeRefusal::NotRun,
        }
    }
}

impl ForwardingNode {
    /// Records that the response broke off.
    pub(crate) fn record_broken<W: Wire>(&self, cx: &Cx<W>, service: &str) {
        log::info!(target: "forwarding", "event=broken service={service} host={} endpoint={}", self.host, self.endpoint);
        record(cx, service, &self.host, false);
    }
}

impl<W> Outcome<W> {
    fn other_node(reason: String) -> Self {
        Outcome::OtherNode {
            reason,
            serving_host: None,
        }
    }

    /// Whether the node can serve requests of this service, if that follows.
    fn can_serve(&self) -> Option<bool> {
        match self {
            Outcome::Response(_) | Outcome::Refused(_) => Some(true),
            Outcome::OtherNode { .. } | Outcome::Failed(_) => Some(false),
            Outcome::ResponseLost(_) => None,
        }
    }

    /// Name for logs and metrics.
    fn name(&self) -> &'static str {
        match self {
            Outcome::Response(_) => "served",
            Outcome::OtherNode { .. } => "denied",
            Outcome::Refused(_) => "refused",
            Outcome::ResponseLost(_) => "lost",
            Outcome::Failed(_) => "failed",
        }
    }

    /// Details for logs.
    fn detail(&self) -> String {
        match self {
            Outcome::Response(res) => format!(
                "endpoint={} status={}",
                res.endpoint_id(),
                res.head.status.as_u16()
            ),
            Outcome::OtherNode {
                reason,
                serving_host,
            } => format!("reason={reason:?} serving_host={serving_host:?}"),
            Outcome::Refused(failure)
            | Outcome::ResponseLost(failure)
            | Outcome::Failed(failure) => format!("reason=\"{failure:?}\""),
        }
    }
}

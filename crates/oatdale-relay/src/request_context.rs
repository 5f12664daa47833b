//! State of one request, from its head to the end of the response.

use crate::body::BufferedBody;
use crate::cx::Cx;
use crate::directory::{EndpointKey, IneligibleCounts};
use crate::forwarding::ForwardedRequest;
use crate::gossip::{self, Message};
use crate::headers::host_header;
use crate::in_flight::InFlightRequest;
use crate::reply::Refusal;
use crate::roll_outs::{AllowedVersions, LatencyClass, ResponseSource};
use crate::site::{Route, SiteConfig};
use crate::state::{LimitedEndpoints, PlacementRequest, RequestTime, hash};
use crate::wire::{Forward, RequestMetadata, Wire};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;
use oatdale_platform::Reuse;
use oatdale_policy::relay::{Fingerprint, Origin};
use sha2::{Digest, Sha256};
use smallvec::SmallVec;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::time::Instant;

/// Prompt tokens that add as much load as one request without a prompt: an engine processes about
/// this many in the time in which it answers a short request.
const TOKENS_PER_REQUEST: f64 = 3_000.0;

/// A request, its routing and the state of its attempts.
pub(crate) struct RequestContext {
    pub(crate) site: Arc<SiteConfig>,
    route: usize,
    pub(crate) service: String,
    pub(crate) customer: Option<String>,
    pub(crate) metadata: RequestMetadata,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// The caller's headers without the hop-by-hop ones.
    pub(crate) headers: HeaderMap,
    pub(crate) body: BufferedBody,
    pub(crate) arrival: Instant,
    /// Deadline: when the caller stops waiting or the route's timeout expires, whichever is first.
    pub(crate) deadline_at: Instant,
    pub(crate) urgency: u8,
    /// Index in the route's ladder of the model for the next attempt.
    pub(crate) model_index: usize,
    /// Endpoints that are excluded from the next attempt because they received the request.
    pub(crate) excluded: Vec<EndpointKey>,
    /// All endpoints that may have run the request, including those whose responses were discarded.
    pub(crate) may_have_run_at: SmallVec<[EndpointKey; 4]>,
    /// Whether an attempt is under way in which an endpoint or another node may have received the request.
    pub(crate) is_being_sent: bool,
    /// Number of attempts in which at least one byte was sent to an endpoint.
    pub(crate) sends: u32,
    /// Size of the generation as a multiple of the route's mean.
    pub(crate) relative_size: f64,
    /// Confidence values that the models reported for their responses, in order.
    pub(crate) confidences: SmallVec<[u8; 2]>,
    /// What the node states that forwarded the request to this one; `None` if a caller sent it.
    pub(crate) forwarded: Option<ForwardedRequest>,
    /// Whether the request is counted among those that allow retries.
    pub(crate) is_counted: bool,
    /// When the caller is to try again, as the node says that the request was forwarded to.
    pub(crate) retry_after: Option<Duration>,
    fingerprint: OnceLock<Fingerprint>,
    part_fingerprints: OnceLock<SmallVec<[Fingerprint; 2]>>,
}

impl RequestContext {
    pub(crate) fn new(
        site: Arc<SiteConfig>,
        route: usize,
        metadata: RequestMetadata,
        head: http::request::Parts,
        arrival: Instant,
    ) -> Result<Self, Refusal> {
        let (service, timeout) = {
            let route = &site.routes[route];
            (route.pick_service().map(str::to_owned), route.timeout)
        };
        let wait = metadata.timeout.unwrap_or(timeout).min(timeout);
        Ok(RequestContext {
            route,
            service: service.ok_or(Refusal::NoEndpoint)?,
            customer: None,
            metadata,
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body: BufferedBody::default(),
            arrival,
            deadline_at: arrival + wait,
            urgency: site.routes[route].urgency,
            model_index: 0,
            excluded: Vec::new(),
            may_have_run_at: SmallVec::new(),
            is_being_sent: false,
            sends: 0,
            relative_size: 1.0,
            confidences: SmallVec::new(),
            forwarded: None,
            is_counted: false,
            retry_after: None,
            fingerprint: OnceLock::new(),
            part_fingerprints: OnceLock::new(),
            site,
        })
    }

    pub(crate) fn route(&self) -> &Route {
        &self.site.routes[self.route]
    }

    /// Looks up the caller's customer by its key.
    ///
    /// Public routes need no key: a missing or unknown one is ignored there.
    pub(crate) fn authenticate(&mut self) -> Result<(), Refusal> {
        let Some(customers) = &self.site.customers else {
            return Ok(());
        };
        let customer = self
            .metadata
            .key
            .as_deref()
            .and_then(|key| customers.find_by_key(key));
        match customer {
            Some(customer) => {
                self.urgency = customer.urgency.unwrap_or(self.urgency);
                self.customer = Some(customer.name.clone());
                Ok(())
            }
            None if self.route().public => Ok(()),
            None => Err(Refusal::BadKey),
        }
    }

    /// Priority of the request; 0 is the most urgent.
    pub(crate) fn urgency(&self) -> u8 {
        self.urgency
    }

    /// The model for the next attempt, where the route's ladder selects it instead of the caller.
    pub(crate) fn model(&self) -> Option<&str> {
        self.route()
            .ladder
            .get(self.model_index)
            .map(String::as_str)
    }

    /// Time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline_at.saturating_duration_since(Instant::now())
    }

    /// Takes over what another node states of a request that it has forwarded.
    pub(crate) fn set_forwarded<W>(&mut self, cx: &Cx<W>, forwarded: ForwardedRequest) {
        for id in &forwarded.excluded {
            self.exclude(cx, id);
        }
        self.is_counted = forwarded.is_counted;
        self.forwarded = Some(forwarded);
    }

    /// Excludes an endpoint from the next attempt, if this node knows it.
    pub(crate) fn exclude<W>(&mut self, cx: &Cx<W>, id: &str) {
        let mut state = cx.state();
        let known = state.directory.by_id_with_key(id);
        self.excluded.extend(known.map(|(key, _)| key));
    }

    /// Ids of the endpoints that are excluded from the next attempt.
    pub(crate) fn ids_of_excluded<W>(&self, cx: &Cx<W>) -> Vec<String> {
        let state = cx.state();
        let entries = self.excluded.iter();
        let entries = entries.filter_map(|key| state.directory.get(*key));
        entries.map(|e| e.endpoint.id.clone()).collect()
    }

    /// Counts the request, once, among those that allow retries. A forwarded one is counted where it
    /// is first sent to an endpoint.
    pub(crate) fn count<W: Wire>(&mut self, cx: &Cx<W>) {
        if !std::mem::replace(&mut self.is_counted, true) {
            cx.count_request(&self.service);
        }
    }

    /// Number of endpoints that the request may be sent to.
    pub(crate) fn attempts(&self) -> u32 {
        let attempts = self.route().attempts.max(1);
        let stated = self.forwarded.as_ref().map(|f| f.attempts.max(1));
        stated.map_or(attempts, |stated| stated.min(attempts))
    }

    /// Whether the request may be sent to another endpoint.
    pub(crate) fn has_attempts_left(&self) -> bool {
        self.sends < self.attempts()
    }

    /// Hash that identifies copies of this request: same method, host, target, customer and body.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let fields: [&[u8]; 5] = [
                self.method.as_str().as_bytes(),
                host_header(&self.headers).unwrap_or_default().as_bytes(),
                self.uri
                    .path_and_query()
                    .map_or(&[], |t| t.as_str().as_bytes()),
                self.customer.as_deref().unwrap_or_default().as_bytes(),
                &self.body.bytes,
            ];
            let mut hasher = Sha256::new();
            for field in fields {
                // The length prefix prevents collisions of inputs that are split into fields at
                // different positions.
                hasher.update((field.len() as u64).to_le_bytes());
                hasher.update(field);
            }
            let digest: [u8; 32] = hasher.finalize().into();
            let (half, _) = digest.split_at(16);
            Fingerprint(u128::from_le_bytes(
                half.try_into().expect("half of 32 bytes"),
            ))
        })
    }

    /// Hashes that identify the parts of the prompt that other requests may share, in their order, the
    /// same on every node.
    pub(crate) fn part_fingerprints(&self) -> &[Fingerprint] {
        self.part_fingerprints.get_or_init(|| {
            let parts = self.metadata.prompt.as_ref().map_or(&[][..], |p| &p.parts);
            let shared = parts[..parts.len().saturating_sub(1)].iter();
            let fingerprint = |(id, _): &(String, u32)| {
                let halves = [0_u8, 1].map(|half| hash(&(half, &self.service, id)));
                Fingerprint(u128::from(halves[0]) << 64 | u128::from(halves[1]))
            };
            shared.map(fingerprint).collect()
        })
    }

    /// Hash of the session id, the same on every node.
    pub(crate) fn session_hash(&self) -> Option<u64> {
        self.metadata.session.as_ref().map(hash)
    }

    /// Whether another attempt would be allowed after the next one.
    pub(crate) fn has_attempts_after_next(&self) -> bool {
        self.sends + 1 < self.attempts()
    }

    /// Whether the next attempt uses the largest model of a ladder.
    pub(crate) fn uses_largest_model(&self) -> bool {
        let model_count = self.route().ladder.len();
        model_count > 1 && self.model_index + 1 == model_count
    }

    /// Origin of an endpoint's response, for rollout statistics.
    pub(crate) fn source<'a, W>(&'a self, in_flight: &'a InFlightRequest<W>) -> ResponseSource<'a> {
        ResponseSource {
            is_failing: in_flight.is_failing,
            service: &self.service,
            version: &in_flight.version,
            origin: Origin {
                route: hash(&self.route().name) as u32,
                endpoint: hash(&in_flight.id) as u32,
            },
        }
    }

    /// Group of requests with comparable response times: those of one non-streaming route.
    pub(crate) fn response_latency_class(&self) -> LatencyClass {
        hash(&("answer", &self.route().prefix))
    }

    /// Group of streams with comparable event intervals: those of one model size.
    pub(crate) fn event_latency_class(&self) -> LatencyClass {
        hash(&("event", self.model_index))
    }

    /// Whether an endpoint may have run the request or may still do so.
    pub(crate) fn may_have_run(&self) -> bool {
        self.is_being_sent || self.sends > 0 || !self.may_have_run_at.is_empty()
    }

    /// Records that the attempt under way, if there is one, was given up without an outcome.
    pub(crate) fn record_cancelled_attempt(&mut self) {
        if std::mem::take(&mut self.is_being_sent) {
            self.sends += 1;
            self.may_have_run_at.extend(self.excluded.last().copied());
        }
    }

    /// Number of attempts in which an endpoint may have received at least one byte, with one under way.
    pub(crate) fn started_sends(&self) -> u32 {
        self.sends + u32::from(self.is_being_sent)
    }

    /// Records how large the generation is relative to others of its route.
    pub(crate) fn record_size<W>(&mut self, cx: &Cx<W>) {
        let Some(prompt) = &self.metadata.prompt else {
            return;
        };
        let generation_size =
            f64::from(prompt.prompt_tokens) + 10.0 * f64::from(prompt.max_output_tokens);
        self.relative_size = cx
            .state()
            .relative_size(&self.route().name, generation_size);
    }

    /// Load that the request adds to an endpoint: a long prompt and a large model delay all other
    /// requests there.
    pub(crate) fn weight(&self) -> f64 {
        self.weight_of_model(self.model_index)
    }

    /// Load that the request adds with the model at this index of the ladder.
    pub(crate) fn weight_of_model(&self, model_index: usize) -> f64 {
        let tokens = self.metadata.prompt.as_ref().map_or(0, |p| p.prompt_tokens);
        (1.0 + f64::from(tokens) / TOKENS_PER_REQUEST) * self.relative_cost(model_index)
    }

    /// Cost of the model at this index of the ladder relative to the service's most expensive one; 1
    /// if unknown.
    fn relative_cost(&self, model_index: usize) -> f64 {
        let facts = self.site.services.get(&self.service);
        let model = self.route().ladder.get(model_index);
        match (facts, model) {
            (Some(facts), Some(model)) => facts.relative_cost(model),
            _ => 1.0,
        }
    }

    /// Parts of the prompt that other requests share; the only part of a prompt counts as shared.
    fn shared_parts(&self) -> &[(String, u32)] {
        let parts = self.metadata.prompt.as_ref().map_or(&[][..], |p| &p.parts);
        let shared_len = parts.len().saturating_sub(1).max(1).min(parts.len());
        &parts[..shared_len]
    }

    /// Hash of the prompt prefix that other requests share, and of the model that would cache it.
    fn prefix_hash(&self) -> Option<u64> {
        let last = self.shared_parts().last()?;
        Some(hash(&(&last.0, self.model_index)))
    }

    /// Load that reading the shared prefix adds to an endpoint that does not have it cached.
    fn prefix_weight(&self) -> f64 {
        let tokens = self
            .shared_parts()
            .iter()
            .map(|(_, tokens)| f64::from(*tokens));
        tokens.sum::<f64>() / TOKENS_PER_REQUEST * self.relative_cost(self.model_index)
    }

    /// Assigns the request to an endpoint that has not received it yet.
    pub(crate) fn place<W: Wire>(
        &self,
        cx: &Arc<Cx<W>>,
        limited: LimitedEndpoints,
    ) -> Result<InFlightRequest<W>, IneligibleCounts> {
        let allowed = self.allowed_versions(cx);
        cx.place(&self.placement_request(&allowed, limited))
    }

    /// Whether there is an endpoint that has not received the request yet and is certain to accept
    /// it, which one that limits its requests is not.
    pub(crate) fn has_eligible_endpoint<W: Wire>(&self, cx: &Cx<W>) -> bool {
        let allowed = self.allowed_versions(cx);
        cx.has_eligible_endpoint(&self.placement_request(&allowed, LimitedEndpoints::Excluded))
    }

    /// Returns the expected times until the response head if the request is placed now; `None` if no
    /// endpoint can take it.
    pub(crate) fn expected_time<W: Wire>(&self, cx: &Cx<W>) -> Option<RequestTime> {
        let allowed = self.allowed_versions(cx);
        cx.expected_time(&self.placement_request(&allowed, LimitedEndpoints::Allowed))
    }

    /// Returns the time until an endpoint accepts a new request of the caller, if none does and that
    /// is known, and counts the caller as told so.
    pub(crate) fn time_to_capacity<W: Wire>(&self, cx: &Cx<W>) -> Option<Duration> {
        let allowed = self.allowed_versions(cx);
        let request = PlacementRequest {
            excluded: &[],
            ..self.placement_request(&allowed, LimitedEndpoints::Allowed)
        };
        cx.state().time_to_capacity(cx.now(), &request)
    }

    /// The same for this request, which endpoints that have received it do not get again.
    pub(crate) fn time_to_next_attempt<W: Wire>(&self, cx: &Cx<W>) -> Option<Duration> {
        let allowed = self.allowed_versions(cx);
        let request = self.placement_request(&allowed, LimitedEndpoints::Allowed);
        cx.state().time_to_capacity(cx.now(), &request)
    }

    /// Software versions that the request may use now. Looked up again for each attempt: a rollout
    /// may have ended since the last one, and the version allowed then may be gone.
    fn allowed_versions<W: Wire>(&self, cx: &Cx<W>) -> AllowedVersions {
        cx.allowed(&self.service, self.session_hash(), hash(&self.metadata.id))
    }

    fn placement_request<'a>(
        &'a self,
        allowed: &'a AllowedVersions,
        limited: LimitedEndpoints,
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            service: &self.service,
            allowed,
            excluded: &self.excluded,
            prefix: self.prefix_hash(),
            prefix_weight: self.prefix_weight(),
            weight: self.weight(),
            limited,
        }
    }

    /// Pins the session to the endpoint's version. Called before the request is sent, because the
    /// session's next request may reach another node as soon as this one is answered.
    pub(crate) fn pin_session<W: Wire>(&self, cx: &Cx<W>, in_flight: &InFlightRequest<W>) {
        let Some(session) = self.session_hash() else {
            return;
        };
        let now = cx.now();
        let mut state = cx.state();
        let old_sessions = state
            .roll_outs
            .pin(now, &self.service, session, &in_flight.version);
        if let Some(old_sessions) = old_sessions {
            gossip::broadcast(cx, &state, &Message::OnOld(old_sessions));
        }
    }

    /// Builds the request that is sent to the endpoint.
    pub(crate) fn build_request<W: Wire>(
        &self,
        cx: &Cx<W>,
        endpoint: &str,
        last_event_id: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut req = self.copy();
        let fwd = Forward {
            remaining: self.time_left(),
            endpoint,
            customer: self.customer.as_deref(),
            model: self.model(),
            urgency: self.metadata.prompt.as_ref().map(|_| self.urgency),
            last_event_id,
        };
        cx.wire.forward(req.headers_mut(), &fwd);
        req
    }

    /// Returns the request as the caller sent it, without the hop-by-hop headers.
    pub(crate) fn copy(&self) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.bytes.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        req
    }

    /// Whether an idle connection may be reused. A request that must not be retried fails for good
    /// if its endpoint closes the connection at that moment, so it uses only recently used ones.
    pub(crate) fn connection_reuse(&self) -> Reuse {
        match self.route().kind.is_idempotent() {
            true => Reuse::Allowed,
            false => Reuse::Recent,
        }
    }
}

//! One request as the relay handles it, from its head to the end of its answer.

use crate::body::HeldBody;
use crate::cx::Cx;
use crate::directory::{EndpointKey, Shortage};
use crate::gossip::{self, Message};
use crate::heads::host;
use crate::reply::Refusal;
use crate::roll_outs::{Allowed, Pace, Source};
use crate::running::Running;
use crate::site::{Route, Site};
use crate::state::{Wanted, hash};
use crate::wire::{Forward, RequestFacts, Wire};
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

/// Prompt tokens that weigh as much as one request without any: an engine reads about so many
/// in the time in which it answers a short request.
const TOKENS_PER_REQUEST: f64 = 3_000.0;

/// A request and all that has been decided for it.
pub(crate) struct Plan {
    pub(crate) site: Arc<Site>,
    route: usize,
    pub(crate) service: String,
    pub(crate) customer: Option<String>,
    pub(crate) facts: RequestFacts,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// The caller's headers without those of its connection.
    pub(crate) headers: HeaderMap,
    pub(crate) body: HeldBody,
    pub(crate) arrival: Instant,
    /// When the caller stops waiting or the route's time is up.
    pub(crate) limit: Instant,
    urgency: u8,
    /// Place in the route's ladder of the model that is asked next.
    pub(crate) size: usize,
    /// Endpoints that it was sent to.
    pub(crate) tried: Vec<EndpointKey>,
    /// All endpoints that it was sent to, those among them whose answers were dropped.
    pub(crate) sent_to: SmallVec<[EndpointKey; 4]>,
    /// How many endpoints may have begun with it or refused it.
    pub(crate) sends: u32,
    /// Size of the generation as a multiple of the route's usual one.
    pub(crate) relative_size: f64,
    /// What the models that were asked said of their answers.
    pub(crate) confidences: SmallVec<[u8; 2]>,
    fingerprint: OnceLock<Fingerprint>,
}

impl Plan {
    pub(crate) fn new(
        site: Arc<Site>,
        route: usize,
        facts: RequestFacts,
        head: http::request::Parts,
        arrival: Instant,
    ) -> Result<Self, Refusal> {
        let (service, timeout) = {
            let route = &site.routes[route];
            (route.pick_service().map(str::to_owned), route.timeout)
        };
        let wait = facts.deadline.unwrap_or(timeout).min(timeout);
        Ok(Plan {
            route,
            service: service.ok_or(Refusal::NoEndpoint)?,
            customer: None,
            facts,
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body: HeldBody::default(),
            arrival,
            limit: arrival + wait,
            urgency: site.routes[route].urgency,
            size: 0,
            tried: Vec::new(),
            sent_to: SmallVec::new(),
            sends: 0,
            relative_size: 1.0,
            confidences: SmallVec::new(),
            fingerprint: OnceLock::new(),
            site,
        })
    }

    pub(crate) fn route(&self) -> &Route {
        &self.site.routes[self.route]
    }

    /// Finds the caller's customer.
    ///
    /// A key that is sent to a public route is of no concern.
    pub(crate) fn authenticate(&mut self) -> Result<(), Refusal> {
        let Some(customers) = &self.site.customers else {
            return Ok(());
        };
        let customer = self
            .facts
            .key
            .as_deref()
            .and_then(|key| customers.of_key(key));
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

    /// The model that is asked, where the caller left it open.
    pub(crate) fn model(&self) -> Option<&str> {
        self.route().ladder.get(self.size).map(String::as_str)
    }

    /// Time until the limit.
    pub(crate) fn left(&self) -> Duration {
        self.limit.saturating_duration_since(Instant::now())
    }

    /// Whether the request may be sent to one endpoint more.
    pub(crate) fn has_attempts(&self) -> bool {
        self.sends < self.route().attempts.max(1)
    }

    /// Identifies copies of this request: the same caller sends the same body to the same target.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let fields: [&[u8]; 5] = [
                self.method.as_str().as_bytes(),
                host(&self.headers).unwrap_or_default().as_bytes(),
                self.uri
                    .path_and_query()
                    .map_or(&[], |t| t.as_str().as_bytes()),
                self.customer.as_deref().unwrap_or_default().as_bytes(),
                &self.body.bytes,
            ];
            let mut hasher = Sha256::new();
            for field in fields {
                // Lengths keep the end of one field from passing for the beginning of the next.
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

    /// Hash of the session, the same on every node.
    pub(crate) fn session(&self) -> Option<u64> {
        self.facts.session.as_ref().map(hash)
    }

    /// Whether there would be an attempt left after the next one.
    pub(crate) fn has_attempts_after_next(&self) -> bool {
        self.sends + 1 < self.route().attempts
    }

    /// Whether the largest model of a ladder is asked.
    pub(crate) fn is_largest(&self) -> bool {
        let sizes = self.route().ladder.len();
        sizes > 1 && self.size + 1 == sizes
    }

    /// Where the answer of an endpoint comes from, for roll-outs.
    pub(crate) fn source<'a, W>(&'a self, running: &'a Running<W>) -> Source<'a> {
        Source {
            is_failing: running.is_failing,
            service: &self.service,
            version: &running.version,
            origin: Origin {
                route: hash(&self.route().name) as u32,
                endpoint: hash(&running.id) as u32,
            },
        }
    }

    /// Answers that take about as long as each other: those of one plain route.
    pub(crate) fn answer_pace(&self) -> Pace {
        hash(&("answer", &self.route().prefix))
    }

    /// Streams whose events come about as fast: those of one model size.
    pub(crate) fn event_pace(&self) -> Pace {
        hash(&("event", self.size))
    }

    /// Notes how large the generation is next to others of its route.
    pub(crate) fn note_size<W>(&mut self, cx: &Cx<W>) {
        let Some(prompt) = &self.facts.prompt else {
            return;
        };
        let size = f64::from(prompt.tokens_in) + 10.0 * f64::from(prompt.tokens_out);
        self.relative_size = cx.state().relative_size(&self.route().name, size);
    }

    /// The work that the request makes at an endpoint: a long prompt and a large model hold up all
    /// others there.
    fn weight(&self) -> f64 {
        let tokens = self.facts.prompt.as_ref().map_or(0, |p| p.tokens_in);
        let facts = self.site.services.get(&self.service);
        let cost = match (facts, self.model()) {
            (Some(facts), Some(model)) => facts.relative_cost(model),
            _ => 1.0,
        };
        (1.0 + f64::from(tokens) / TOKENS_PER_REQUEST) * cost
    }

    /// Hash of the part of the prompt that others share, with the model that would keep it.
    fn prefix(&self) -> Option<u64> {
        let parts = &self.facts.prompt.as_ref()?.parts;
        let shared = parts.len().saturating_sub(1).max(1).min(parts.len());
        let last = parts[..shared].last()?;
        Some(hash(&(&last.0, self.size)))
    }

    /// Places it at an endpoint that has not had it.
    pub(crate) fn place<W: Wire>(&self, cx: &Arc<Cx<W>>) -> Result<Running<W>, Shortage> {
        let allowed = self.allowed(cx);
        cx.place(&self.wanted(&allowed))
    }

    /// Whether there is an endpoint that has not had it.
    pub(crate) fn has_place<W: Wire>(&self, cx: &Cx<W>) -> bool {
        let allowed = self.allowed(cx);
        cx.has_place(&self.wanted(&allowed))
    }

    /// The versions that it may use now: a roll-out may have ended since its last attempt, and the version that was
    /// allowed then may be gone.
    fn allowed<W: Wire>(&self, cx: &Cx<W>) -> Allowed {
        cx.allowed(&self.service, self.session(), hash(&self.facts.id))
    }

    fn wanted<'a>(&'a self, allowed: &'a Allowed) -> Wanted<'a> {
        Wanted {
            service: &self.service,
            allowed,
            tried: &self.tried,
            prefix: self.prefix(),
            weight: self.weight(),
        }
    }

    /// Notes that the session runs on the endpoint's version, before the request is sent: the session's
    /// next one may reach another node as soon as this one is answered.
    pub(crate) fn pin_session<W: Wire>(&self, cx: &Cx<W>, running: &Running<W>) {
        let Some(session) = self.session() else {
            return;
        };
        let now = cx.now();
        let mut state = cx.state();
        let on_old = state
            .roll_outs
            .pin(now, &self.service, session, &running.version);
        if let Some(on_old) = on_old {
            gossip::broadcast(cx, &state, &Message::OnOld(on_old));
        }
    }

    /// The request as the endpoint gets it.
    pub(crate) fn request<W: Wire>(
        &self,
        cx: &Cx<W>,
        endpoint: &str,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.bytes.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        let fwd = Forward {
            left: self.left(),
            endpoint,
            customer: self.customer.as_deref(),
            model: self.model(),
            urgency: self.facts.prompt.as_ref().map(|_| self.urgency),
            last_event,
        };
        cx.wire.forward(req.headers_mut(), &fwd);
        req
    }

    /// Whether a kept connection may be used: for a request that may not be repeated, one that
    /// its endpoint closes just now would be final.
    pub(crate) fn reuse(&self) -> Reuse {
        match self.route().kind.is_idempotent() {
            true => Reuse::Allowed,
            false => Reuse::Recent,
        }
    }
}

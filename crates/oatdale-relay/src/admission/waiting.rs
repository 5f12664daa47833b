//! The requests that wait at this node, and the task that releases them.

use crate::admission::load::SummedLoad;
use crate::cx::Cx;
use crate::headers::host_header;
use crate::request_context::RequestContext;
use crate::site::SiteConfig;
use crate::wire::Wire;
use oatdale_policy::Ticket;
use oatdale_policy::relay::{AdmissionQueue, Prospect, ReleaseShare, WaitingRequest};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

/// Interval in which waiting requests are released. Shorter than that of the sums, so that a request
/// does not wait for this node after others have left the queue.
const RELEASE_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of waiting requests. Their bodies are in memory; further ones are decided upon as
/// if they had waited.
const MAX_WAITING: usize = 1_024;

/// Waiting requests by service.
#[derive(Default)]
pub(crate) struct Waiting(Mutex<Queues>);

#[derive(Default)]
struct Queues {
    /// Kept while empty, so that a ticket stays unique.
    services: HashMap<String, ServiceQueue>,
    /// Whether the task runs that releases them.
    is_releasing: bool,
    /// Version of the configuration that the requests are ordered by.
    site_version: u64,
}

#[derive(Default)]
struct ServiceQueue {
    queue: AdmissionQueue,
    share: ReleaseShare,
    waiters: HashMap<Ticket, Released>,
}

/// Notified when the request is released.
struct Released {
    tx: oneshot::Sender<()>,
    origin: Origin,
}

/// What a configuration assigns the urgency and the customer by.
struct Origin {
    host: String,
    path: String,
    key: Option<String>,
}

/// A request in the queue; leaves it when dropped.
pub(crate) struct Waiter<W: Wire> {
    cx: Arc<Cx<W>>,
    service: String,
    ticket: Ticket,
    rx: oneshot::Receiver<()>,
    urgency: u8,
    began: Instant,
}

impl Waiting {
    fn lock(&self) -> MutexGuard<'_, Queues> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether requests wait that go before this one and can be in time.
    pub(super) fn has_ahead<W: Wire>(
        &self,
        cx: &Cx<W>,
        request_cx: &RequestContext,
        has_returned: bool,
    ) -> bool {
        let service = &request_cx.service;
        let is_idle = |s: &ServiceQueue| s.queue.is_empty();
        if self.lock().services.get(service).is_none_or(is_idle) {
            return false;
        }
        let progress = progress(cx, request_cx, has_returned);
        let queues = self.lock();
        let known = queues.services.get(service);
        known.is_some_and(|s| s.queue.has_ahead(request_cx.urgency, progress))
    }

    /// Counts a request that is placed without being released.
    pub(super) fn charge(&self, request_cx: &RequestContext) {
        if let Some(known) = self.lock().services.get_mut(&request_cx.service) {
            known.share.charge(request_cx.weight());
        }
    }

    fn services_with_requests(&self) -> Vec<String> {
        let queues = self.lock();
        let services = queues.services.iter();
        let services = services.filter(|(_, s)| !s.queue.is_empty());
        services.map(|(name, _)| name.clone()).collect()
    }

    /// Adds a request; `None` if too many wait.
    pub(super) fn add<W: Wire>(
        &self,
        cx: &Arc<Cx<W>>,
        request_cx: &RequestContext,
        prospect: Prospect,
        has_returned: bool,
    ) -> Option<Waiter<W>> {
        let progress = progress(cx, request_cx, has_returned);
        let mut queues = self.lock();
        if queues
            .services
            .values()
            .map(|s| s.queue.len())
            .sum::<usize>()
            >= MAX_WAITING
        {
            return None;
        }
        let service = request_cx.service.clone();
        let known = queues.services.entry(service.clone()).or_default();
        let ticket = known.queue.push(WaitingRequest {
            prospect,
            urgency: request_cx.urgency,
            progress,
            customer: request_cx.customer.clone(),
            weight: request_cx.weight(),
        });
        let (tx, rx) = oneshot::channel();
        let origin = Origin::from(request_cx);
        known.waiters.insert(ticket, Released { tx, origin });
        if !std::mem::replace(&mut queues.is_releasing, true) {
            queues.site_version = request_cx.site.version;
            tokio::spawn(release_until_empty(cx.clone()));
        }
        let waiter = Waiter {
            cx: cx.clone(),
            service,
            ticket,
            rx,
            urgency: request_cx.urgency,
            began: Instant::now(),
        };
        waiter.gauge().inc();
        Some(waiter)
    }
}

/// Returns how far the caller of a request has come; callers that were refused before go first.
fn progress<W: Wire>(cx: &Cx<W>, request_cx: &RequestContext, has_returned: bool) -> u32 {
    let session = request_cx.session_hash();
    let has_session =
        session.is_some_and(|s| cx.state().roll_outs.has_session(&request_cx.service, s));
    2 * u32::from(has_returned) + u32::from(has_session)
}

impl From<&RequestContext> for Origin {
    fn from(request_cx: &RequestContext) -> Self {
        Origin {
            host: host_header(&request_cx.headers)
                .unwrap_or_default()
                .to_owned(),
            path: request_cx.uri.path().to_owned(),
            key: request_cx.metadata.key.clone(),
        }
    }
}

impl Origin {
    /// Returns the urgency and the customer's name; `None` if the configuration no longer has the
    /// route.
    fn classify(&self, site: &SiteConfig) -> Option<(u8, Option<String>)> {
        let route = &site.routes[site.route(&self.host, &self.path)?];
        let customers = site.customers.as_ref();
        let customer = customers.and_then(|c| c.find_by_key(self.key.as_deref()?));
        let urgency = customer.and_then(|c| c.urgency).unwrap_or(route.urgency);
        Some((urgency, customer.map(|c| c.name.clone())))
    }
}

impl ServiceQueue {
    fn reclassify(&mut self, site: &SiteConfig) {
        for (ticket, waiter) in &self.waiters {
            if let Some((urgency, customer)) = waiter.origin.classify(site) {
                self.queue.reclassify(*ticket, urgency, customer);
            }
        }
    }

    /// Releases the requests that fit into this node's share of the spare capacity, or all of them if
    /// the load is not known.
    fn release(&mut self, now: Duration, load: Option<SummedLoad>) {
        if let Some(load) = load {
            self.share.grant(now, load.spare(), &mut rand::rng());
        }
        while let Some(head) = self.queue.head() {
            if load.is_some() && !self.share.take(head.weight) {
                return;
            }
            let released = self.queue.pop();
            if let Some(waiter) = released.and_then(|(ticket, _)| self.waiters.remove(&ticket)) {
                // Fails if the caller has just left.
                let _ = waiter.tx.send(());
            }
        }
        self.share.forfeit();
    }
}

/// Releases requests until none waits.
async fn release_until_empty<W: Wire>(cx: Arc<Cx<W>>) {
    loop {
        sleep(RELEASE_INTERVAL).await;
        if release(&cx) == 0 {
            return;
        }
    }
}

/// Releases requests and returns how many wait.
fn release<W: Wire>(cx: &Cx<W>) -> usize {
    let now = cx.now();
    let services = cx.admission.waiting.services_with_requests();
    let loads = services.iter().map(|s| cx.admission.loads.get(cx, s));
    let loads: Vec<_> = loads.collect();
    let site = cx.site();
    let mut queues = cx.admission.waiting.lock();
    let new_site = site.filter(|site| site.version > queues.site_version);
    if let Some(site) = &new_site {
        queues.site_version = site.version;
        queues
            .services
            .values_mut()
            .for_each(|s| s.reclassify(site));
    }
    for (service, load) in services.iter().zip(loads) {
        if let Some(known) = queues.services.get_mut(service) {
            known.release(now, load);
        }
    }
    let waiting = queues.services.values().map(|s| s.queue.len()).sum();
    queues.is_releasing = waiting > 0;
    waiting
}

impl<W: Wire> Waiter<W> {
    /// Waits until the request is released.
    pub(super) async fn released(&mut self) {
        // The sender is dropped only after it has been used, or with this node.
        let _ = (&mut self.rx).await;
    }

    fn gauge(&self) -> prometheus::IntGauge {
        let urgency = self.urgency.to_string();
        let labels = [self.service.as_str(), urgency.as_str()];
        self.cx.metrics.waiting.with_label_values(&labels)
    }
}

impl<W: Wire> Drop for Waiter<W> {
    fn drop(&mut self) {
        if let Some(known) = self
            .cx
            .admission
            .waiting
            .lock()
            .services
            .get_mut(&self.service)
        {
            known.queue.remove(self.ticket);
            known.waiters.remove(&self.ticket);
        }
        self.gauge().dec();
        let urgency = self.urgency.to_string();
        let labels = [self.service.as_str(), urgency.as_str()];
        let waited = self.cx.metrics.waited.with_label_values(&labels);
        waited.observe(self.began.elapsed().as_secs_f64());
    }
}

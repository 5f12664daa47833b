//! The requests that wait at a host for one service, in the order in which they are released.

use crate::queue::{FairQueue, QueuedRequest};
use crate::relay::admission::Prospect;
use crate::request::Ticket;
use crate::request_slab::RequestSlab;
use std::collections::{BTreeMap, HashMap};

/// Weight of a customer in the fair share: all have the same.
const CUSTOMER_WEIGHT: f64 = 1.0;

/// A request that waits.
#[derive(Clone, PartialEq, Debug)]
pub struct WaitingRequest {
    /// Whether it can still be in time.
    pub prospect: Prospect,
    /// Urgency; 0 is the most urgent.
    pub urgency: u8,
    /// Requests of a customer with more progress go first: those of callers that were refused
    /// before, and of sessions under way.
    pub progress: u32,
    /// The customer.
    pub customer: Option<String>,
    /// Load that it adds to an endpoint; the unit of the fair share.
    pub weight: f64,
}

/// Requests ordered by prospect, urgency, a fair share between customers, and progress.
#[derive(Default)]
pub struct AdmissionQueue {
    requests: RequestSlab<WaitingRequest>,
    levels: BTreeMap<(Prospect, u8), Level>,
    len: usize,
}

/// The requests of one urgency.
#[derive(Default)]
struct Level {
    queue: FairQueue,
    flows: HashMap<Option<String>, usize>,
}

impl Level {
    fn flow(&mut self, customer: &Option<String>) -> usize {
        let next = self.flows.len();
        *self.flows.entry(customer.clone()).or_insert(next)
    }

    /// Removes the next request: of the customer that is furthest behind its share.
    fn pop(&mut self) -> Option<Ticket> {
        let flow = self.queue.backlogged_flows().first().copied()?;
        let item = self.queue.pop(flow, CUSTOMER_WEIGHT)?;
        Some(item.ticket)
    }

    /// Whether a request with at least this progress waits.
    fn has_progress(&self, progress: u32) -> bool {
        let flows = self.queue.backlogged_flows();
        let mut heads = flows.iter().filter_map(|flow| self.queue.head(*flow));
        heads.any(|head| head.priority >= progress)
    }

    fn head(&self) -> Option<Ticket> {
        let flow = self.queue.backlogged_flows().first().copied()?;
        Some(self.queue.head(flow)?.ticket)
    }
}

impl AdmissionQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request.
    pub fn push(&mut self, request: WaitingRequest) -> Ticket {
        let ticket = self.requests.insert(request);
        self.enqueue(ticket);
        self.len += 1;
        ticket
    }

    fn enqueue(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        let level = (request.prospect, request.urgency);
        let level = self.levels.entry(level).or_default();
        let flow = level.flow(&request.customer);
        let item = QueuedRequest {
            ticket,
            priority: request.progress,
            cost: request.weight,
        };
        level.queue.push(flow, item);
    }

    /// Whether requests wait that can be in time and go before a new one: more urgent ones, or those
    /// of the same urgency with at least its progress.
    pub fn has_ahead(&self, urgency: u8, progress: u32) -> bool {
        let in_time = (Prospect::InTime, 0)..(Prospect::InTime, urgency);
        let same = self.levels.get(&(Prospect::InTime, urgency));
        self.levels.range(in_time).any(|(_, l)| l.queue.len() > 0)
            || same.is_some_and(|l| l.has_progress(progress))
    }

    /// Returns the request that is released next.
    pub fn head(&self) -> Option<&WaitingRequest> {
        let ticket = self.levels.values().find_map(Level::head)?;
        self.requests.get(ticket)
    }

    /// Removes the request that is released next.
    pub fn pop(&mut self) -> Option<(Ticket, WaitingRequest)> {
        let ticket = self.levels.values_mut().find_map(Level::pop)?;
        let request = self.requests.remove(ticket)?;
        self.len -= 1;
        self.forget_levels_if_empty();
        Some((ticket, request))
    }

    /// Removes a request that no longer waits; nothing happens if it was released before.
    pub fn remove(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.remove(ticket) else {
            return;
        };
        self.dequeue(ticket, &request);
        self.len -= 1;
        self.forget_levels_if_empty();
    }

    fn dequeue(&mut self, ticket: Ticket, request: &WaitingRequest) {
        if let Some(level) = self.levels.get_mut(&(request.prospect, request.urgency)) {
            let flow = level.flow(&request.customer);
            level.queue.remove(flow, ticket);
        }
    }

    /// Moves a waiting request after a change of the configuration. Among those of its new customer
    /// with equal progress it becomes the last.
    pub fn reclassify(&mut self, ticket: Ticket, urgency: u8, customer: Option<String>) {
        let Some(request) = self.requests.get_mut(ticket) else {
            return;
        };
        if (request.urgency, &request.customer) == (urgency, &customer) {
            return;
        }
        let previous = std::mem::replace(
            request,
            WaitingRequest {
                urgency,
                customer,
                ..request.clone()
            },
        );
        self.dequeue(ticket, &previous);
        self.enqueue(ticket);
    }

    /// Bounds the memory for urgencies and customers that are no longer used. A customer that
    /// returns starts without credit, as after a pause.
    fn forget_levels_if_empty(&mut self) {
        if self.len == 0 {
            self.levels.clear();
        }
    }
}

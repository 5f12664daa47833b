//! Weighted fair queueing by virtual time.

use crate::request::Ticket;
use std::collections::VecDeque;

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    /// The request.
    pub(crate) ticket: Ticket,
    /// Requests of a flow run by descending priority, those of equal priority in order of arrival.
    pub(crate) priority: u32,
    /// Expected resource use, in any unit that all requests share.
    pub(crate) cost: f64,
}

/// Flows that share a resource in proportion to their weights.
///
/// A flow that becomes backlogged starts at the current virtual time: it gains no credit while idle
/// and is charged nothing for the past.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    flows: Vec<Flow>,
    backlogged: Vec<usize>,
    virtual_now: f64,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    virtual_time: f64,
    waiting: VecDeque<QueuedRequest>,
}

impl FairQueue {
    /// Returns the number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns how many queued requests of a flow would run before a new one of this priority.
    pub(crate) fn count_ahead(&self, flow: usize, priority: u32) -> usize {
        let Some(flow) = self.flows.get(flow) else {
            return 0;
        };
        flow.waiting.partition_point(|w| w.priority >= priority)
    }

    /// Adds a request to a flow.
    pub(crate) fn push(&mut self, flow: usize, item: QueuedRequest) {
        if self.flows.len() <= flow {
            self.flows.resize_with(flow + 1, Flow::default);
        }
        let entry = &mut self.flows[flow];
        if entry.waiting.is_empty() {
            entry.virtual_time = entry.virtual_time.max(self.virtual_now);
            self.backlogged.push(flow);
        }
        let lower_priority_count = entry
            .waiting
            .iter()
            .rev()
            .take_while(|w| w.priority < item.priority)
            .count();
        let index = entry.waiting.len() - lower_priority_count;
        entry.waiting.insert(index, item);
        self.len += 1;
    }

    /// Returns the backlogged flows, lowest virtual time first.
    pub(crate) fn backlogged_flows(&self) -> smallvec::SmallVec<[usize; 16]> {
        let mut backlogged_flows: smallvec::SmallVec<[usize; 16]> =
            smallvec::SmallVec::from_slice(&self.backlogged);
        backlogged_flows.sort_unstable_by(|&a, &b| {
            let (x, y) = (&self.flows[a], &self.flows[b]);
            x.virtual_time.total_cmp(&y.virtual_time).then(a.cmp(&b))
        });
        backlogged_flows
    }

    /// Returns the next request of a flow.
    pub(crate) fn head(&self, flow: usize) -> Option<QueuedRequest> {
        self.flows.get(flow)?.waiting.front().copied()
    }

    /// Removes the next request of a flow and charges the flow for it.
    pub(crate) fn pop(&mut self, flow: usize, weight: f64) -> Option<QueuedRequest> {
        let entry = self.flows.get_mut(flow)?;
        let item = entry.waiting.pop_front()?;
        self.virtual_now = self.virtual_now.max(entry.virtual_time);
        entry.virtual_time += item.cost / weight.max(1e-3);
        self.len -= 1;
        self.remove_if_empty(flow);
        Some(item)
    }

    /// Removes a request that no longer waits, without charging its flow.
    pub(crate) fn remove(&mut self, flow: usize, ticket: Ticket) {
        let Some(entry) = self.flows.get_mut(flow) else {
            return;
        };
        let Some(index) = entry.waiting.iter().position(|w| w.ticket == ticket) else {
            return;
        };
        entry.waiting.remove(index);
        self.len -= 1;
        self.remove_if_empty(flow);
    }

    fn remove_if_empty(&mut self, flow: usize) {
        if self.flows[flow].waiting.is_empty() {
            self.backlogged.retain(|&f| f != flow);
        }
    }
}

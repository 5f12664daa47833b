//! Selection of the node that a request is forwarded to by one that reaches no endpoint of the
//! request's service.
//!
//! Nodes do not announce what they reach: at a site of two thousand nodes of which half are cut off,
//! that would be millions of datagrams. A node learns it from the responses to the requests that it
//! forwards, and prefers nodes that have served one. A node that cannot serve a request names one
//! that has served its own: where few nodes are not cut off, all others soon know them.

use std::collections::BTreeMap;
use std::time::Duration;

/// How long a node that has served a request is preferred.
const CONFIRMED_TIME: Duration = Duration::from_secs(5);

/// How long a node that could not serve a request is not asked again. It may be cut off for a moment
/// only.
const DENIED_TIME: Duration = Duration::from_secs(1);

/// Number of confirmed nodes from which on others are rarely tried. With fewer, a failure of one
/// would leave too much to the others.
const ENOUGH_CONFIRMED: usize = 3;

/// Of 16 requests, those for which an unknown node is tried while few nodes are confirmed, and later.
/// A few always are, so that the load spreads over all nodes that can serve.
const EXPLORED_OF_16: [u64; 2] = [4, 1];

/// Maximum number of nodes that are tried for one request. Each denies within a few milliseconds.
const MAX_TRIES: usize = 4;

/// Number of denials within [`DENIED_TIME`], without any confirmed node, after which a single node is
/// tried for a request: the endpoints themselves are probably down.
const DENIALS_OF_AN_OUTAGE: usize = 8;

/// What is known of a node as a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Knowledge {
    /// It could serve the last request.
    Confirmed,
    /// Another node says so.
    Named,
    /// It could not serve the last request.
    Denied,
}

/// What a node knows of the others as targets for the requests of one service.
#[derive(Clone, Debug, Default)]
pub struct ForwardTargets {
    /// By a number of the node that the caller chooses.
    known: BTreeMap<u64, (Duration, Knowledge)>,
}

impl ForwardTargets {
    /// Picks a target among the nodes that a request was not forwarded to yet. `draw` is random.
    pub fn pick(&self, now: Duration, candidates: &[u64], draw: u64) -> Option<u64> {
        let with = |knowledge: Option<Knowledge>| -> Vec<&u64> {
            let nodes = candidates.iter();
            nodes
                .filter(|node| self.recent(now, **node) == knowledge)
                .collect()
        };
        let confirmed = with(Some(Knowledge::Confirmed));
        let named = with(Some(Knowledge::Named));
        let unknown = with(None);
        let explored = EXPLORED_OF_16[usize::from(confirmed.len() >= ENOUGH_CONFIRMED)];
        let is_explored = confirmed.is_empty() || draw % 16 < explored;
        let group = match is_explored {
            true if !named.is_empty() => named,
            true if !unknown.is_empty() => unknown,
            _ => confirmed,
        };
        let index = (draw / 16).checked_rem(group.len() as u64)?;
        group.get(usize::try_from(index).ok()?).copied().copied()
    }

    /// Returns the maximum number of nodes to try for a request.
    pub fn max_tries(&self, now: Duration) -> usize {
        let recent = self.known.keys().filter_map(|node| self.recent(now, *node));
        let (denied, others): (Vec<_>, Vec<_>) = recent.partition(|k| *k == Knowledge::Denied);
        match others.is_empty() && denied.len() >= DENIALS_OF_AN_OUTAGE {
            true => 1,
            false => MAX_TRIES,
        }
    }

    /// Records whether a node could serve a request.
    pub fn record(&mut self, now: Duration, node: u64, is_served: bool) {
        let knowledge = match is_served {
            true => Knowledge::Confirmed,
            false => Knowledge::Denied,
        };
        self.known.retain(|_, (at, _)| now < *at + CONFIRMED_TIME);
        self.known.insert(node, (now, knowledge));
    }

    /// Records that a node which could not serve a request named one that may. Returns whether that
    /// is new: it is to be tried at once then.
    pub fn record_named(&mut self, now: Duration, node: u64) -> bool {
        let is_new = self.recent(now, node).is_none();
        if is_new {
            self.known.insert(node, (now, Knowledge::Named));
        }
        is_new
    }

    /// Returns a node that has served a request, to be named to others. `draw` is random.
    pub fn confirmed(&self, now: Duration, draw: u64) -> Option<u64> {
        let nodes = self.known.keys().copied();
        let confirmed: Vec<_> = nodes
            .filter(|node| self.recent(now, *node) == Some(Knowledge::Confirmed))
            .collect();
        let index = draw.checked_rem(confirmed.len() as u64)?;
        confirmed.get(usize::try_from(index).ok()?).copied()
    }

    /// What is known of a node, if that is recent enough to count.
    fn recent(&self, now: Duration, node: u64) -> Option<Knowledge> {
        let (at, knowledge) = *self.known.get(&node)?;
        let time = match knowledge {
            Knowledge::Confirmed => CONFIRMED_TIME,
            Knowledge::Named | Knowledge::Denied => DENIED_TIME,
        };
        (now < at + time).then_some(knowledge)
    }
}

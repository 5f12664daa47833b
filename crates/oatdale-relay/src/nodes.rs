//! The other nodes, as recorded in the key-value service.

use crate::state::hash;
use crate::update::Node;
use std::collections::BTreeMap;
use std::hash::Hash;
use std::time::Duration;

/// Grace period after the key-value service recovers in which a node may still be missing because
/// its lease expired meanwhile: it writes its record again with its next renewal.
const RECOVERY_GRACE: Duration = Duration::from_millis(3_000);

/// Time for which a removed node is remembered: it may not know yet that it is removed.
const REMOVED_RETENTION: Duration = Duration::from_secs(10);

/// All known nodes.
#[derive(Debug, Default)]
pub(crate) struct Nodes {
    nodes: BTreeMap<String, KnownNode>,
    /// Until when missing nodes are kept; `None` unless there was an outage.
    grace_until: Option<Duration>,
    /// Nodes that announced their leaving, and until when that applies: the next process on the
    /// host has the same name.
    leaving: BTreeMap<String, Duration>,
    /// Nodes removed lately, also by their own announcement, and when.
    removed: Vec<(Duration, Node)>,
}

#[derive(Debug)]
struct KnownNode {
    node: Node,
    /// When the node is dropped; `None` if it was in the last list.
    dropped_at: Option<Duration>,
}

impl Nodes {
    /// Replaces all nodes.
    ///
    /// Right after an outage, some nodes are missing although they run; these are kept for a grace
    /// period. Callers that get a list of few nodes would all move to these and overload them.
    pub(crate) fn replace(&mut self, now: Duration, all: Vec<Node>) {
        let grace_until = self.grace_until.filter(|until| *until > now);
        for known in self.nodes.values_mut() {
            known.dropped_at = known.dropped_at.or(Some(grace_until.unwrap_or(now)));
        }
        for node in all {
            let known = KnownNode {
                node: node.clone(),
                dropped_at: None,
            };
            self.nodes.insert(node.host, known);
        }
        let is_kept = |k: &KnownNode| k.dropped_at.is_none_or(|until| until > now);
        let dropped = self.nodes.values().filter(|k| !is_kept(k));
        let dropped: Vec<_> = dropped.map(|k| k.node.clone()).collect();
        self.nodes.retain(|_, k| is_kept(k));
        self.record_removed(now, dropped);
    }

    fn record_removed(&mut self, now: Duration, removed: impl IntoIterator<Item = Node>) {
        self.removed.retain(|(at, _)| now < *at + REMOVED_RETENTION);
        self.removed
            .extend(removed.into_iter().map(|node| (now, node)));
    }

    /// Returns the nodes that were removed from the list lately, and when.
    pub(crate) fn recently_removed(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (Duration, &Node)> {
        let removed = self.removed.iter();
        let recent = removed.filter(move |(at, _)| now < *at + REMOVED_RETENTION);
        recent.map(|(at, node)| (*at, node))
    }

    /// Records that a node announced its own leaving, and returns whether this is new.
    ///
    /// While the key-value service is unavailable, a stopping node can't delete its record. Callers
    /// would be given its address until it is gone, and their late requests would be refused.
    pub(crate) fn mark_node_leaving(&mut self, now: Duration, until: Duration, host: &str) -> bool {
        self.leaving.retain(|_, until| *until > now);
        let is_new = self.leaving.insert(host.to_owned(), until).is_none();
        if is_new {
            let node = self.nodes.get(host).map(|k| k.node.clone());
            self.record_removed(now, node);
        }
        is_new
    }

    pub(crate) fn mark_store_unavailable(&mut self) {
        self.grace_until = Some(Duration::MAX);
    }

    pub(crate) fn mark_store_available(&mut self, now: Duration) {
        self.grace_until = self.grace_until.map(|_| now + RECOVERY_GRACE);
    }

    /// Replaces all nodes by those of a peer that the key-value service answers.
    ///
    /// Nodes missing there are gone, although this node can't verify that itself. Otherwise, while
    /// cut off, it would keep giving callers the addresses of hosts that lost power, and they would
    /// try these in vain.
    pub(crate) fn replace_from_peer(&mut self, now: Duration, all: Vec<Node>) {
        let grace_until = self.grace_until.take();
        self.replace(now, all);
        self.grace_until = grace_until;
    }

    /// Returns the nodes that run or may run, by name.
    pub(crate) fn iter(&self, now: Duration) -> impl Iterator<Item = &Node> {
        let is_leaving = move |host: &str| self.leaving.get(host).is_some_and(|until| *until > now);
        self.nodes
            .values()
            .filter(move |k| k.dropped_at.is_none_or(|until| until > now))
            .map(|k| &k.node)
            .filter(move |node| !is_leaving(&node.host))
    }
}

/// Returns the first `count` of these nodes in an order that is the same on every node and differs
/// by `seed`.
pub(crate) fn first_by_hash<'a>(
    nodes: impl Iterator<Item = &'a Node>,
    seed: impl Hash,
    count: usize,
) -> Vec<&'a Node> {
    let mut first: Vec<(u64, &Node)> = Vec::new();
    for node in nodes {
        let key = hash(&(&seed, &node.host));
        let position = first.partition_point(|(other, _)| *other <= key);
        if position < count {
            first.insert(position, (key, node));
            first.truncate(count);
        }
    }
    first.into_iter().map(|(_, node)| node).collect()
}

//! The other nodes, as far as the key-value service tells of them.

use crate::update::Node;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long after the key-value service came back a node may still be missing because its lease
/// ended meanwhile: it writes anew with its next renewal.
const RETURN_GRACE: Duration = Duration::from_millis(3_000);

/// All nodes.
#[derive(Debug, Default)]
pub(crate) struct Nodes {
    nodes: BTreeMap<String, Known>,
    /// Until when nodes that go missing are kept; unset in steady times.
    grace: Option<Duration>,
    /// Nodes that said that they leave, and until when this counts: the host's next process has the
    /// same name.
    left: BTreeMap<String, Duration>,
}

#[derive(Debug)]
struct Known {
    node: Node,
    until: Option<Duration>,
}

impl Nodes {
    /// Takes over the nodes there are.
    ///
    /// Right after an outage some are missing although they run. Callers that are told of few
    /// nodes all move to these, which then have too much to do.
    pub(crate) fn replace(&mut self, now: Duration, all: Vec<Node>) {
        let grace = self.grace.filter(|until| *until > now);
        for known in self.nodes.values_mut() {
            known.until = known.until.or(Some(grace.unwrap_or(now)));
        }
        for node in all {
            let known = Known {
                node: node.clone(),
                until: None,
            };
            self.nodes.insert(node.host, known);
        }
        self.nodes
            .retain(|_, k| k.until.is_none_or(|until| until > now));
    }

    /// Notes that a node said itself that it leaves.
    ///
    /// While the key-value service is away a stopping node can't take its record back. Callers would
    /// be told of it until it is gone, and what they send it late would be refused.
    pub(crate) fn leave(&mut self, until: Duration, host: &str) {
        self.left.insert(host.to_owned(), until);
    }

    pub(crate) fn store_lost(&mut self) {
        self.grace = Some(Duration::MAX);
    }

    pub(crate) fn store_back(&mut self, now: Duration) {
        self.grace = self.grace.map(|_| now + RETURN_GRACE);
    }

    /// Takes over the nodes that another node knows, which the key-value service answers.
    ///
    /// What is missing there is gone, although this node can't ask by itself. Otherwise it would go on
    /// telling callers of hosts that lost their power while it is cut off, and they would try these in vain.
    pub(crate) fn replace_as_told(&mut self, now: Duration, all: Vec<Node>) {
        let grace = self.grace.take();
        self.replace(now, all);
        self.grace = grace;
    }

    /// Those that are there or may be, by name.
    pub(crate) fn iter(&self, now: Duration) -> impl Iterator<Item = &Node> {
        let left = move |host: &str| self.left.get(host).is_some_and(|until| *until > now);
        self.nodes
            .values()
            .filter(move |k| k.until.is_none_or(|until| until > now))
            .map(|k| &k.node)
            .filter(move |node| !left(&node.host))
    }
}

//! The nodes that fetch from this one; their requests show that they are running.

use crate::update::Node;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a node without requests counts as running. A follower sends its next request at once,
/// or after a read from the service if this node did not answer it.
const EXPIRY: Duration = Duration::from_millis(1_800);

/// Maximum number of listed nodes, so that a record of them stays well below the longest value that
/// the service accepts.
const MAX_MEMBERS: usize = 1_024;

/// The nodes that fetch from this one, by host name.
#[derive(Clone, Debug, Default)]
pub struct Members {
    by_host: BTreeMap<String, Member>,
}

#[derive(Clone, Debug)]
struct Member {
    node: Node,
    /// Number of in-flight requests.
    in_flight: usize,
    /// When a request last arrived or ended.
    last_active: Duration,
}

impl Members {
    /// Records that a request of a node arrived.
    pub fn begin_request(&mut self, now: Duration, node: Node) {
        let existing = self.by_host.get(&node.host).map(|member| member.in_flight);
        if existing.is_none() && self.by_host.len() >= MAX_MEMBERS {
            log::warn!(target: "replica", "event=too_many_nodes host={}", node.host);
            return;
        }
        let in_flight = existing.unwrap_or(0);
        let host = node.host.clone();
        let member = Member {
            node,
            in_flight: in_flight + 1,
            last_active: now,
        };
        self.by_host.insert(host, member);
    }

    /// Records that a request of a node was answered or that its connection broke.
    pub fn end_request(&mut self, now: Duration, host: &str) {
        if let Some(member) = self.by_host.get_mut(host) {
            member.in_flight = member.in_flight.saturating_sub(1);
            member.last_active = now;
        }
    }

    /// Returns the running nodes, sorted by host name, and removes the others.
    pub fn running(&mut self, now: Duration) -> Vec<Node> {
        self.by_host
            .retain(|_, member| member.in_flight > 0 || now < member.last_active + EXPIRY);
        self.by_host
            .values()
            .map(|member| member.node.clone())
            .collect()
    }
}

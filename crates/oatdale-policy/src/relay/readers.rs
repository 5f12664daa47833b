//! Selection of the nodes that read the key-value service on behalf of their failure domain
//! (readers), of the nodes that register a record there, and of the source that a node reads from.
//!
//! Hundreds of nodes watch the same records. If each read from the service, the number of calls,
//! each of which has a price, would grow with the number of nodes, and each change would be sent to
//! all of them at the same moment. With two readers in each failure domain, calls grow with the
//! number of domains.

use std::collections::BTreeMap;
use std::time::Duration;

/// Readers of a failure domain: if one fails, the second one continues until the other nodes have
/// noticed the failure.
pub const READERS_PER_DOMAIN: usize = 2;

/// Nodes in a failure domain from which on some read for the others. With fewer, nearly all nodes
/// would be readers, and the few others would read one hop later.
const MIN_DOMAIN_NODES: usize = 4;

/// Nodes of a failure domain that keep a record of their own in the service: the readers, and one
/// that replaces a reader when it dies. The others are announced by the readers that they read
/// from, since the leases of all of them would have to be renewed again and again.
pub const REGISTERED_PER_DOMAIN: usize = 3;

/// Interval between the registrations of nodes that replace missing registered nodes: long enough
/// for the other nodes to learn of a registration before the next one.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(700);

/// Longest delay of a node that starts together with all others.
const MAX_START_DELAY: Duration = Duration::from_millis(2_400);

/// Link speed in Mbit/s at which the start delay is half as long as at 0 Mbit/s.
const HALF_DELAY_LINK_MBPS: f64 = 20.0;

/// Time over which nodes without records spread their registrations, in durations of a call: a node
/// that registers makes two calls, and another one that lists the nodes a third.
const REGISTRATION_SPREAD_CALLS: u32 = 25;

/// Bounds of that time.
const MIN_REGISTRATION_SPREAD: Duration = Duration::from_millis(50);
const MAX_REGISTRATION_SPREAD: Duration = Duration::from_millis(2_400);

/// Binary logarithm of the number of nodes of which about one registers before all others.
const REGISTRATION_DOUBLINGS: f64 = 12.0;

/// How long a starting node asks its readers only, before it reads from the service: a reader that
/// starts at the same time has loaded the records by then.
const READER_START_TIME: Duration = Duration::from_millis(250);

/// Time over which the first reads of all nodes are spread, for each node. A read of all records
/// takes up to ten calls, and the service answers 6,000 reads per second, half of which are left to
/// other calls.
const FIRST_READ_TIME_PER_NODE: Duration = Duration::from_micros(3_300);

/// Seconds for which forwarding one change may saturate a reader's link.
const FORWARD_LINK_SECONDS: f64 = 1.0;

/// Size up to which a record is forwarded over any link: endpoints, nodes and usual configurations
/// are smaller.
const MIN_FORWARDED_BYTES: usize = 64 << 10;

/// Back-off from a reader after it did not answer: the first one, doubled each time up to the
/// maximum.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The same after it refused, which takes it no time. The maximum is shorter, since all readers
/// refuse during an outage of the service, and are the first to know of its end.
const INITIAL_REFUSED_BACKOFF: Duration = Duration::from_millis(250);
const MAX_REFUSED_BACKOFF: Duration = Duration::from_secs(1);

/// A node of the local failure domain.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ReaderCandidate {
    /// Link speed in Mbit/s; 0 if unknown. A reader forwards what it reads to many nodes.
    pub link_mbps: u32,
    /// Hash of the node's name, the same on every node.
    pub hash: u64,
}

/// Returns the readers of a failure domain with `nodes` nodes, as positions in `registered`, the
/// best first; none if each node reads for itself.
pub fn select_readers(registered: &[ReaderCandidate], nodes: usize) -> Vec<usize> {
    if nodes < MIN_DOMAIN_NODES {
        return Vec::new();
    }
    let mut order = rank_readers(registered);
    order.truncate(READERS_PER_DOMAIN);
    order
}

/// Returns the order in which nodes become readers.
pub fn rank_readers(nodes: &[ReaderCandidate]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..nodes.len()).collect();
    order.sort_by_key(|&i| std::cmp::Reverse((nodes[i].link_mbps, nodes[i].hash)));
    order
}

/// Returns the delay after which the unregistered node with this rank registers once registered
/// nodes have gone missing; `None` if enough nodes are registered.
pub fn registration_delay(registered: usize, rank: usize) -> Option<Duration> {
    let missing = REGISTERED_PER_DOMAIN
        .checked_sub(registered)
        .filter(|n| *n > 0)?;
    let round = u32::try_from(rank / missing).unwrap_or(u32::MAX);
    Some(TAKEOVER_INTERVAL.saturating_mul(round))
}

/// Returns how long a node that has no records yet waits before it registers because too few nodes
/// are registered. A call to the service takes `call_time`; `draw` is from 0 to 1.
///
/// Such a node does not know how many others wait too. The delays are distributed so that few of any
/// number of nodes are early: each twelfth of the time has twice as many as the one before. The
/// others find these registered when their turn comes. Nodes with fast links are earlier.
pub fn first_registration_delay(call_time: Duration, link_mbps: u32, draw: f64) -> Duration {
    let spread = call_time.saturating_mul(REGISTRATION_SPREAD_CALLS);
    let spread = spread.clamp(MIN_REGISTRATION_SPREAD, MAX_REGISTRATION_SPREAD);
    let turn = 1.0 + draw.clamp(f64::MIN_POSITIVE, 1.0).log2() / REGISTRATION_DOUBLINGS;
    spread.mul_f64(link_slowness(link_mbps) + turn.max(0.0))
}

/// Returns the pause before a failed call is made again for the n-th time: twice the last one up to
/// a maximum, of which `draw`, from 0 to 1, takes off up to a half. Nodes that failed together would
/// otherwise call together again.
pub fn retry_pause(initial: Duration, max: Duration, attempt: u32, draw: f64) -> Duration {
    let factor = 2_u32.saturating_pow(attempt);
    let pause = initial.saturating_mul(factor).min(max);
    pause.mul_f64(1.0 - draw.clamp(0.0, 1.0) / 2.0)
}

/// Returns how long a node that starts together with all others waits before it registers: nodes
/// with fast links are registered by the time the others list the registered nodes. `draw` is from
/// 0 to 1 and spreads nodes with equal links, which would otherwise all register at once.
pub fn start_delay(link_mbps: u32, draw: f64) -> Duration {
    MAX_START_DELAY.mul_f64(link_slowness(link_mbps) * (1.0 + draw) / 2.0)
}

/// Returns how slow a link is: 1 for the slowest one, nearly 0 for a fast one.
fn link_slowness(link_mbps: u32) -> f64 {
    HALF_DELAY_LINK_MBPS / (HALF_DELAY_LINK_MBPS + f64::from(link_mbps))
}

/// Returns how long a node that has no records yet asks its readers only, after they have not
/// answered, before it reads from the service. `draw` is from 0 to 1.
///
/// Nodes that all start at once ask their readers before these have loaded the records. If all of
/// them then read everything from the service, its limit on reads also delays their readers.
pub fn first_read_delay(nodes: usize, draw: f64) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    let spread = FIRST_READ_TIME_PER_NODE.saturating_mul(nodes);
    READER_START_TIME + spread.mul_f64(draw.clamp(0.0, 1.0))
}

/// Returns the size in bytes up to which a reader forwards a record to `followers` nodes; these
/// read larger records themselves.
///
/// A configuration of some thousand routes is a megabyte. Sent to thirty followers over a slow
/// link, it would reach the last one after many seconds and delay all other updates.
pub fn max_forwarded_bytes(link_mbps: u32, followers: usize) -> usize {
    let link_bytes = f64::from(link_mbps) * 125_000.0 * FORWARD_LINK_SECONDS;
    let bytes_per_follower = link_bytes / followers.max(1) as f64;
    MIN_FORWARDED_BYTES.max(bytes_per_follower as usize)
}

/// Selects the source that a node in a domain with readers reads from: a reader that answers, or
/// the service while none does.
///
/// A reader that hangs is noticed late. If another reader were asked next and hung too, the node
/// would use stale state for longer than the time that an endpoint has for leaving. So the service
/// is asked in between. A reader that refuses is noticed at once.
#[derive(Clone, Debug)]
pub struct ReaderSelector<K> {
    backoffs: BTreeMap<K, Backoff>,
    /// Whether the last reader that was asked failed, so that the service is asked next.
    is_service_next: bool,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Duration,
    delay: Duration,
}

impl<K> Default for ReaderSelector<K> {
    fn default() -> Self {
        ReaderSelector {
            backoffs: BTreeMap::new(),
            is_service_next: false,
        }
    }
}

impl<K: Copy + Ord> ReaderSelector<K> {
    /// Returns the first of these readers that may be asked; `None` if the service has to be asked.
    pub fn select(&mut self, now: Duration, readers: &[K]) -> Option<K> {
        if std::mem::take(&mut self.is_service_next) {
            return None;
        }
        // A reader that is not asked for a while is not one of those to choose from any more.
        self.backoffs.retain(|_, b| now < b.until + MAX_BACKOFF);
        readers
            .iter()
            .copied()
            .find(|reader| !self.is_backing_off(now, reader))
    }

    /// Whether one of these readers may be asked.
    pub fn can_ask(&self, now: Duration, readers: &[K]) -> bool {
        readers
            .iter()
            .any(|reader| !self.is_backing_off(now, reader))
    }

    fn is_backing_off(&self, now: Duration, reader: &K) -> bool {
        self.backoffs.get(reader).is_some_and(|b| now < b.until)
    }

    /// Records that a reader answered.
    pub fn record_success(&mut self, reader: K) {
        self.backoffs.remove(&reader);
    }

    /// Records that a reader has nothing to forward, since the service does not answer it.
    ///
    /// Another reader can be asked next, since no time was lost. The service may refuse a third of
    /// the nodes for seconds; if each follower of a refused reader asked the service in between,
    /// calls would grow with the nodes, and those that it refuses too would have to start anew.
    pub fn record_refusal(&mut self, now: Duration, reader: K) {
        let delay = self.next_delay(reader, INITIAL_REFUSED_BACKOFF, MAX_REFUSED_BACKOFF);
        self.back_off(now, reader, delay);
    }

    /// Records that a reader did not answer.
    pub fn record_failure(&mut self, now: Duration, reader: K) {
        let delay = self.next_delay(reader, INITIAL_BACKOFF, MAX_BACKOFF);
        self.back_off(now, reader, delay);
        self.is_service_next = true;
    }

    /// Returns twice the last delay for a reader, within bounds.
    fn next_delay(&self, reader: K, initial: Duration, max: Duration) -> Duration {
        let previous = self.backoffs.get(&reader).map(|b| b.delay);
        previous.map_or(initial, |delay| (delay * 2).clamp(initial, max))
    }

    fn back_off(&mut self, now: Duration, reader: K, delay: Duration) {
        let until = now + delay;
        self.backoffs.insert(reader, Backoff { until, delay });
    }
}

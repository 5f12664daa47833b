//! Which nodes read the key-value service for the others of their failure domain, which have a record there, and
//! where a node reads.
//!
//! The load pattern: hundreds of nodes that each watch the same records. The service then answers in
//! proportion to the nodes, each call has its price, and each change is answered to all of them at the same
//! moment. With two readers in each failure domain calls grow with the domains.

use std::collections::BTreeMap;
use std::time::Duration;

/// Readers of a failure domain: while one is gone and the others do not know it yet, the other one goes on.
pub const READERS_PER_DOMAIN: usize = 2;

/// Nodes in a failure domain from which on some read for the others. With fewer, nearly all would be readers,
/// and each call that is left would come a step later.
const MIN_DOMAIN_NODES: usize = 4;

/// Nodes of a failure domain that keep a record of their own in the service: the readers, and one that takes a
/// reader's place when it dies. The others are told of by the readers at which they read, since leases of all of
/// them are renewed again and again.
pub const REGISTERED_PER_DOMAIN: usize = 3;

/// Time between two nodes that take the place of registered ones which are gone: the first is known to the others
/// by then.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(700);

/// The longest wait of a node that starts with all others.
const MAX_START_DELAY: Duration = Duration::from_millis(2_400);

/// Link speed in Mbit/s of a node that waits for half of that.
const HALF_DELAY_LINK_MBPS: f64 = 20.0;

/// The part of a second for which a change may fill a reader's link.
const FORWARD_LINK_SECONDS: f64 = 1.0;

/// Bytes of a record that are passed on over any link: endpoints, nodes, usual configurations.
const MIN_FORWARDED_BYTES: usize = 64 << 10;

/// How long a reader that did not answer is left alone: the first time, doubled each time up to the last.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
const REFUSED_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A node of the own failure domain.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ReaderCandidate {
    /// The speed of its link in Mbit/s; 0 if it is not known. What a reader learns it sends to many.
    pub link_mbps: u32,
    /// A hash of its name, the same on every node.
    pub hash: u64,
}

/// The nodes that read for a failure domain of so many nodes, as positions among the registered ones, the best
/// first; none if each reads for itself.
pub fn select_readers(registered: &[ReaderCandidate], nodes: usize) -> Vec<usize> {
    if nodes < MIN_DOMAIN_NODES {
        return Vec::new();
    }
    let mut order = rank_readers(registered);
    order.truncate(READERS_PER_DOMAIN);
    order
}

/// The order in which nodes become readers.
pub fn rank_readers(nodes: &[ReaderCandidate]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..nodes.len()).collect();
    order.sort_by_key(|&i| std::cmp::Reverse((nodes[i].link_mbps, nodes[i].hash)));
    order
}

/// How long after too few other nodes are registered the one of this rank among the rest registers too; `None` if
/// there are enough.
pub fn registration_delay(registered: usize, rank: usize) -> Option<Duration> {
    let missing = REGISTERED_PER_DOMAIN
        .checked_sub(registered)
        .filter(|n| *n > 0)?;
    let turn = u32::try_from(rank / missing).unwrap_or(u32::MAX);
    Some(TAKEOVER_INTERVAL.saturating_mul(turn))
}

/// How long a node waits that starts when all others do: those with fast links are registered when the others look
/// who is there. `draw` is from 0 to 1; nodes with equal links would come all at once.
pub fn start_delay(link_mbps: u32, draw: f64) -> Duration {
    let slowness = HALF_DELAY_LINK_MBPS / (HALF_DELAY_LINK_MBPS + f64::from(link_mbps));
    MAX_START_DELAY.mul_f64(slowness * (1.0 + draw) / 2.0)
}

/// Bytes up to which a reader passes a record on to so many followers; those of longer ones read it themselves.
///
/// A configuration of some thousand routes is a megabyte. Sent to thirty followers over a slow link it would
/// come to the last one after many seconds, and all other news would wait behind it.
pub fn max_forwarded_bytes(link_mbps: u32, followers: usize) -> usize {
    let link_bytes = f64::from(link_mbps) * 125_000.0 * FORWARD_LINK_SECONDS;
    let bytes_each = link_bytes / followers.max(1) as f64;
    MIN_FORWARDED_BYTES.max(bytes_each as usize)
}

/// Where a node that has readers reads: at one that answers, at the service while none does.
///
/// A reader that hangs is noticed late. Were another one asked next, and to hang too, the node would go on with
/// what it last heard for longer than an endpoint has to leave. So the service is asked in between.
#[derive(Clone, Debug)]
pub struct ReaderSelector<K> {
    backoffs: BTreeMap<K, Backoff>,
    /// Whether the last one that was asked failed.
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
    /// The first of these readers that may be asked; `None` if the service has to be.
    pub fn select(&mut self, now: Duration, readers: &[K]) -> Option<K> {
        if std::mem::take(&mut self.is_service_next) {
            return None;
        }
        self.backoffs.retain(|reader, _| readers.contains(reader));
        let is_waiting = |reader: &K| self.backoffs.get(reader).is_some_and(|b| now < b.until);
        readers.iter().copied().find(|reader| !is_waiting(reader))
    }

    /// Notes that a reader answered.
    pub fn record_success(&mut self, reader: K) {
        self.backoffs.remove(&reader);
    }

    /// Notes that a reader says that it has nothing to tell: the service does not answer it.
    ///
    /// It can be asked again soon, since it answers at once.
    pub fn record_refusal(&mut self, now: Duration, reader: K) {
        let backoff = Backoff {
            until: now + REFUSED_BACKOFF,
            delay: REFUSED_BACKOFF,
        };
        self.backoffs.insert(reader, backoff);
        self.is_service_next = true;
    }

    /// Notes that a reader did not answer.
    pub fn record_failure(&mut self, now: Duration, reader: K) {
        let previous = self.backoffs.get(&reader).map(|b| b.delay);
        let delay = previous.map_or(INITIAL_BACKOFF, |delay| (delay * 2).min(MAX_BACKOFF));
        let until = now + delay;
        self.backoffs.insert(reader, Backoff { until, delay });
        self.is_service_next = true;
    }
}

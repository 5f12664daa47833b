//! Groups of endpoints for load aggregation, and the report interval.

use std::time::Duration;

/// How long a report is valid, as a multiple of the report interval: some reports may be lost.
const VALIDITY_INTERVALS: u32 = 4;

/// Shortest report interval: an engine of a busy site gets about two requests in it.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// Nodes times endpoints per group. An aggregator of that size sends 150 kB/s, about a tenth of a
/// 10 Mbit/s link.
const GROUP_SIZE: usize = 4_096;

/// Number of groups up to which reports are sent every quarter of a second. Per group, a node sends
/// and receives eight datagrams a second, so 128 each way for 16 groups: fewer than the
/// announcements of long prompts at such a size.
const MAX_FAST_GROUPS: usize = 16;

/// Aggregation scheme for a site of a given size.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AggregationScheme {
    /// Number of groups that endpoints are divided into: a power of two, so that nodes whose counts
    /// of nodes and endpoints differ slightly mostly agree.
    pub groups: u32,
    /// Report interval.
    pub interval: Duration,
}

impl AggregationScheme {
    /// Returns the scheme for this number of nodes and endpoints.
    pub fn new(nodes: usize, endpoints: usize) -> Self {
        let groups = (nodes * endpoints / GROUP_SIZE).max(1).ilog2();
        let groups = 1_usize << groups;
        let interval_factor = (groups / MAX_FAST_GROUPS).max(1);
        AggregationScheme {
            groups: u32::try_from(groups).unwrap_or(u32::MAX),
            interval: MIN_INTERVAL * u32::try_from(interval_factor).unwrap_or(u32::MAX),
        }
    }

    /// Returns the group of an endpoint.
    pub fn group(&self, endpoint: u32) -> u32 {
        endpoint % self.groups
    }

    /// Returns how long a report is valid.
    pub(crate) fn validity(&self) -> Duration {
        self.interval * VALIDITY_INTERVALS
    }
}

impl Default for AggregationScheme {
    fn default() -> Self {
        AggregationScheme::new(1, 1)
    }
}

//! Groups of endpoints for load aggregation.

use crate::loads::Load;
use std::time::Duration;

/// How long a report is valid, as a multiple of the report interval: some reports may be lost.
const VALIDITY_INTERVALS: u32 = 4;

/// Report interval: an engine of a busy site gets about two requests in it.
const INTERVAL: Duration = Duration::from_millis(250);

/// Nodes times endpoints per group. An aggregator of that size sends 150 kB/s, about a tenth of a
/// 10 Mbit/s link.
const GROUP_SIZE: usize = 4_096;

/// Maximum number of groups in one report of a node. Per group, a node sends and receives eight
/// datagrams a second, so 128 each way for 16 groups: fewer than the announcements of long prompts
/// at such a size.
pub(crate) const MAX_REPORTED_GROUPS: usize = 16;

/// Aggregation scheme for a site of a given size.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AggregationScheme {
    /// Number of groups that endpoints are divided into: a power of two, so that nodes whose counts
    /// of nodes and endpoints differ slightly mostly agree.
    pub groups: u32,
}

impl AggregationScheme {
    /// Report interval.
    pub const INTERVAL: Duration = INTERVAL;

    /// How long a report is valid.
    pub(crate) const VALIDITY: Duration = INTERVAL.saturating_mul(VALIDITY_INTERVALS);

    /// Returns the scheme for this number of nodes and endpoints.
    pub fn new(nodes: usize, endpoints: usize) -> Self {
        let groups = (nodes * endpoints / GROUP_SIZE).max(1).ilog2();
        AggregationScheme {
            groups: 1 << groups,
        }
    }

    /// Whether nodes report to all groups, also those where they have no load, so that they get the
    /// sums of all endpoints. With more groups, nodes report only where they have load.
    pub fn reports_to_all_groups(&self) -> bool {
        self.groups as usize <= MAX_REPORTED_GROUPS
    }

    /// Returns the group of an endpoint.
    pub fn group(&self, endpoint: u32) -> u32 {
        endpoint % self.groups
    }

    /// Returns the group that a message with these loads belongs to. Where nodes report to all
    /// groups, the loads of all of them are added up together, and a message may have none.
    pub(crate) fn group_of(&self, loads: &[Load]) -> Option<u32> {
        match self.reports_to_all_groups() {
            true => Some(0),
            false => loads.first().map(|l| self.group(l.endpoint)),
        }
    }
}

impl Default for AggregationScheme {
    fn default() -> Self {
        AggregationScheme::new(1, 1)
    }
}

//! Aggregated load of all nodes at each endpoint.
//!
//! A node of a large site sees about a hundredth of an engine's work: an engine that caches a
//! popular prompt prefix looks idle to every node, until half of its requests queue there while
//! other engines have capacity. So each node reports its loads to two aggregators, which sum them
//! up and send the sums back to the nodes that reported. Each node determines the aggregators by
//! itself; where nodes disagree, the sum over more nodes is used.
//!
//! The traffic of the aggregators grows with nodes times endpoints. On larger sites, endpoints are
//! therefore divided into groups with two aggregators each, and above a certain number of groups
//! the reports are sent less often.

mod scheme;

pub use crate::loads::scheme::AggregationScheme;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of loads in one datagram: each takes up to nine bytes, and datagrams of
/// 1,200 bytes pass every network.
pub const MAX_LOADS_PER_DATAGRAM: usize = 120;

/// Aggregators per group. One would do; the second continues while the first is down and the other
/// nodes have not noticed.
pub(crate) const AGGREGATORS_PER_GROUP: usize = 2;

/// Minimum number of nodes in a sum that replaces the last one, as a fraction of that one's nodes:
/// there are two aggregators, and one that has just become an aggregator has received few reports.
const MIN_COVERAGE: f64 = 0.8;

/// Load at one endpoint, encoded as a pair of numbers: field names would triple the datagram's
/// size.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(into = "(u32, u16)", from = "(u32, u16)")]
pub struct Load {
    /// Number of the endpoint, the same on every node.
    pub endpoint: u32,
    /// Load in tenths of a short request.
    pub tenths: u16,
}

/// Loads in the last report that were not zero, in tenths of a request by endpoint. The next report
/// contains a zero for each that has become zero.
#[derive(Clone, Debug, Default)]
struct LastReport(BTreeMap<u32, u16>);

/// Sums up the loads reported by the nodes.
#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    scheme: AggregationScheme,
    /// Time of each node's last report, and its loads.
    nodes: BTreeMap<SocketAddr, (Duration, TimedLoads)>,
    last_report: LastReport,
}

/// Load sums as received from the aggregators.
#[derive(Clone, Debug, Default)]
pub struct LoadSums {
    scheme: AggregationScheme,
    last_own_report: LastReport,
    sums: TimedLoads,
    /// When a sum was last accepted, and the number of nodes that it covers.
    last_sum: Option<(Duration, usize)>,
}

/// Loads in requests by endpoint, each with the time at which it was received.
#[derive(Clone, Debug, Default)]
struct TimedLoads(BTreeMap<u32, (Duration, f64)>);

impl From<Load> for (u32, u16) {
    fn from(load: Load) -> Self {
        (load.endpoint, load.tenths)
    }
}

impl From<(u32, u16)> for Load {
    fn from((endpoint, tenths): (u32, u16)) -> Self {
        Load { endpoint, tenths }
    }
}

impl LastReport {
    /// Returns the next report of these loads, given in requests: those that are not zero, and
    /// zeros for those that were not zero in the last report.
    fn next_report(&mut self, loads: impl Iterator<Item = (u32, f64)>) -> Vec<Load> {
        let loads = loads.map(|(endpoint, load)| (endpoint, tenths(load)));
        let current: BTreeMap<u32, u16> = loads.filter(|(_, tenths)| *tenths > 0).collect();
        let zeroed = self
            .0
            .keys()
            .filter(|endpoint| !current.contains_key(endpoint));
        let zeroed = zeroed.map(|endpoint| (*endpoint, 0));
        let nonzero = current
            .iter()
            .map(|(endpoint, tenths)| (*endpoint, *tenths));
        let report = nonzero.chain(zeroed).map(Load::from).collect();
        self.0 = current;
        report
    }

    fn requests(&self, endpoint: u32) -> f64 {
        self.0
            .get(&endpoint)
            .map_or(0.0, |tenths| f64::from(*tenths) / 10.0)
    }
}

impl LoadAggregator {
    /// Sets the aggregation scheme.
    pub fn set_scheme(&mut self, scheme: AggregationScheme) {
        self.scheme = scheme;
    }

    /// Records a report of a node's loads.
    pub fn record_report(&mut self, now: Duration, from: SocketAddr, loads: &[Load]) {
        let (at, known) = self.nodes.entry(from).or_default();
        *at = now;
        known.record(now, self.scheme.validity(), loads);
    }

    /// Returns the number of nodes with recent reports, the sums of their loads and their
    /// addresses. Drops the other nodes.
    pub fn sum(&mut self, now: Duration) -> (usize, Vec<Load>, Vec<SocketAddr>) {
        let validity = self.scheme.validity();
        self.nodes.retain(|_, (at, _)| now < *at + validity);
        let mut sums: BTreeMap<u32, f64> = BTreeMap::new();
        for (endpoint, load) in self
            .nodes
            .values()
            .flat_map(|(_, timed_loads)| timed_loads.recent(now, validity))
        {
            *sums.entry(endpoint).or_default() += load;
        }
        let loads = self.last_report.next_report(sums.into_iter());
        let nodes = self.nodes.keys().copied().collect();
        (self.nodes.len(), loads, nodes)
    }
}

impl LoadSums {
    /// Sets the aggregation scheme.
    pub fn set_scheme(&mut self, scheme: AggregationScheme) {
        self.scheme = scheme;
    }

    /// Returns the aggregation scheme in use.
    pub fn scheme(&self) -> AggregationScheme {
        self.scheme
    }

    /// Returns the next report of this node's loads.
    pub fn own_report(&mut self, own_loads: impl Iterator<Item = (u32, f64)>) -> Vec<Load> {
        self.last_own_report.next_report(own_loads)
    }

    /// Records sums over `nodes` nodes, including this one.
    pub fn record_sums(&mut self, now: Duration, nodes: usize, sums: &[Load]) {
        let last = self
            .last_sum
            .filter(|(at, _)| now < *at + self.scheme.validity());
        if last.is_some_and(|(_, last_nodes)| (nodes as f64) < last_nodes as f64 * MIN_COVERAGE) {
            return;
        }
        self.last_sum = Some((now, nodes));
        self.sums.record(now, self.scheme.validity(), sums);
    }

    /// Returns the load of the other nodes at an endpoint, in requests; 0 if no recent sum has it.
    pub fn other_nodes_load(&self, now: Duration, endpoint: u32) -> f64 {
        let sum = self.sums.get(now, self.scheme.validity(), endpoint);
        (sum - self.last_own_report.requests(endpoint)).max(0.0)
    }

    /// Returns when sums were last accepted, if recently.
    pub fn last_sum_at(&self, now: Duration) -> Option<Duration> {
        let (at, _) = self.last_sum?;
        (now < at + self.scheme.validity()).then_some(at)
    }
}

impl TimedLoads {
    fn record(&mut self, now: Duration, validity: Duration, loads: &[Load]) {
        let received = loads
            .iter()
            .map(|l| (l.endpoint, (now, f64::from(l.tenths) / 10.0)));
        self.0.extend(received);
        self.0.retain(|_, (at, _)| now < *at + validity);
    }

    fn get(&self, now: Duration, validity: Duration, endpoint: u32) -> f64 {
        let known = self.0.get(&endpoint).filter(|(at, _)| now < *at + validity);
        known.map_or(0.0, |(_, load)| *load)
    }

    fn recent(&self, now: Duration, validity: Duration) -> impl Iterator<Item = (u32, f64)> {
        let known = self
            .0
            .iter()
            .filter(move |(_, (at, _))| now < *at + validity);
        known.map(|(endpoint, (_, load))| (*endpoint, *load))
    }
}

fn tenths(requests: f64) -> u16 {
    let tenths = (requests * 10.0).round();
    tenths.clamp(0.0, f64::from(u16::MAX)) as u16
}

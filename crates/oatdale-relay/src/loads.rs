//! Aggregated load of all nodes at each endpoint.
//!
//! A node of a large site sees about a hundredth of an engine's work: an engine that caches a
//! popular prompt prefix looks idle to every node, until half of its requests queue there while
//! other engines have capacity. So each node reports its loads to two aggregators, which sum them
//! up and send the sums back to the nodes that reported. Each node determines the aggregators by
//! itself; where nodes disagree, the sum over more nodes is used.
//!
//! The traffic of the aggregators grows with nodes times endpoints. On larger sites, endpoints are
//! therefore divided into groups with two aggregators each. With many groups, a node reports only
//! to those at whose endpoints it has load, and gets only their sums: what it sends then follows
//! its own requests, not the size of the site.

mod scheme;

pub use crate::loads::scheme::AggregationScheme;

use crate::loads::scheme::MAX_REPORTED_GROUPS;
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
    groups: BTreeMap<u32, GroupReports>,
}

/// Reports of the loads at a group of endpoints.
#[derive(Clone, Debug, Default)]
struct GroupReports {
    /// Time of each node's last report, and its loads.
    nodes: BTreeMap<SocketAddr, (Duration, TimedLoads)>,
    last_report: LastReport,
}

/// A node's report of its loads at a group of endpoints.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct GroupReport {
    /// The group.
    pub group: u32,
    /// The loads; may be empty where nodes report to all groups.
    pub loads: Vec<Load>,
}

/// Sums of the loads at a group of endpoints.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct GroupSums {
    /// Number of nodes with recent reports.
    pub nodes: usize,
    /// Their loads, added up.
    pub loads: Vec<Load>,
    /// Their addresses.
    pub reporters: Vec<SocketAddr>,
}

/// Load sums as received from the aggregators.
#[derive(Clone, Debug, Default)]
pub struct LoadSums {
    scheme: AggregationScheme,
    last_own_report: LastReport,
    /// The group after the last one that was reported, where there are too many for one report.
    next_group: u32,
    sums: TimedLoads,
    /// When a sum was last accepted for each group, and the number of nodes that it covers.
    last_sums: BTreeMap<u32, (Duration, usize)>,
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

    /// Records a report of a node's loads at one group of endpoints.
    pub fn record_report(&mut self, now: Duration, from: SocketAddr, loads: &[Load]) {
        let Some(group) = self.scheme.group_of(loads) else {
            return;
        };
        let reports = self.groups.entry(group).or_default();
        let (at, known) = reports.nodes.entry(from).or_default();
        *at = now;
        known.record(now, loads);
    }

    /// Returns the sums of each group with recent reports. Drops the other reports.
    pub fn sum(&mut self, now: Duration) -> Vec<GroupSums> {
        for reports in self.groups.values_mut() {
            reports.nodes.retain(|_, (at, _)| is_valid(now, *at));
        }
        self.groups.retain(|_, reports| !reports.nodes.is_empty());
        self.groups.values_mut().map(|r| r.sum(now)).collect()
    }
}

impl GroupReports {
    fn sum(&mut self, now: Duration) -> GroupSums {
        let mut sums: BTreeMap<u32, f64> = BTreeMap::new();
        let all = self.nodes.values();
        for (endpoint, load) in all.flat_map(|(_, timed_loads)| timed_loads.recent(now)) {
            *sums.entry(endpoint).or_default() += load;
        }
        GroupSums {
            nodes: self.nodes.len(),
            loads: self.last_report.next_report(sums.into_iter()),
            reporters: self.nodes.keys().copied().collect(),
        }
    }
}

impl LoadSums {
    /// Sets the aggregation scheme.
    pub fn set_scheme(&mut self, scheme: AggregationScheme) {
        self.scheme = scheme;
    }

    /// Returns the next report of this node's loads, divided by the groups of endpoints.
    pub fn own_reports(&mut self, own_loads: impl Iterator<Item = (u32, f64)>) -> Vec<GroupReport> {
        let loads = self.last_own_report.next_report(own_loads);
        let mut groups: BTreeMap<u32, Vec<Load>> = BTreeMap::new();
        if self.scheme.reports_to_all_groups() {
            groups.extend((0..self.scheme.groups).map(|group| (group, Vec::new())));
        }
        for load in loads {
            let group = self.scheme.group(load.endpoint);
            groups.entry(group).or_default().push(load);
        }
        let later = groups.split_off(&self.next_group);
        let reports = later.into_iter().chain(groups);
        let reports = reports.map(|(group, loads)| GroupReport { group, loads });
        let reports: Vec<_> = reports.take(MAX_REPORTED_GROUPS).collect();
        self.next_group = reports.last().map_or(0, |r| r.group + 1);
        reports
    }

    /// Records sums of one group over `nodes` nodes, including this one.
    pub fn record_sums(&mut self, now: Duration, nodes: usize, sums: &[Load]) {
        let Some(group) = self.scheme.group_of(sums) else {
            return;
        };
        let last = self.last_sums.get(&group);
        let last = last.filter(|(at, _)| is_valid(now, *at));
        if last.is_some_and(|(_, last_nodes)| (nodes as f64) < *last_nodes as f64 * MIN_COVERAGE) {
            return;
        }
        self.last_sums.retain(|_, (at, _)| is_valid(now, *at));
        self.last_sums.insert(group, (now, nodes));
        self.sums.record(now, sums);
    }

    /// Returns the load of the other nodes at an endpoint, in requests; 0 if no recent sum has it.
    pub fn other_nodes_load(&self, now: Duration, endpoint: u32) -> f64 {
        (self.sums.get(now, endpoint) - self.last_own_report.requests(endpoint)).max(0.0)
    }

    /// Returns when sums that include an endpoint were last accepted, if recently.
    pub fn last_sum_at(&self, now: Duration, endpoint: u32) -> Option<Duration> {
        let group = match self.scheme.reports_to_all_groups() {
            true => 0,
            false => self.scheme.group(endpoint),
        };
        let (at, _) = self.last_sums.get(&group)?;
        is_valid(now, *at).then_some(*at)
    }
}

impl TimedLoads {
    fn record(&mut self, now: Duration, loads: &[Load]) {
        let received = loads
            .iter()
            .map(|l| (l.endpoint, (now, f64::from(l.tenths) / 10.0)));
        self.0.extend(received);
        self.0.retain(|_, (at, _)| is_valid(now, *at));
    }

    fn get(&self, now: Duration, endpoint: u32) -> f64 {
        let known = self.0.get(&endpoint).filter(|(at, _)| is_valid(now, *at));
        known.map_or(0.0, |(_, load)| *load)
    }

    fn recent(&self, now: Duration) -> impl Iterator<Item = (u32, f64)> {
        let known = self.0.iter().filter(move |(_, (at, _))| is_valid(now, *at));
        known.map(|(endpoint, (_, load))| (*endpoint, *load))
    }
}

/// Whether a report that was received at a time is still valid.
fn is_valid(now: Duration, at: Duration) -> bool {
    now < at + AggregationScheme::VALIDITY
}

fn tenths(requests: f64) -> u16 {
    let tenths = (requests * 10.0).round();
    tenths.clamp(0.0, f64::from(u16::MAX)) as u16
}

//! What all nodes together have under way at each endpoint.
//!
//! A node of a large site sees a hundredth of what an engine has to do: to each of them the engine that keeps a
//! popular beginning of prompts looks idle, until half of its requests wait there while other engines have room.
//! So each node tells two others its loads, which add up what they are told and tell the sums to those who told
//! them. Which two is found by each node for itself; where nodes differ, the sum over more nodes counts.
//!
//! What those two send grows with nodes times endpoints. So on larger sites endpoints are dealt into groups, each
//! with two nodes of its own that add up, and beyond a number of groups nodes tell less often.

mod scheme;

pub use crate::loads::scheme::Scheme;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Loads in one datagram: each takes up to nine bytes of the 1,200 that pass every network.
pub const MOST_LOADS: usize = 120;

/// Nodes that add up: one would do; while one is gone and the others do not know it, the other one goes on.
pub(crate) const ADDERS: usize = 2;

/// The part of the nodes of the last sum that another one must have to take its place: two nodes add up, and
/// one that has just become one of them knows few loads.
const LEAST_PART: f64 = 0.8;

/// The load at one endpoint; in a datagram a pair of numbers, since names would take three times the bytes.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(into = "(u32, u16)", from = "(u32, u16)")]
pub struct Load {
    /// The endpoint's number, which is the same on every node.
    pub endpoint: u32,
    /// In tenths of a short request.
    pub tenths: u16,
}

/// Loads as they were told last; says what is to be told next.
#[derive(Clone, Debug, Default)]
struct Reported(BTreeMap<u32, u16>);

/// Adds up what other nodes tell.
#[derive(Clone, Debug, Default)]
pub struct Adder {
    scheme: Scheme,
    /// When each node last told something, and what.
    nodes: BTreeMap<SocketAddr, (Duration, Known)>,
    reported: Reported,
}

/// The sums as a node has heard them.
#[derive(Clone, Debug, Default)]
pub struct Shared {
    scheme: Scheme,
    own: Reported,
    sums: Known,
    /// When a sum last came, and over how many nodes it was.
    last: Option<(Duration, usize)>,
}

/// Loads in requests, by endpoint, with the moments at which they were told.
#[derive(Clone, Debug, Default)]
struct Known(BTreeMap<u32, (Duration, f64)>);

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

impl Reported {
    /// What to tell of these loads, in requests: those that are not zero, or were not when last told.
    fn next(&mut self, loads: impl Iterator<Item = (u32, f64)>) -> Vec<Load> {
        let loads = loads.map(|(endpoint, load)| (endpoint, tenths(load)));
        let now: BTreeMap<u32, u16> = loads.filter(|(_, tenths)| *tenths > 0).collect();
        let gone = self.0.keys().filter(|endpoint| !now.contains_key(endpoint));
        let gone = gone.map(|endpoint| (*endpoint, 0));
        let there = now.iter().map(|(endpoint, tenths)| (*endpoint, *tenths));
        let told = there.chain(gone).map(Load::from).collect();
        self.0 = now;
        told
    }

    fn requests(&self, endpoint: u32) -> f64 {
        self.0
            .get(&endpoint)
            .map_or(0.0, |tenths| f64::from(*tenths) / 10.0)
    }
}

impl Adder {
    /// Goes on with another scheme.
    pub fn set_scheme(&mut self, scheme: Scheme) {
        self.scheme = scheme;
    }

    /// Takes in what a node tells of its loads.
    pub fn take(&mut self, now: Duration, from: SocketAddr, loads: &[Load]) {
        let (at, known) = self.nodes.entry(from).or_default();
        *at = now;
        known.take(now, self.scheme.fresh(), loads);
    }

    /// The sums over all nodes that told lately, over how many, and who they are. Forgets the others.
    pub fn sum(&mut self, now: Duration) -> (usize, Vec<Load>, Vec<SocketAddr>) {
        let fresh = self.scheme.fresh();
        self.nodes.retain(|_, (at, _)| now < *at + fresh);
        let mut sums: BTreeMap<u32, f64> = BTreeMap::new();
        for (endpoint, load) in self.nodes.values().flat_map(|(_, k)| k.fresh(now, fresh)) {
            *sums.entry(endpoint).or_default() += load;
        }
        let loads = self.reported.next(sums.into_iter());
        let nodes = self.nodes.keys().copied().collect();
        (self.nodes.len(), loads, nodes)
    }
}

impl Shared {
    /// Goes on with another scheme.
    pub fn set_scheme(&mut self, scheme: Scheme) {
        self.scheme = scheme;
    }

    /// The scheme that is followed.
    pub fn scheme(&self) -> Scheme {
        self.scheme
    }

    /// What to tell of this node's own loads.
    pub fn report(&mut self, own: impl Iterator<Item = (u32, f64)>) -> Vec<Load> {
        self.own.next(own)
    }

    /// Takes in a sum over so many nodes, this one among them.
    pub fn take(&mut self, now: Duration, nodes: usize, sums: &[Load]) {
        let last = self.last.filter(|(at, _)| now < *at + self.scheme.fresh());
        if last.is_some_and(|(_, least)| (nodes as f64) < least as f64 * LEAST_PART) {
            return;
        }
        self.last = Some((now, nodes));
        self.sums.take(now, self.scheme.fresh(), sums);
    }

    /// What the other nodes have at an endpoint, in requests; nothing if it was not told lately.
    pub fn others(&self, now: Duration, endpoint: u32) -> f64 {
        let sum = self.sums.get(now, self.scheme.fresh(), endpoint);
        (sum - self.own.requests(endpoint)).max(0.0)
    }

    /// When sums last came, if lately.
    pub fn last_report(&self, now: Duration) -> Option<Duration> {
        let (at, _) = self.last?;
        (now < at + self.scheme.fresh()).then_some(at)
    }
}

impl Known {
    fn take(&mut self, now: Duration, fresh: Duration, loads: &[Load]) {
        let told = loads
            .iter()
            .map(|l| (l.endpoint, (now, f64::from(l.tenths) / 10.0)));
        self.0.extend(told);
        self.0.retain(|_, (at, _)| now < *at + fresh);
    }

    fn get(&self, now: Duration, fresh: Duration, endpoint: u32) -> f64 {
        let known = self.0.get(&endpoint).filter(|(at, _)| now < *at + fresh);
        known.map_or(0.0, |(_, load)| *load)
    }

    fn fresh(&self, now: Duration, fresh: Duration) -> impl Iterator<Item = (u32, f64)> {
        let known = self.0.iter().filter(move |(_, (at, _))| now < *at + fresh);
        known.map(|(endpoint, (_, load))| (*endpoint, *load))
    }
}

fn tenths(requests: f64) -> u16 {
    let tenths = (requests * 10.0).round();
    tenths.clamp(0.0, f64::from(u16::MAX)) as u16
}

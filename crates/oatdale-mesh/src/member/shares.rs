//! Splits customers' limits over nodes by recent demand.
//!
//! Each node computes its part from its own view. Three rules keep the sum near the limit while
//! views differ: a part falls at once but rises only after everyone has had time to hear why, or to
//! notice that the others can't be heard; the part of a host that is not heard of stays reserved
//! for it, since it may be cut off rather than dead; hosts that are listed but not known yet get
//! an even part reserved.
//!
//! Reserved is the greatest part that the host had lately. Demand that changes here between a cut
//! and its notice would otherwise shrink what the other side goes on using, and each side would
//! end up with most of the limit.

use crate::types::{HostId, Share};
use crate::wire::Fraction;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The part of a limit that is split evenly, so that a customer's first request at any node finds
/// some room.
const FLOOR: f64 = 0.2;
/// Customers that are followed at most.
const MAX_CUSTOMERS: usize = 1024;
/// A change of demand below this fraction of it is not told.
const STEP: f32 = 0.1;
/// Nor is one below this fraction of the limit, over all nodes together.
const LEAST_STEP: f32 = 0.05;

/// Something that has a part of each limit.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Unit {
    /// A host of this failure domain.
    Host(HostId),
    /// Another failure domain, by hash of its name.
    Domain(u32),
}

/// How a unit stands when parts are computed.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Standing {
    /// Heard of lately, with so many live hosts.
    Live(usize),
    /// Not heard of any more, with so many hosts.
    Frozen(usize),
}

type Demand = BTreeMap<u32, f32>;

/// Demand and parts of everyone.
#[derive(Debug)]
pub(crate) struct Shares {
    own: Demand,
    sent: Demand,
    hosts: BTreeMap<HostId, Demand>,
    /// Live demand and frozen part of other failure domains.
    domains: BTreeMap<u32, BTreeMap<u32, (f32, f32)>>,
    /// The parts that each unit had when it was last live, negated: the least is the greatest.
    parts: BTreeMap<(Unit, u32), Window>,
    windows: BTreeMap<u32, Window>,
    since: Duration,
    /// Whether this node has heard of everyone once, or has waited long enough.
    settled: bool,
}

/// The least of the values of some time.
#[derive(Debug, Default)]
struct Window(VecDeque<(Duration, f32)>);

impl Window {
    /// A customer that nobody asked for anything so far has the same part everywhere.
    fn at(now: Duration, part: f32) -> Self {
        Window(VecDeque::from([(now, part)]))
    }

    fn push(&mut self, now: Duration, part: f32, keep: Duration) -> f32 {
        while self.0.back().is_some_and(|(_, p)| *p >= part) {
            self.0.pop_back();
        }
        self.0.push_back((now, part));
        while self.0.front().is_some_and(|(at, _)| *at + keep < now) {
            self.0.pop_front();
        }
        self.least().unwrap_or(part)
    }

    fn shift(&mut self, gap: Duration) {
        for (at, _) in &mut self.0 {
            *at += gap;
        }
    }

    fn least(&self) -> Option<f32> {
        self.0.front().map(|(_, p)| *p)
    }
}

impl Shares {
    pub(crate) fn new(now: Duration) -> Self {
        Shares {
            own: Demand::new(),
            sent: Demand::new(),
            hosts: BTreeMap::new(),
            domains: BTreeMap::new(),
            parts: BTreeMap::new(),
            windows: BTreeMap::new(),
            since: now,
            settled: false,
        }
    }

    /// Parts may not rise before everyone had time to hear of this node.
    pub(crate) fn start(&mut self, now: Duration) {
        self.since = now;
    }

    /// After a pause this node still reckons with what it heard before. What may not rise yet must
    /// not rise for as long as before, or it would use parts that others took meanwhile.
    pub(crate) fn shift(&mut self, gap: Duration) {
        self.since += gap;
        for window in self.windows.values_mut().chain(self.parts.values_mut()) {
            window.shift(gap);
        }
    }

    pub(crate) fn set_own(&mut self, demand: &[(u32, f32)]) {
        self.own = demand
            .iter()
            .copied()
            .filter(sane)
            .take(MAX_CUSTOMERS)
            .collect();
    }

    /// Own demand that changed enough to be told to a fleet of so many nodes.
    ///
    /// This node reckons with what it has told, and not with what it knows better: only then do
    /// the parts that all nodes compute belong to one sum.
    pub(crate) fn own_news(&mut self, fleet: usize) -> Vec<(u32, Fraction)> {
        let least = LEAST_STEP / fleet.max(1) as f32;
        let before = |c: &u32| self.sent.get(c).copied().unwrap_or(0.0);
        let apart = |a: f32, b: f32| (a - b).abs() > (STEP * a.max(b)).max(least);
        let gone = self.sent.keys().filter(|c| !self.own.contains_key(c));
        let now = self.own.iter().map(|(c, d)| (*c, *d));
        let news: Vec<(u32, Fraction)> = now
            .chain(gone.map(|c| (*c, 0.0)))
            .filter(|(c, d)| apart(before(c), *d))
            .map(|(c, d)| (c, Fraction::from(d)))
            .collect();
        for (customer, demand) in &news {
            match f32::from(*demand) {
                0.0 => self.sent.remove(customer),
                told => self.sent.insert(*customer, told),
            };
        }
        news
    }

    /// Own demand as it was told, for a peer that is new.
    pub(crate) fn told(&self) -> Vec<(u32, Fraction)> {
        self.sent
            .iter()
            .map(|(c, d)| (*c, Fraction::from(*d)))
            .collect()
    }

    pub(crate) fn heard(&mut self, host: HostId, news: &[(u32, Fraction)]) {
        let demand = self.hosts.entry(host).or_default();
        for (customer, rate) in news {
            match f32::from(*rate) {
                0.0 => {
                    demand.remove(customer);
                }
                rate if demand.len() < MAX_CUSTOMERS || demand.contains_key(customer) => {
                    demand.insert(*customer, rate);
                }
                _ => {}
            }
        }
    }

    pub(crate) fn heard_domain(&mut self, domain: u32, list: &[(u32, Fraction, Fraction)]) {
        let known = list.iter().take(MAX_CUSTOMERS);
        let demand = known.map(|(c, live, kept)| (*c, ((*live).into(), (*kept).into())));
        self.domains.insert(domain, demand.collect());
    }

    /// Forgets a host whose process is gone; its part is free.
    pub(crate) fn forget(&mut self, host: HostId) {
        self.hosts.remove(&host);
        self.parts.retain(|(unit, _), _| *unit != Unit::Host(host));
    }

    /// What this failure domain tells others: live demand, and parts kept for hosts of it that are
    /// not heard of any more (`frozen`) or were never heard (`unmet`), out of a fleet's hosts.
    pub(crate) fn summary(
        &self,
        live: &[HostId],
        frozen: &[HostId],
        unmet: usize,
        fleet: usize,
    ) -> Vec<(u32, Fraction, Fraction)> {
        let customers = self.customers();
        let even = 1.0 / fleet.max(1) as f32;
        let demand = |c: u32| -> f32 {
            let peers = live.iter().filter_map(|h| self.hosts.get(h)?.get(&c));
            peers.sum::<f32>() + self.sent.get(&c).copied().unwrap_or(0.0)
        };
        let kept = |c: u32| -> f32 {
            frozen
                .iter()
                .map(|h| self.reserved(Unit::Host(*h), c, even))
                .sum()
        };
        customers
            .into_iter()
            .map(|c| (c, demand(c), kept(c) + even * unmet as f32))
            .filter(|(_, d, k)| *d > 0.0 || *k > 0.0)
            .map(|(c, d, k)| (c, d.into(), k.into()))
            .collect()
    }

    fn customers(&self) -> BTreeSet<u32> {
        let hosts = self.hosts.values().flat_map(|d| d.keys());
        let domains = self.domains.values().flat_map(|d| d.keys());
        self.own
            .keys()
            .chain(self.sent.keys())
            .chain(hosts)
            .chain(domains)
            .copied()
            .collect()
    }

    /// Computes this node's parts. Of so many hosts, the first number of `unknown` was not heard
    /// of; `raise` is the time after which a part may rise, `wait` the time after the start until
    /// which it stays small.
    pub(crate) fn compute(
        &mut self,
        units: &[(Unit, Standing)],
        unknown: (usize, usize),
        raise: Duration,
        wait: Duration,
        now: Duration,
    ) -> Vec<Share> {
        let customers = self.customers();
        self.windows.retain(|c, _| customers.contains(c));
        let age = now.saturating_sub(self.since);
        self.settled |= age >= raise.max(wait);
        let early = !self.settled;
        let compute = |shares: &mut Self, customer| {
            let split = shares.split(customer, units, unknown, raise, now);
            // A node that has just come starts with its even part: the others, who had not heard
            // of it, use the rest until they have.
            let part = match early {
                true => split.mine.min(split.early),
                false => split.mine,
            };
            let idle = split.idle;
            let window = shares
                .windows
                .entry(customer)
                .or_insert_with(|| Window::at(now, idle));
            let share = window.push(now, part, raise);
            Share {
                customer,
                total: split.total,
                share,
            }
        };
        customers.into_iter().map(|c| compute(self, c)).collect()
    }

    /// What is kept for a unit that is not heard of any more: the greatest part that it had
    /// lately, or an even one if it fell silent before it had any.
    fn reserved(&self, unit: Unit, customer: u32, even: f32) -> f32 {
        let window = self.parts.get(&(unit, customer));
        window.and_then(Window::least).map_or(even, |least| -least)
    }

    fn split(
        &mut self,
        customer: u32,
        units: &[(Unit, Standing)],
        unknown: (usize, usize),
        raise: Duration,
        now: Duration,
    ) -> Split {
        let mut frozen = unknown.0 as f64 / unknown.1.max(1) as f64;
        let mut hosts = 1;
        let own = self.sent.get(&customer).copied().unwrap_or(0.0);
        let mut total = own;
        for (unit, standing) in units {
            match standing {
                Standing::Live(count) => {
                    let (demand, kept) = self.demand(*unit, customer);
                    hosts += count;
                    total += demand;
                    frozen += f64::from(kept);
                }
                Standing::Frozen(count) => {
                    let even = *count as f32 / unknown.1.max(1) as f32;
                    frozen += f64::from(self.reserved(*unit, customer, even));
                }
            }
        }
        let limit = Limit {
            free: (1.0 - frozen).max(0.0),
            hosts,
            total,
        };
        for (unit, standing) in units {
            if let Standing::Live(count) = standing {
                let (demand, kept) = self.demand(*unit, customer);
                let part = limit.part(*count, demand) + kept;
                let window = self.parts.entry((*unit, customer)).or_default();
                window.push(now, -part, raise);
            }
        }
        let idle = (limit.free / hosts as f64) as f32;
        let early = match hosts {
            1 => idle,
            _ => idle * FLOOR as f32,
        };
        let mine = limit.part(1, own);
        Split {
            mine,
            early,
            idle,
            total,
        }
    }

    fn demand(&self, unit: Unit, customer: u32) -> (f32, f32) {
        match unit {
            Unit::Host(host) => {
                let demand = self.hosts.get(&host).and_then(|d| d.get(&customer));
                (demand.copied().unwrap_or(0.0), 0.0)
            }
            Unit::Domain(domain) => {
                let demand = self.domains.get(&domain).and_then(|d| d.get(&customer));
                demand.copied().unwrap_or((0.0, 0.0))
            }
        }
    }
}

/// A customer's limit that is to be split.
struct Limit {
    /// The part of it that nothing is reserved of.
    free: f64,
    hosts: usize,
    total: f32,
}

impl Limit {
    /// The part of `count` hosts that ask for `demand`.
    fn part(&self, count: usize, demand: f32) -> f32 {
        let even = count as f64 / self.hosts as f64;
        let (demand, total) = (f64::from(demand), f64::from(self.total));
        // While there is enough for all, what nobody asks for is split evenly, so that a burst
        // finds room at a node that was idle.
        let asked = match total > 1.0 {
            true => demand / total,
            false => demand + (1.0 - total) * even,
        };
        (self.free * (FLOOR * even + (1.0 - FLOOR) * asked)) as f32
    }
}

/// One customer's limit as this node would split it, all as parts of the limit but `total`.
struct Split {
    mine: f32,
    /// What a node that has just come may use.
    early: f32,
    /// What every host has while nobody asks.
    idle: f32,
    total: f32,
}

fn sane((_, rate): &(u32, f32)) -> bool {
    rate.is_finite() && *rate >= 0.0
}

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
const EVEN_FRACTION: f64 = 0.2;
/// Customers that are followed at most.
const MAX_CUSTOMERS: usize = 1024;
/// A change of demand below this fraction of it is not told.
const MIN_RELATIVE_CHANGE: f32 = 0.1;
/// Nor is one below this fraction of the limit, over all nodes together.
const MIN_ABSOLUTE_CHANGE: f32 = 0.05;

/// Something that has a part of each limit.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Claimant {
    /// A host of this failure domain.
    Host(HostId),
    /// Another failure domain, by hash of its name.
    Domain(u32),
}

/// How a unit stands when parts are computed.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Liveness {
    /// Heard of lately, with so many live hosts.
    Live(usize),
    /// Not heard of any more, with so many hosts.
    Frozen(usize),
}

type Demand = BTreeMap<u32, f32>;

/// Demand and parts of everyone.
#[derive(Debug)]
pub(crate) struct Shares {
    own_demand: Demand,
    announced: Demand,
    host_demand: BTreeMap<HostId, Demand>,
    /// Live demand and frozen part of other failure domains.
    domain_demand: BTreeMap<u32, BTreeMap<u32, (f32, f32)>>,
    /// The parts that each unit had when it was last live, negated: the least is the greatest.
    recent_shares: BTreeMap<(Claimant, u32), MinWindow>,
    own_windows: BTreeMap<u32, MinWindow>,
    started_at: Duration,
    /// Whether this node has heard of everyone once, or has waited long enough.
    warmed_up: bool,
}

/// The least of the values of some time.
#[derive(Debug, Default)]
struct MinWindow(VecDeque<(Duration, f32)>);

impl MinWindow {
    /// A customer that nobody asked for anything so far has the same part everywhere.
    fn starting_at(now: Duration, value: f32) -> Self {
        MinWindow(VecDeque::from([(now, value)]))
    }

    fn push(&mut self, now: Duration, value: f32, span: Duration) -> f32 {
        while self.0.back().is_some_and(|(_, v)| *v >= value) {
            self.0.pop_back();
        }
        self.0.push_back((now, value));
        while self.0.front().is_some_and(|(at, _)| *at + span < now) {
            self.0.pop_front();
        }
        self.minimum().unwrap_or(value)
    }

    fn shift(&mut self, pause: Duration) {
        for (at, _) in &mut self.0 {
            *at += pause;
        }
    }

    fn minimum(&self) -> Option<f32> {
        self.0.front().map(|(_, v)| *v)
    }
}

impl Shares {
    pub(crate) fn new(now: Duration) -> Self {
        Shares {
            own_demand: Demand::new(),
            announced: Demand::new(),
            host_demand: BTreeMap::new(),
            domain_demand: BTreeMap::new(),
            recent_shares: BTreeMap::new(),
            own_windows: BTreeMap::new(),
            started_at: now,
            warmed_up: false,
        }
    }

    /// Parts may not rise before everyone had time to hear of this node.
    pub(crate) fn set_start(&mut self, now: Duration) {
        self.started_at = now;
    }

    /// After a pause this node still reckons with what it heard before. What may not rise yet must
    /// not rise for as long as before, or it would use parts that others took meanwhile.
    pub(crate) fn shift(&mut self, pause: Duration) {
        self.started_at += pause;
        for window in self
            .own_windows
            .values_mut()
            .chain(self.recent_shares.values_mut())
        {
            window.shift(pause);
        }
    }

    pub(crate) fn set_own_demand(&mut self, demand: &[(u32, f32)]) {
        self.own_demand = demand
            .iter()
            .copied()
            .filter(is_valid_demand)
            .take(MAX_CUSTOMERS)
            .collect();
    }

    /// Own demand that changed enough to be told to a fleet of so many nodes.
    ///
    /// This node reckons with what it has told, and not with what it knows better: only then do
    /// the parts that all nodes compute belong to one sum.
    pub(crate) fn take_own_changes(&mut self, fleet_size: usize) -> Vec<(u32, Fraction)> {
        let min_change = MIN_ABSOLUTE_CHANGE / fleet_size.max(1) as f32;
        let previous = |c: &u32| self.announced.get(c).copied().unwrap_or(0.0);
        let differs =
            |a: f32, b: f32| (a - b).abs() > (MIN_RELATIVE_CHANGE * a.max(b)).max(min_change);
        let removed = self
            .announced
            .keys()
            .filter(|c| !self.own_demand.contains_key(c));
        let current = self.own_demand.iter().map(|(c, d)| (*c, *d));
        let changes: Vec<(u32, Fraction)> = current
            .chain(removed.map(|c| (*c, 0.0)))
            .filter(|(c, d)| differs(previous(c), *d))
            .map(|(c, d)| (c, Fraction::from(d)))
            .collect();
        for (customer, demand) in &changes {
            match f32::from(*demand) {
                0.0 => self.announced.remove(customer),
                announced_rate => self.announced.insert(*customer, announced_rate),
            };
        }
        changes
    }

    /// Own demand as it was told, for a peer that is new.
    pub(crate) fn announced_demand(&self) -> Vec<(u32, Fraction)> {
        self.announced
            .iter()
            .map(|(c, d)| (*c, Fraction::from(*d)))
            .collect()
    }

    pub(crate) fn apply_host_demand(&mut self, host: HostId, changes: &[(u32, Fraction)]) {
        let demand = self.host_demand.entry(host).or_default();
        for (customer, rate) in changes {
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

    pub(crate) fn apply_domain_demand(&mut self, domain: u32, list: &[(u32, Fraction, Fraction)]) {
        let accepted = list.iter().take(MAX_CUSTOMERS);
        let demand = accepted.map(|(c, live, reserve)| (*c, ((*live).into(), (*reserve).into())));
        self.domain_demand.insert(domain, demand.collect());
    }

    /// Forgets a host whose process is gone; its part is free.
    pub(crate) fn forget_host(&mut self, host: HostId) {
        self.host_demand.remove(&host);
        self.recent_shares
            .retain(|(claimant, _), _| *claimant != Claimant::Host(host));
    }

    /// What this failure domain tells others: live demand, and parts kept for hosts of it that are
    /// not heard of any more (`frozen`) or were never heard (`uncontacted`), out of a fleet's hosts.
    pub(crate) fn domain_summary(
        &self,
        live: &[HostId],
        frozen: &[HostId],
        uncontacted: usize,
        fleet_size: usize,
    ) -> Vec<(u32, Fraction, Fraction)> {
        let customers = self.customers();
        let even = 1.0 / fleet_size.max(1) as f32;
        let demand = |c: u32| -> f32 {
            let peers = live.iter().filter_map(|h| self.host_demand.get(h)?.get(&c));
            peers.sum::<f32>() + self.announced.get(&c).copied().unwrap_or(0.0)
        };
        let reserve = |c: u32| -> f32 {
            frozen
                .iter()
                .map(|h| self.reserved(Claimant::Host(*h), c, even))
                .sum()
        };
        customers
            .into_iter()
            .map(|c| (c, demand(c), reserve(c) + even * uncontacted as f32))
            .filter(|(_, d, r)| *d > 0.0 || *r > 0.0)
            .map(|(c, d, r)| (c, d.into(), r.into()))
            .collect()
    }

    fn customers(&self) -> BTreeSet<u32> {
        let hosts = self.host_demand.values().flat_map(|d| d.keys());
        let domains = self.domain_demand.values().flat_map(|d| d.keys());
        self.own_demand
            .keys()
            .chain(self.announced.keys())
            .chain(hosts)
            .chain(domains)
            .copied()
            .collect()
    }

    /// Computes this node's parts. Of so many hosts, the first number of `unknown_hosts` was not heard
    /// of; `rise_delay` is the time after which a part may rise, `min_age` the time after the start until
    /// which it stays small.
    pub(crate) fn compute_shares(
        &mut self,
        claimants: &[(Claimant, Liveness)],
        unknown_hosts: (usize, usize),
        rise_delay: Duration,
        min_age: Duration,
        now: Duration,
    ) -> Vec<Share> {
        let customers = self.customers();
        self.own_windows.retain(|c, _| customers.contains(c));
        let age = now.saturating_sub(self.started_at);
        self.warmed_up |= age >= rise_delay.max(min_age);
        let warming_up = !self.warmed_up;
        let share_for = |shares: &mut Self, customer| {
            let split = shares.split(customer, claimants, unknown_hosts, rise_delay, now);
            // A node that has just come starts with its even part: the others, who had not heard
            // of it, use the rest until they have.
            let raw_share = match warming_up {
                true => split.own_share.min(split.warm_up_share),
                false => split.own_share,
            };
            let idle_share = split.idle_share;
            let window = shares
                .own_windows
                .entry(customer)
                .or_insert_with(|| MinWindow::starting_at(now, idle_share));
            let share = window.push(now, raw_share, rise_delay);
            Share {
                customer,
                total: split.total_demand,
                share,
            }
        };
        customers.into_iter().map(|c| share_for(self, c)).collect()
    }

    /// What is kept for a unit that is not heard of any more: the greatest part that it had
    /// lately, or an even one if it fell silent before it had any.
    fn reserved(&self, claimant: Claimant, customer: u32, even_share: f32) -> f32 {
        let window = self.recent_shares.get(&(claimant, customer));
        window
            .and_then(MinWindow::minimum)
            .map_or(even_share, |minimum| -minimum)
    }

    fn split(
        &mut self,
        customer: u32,
        claimants: &[(Claimant, Liveness)],
        unknown_hosts: (usize, usize),
        rise_delay: Duration,
        now: Duration,
    ) -> Split {
        let mut reserved_total = unknown_hosts.0 as f64 / unknown_hosts.1.max(1) as f64;
        let mut live_hosts = 1;
        let own_demand = self.announced.get(&customer).copied().unwrap_or(0.0);
        let mut total_demand = own_demand;
        for (claimant, liveness) in claimants {
            match liveness {
                Liveness::Live(count) => {
                    let (demand, reserve) = self.demand_of(*claimant, customer);
                    live_hosts += count;
                    total_demand += demand;
                    reserved_total += f64::from(reserve);
                }
                Liveness::Frozen(count) => {
                    let even_share = *count as f32 / unknown_hosts.1.max(1) as f32;
                    reserved_total += f64::from(self.reserved(*claimant, customer, even_share));
                }
            }
        }
        let basis = SplitBasis {
            unreserved: (1.0 - reserved_total).max(0.0),
            live_hosts,
            total_demand,
        };
        for (claimant, liveness) in claimants {
            if let Liveness::Live(count) = liveness {
                let (demand, reserve) = self.demand_of(*claimant, customer);
                let raw_share = basis.share_of(*count, demand) + reserve;
                let window = self.recent_shares.entry((*claimant, customer)).or_default();
                window.push(now, -raw_share, rise_delay);
            }
        }
        let idle_share = (basis.unreserved / live_hosts as f64) as f32;
        let warm_up_share = match live_hosts {
            1 => idle_share,
            _ => idle_share * EVEN_FRACTION as f32,
        };
        let own_share = basis.share_of(1, own_demand);
        Split {
            own_share,
            warm_up_share,
            idle_share,
            total_demand,
        }
    }

    fn demand_of(&self, claimant: Claimant, customer: u32) -> (f32, f32) {
        match claimant {
            Claimant::Host(host) => {
                let demand = self.host_demand.get(&host).and_then(|d| d.get(&customer));
                (demand.copied().unwrap_or(0.0), 0.0)
            }
            Claimant::Domain(domain) => {
                let demand = self
                    .domain_demand
                    .get(&domain)
                    .and_then(|d| d.get(&customer));
                demand.copied().unwrap_or((0.0, 0.0))
            }
        }
    }
}

/// A customer's limit that is to be split.
struct SplitBasis {
    /// The part of it that nothing is reserved of.
    unreserved: f64,
    live_hosts: usize,
    total_demand: f32,
}

impl SplitBasis {
    /// The part of `count` hosts that ask for `demand`.
    fn share_of(&self, count: usize, demand: f32) -> f32 {
        let even_share = count as f64 / self.live_hosts as f64;
        let (demand, total_demand) = (f64::from(demand), f64::from(self.total_demand));
        // While there is enough for all, what nobody asks for is split evenly, so that a burst
        // finds room at a node that was idle.
        let by_demand = match total_demand > 1.0 {
            true => demand / total_demand,
            false => demand + (1.0 - total_demand) * even_share,
        };
        (self.unreserved * (EVEN_FRACTION * even_share + (1.0 - EVEN_FRACTION) * by_demand)) as f32
    }
}

/// One customer's limit as this node would split it, all as parts of the limit but `total_demand`.
struct Split {
    own_share: f32,
    /// What a node that has just come may use.
    warm_up_share: f32,
    /// What every host has while nobody asks.
    idle_share: f32,
    total_demand: f32,
}

fn is_valid_demand((_, rate): &(u32, f32)) -> bool {
    rate.is_finite() && *rate >= 0.0
}

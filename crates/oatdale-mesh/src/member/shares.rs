//! Splits customers' limits over nodes by recent demand.
//!
//! Each node computes its share from its own view. Three rules keep the sum of shares near the
//! limit while views differ: a share falls at once but rises only after every node has had time to
//! receive the reason, or to detect that other nodes are unreachable; the share of a silent host
//! stays reserved for it, since it may be partitioned rather than dead; hosts that are listed but
//! not yet known get an even share reserved.
//!
//! The reserved amount is the largest share that the host had recently. Otherwise a change of local
//! demand between the start of a partition and its detection would shrink what the other side
//! continues to use, and each side would end up with most of the limit.

use crate::types::{HostId, Share};
use crate::wire::Fraction;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Fraction of a limit that is split evenly, so that a customer's first request at any node finds
/// some room.
const EVEN_FRACTION: f64 = 0.2;
/// Maximum number of customers tracked.
const MAX_CUSTOMERS: usize = 1024;
/// Smallest relative change of demand that is announced.
const MIN_RELATIVE_CHANGE: f32 = 0.1;
/// Smallest change that is announced, as a fraction of the limit over all nodes together: for one
/// node it is divided by the number of nodes.
const MIN_ABSOLUTE_CHANGE: f32 = 0.05;

/// An entity that has a share of each limit.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Claimant {
    /// A host of this failure domain.
    Host(HostId),
    /// Another failure domain, by [`name_hash`](crate::name_hash).
    Domain(u32),
}

/// State of a claimant when shares are computed.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Liveness {
    /// Heard from recently, with this number of live hosts.
    Live(usize),
    /// Silent, with this number of hosts; its share is reserved.
    Frozen(usize),
}

type Demand = BTreeMap<u32, f32>;

/// Demand and shares of all claimants.
#[derive(Debug)]
pub(crate) struct Shares {
    own_demand: Demand,
    announced: Demand,
    host_demand: BTreeMap<HostId, Demand>,
    /// Demand of live hosts and reserved share of frozen ones, by failure domain and customer.
    domain_demand: BTreeMap<u32, BTreeMap<u32, (f32, f32)>>,
    /// Shares that each claimant had when it was last live, negated: the minimum is the largest
    /// share.
    recent_shares: BTreeMap<(Claimant, u32), MinWindow>,
    own_windows: BTreeMap<u32, MinWindow>,
    started_at: Duration,
    /// Whether every host was heard from once, or this node has waited long enough.
    warmed_up: bool,
}

/// Minimum over a sliding time window.
#[derive(Debug, Default)]
struct MinWindow(VecDeque<(Duration, f32)>);

impl MinWindow {
    /// A window with one value, as for a customer without demand so far, whose share is the same at
    /// every host.
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

    /// Restarts the warm-up: shares may not rise before other nodes have had time to learn of this
    /// node.
    pub(crate) fn set_start(&mut self, now: Duration) {
        self.started_at = now;
    }

    /// Extends the windows after a pause, since this node still uses the demand received before it.
    /// A share that may not rise yet must wait for as long as before, or it would include shares
    /// that other nodes took during the pause.
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

    /// Returns changes of own demand that are large enough to announce in a fleet of `fleet_size`
    /// nodes.
    ///
    /// This node computes with the announced demand instead of the more recent local value: only
    /// then do the shares that all nodes compute add up to one limit.
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

    /// Own demand as last announced, for a new peer.
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

    /// Removes a host whose process is gone; its share becomes free.
    pub(crate) fn remove_host(&mut self, host: HostId) {
        self.host_demand.remove(&host);
        self.recent_shares
            .retain(|(claimant, _), _| *claimant != Claimant::Host(host));
    }

    /// Summary of this failure domain for others: demand of its live hosts, and shares reserved for
    /// its hosts that are silent (`frozen`) or were never heard from (`uncontacted`), the latter
    /// with an even share out of `fleet_size` hosts.
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

    /// Computes this node's shares. `unknown_hosts` is the number of hosts never heard from, and
    /// the number of all hosts. A share may rise after `rise_delay`, and stays small until
    /// `min_age` after the start.
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
            // A newly started node begins with its even share: the other nodes use the rest until
            // they have learned of it.
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

    /// Share reserved for a silent claimant: the largest that it had recently, or `even_share` if
    /// it fell silent before it had any.
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

/// A customer's limit to split.
struct SplitBasis {
    /// Fraction of the limit that is not reserved.
    unreserved: f64,
    live_hosts: usize,
    total_demand: f32,
}

impl SplitBasis {
    /// Share of `count` hosts with the given `demand`.
    fn share_of(&self, count: usize, demand: f32) -> f32 {
        let even_share = count as f64 / self.live_hosts as f64;
        let (demand, total_demand) = (f64::from(demand), f64::from(self.total_demand));
        // While there is enough for all, the unused part is split evenly, so that a burst finds
        // room at a node that was idle.
        let by_demand = match total_demand > 1.0 {
            true => demand / total_demand,
            false => demand + (1.0 - total_demand) * even_share,
        };
        (self.unreserved * (EVEN_FRACTION * even_share + (1.0 - EVEN_FRACTION) * by_demand)) as f32
    }
}

/// One customer's limit as this node splits it. All values but `total_demand` are fractions of the
/// limit.
struct Split {
    own_share: f32,
    /// Share that a newly started node may use.
    warm_up_share: f32,
    /// Share of each host while there is no demand.
    idle_share: f32,
    total_demand: f32,
}

fn is_valid_demand((_, rate): &(u32, f32)) -> bool {
    rate.is_finite() && *rate >= 0.0
}

//! A host's share of the spare capacity of a service.
//!
//! All hosts see the same spare capacity up to half a second late. If each of them released as many
//! requests as fit into it, they would exceed it by the number of hosts.

use rand::RngExt;
use std::collections::VecDeque;
use std::time::Duration;

/// Spare capacity of a service, as the sums show it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct SpareCapacity {
    /// Load that its endpoints can take, in requests.
    pub load: f64,
    /// Number of hosts that share it.
    pub hosts: usize,
    /// Requests that were placed before this time are in the sums.
    pub summed_until: Duration,
}

/// What one host may release.
#[derive(Clone, Debug, Default)]
pub struct ReleaseShare {
    /// Load that was granted, by time, until the sums include it.
    granted: VecDeque<(Duration, f64)>,
    /// Load that was granted and not used; `None` before the first grant.
    credit: Option<f64>,
}

impl ReleaseShare {
    /// Grants the load that the host may release now. It counts as released, whether it is used or
    /// not, so this is to be called only while requests wait.
    pub fn grant(&mut self, now: Duration, spare: SpareCapacity, rng: &mut impl rand::Rng) {
        let is_summed = |at: Duration| at < spare.summed_until;
        while self.granted.front().is_some_and(|(at, _)| is_summed(*at)) {
            self.granted.pop_front();
        }
        let granted: f64 = self.granted.iter().map(|(_, load)| load).sum();
        let share = spare.load.max(0.0) / spare.hosts.max(1) as f64;
        let load = (share - granted).max(0.0);
        if load > 0.0 {
            self.granted.push_back((now, load));
        }
        // Hosts whose shares are fractions of a request release it at different times.
        let credit = self
            .credit
            .get_or_insert_with(|| rng.random_range(0.0..1.0));
        *credit += load;
    }

    /// Whether a request of this weight may be released; if so, it uses a part of what was granted.
    pub fn take(&mut self, weight: f64) -> bool {
        match &mut self.credit {
            Some(credit) if *credit >= weight => {
                *credit -= weight;
                true
            }
            _ => false,
        }
    }

    /// Deducts a request that was placed without being released. At most this request is owed, so that
    /// those that wait are still released.
    pub fn charge(&mut self, weight: f64) {
        self.credit = self.credit.map(|credit| (credit - weight).max(-weight));
    }

    /// Drops what was granted and is not needed, except the fraction of a request, because no request
    /// waits any more.
    pub fn forfeit(&mut self) {
        self.credit = self.credit.map(f64::fract);
    }
}

//! A host's share of the spare capacity of a service.
//!
//! All hosts see the same spare capacity up to half a second late. If each of them released as many
//! requests as fit into it, they would exceed it by the number of hosts.

use rand::RngExt;
use std::collections::VecDeque;
use std::time::Duration;

/// Time until a released request is in the sums that a host uses: one interval until the host's
/// report, one until the next sum.
const LAG: Duration = Duration::from_millis(500);

/// Spare capacity of a service, as the sums show it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct SpareCapacity {
    /// Load that its endpoints can take, in requests.
    pub load: f64,
    /// Number of hosts that share it.
    pub hosts: usize,
}

/// What one host may release.
#[derive(Clone, Debug, Default)]
pub struct ReleaseShare {
    /// Load that was granted, by time, until the sums include it.
    granted: VecDeque<(Duration, f64)>,
}

/// Load that may be released now.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    load: f64,
    draw: f64,
}

impl ReleaseShare {
    /// Returns the load that the host may release now. It counts as released, whether it is used or
    /// not, so it is to be asked for only while requests wait, once in an interval of the sums.
    pub fn grant(
        &mut self,
        now: Duration,
        spare: SpareCapacity,
        rng: &mut impl rand::Rng,
    ) -> Allowance {
        while self.granted.front().is_some_and(|(at, _)| now >= *at + LAG) {
            self.granted.pop_front();
        }
        let granted: f64 = self.granted.iter().map(|(_, load)| load).sum();
        let share = spare.load.max(0.0) / spare.hosts.max(1) as f64;
        let load = (share - granted).max(0.0);
        if load > 0.0 {
            self.granted.push_back((now, load));
        }
        Allowance {
            load,
            draw: rng.random_range(0.0..1.0),
        }
    }
}

impl Allowance {
    /// Whether a request of this weight may be released; if so, it uses a part of the allowance. The
    /// last one, which fits only in part, is released with the probability of that part.
    pub fn take(&mut self, weight: f64) -> bool {
        let is_allowed = self.load > self.draw * weight;
        self.load -= weight;
        is_allowed
    }
}

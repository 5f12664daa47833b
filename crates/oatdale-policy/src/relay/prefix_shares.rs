//! Popularity of prompt prefixes.
//!
//! Load pattern: a few prefixes make up much of the work of a service, and one of them may need
//! many endpoints. A node sees a small random sample of the requests, and the shares in its sample
//! are about those of all nodes.

use std::collections::HashMap;
use std::time::Duration;

/// Time after which a request counts half. A node of a busy site gets some ten requests of a service
/// in it, the fewest that show a share.
const HALF_LIFE: Duration = Duration::from_secs(7);

/// Maximum number of prefixes that are counted; the least popular is dropped.
const MAX_PREFIXES: usize = 256;

/// Recent work of a service by prefix, in units of weight.
#[derive(Clone, Debug, Default)]
pub struct PrefixShares {
    by_prefix: HashMap<u64, Work>,
    total: Work,
}

#[derive(Clone, Copy, Debug, Default)]
struct Work {
    weight: f64,
    updated_at: Duration,
}

impl Work {
    fn get(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.weight * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn add(&mut self, now: Duration, weight: f64) {
        self.weight = self.get(now) + weight;
        self.updated_at = self.updated_at.max(now);
    }
}

impl PrefixShares {
    /// Records a request.
    pub fn record(&mut self, now: Duration, prefix: u64, weight: f64) {
        self.total.add(now, weight);
        self.by_prefix.entry(prefix).or_default().add(now, weight);
        if self.by_prefix.len() > MAX_PREFIXES {
            let all = self.by_prefix.iter();
            let least = all.min_by(|(_, a), (_, b)| a.get(now).total_cmp(&b.get(now)));
            let least = least.map(|(prefix, _)| *prefix);
            least.map(|prefix| self.by_prefix.remove(&prefix));
        }
    }

    /// Returns the share of a prefix in the work, from 0 to 1. A single earlier request of `weight`
    /// does not count, since every prefix has one.
    pub fn share(&self, now: Duration, prefix: u64, weight: f64) -> f64 {
        let known = self.by_prefix.get(&prefix).map_or(0.0, |w| w.get(now));
        let repeated = (known - weight).max(0.0);
        repeated / self.total.get(now).max(weight).max(f64::MIN_POSITIVE)
    }
}

//! Estimates of all endpoints that a host knows of, and which of them it sends next.

use crate::relay::speed::{
    EstimateFault, MAX_SENT_AGE, MIN_WEIGHT, SpeedEstimate, SpeedSample, StatedEstimate,
};
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

/// Factor from which an endpoint is reported as slow, and the one below which it is so no longer.
const SLOW_FACTOR: f64 = 1.5;
const USUAL_FACTOR: f64 = 1.3;

/// Smallest change of the logarithm that is sent before others.
const MIN_CHANGE: f64 = 0.05;

/// Part of each datagram for estimates in rotation, whatever has changed: it makes up for lost
/// datagrams, and hosts that have just started learn of endpoints whose speeds do not change.
const ROTATION_SHARE: f64 = 0.2;

/// Part of a change that counts as made known by one datagram. It is sent to two hosts: if each
/// passed it on only once, a fifth of the hosts would not receive it.
const SENT_SHARE: f64 = 0.5;

/// Time for which a computed factor is used again: somewhat longer than the interval of updates. A
/// placement asks for the factors of all endpoints, and the two exponentials of each took most of
/// its time.
const FACTOR_VALIDITY: Duration = Duration::from_millis(600);

/// Estimates by endpoint.
#[derive(Clone, Debug, Default)]
pub struct SpeedTable {
    by_endpoint: HashMap<u32, Tracked, BuildHasherDefault<NumberHasher>>,
    /// Endpoint from which the rotation continues.
    next: u32,
}

/// Hasher of endpoint numbers, which are hashes already: a placement looks up all endpoints, and
/// the default hasher took most of the time.
#[derive(Clone, Copy, Debug, Default)]
struct NumberHasher(u64);

impl Hasher for NumberHasher {
    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|b| self.write_u32(u32::from(*b)));
    }

    fn write_u32(&mut self, number: u32) {
        // An odd factor near 2^64 divided by the golden ratio moves the number to the upper bits too.
        let mixed = self.0 ^ u64::from(number);
        self.0 = mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// Where the last change of an estimate comes from.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SpeedOrigin {
    /// A sample of this host.
    Own,
    /// Another host.
    Received,
}

#[derive(Clone, Copy, Debug)]
struct Tracked {
    estimate: SpeedEstimate,
    /// The factor, and when it was computed.
    factor: f64,
    computed_at: Duration,
    origin: SpeedOrigin,
    /// The logarithm as far as other hosts have been told.
    sent_log: f64,
    slow_since: Option<Duration>,
}

/// An endpoint that is slow from now on, or no longer.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct SlownessChange {
    /// Number of the endpoint.
    pub endpoint: u32,
    /// The factor; 1 if the estimate has been forgotten.
    pub factor: f64,
    /// Weight of the estimate in samples.
    pub samples: f64,
    /// Where the estimate comes from.
    pub origin: SpeedOrigin,
    /// Whether it is slow now.
    pub is_slow: bool,
    /// Time for which it has been slow; zero if it becomes so now.
    pub slow_for: Duration,
}

/// What became of a received estimate.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MergeOutcome {
    /// It is later than the known one and replaces it.
    Kept,
    /// The known one is as late.
    Older,
    /// There are too many estimates already.
    Full,
    /// It is not valid.
    Invalid(EstimateFault),
}

impl SpeedTable {
    /// Adds a sample of this host.
    pub fn record_sample(&mut self, now: Duration, endpoint: u32, sample: SpeedSample) {
        let unknown = Tracked::new(now, SpeedEstimate::unknown(now), SpeedOrigin::Own);
        let tracked = self.by_endpoint.entry(endpoint).or_insert(unknown);
        let mut estimate = tracked.estimate;
        estimate.add(now, sample);
        tracked.set(now, estimate, SpeedOrigin::Own);
    }

    /// Merges the estimate of another host. At most `max_len` endpoints are tracked.
    pub fn merge(
        &mut self,
        now: Duration,
        received: &StatedEstimate,
        max_len: usize,
    ) -> MergeOutcome {
        let estimate = match received.check(now) {
            Ok(estimate) => estimate,
            Err(fault) => return MergeOutcome::Invalid(fault),
        };
        if estimate.weight(now) < MIN_WEIGHT {
            return MergeOutcome::Older;
        }
        let len = self.by_endpoint.len();
        match self.by_endpoint.get_mut(&received.endpoint) {
            Some(known) if estimate.updated_at_s <= known.estimate.updated_at_s => {
                MergeOutcome::Older
            }
            Some(known) => {
                known.set(now, estimate, SpeedOrigin::Received);
                MergeOutcome::Kept
            }
            None if len >= max_len => MergeOutcome::Full,
            None => {
                let tracked = Tracked::new(now, estimate, SpeedOrigin::Received);
                self.by_endpoint.insert(received.endpoint, tracked);
                MergeOutcome::Kept
            }
        }
    }

    /// Returns the time that a unit of work takes at an endpoint relative to the usual one; 1 if
    /// unknown. Its decay may be taken into account up to 0.6 s late.
    pub fn factor(&self, now: Duration, endpoint: u32) -> f64 {
        let tracked = self.by_endpoint.get(&endpoint);
        tracked.map_or(1.0, |t| t.factor(now))
    }

    /// Returns at most `limit` estimates for the next datagram: first those that changed most since
    /// they were sent, then the others in rotation.
    pub fn next_estimates(&mut self, now: Duration, limit: usize) -> Vec<StatedEstimate> {
        let rotated = (limit as f64 * ROTATION_SHARE).ceil() as usize;
        let mut chosen = self.most_changed(now, limit.saturating_sub(rotated));
        let rest = limit - chosen.len();
        chosen.sort_unstable();
        let in_rotation = self.in_rotation(now, rest, &chosen);
        chosen.extend(in_rotation);
        let sent = chosen.into_iter().filter_map(|endpoint| {
            let tracked = self.by_endpoint.get_mut(&endpoint)?;
            tracked.sent_log += SENT_SHARE * (tracked.estimate.log_factor - tracked.sent_log);
            Some(tracked.estimate.to_stated(now, endpoint))
        });
        sent.collect()
    }

    fn sendable(&self, now: Duration) -> impl Iterator<Item = (u32, &Tracked)> {
        let all = self.by_endpoint.iter().map(|(n, t)| (*n, t));
        all.filter(move |(_, t)| t.estimate.age(now) <= MAX_SENT_AGE)
    }

    fn most_changed(&self, now: Duration, limit: usize) -> Vec<u32> {
        let all = self.sendable(now).map(|(n, t)| (t.change(), n));
        let mut changed: Vec<_> = all.filter(|(change, _)| *change >= MIN_CHANGE).collect();
        let by_change = |a: &(f64, u32), b: &(f64, u32)| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1));
        if (1..changed.len()).contains(&limit) {
            changed.select_nth_unstable_by(limit - 1, by_change);
        }
        changed.truncate(limit);
        changed.into_iter().map(|(_, endpoint)| endpoint).collect()
    }

    /// Returns the next endpoints in rotation, without those in `chosen`, which is sorted.
    fn in_rotation(&mut self, now: Duration, limit: usize, chosen: &[u32]) -> Vec<u32> {
        let others = self.sendable(now).map(|(n, _)| n);
        let mut others: Vec<u32> = others
            .filter(|n| chosen.binary_search(n).is_err())
            .collect();
        let next = self.next;
        let distance = |endpoint: &u32| endpoint.wrapping_sub(next);
        if (1..others.len()).contains(&limit) {
            others.select_nth_unstable_by_key(limit - 1, distance);
        }
        others.truncate(limit);
        let last = others.iter().max_by_key(|n| distance(n));
        self.next = last.map_or(next, |last| last.wrapping_add(1));
        others
    }

    /// Drops estimates that have no weight any more, and returns the endpoints that have become slow
    /// or are so no longer.
    pub fn update(&mut self, now: Duration) -> Vec<SlownessChange> {
        let mut changes = Vec::new();
        self.by_endpoint.retain(|endpoint, tracked| {
            tracked.set(now, tracked.estimate, tracked.origin);
            let is_kept = tracked.estimate.weight(now) >= MIN_WEIGHT;
            let factor = match is_kept {
                true => tracked.factor,
                false => 1.0,
            };
            changes.extend(tracked.update_slowness(now, *endpoint, factor));
            is_kept
        });
        changes.sort_unstable_by_key(|change| change.endpoint);
        changes
    }

    /// Returns the number of endpoints that are slow, as of the last update.
    pub fn slow_count(&self) -> usize {
        let all = self.by_endpoint.values();
        all.filter(|t| t.slow_since.is_some()).count()
    }

    /// Returns the number of endpoints with an estimate.
    pub fn len(&self) -> usize {
        self.by_endpoint.len()
    }

    /// Whether no endpoint has an estimate.
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }
}

impl Tracked {
    fn new(now: Duration, estimate: SpeedEstimate, origin: SpeedOrigin) -> Self {
        Tracked {
            estimate,
            factor: estimate.factor(now),
            computed_at: now,
            origin,
            sent_log: 0.0,
            slow_since: None,
        }
    }

    fn set(&mut self, now: Duration, estimate: SpeedEstimate, origin: SpeedOrigin) {
        self.estimate = estimate;
        self.factor = estimate.factor(now);
        self.computed_at = now;
        self.origin = origin;
    }

    fn factor(&self, now: Duration) -> f64 {
        match now.saturating_sub(self.computed_at) <= FACTOR_VALIDITY {
            true => self.factor,
            false => self.estimate.factor(now),
        }
    }

    /// Change of the logarithm that other hosts have not been told.
    fn change(&self) -> f64 {
        (self.estimate.log_factor - self.sent_log).abs()
    }

    fn update_slowness(
        &mut self,
        now: Duration,
        endpoint: u32,
        factor: f64,
    ) -> Option<SlownessChange> {
        let (is_slow, since) = match self.slow_since {
            None if factor >= SLOW_FACTOR => (true, now),
            Some(since) if factor < USUAL_FACTOR => (false, since),
            _ => return None,
        };
        self.slow_since = is_slow.then_some(now);
        Some(SlownessChange {
            endpoint,
            factor,
            samples: self.estimate.weight(now),
            origin: self.origin,
            is_slow,
            slow_for: now.saturating_sub(since),
        })
    }
}

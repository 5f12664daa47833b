//! Selection of the endpoint for a request by expected time.
//!
//! Load pattern: endpoints of one service differ in speed by a factor of three, and many nodes
//! decide at the same moment by the same sums of loads, which lag by up to half a second. Requests
//! with a prompt prefix stay with the endpoint that caches it until waiting there takes longer than
//! reading the prefix elsewhere. A popular prefix would overload one endpoint after the other within
//! the lag of the sums, so it is cached at as many as its share of the work needs. Among these, and
//! without a prefix among all, requests go to the better of two endpoints that are drawn in
//! proportion to their speed, so that the nodes spread their requests.

use rand::{Rng, RngExt};
use smallvec::SmallVec;
use std::cmp::Reverse;

/// Mean difference in expected time, in seconds, that does not move a request away from the
/// endpoint that caches its prefix: smaller ones are noise. The bound is drawn for each request
/// from zero to twice this, since all nodes would change over at the same moment otherwise.
const AFFINITY_SLACK_S: f64 = 0.05;

/// Multiple of the load at an endpoint that one in another failure domain may be worth less, in
/// requests: it costs traffic between domains and a longer path.
const CROSS_DOMAIN_PENALTY_REQUESTS: f64 = 1.5;

/// Load that an idle endpoint counts as, so that the health of idle endpoints counts too.
const IDLE_LOAD: f64 = 0.1;

/// Fraction of the candidates that are expected to be faster than the one that others are compared
/// with. The least load that a node knows is usually one that others are just adding to.
const BEST_FRACTION: f64 = 0.1;

/// Number of endpoints that cache a prefix, as a multiple of those that its share of the work keeps
/// busy: popularity and speeds are known roughly.
const CACHED_HEADROOM: f64 = 1.5;

/// Maximum number of candidates that a request's time elsewhere is estimated from, and maximum
/// number of those that may have its prefix cached. Among thousands of endpoints, a random sample
/// bounds the time of a decision.
const MAX_SAMPLED: usize = 32;
const MAX_CACHED: usize = 64;

/// Minimum number of candidates, in rendezvous order, that are considered: some are too busy.
const MIN_CACHED: usize = 32;

/// Speed relative to the usual one that a draw does not distinguish from higher ones.
const MAX_DRAWN_SPEED: f64 = 2.0;

/// Maximum number of draws until one is accepted; at the lowest speed and health, one in 40 is.
const MAX_DRAWS: usize = 64;

/// An endpoint that may get a request.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct TimedCandidate {
    /// Known load, in units of weight.
    pub load: f64,
    /// Time that a unit of work takes relative to the usual one.
    pub speed_factor: f64,
    /// Factor by which the endpoint's failures multiply its load, at least 1.
    pub health_factor: f64,
    /// Whether the endpoint is in the node's own failure domain.
    pub same_domain: bool,
    /// Rendezvous hash of the request's prefix and the endpoint; the endpoint with the highest one
    /// caches the prefix.
    pub affinity: u64,
}

impl TimedCandidate {
    /// Returns the load by which endpoints of the same speed are compared: a failing endpoint is
    /// used less, but often enough to notice its recovery.
    pub fn health_load(&self) -> f64 {
        (self.load + IDLE_LOAD) * self.health_factor
    }

    /// Load after one more request, with the penalty for another failure domain.
    fn next_load(&self) -> f64 {
        self.health_load() - IDLE_LOAD + 1.0 + self.domain_penalty()
    }

    /// Time that one more request takes, and for which it then takes a place from others: a slow
    /// endpoint does both for longer.
    fn next_request_cost(&self) -> f64 {
        self.next_load() * self.speed_factor.powi(2)
    }

    fn domain_penalty(&self) -> f64 {
        match self.same_domain {
            true => 0.0,
            false => CROSS_DOMAIN_PENALTY_REQUESTS,
        }
    }

    /// Probability that a draw of this endpoint is accepted.
    fn draw_probability(&self) -> f64 {
        let penalty = 1.0 + self.domain_penalty();
        1.0 / (self.speed_factor * self.health_factor * penalty * MAX_DRAWN_SPEED)
    }
}

/// Indices of candidates.
type Indices = SmallVec<[usize; MAX_CACHED]>;

/// What a request with a prompt prefix is placed by.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct CachedPrefix {
    /// Seconds that reading the prefix takes at an endpoint of usual speed.
    pub read_s: f64,
    /// Share of the service's work that has this prefix, from 0 to 1.
    pub share: f64,
}

/// Selects an endpoint for a request with a prompt prefix; `time_s` is the expected time at a
/// candidate in seconds. `cold` are the indices of cold endpoints that may get the request: they warm
/// up by the requests they get.
///
/// The endpoints that cache the prefix are the first ones in its rendezvous order, as many as its
/// share of the work needs.
pub fn choose_cached(
    candidates: &[TimedCandidate],
    cold: &[usize],
    time_s: impl Fn(&TimedCandidate) -> f64,
    prefix: CachedPrefix,
    rng: &mut impl Rng,
) -> Option<usize> {
    let sample = sample(candidates.len(), rng);
    let scaled_load = |c: &TimedCandidate| c.health_load() * c.speed_factor;
    let loads = sample.iter().map(|&i| scaled_load(&candidates[i]));
    let mean = loads.sum::<f64>() / sample.len().max(1) as f64;
    let needed = 1 + (prefix.share * candidates.len() as f64 * CACHED_HEADROOM) as usize;
    // Few nodes may send to a cold endpoint, so they prefer it to compensate for the other nodes.
    let cold = cold.iter().copied();
    let cold = cold.filter(|&i| scaled_load(&candidates[i]) < mean);
    if let Some(cold) = cold.max_by_key(|&i| candidates[i].affinity) {
        return Some(cold);
    }
    let cached = first_by_affinity(candidates, needed, rng);
    let elsewhere_s = |c: &TimedCandidate| time_s(c) + prefix.read_s * c.speed_factor;
    let elsewhere_s = sample.iter().map(|&i| elsewhere_s(&candidates[i]));
    let best_s = low_quantile(elsewhere_s.collect())?;
    let bound_s = best_s + AFFINITY_SLACK_S * 2.0 * rng.random::<f64>();
    let is_allowed = |i: &usize| time_s(&candidates[*i]) <= bound_s;
    let mut allowed: Indices = cached.into_iter().filter(is_allowed).take(needed).collect();
    if allowed.is_empty() {
        allowed = sample.into_iter().filter(is_allowed).collect();
    }
    let cost = TimedCandidate::next_request_cost;
    let chosen = better_of_two(allowed.len(), |i| &candidates[allowed[i]], cost, rng)?;
    Some(allowed[chosen])
}

/// Selects an endpoint for a request without a prompt prefix: the one of two with less load.
///
/// Only the node's own load is known, mostly none, and the draw already prefers fast endpoints. If
/// the loads were compared as times too, slow endpoints would get nothing, and the others would
/// reject requests while these have room.
pub fn choose_of_two(candidates: &[TimedCandidate], rng: &mut impl Rng) -> Option<usize> {
    let cost = TimedCandidate::next_load;
    better_of_two(candidates.len(), |i| &candidates[i], cost, rng)
}

/// Draws two of `count` candidates and returns the better one.
fn better_of_two<'a>(
    count: usize,
    candidate: impl Fn(usize) -> &'a TimedCandidate,
    cost: impl Fn(&TimedCandidate) -> f64,
    rng: &mut impl Rng,
) -> Option<usize> {
    let first = draw(count, &candidate, rng)?;
    // The second one is drawn from the others.
    let other = |i: usize| if i < first { i } else { i + 1 };
    let Some(second) = draw(count - 1, |i| candidate(other(i)), rng).map(other) else {
        return Some(first);
    };
    let cost = |i: usize| cost(candidate(i));
    match cost(second) < cost(first) {
        true => Some(second),
        false => Some(first),
    }
}

/// Draws one of `count` candidates with a probability in proportion to its speed, by rejection: the
/// time does not depend on their number.
fn draw<'a>(
    count: usize,
    candidate: impl Fn(usize) -> &'a TimedCandidate,
    rng: &mut impl Rng,
) -> Option<usize> {
    if count == 0 {
        return None;
    }
    let mut drawn = 0;
    for _ in 0..MAX_DRAWS {
        drawn = rng.random_range(0..count);
        if rng.random::<f64>() < candidate(drawn).draw_probability() {
            break;
        }
    }
    Some(drawn)
}

/// Returns a random sample of `count` candidates, or all of them if they are few.
fn sample(count: usize, rng: &mut impl Rng) -> Indices {
    match count <= MAX_SAMPLED {
        true => (0..count).collect(),
        false => (0..MAX_SAMPLED)
            .map(|_| rng.random_range(0..count))
            .collect(),
    }
}

/// Returns the time that [`BEST_FRACTION`] of the times are below.
fn low_quantile(mut times_s: SmallVec<[f64; MAX_SAMPLED]>) -> Option<f64> {
    let index = (times_s.len() as f64 * BEST_FRACTION) as usize;
    let is_known = index < times_s.len();
    is_known.then(|| *times_s.select_nth_unstable_by(index, f64::total_cmp).1)
}

/// Returns the first candidates in rendezvous order, in this order: more than `needed`, or if these
/// are very many, a random sample of them.
fn first_by_affinity(candidates: &[TimedCandidate], needed: usize, rng: &mut impl Rng) -> Indices {
    let count = candidates.len();
    if count == 0 {
        return Indices::new();
    }
    // Hashes are evenly distributed.
    let fraction = (needed.max(MIN_CACHED) as f64 / count as f64).min(1.0);
    let least = u64::MAX - (u64::MAX as f64 * fraction) as u64;
    let start = rng.random_range(0..count);
    let (before, after) = candidates.split_at(start);
    let after = after.iter().zip(start..);
    let all = after.chain(before.iter().zip(0..));
    let first = all.filter(|(c, _)| c.affinity >= least).map(|(_, i)| i);
    let mut first: Indices = first.take(MAX_CACHED).collect();
    first.sort_unstable_by_key(|&i| Reverse(candidates[i].affinity));
    first
}

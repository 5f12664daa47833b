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

/// Maximum number of candidates that are all compared. Of more, those with the highest affinity and
/// a random sample are, which bounds the time of a decision.
const MAX_COMPARED: usize = 256;

/// Number of candidates with the highest affinity, and of random ones, that are compared then.
const COMPARED_BY_AFFINITY: usize = 16;
const COMPARED_AT_RANDOM: usize = 32;

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
    /// Whether the endpoint is cold and may get this request: it warms up by the requests it gets.
    pub may_warm_up: bool,
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

/// What a request with a prompt prefix is placed by.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct CachedPrefix {
    /// Seconds that reading the prefix takes at an endpoint of usual speed.
    pub read_s: f64,
    /// Share of the service's work that has this prefix, from 0 to 1.
    pub share: f64,
}

/// Selects an endpoint for a request with a prompt prefix; `time_s` is the expected time at a
/// candidate in seconds.
///
/// The endpoints that cache the prefix are the first ones in its rendezvous order, as many as its
/// share of the work needs.
pub fn choose_cached(
    candidates: &[TimedCandidate],
    time_s: impl Fn(&TimedCandidate) -> f64,
    prefix: CachedPrefix,
    rng: &mut impl Rng,
) -> Option<usize> {
    let compared = compared_candidates(candidates, rng);
    let all = || compared.iter().map(|&i| (i, &candidates[i]));
    let scaled_load = |c: &TimedCandidate| c.health_load() * c.speed_factor;
    let loads: f64 = all().map(|(_, c)| scaled_load(c)).sum();
    let mean = loads / compared.len().max(1) as f64;
    // Few nodes may send to a cold endpoint, so they prefer it to compensate for the other nodes.
    let cold = all().filter(|(_, c)| c.may_warm_up && scaled_load(c) < mean);
    if let Some((cold, _)) = cold.max_by_key(|(_, c)| c.affinity) {
        return Some(cold);
    }
    let times: SmallVec<[f64; MAX_COMPARED]> = all().map(|(_, c)| time_s(c)).collect();
    let bounds = all().zip(&times);
    let bounds = bounds.map(|((_, c), time_s)| time_s + prefix.read_s * c.speed_factor);
    let mut bounds: SmallVec<[f64; MAX_COMPARED]> = bounds.collect();
    let best = (bounds.len() as f64 * BEST_FRACTION) as usize;
    if best >= bounds.len() {
        return None;
    }
    let (_, best_s, _) = bounds.select_nth_unstable_by(best, f64::total_cmp);
    let bound_s = *best_s + AFFINITY_SLACK_S * 2.0 * rng.random::<f64>();
    let allowed = compared.iter().zip(&times);
    let allowed = allowed.filter(|(_, time_s)| **time_s <= bound_s);
    let mut allowed: SmallVec<[usize; MAX_COMPARED]> = allowed.map(|(i, _)| *i).collect();
    let needed = 1 + (prefix.share * candidates.len() as f64 * CACHED_HEADROOM) as usize;
    if needed < allowed.len() {
        allowed.select_nth_unstable_by_key(needed, |&i| Reverse(candidates[i].affinity));
        allowed.truncate(needed);
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

/// Returns the candidates that are compared: all, or a bounded number.
fn compared_candidates(
    candidates: &[TimedCandidate],
    rng: &mut impl Rng,
) -> SmallVec<[usize; MAX_COMPARED]> {
    if candidates.len() <= MAX_COMPARED {
        return (0..candidates.len()).collect();
    }
    let mut highest: SmallVec<[(u64, usize); COMPARED_BY_AFFINITY]> = SmallVec::new();
    let mut cold: Option<usize> = None;
    for (i, candidate) in candidates.iter().enumerate() {
        if candidate.may_warm_up && cold.is_none_or(|c| candidates[c].affinity < candidate.affinity)
        {
            cold = Some(i);
        }
        let is_full = highest.len() == COMPARED_BY_AFFINITY;
        if is_full
            && highest
                .last()
                .is_some_and(|(h, _)| *h >= candidate.affinity)
        {
            continue;
        }
        let at = highest.partition_point(|(h, _)| *h >= candidate.affinity);
        highest.truncate(COMPARED_BY_AFFINITY - 1);
        highest.insert(at, (candidate.affinity, i));
    }
    let random = (0..COMPARED_AT_RANDOM).map(|_| rng.random_range(0..candidates.len()));
    highest
        .iter()
        .map(|(_, i)| *i)
        .chain(cold)
        .chain(random)
        .collect()
}

//! Selection of the endpoint for a request by expected time.
//!
//! Load pattern: endpoints of one service differ in speed by a factor of three, and many nodes
//! decide at the same moment by the same sums of loads, which lag by up to half a second. Requests
//! with a prompt prefix stay with the endpoint that caches it until waiting there takes longer than
//! reading the prefix elsewhere. The others go to the better of two endpoints that are drawn in
//! proportion to their speed, so that the nodes spread their requests.

use rand::{Rng, RngExt};
use smallvec::SmallVec;

/// Mean difference in expected time, in seconds, that does not move a request away from the
/// endpoint that caches its prefix: smaller ones are noise. The bound is drawn for each request
/// from zero to twice this, since all nodes would change over at the same moment otherwise.
const AFFINITY_SLACK_S: f64 = 0.05;

/// Multiple of the load at an endpoint that one in another failure domain may be worth less, in
/// requests: it costs traffic between domains and a longer path.
const CROSS_DOMAIN_PENALTY_REQUESTS: f64 = 1.5;

/// Load that an idle endpoint counts as, so that the health of idle endpoints counts too.
const IDLE_LOAD: f64 = 0.1;

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
    /// Returns the load by which endpoints are compared, in units of weight at an endpoint of usual
    /// speed.
    pub fn scaled_load(&self) -> f64 {
        (self.load + IDLE_LOAD) * self.health_factor * self.speed_factor
    }

    /// Time that one more request takes, relative to one at an idle endpoint of usual speed.
    fn next_request_cost(&self) -> f64 {
        let penalty = match self.same_domain {
            true => 0.0,
            false => CROSS_DOMAIN_PENALTY_REQUESTS,
        };
        let load = (self.load + IDLE_LOAD) * self.health_factor - IDLE_LOAD;
        (load + 1.0 + penalty) * self.speed_factor
    }

    /// Probability that a draw of this endpoint is accepted.
    fn draw_probability(&self) -> f64 {
        let penalty = match self.same_domain {
            true => 1.0,
            false => 1.0 + CROSS_DOMAIN_PENALTY_REQUESTS,
        };
        1.0 / (self.speed_factor * self.health_factor * penalty * MAX_DRAWN_SPEED)
    }
}

/// Selects an endpoint for a request with a prompt prefix.
///
/// `time_s` is the expected time at a candidate in seconds, and `prefix_time_s` the time that
/// reading the prefix takes at an endpoint of usual speed.
pub fn choose_cached(
    candidates: &[TimedCandidate],
    time_s: impl Fn(&TimedCandidate) -> f64,
    prefix_time_s: f64,
    rng: &mut impl Rng,
) -> Option<usize> {
    let compared = compared_candidates(candidates, rng);
    let all = || compared.iter().map(|&i| (i, &candidates[i]));
    let loads: f64 = all().map(|(_, c)| c.scaled_load()).sum();
    let mean = loads / compared.len().max(1) as f64;
    // Few nodes may send to a cold endpoint, so they prefer it to compensate for the other nodes.
    let cold = all().filter(|(_, c)| c.may_warm_up && c.scaled_load() < mean);
    if let Some((cold, _)) = cold.max_by_key(|(_, c)| c.affinity) {
        return Some(cold);
    }
    let times: SmallVec<[f64; MAX_COMPARED]> = all().map(|(_, c)| time_s(c)).collect();
    let bounds = all().zip(&times);
    let bounds = bounds.map(|((_, c), time_s)| time_s + prefix_time_s * c.speed_factor);
    let slack_s = AFFINITY_SLACK_S * 2.0 * rng.random::<f64>();
    let bound_s = bounds.fold(f64::INFINITY, f64::min) + slack_s;
    let allowed = all().zip(&times).filter(|(_, time_s)| **time_s <= bound_s);
    let chosen = allowed.max_by_key(|((_, c), _)| c.affinity)?;
    Some(chosen.0.0)
}

/// Selects an endpoint for a request without a prompt prefix: the better of two.
pub fn choose_of_two(candidates: &[TimedCandidate], rng: &mut impl Rng) -> Option<usize> {
    let first = draw(candidates, None, rng)?;
    let Some(second) = draw(candidates, Some(first), rng) else {
        return Some(first);
    };
    let cost = |i: usize| candidates[i].next_request_cost();
    match cost(second) < cost(first) {
        true => Some(second),
        false => Some(first),
    }
}

/// Draws a candidate with a probability in proportion to its speed, by rejection: the time does not
/// depend on the number of candidates.
fn draw(
    candidates: &[TimedCandidate],
    excluded: Option<usize>,
    rng: &mut impl Rng,
) -> Option<usize> {
    let count = candidates.len() - usize::from(excluded.is_some());
    let mut drawn = None;
    for _ in 0..MAX_DRAWS {
        if count == 0 {
            break;
        }
        let index = rng.random_range(0..count);
        let index = index + usize::from(excluded.is_some_and(|excluded| index >= excluded));
        drawn = Some(index);
        if rng.random::<f64>() < candidates[index].draw_probability() {
            break;
        }
    }
    drawn
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

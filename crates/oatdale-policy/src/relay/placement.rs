//! Selection of the endpoint for a request.

/// Multiple of the mean load up to which an endpoint still gets requests for the prompt prefix that
/// it caches. Above it the wait costs more than reading the prefix again.
const AFFINITY_LOAD_FACTOR: f64 = 1.1;

/// Load, in requests, that is allowed beyond that multiple: with few requests in flight, the mean
/// is not meaningful.
const AFFINITY_SLACK_REQUESTS: f64 = 2.0;

/// Load, in requests, by which an endpoint of another failure domain must be below one of the
/// node's own to be preferred: it costs traffic between domains and a longer path.
const CROSS_DOMAIN_PENALTY_REQUESTS: f64 = 1.5;

/// An endpoint that may get a request.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Candidate {
    /// Known requests in flight at the endpoint, weighted by their size and the endpoint's health.
    pub in_flight: f64,
    /// Whether the endpoint is in the node's own failure domain.
    pub same_domain: bool,
    /// Whether the endpoint is cold and may get this request: it warms up by the requests it gets.
    pub may_warm_up: bool,
    /// Rendezvous hash of the request's prefix and the endpoint; the endpoint with the highest one
    /// caches the prefix.
    pub affinity: u64,
}

/// Criterion for placement besides load.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Placement {
    /// Keeps requests with the same prefix together while load allows it.
    Affinity,
    /// Prefers the least load, with an advantage for the node's own failure domain.
    Load,
}

/// Selects an endpoint; `draw` breaks ties, so that nodes do not all select the same one.
pub fn choose(candidates: &[Candidate], placement: Placement, draw: u64) -> Option<usize> {
    match placement {
        Placement::Affinity => choose_by_affinity(candidates),
        Placement::Load => choose_by_load(candidates, draw),
    }
}

fn choose_by_affinity(candidates: &[Candidate]) -> Option<usize> {
    let sum: f64 = candidates.iter().map(|c| c.in_flight).sum();
    let mean = sum / candidates.len().max(1) as f64;
    let bound = mean * AFFINITY_LOAD_FACTOR + AFFINITY_SLACK_REQUESTS;
    let best = |is_allowed: &dyn Fn(&Candidate) -> bool| {
        let allowed = (0..candidates.len()).filter(|&i| is_allowed(&candidates[i]));
        allowed.max_by_key(|&i| candidates[i].affinity)
    };
    // Few nodes may send to a cold endpoint, so they prefer it to compensate for the other nodes.
    best(&|c| c.may_warm_up && c.in_flight < mean)
        .or_else(|| best(&|c| c.in_flight <= bound))
        .or_else(|| choose_by_load(candidates, 0))
}

fn choose_by_load(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let cost = |c: &Candidate| match c.same_domain {
        true => c.in_flight,
        false => c.in_flight + CROSS_DOMAIN_PENALTY_REQUESTS,
    };
    let n = candidates.len();
    let start = draw as usize % n.max(1);
    (0..n)
        .map(|i| (start + i) % n)
        .min_by(|&a, &b| cost(&candidates[a]).total_cmp(&cost(&candidates[b])))
}

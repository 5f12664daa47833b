//! Which endpoint gets a request.

/// How far above the mean load an endpoint may be and still get a request for the prefix it keeps.
/// Above it the wait costs more than reading the prefix again.
const AFFINITY_LOAD_FACTOR: f64 = 1.1;

/// Load, in requests, that is no reason to leave the endpoint that keeps the prefix: with few
/// requests under way the mean says little.
const AFFINITY_SLACK_REQUESTS: f64 = 2.0;

/// Load, in requests, that an endpoint of another failure domain must be below one of the node's
/// own to be preferred: it costs bytes between domains and a longer way.
const CROSS_DOMAIN_PENALTY_REQUESTS: f64 = 1.5;

/// An endpoint that may take a request.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Candidate {
    /// Requests under way there, as far as they are known, weighted by their size and the endpoint's
    /// health.
    pub in_flight: f64,
    /// Whether it is in the node's own failure domain.
    pub same_domain: bool,
    /// Whether it is cold and may take this request: it warms by what it gets.
    pub warms_up: bool,
    /// Rendezvous hash of the request's prefix and the endpoint; the highest keeps the prefix.
    pub affinity: u64,
}

/// What counts beside load.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Placement {
    /// Keep requests with the same prefix together while load allows it.
    Affinity,
    /// Least load, the node's own failure domain first.
    Load,
}

/// Picks an endpoint; `draw` decides between equals, so that nodes do not all pick the same one.
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
    // Few nodes may send to a cold one: those that may make up for the others.
    best(&|c| c.warms_up && c.in_flight < mean)
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

//! Selection of the node addresses that are advertised to callers.

use oatdale_policy::relay::{AddressCandidate, advertised_addresses};
use std::hash::{DefaultHasher, Hash, Hasher};

const MAX_ADDRESSES: usize = 64;

/// Number of nodes in each failure domain.
const NODES_PER_DOMAIN: [usize; 5] = [56, 55, 56, 65, 63];

fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns the running nodes with their domains, as candidates for a caller in `caller_domain`.
fn nodes(
    caller_domain: usize,
    alive: impl Fn(usize, usize) -> bool,
) -> Vec<(usize, AddressCandidate)> {
    let all = (0..NODES_PER_DOMAIN.len())
        .flat_map(|domain| (0..NODES_PER_DOMAIN[domain]).map(move |n| (domain, n)));
    let alive = all.filter(|&(domain, n)| alive(domain, n));
    let candidate = |(domain, n)| {
        let candidate = AddressCandidate {
            same_domain: domain == caller_domain,
            hash: hash((caller_domain, domain, n)),
        };
        (domain, candidate)
    };
    alive.map(candidate).collect()
}

fn advertised(nodes: &[(usize, AddressCandidate)]) -> Vec<usize> {
    let candidates: Vec<_> = nodes.iter().map(|(_, candidate)| *candidate).collect();
    advertised_addresses(&candidates, MAX_ADDRESSES)
}

// Callers of all domains connect at once to a site of 295 nodes. If the same 64 were advertised to
// all, one domain's nodes and endpoints would carry the load of all five, and responses of the
// other domains' plain services would be late.
#[test]
fn load_of_all_callers_is_spread_over_all_domains() {
    let mut uses = [0; NODES_PER_DOMAIN.len()];
    for caller_domain in 0..NODES_PER_DOMAIN.len() {
        let nodes = nodes(caller_domain, |_, _| true);
        let advertised = advertised(&nodes);
        assert_eq!(advertised.len(), MAX_ADDRESSES);
        for i in advertised {
            uses[nodes[i].0] += 1;
        }
    }
    let mean = (MAX_ADDRESSES * NODES_PER_DOMAIN.len() / NODES_PER_DOMAIN.len()) as f64;
    for use_count in uses {
        assert!(f64::from(use_count) < 1.3 * mean, "{uses:?}");
    }
}

// Half of a site's hosts lose power, nearly all of them in one domain. The callers of that domain
// would overload the few remaining nodes if no others were advertised to them.
#[test]
fn callers_in_a_domain_with_few_nodes_get_nodes_of_other_domains() {
    let nodes = nodes(2, |domain, n| domain != 2 || n < 3);
    let advertised = advertised(&nodes);
    assert_eq!(advertised.len(), MAX_ADDRESSES);
    assert_eq!(advertised.iter().filter(|&&i| nodes[i].0 == 2).count(), 3);
    for domain in [0, 1, 3, 4] {
        let in_domain = advertised.iter().filter(|&&i| nodes[i].0 == domain).count();
        assert!(in_domain > 5, "domain {domain}: {in_domain} nodes");
    }
}

// On a small site every node is advertised to every caller, which needs all of them when hosts are
// lost.
#[test]
fn small_site_advertises_all_nodes() {
    let nodes = nodes(0, |_, n| n < 3);
    assert_eq!(advertised(&nodes).len(), 15);
}

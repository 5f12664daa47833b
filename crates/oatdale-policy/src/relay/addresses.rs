//! Which nodes a caller is told of.
//!
//! The load pattern: hundreds of nodes, of which an answer holds a few dozen. Were these the same for all callers,
//! they would carry the load of all, and send it to the endpoints of their own failure domain.

/// A node that callers may use.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AddressCandidate {
    /// Whether it is in the caller's failure domain.
    pub same_domain: bool,
    /// A hash of the caller's failure domain and the node's name, the same on every node: callers leave open
    /// connections when another node tells them of others.
    pub hash: u64,
}

/// The nodes that a caller is told of, as positions, at the most so many: those of its own failure domain first,
/// and then others, for each domain's callers different ones.
pub fn advertised_addresses(nodes: &[AddressCandidate], limit: usize) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..nodes.len()).collect();
    ranked.sort_by_key(|&i| (!nodes[i].same_domain, nodes[i].hash));
    ranked.truncate(limit);
    ranked
}

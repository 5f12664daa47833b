//! Selection of the node addresses that are advertised to a caller.
//!
//! A site may have hundreds of nodes, of which a response lists a few dozen. If all callers got the
//! same list, the listed nodes would carry the load of all callers and send it to the endpoints of
//! their own failure domain.

/// A node that can be advertised to callers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AddressCandidate {
    /// Whether the node is in the caller's failure domain.
    pub same_domain: bool,
    /// Hash of the caller's failure domain and the node's name. It must be the same on every node,
    /// because callers close open connections when another node advertises different addresses.
    pub hash: u64,
}

/// Returns the positions of at most `limit` nodes to advertise: those of the caller's failure
/// domain first, then others, in an order that differs between the callers' domains.
pub fn advertised_addresses(nodes: &[AddressCandidate], limit: usize) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..nodes.len()).collect();
    ranked.sort_by_key(|&i| (!nodes[i].same_domain, nodes[i].hash));
    ranked.truncate(limit);
    ranked
}

//! Determines which nodes a payload can be sent to.

use crate::types::{PeerState, PeerView};

/// Number of hosts from which a node keeps links only within its failure domain, apart from the
/// links of reporters and holders.
pub(crate) const FULL_MESH_LIMIT: usize = 24;

/// Returns the live peers that a node of `domain` always has a link to, so that
/// [`Command::Forward`](crate::Command::Forward) can deliver to them.
///
/// In a large fleet these are the peers of its own failure domain. Work that is distributed by
/// forwarding must be distributed over these peers only: a payload for any other node is dropped.
///
/// # Examples
///
/// ```
/// assert!(oatdale_mesh::reachable(&[], "hall-1").is_empty());
/// ```
pub fn reachable<'a>(peers: &'a [PeerView], domain: &str) -> Vec<&'a PeerView> {
    let node_count = peers.iter().filter(|p| p.state != PeerState::Left).count() + 1;
    peers
        .iter()
        .filter(|p| p.state == PeerState::Alive)
        .filter(|p| node_count < FULL_MESH_LIMIT || p.domain == domain)
        .collect()
}

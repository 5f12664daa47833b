//! Which nodes a payload can be sent to.

use crate::types::{PeerState, PeerView};

/// Hosts from which on a node keeps links within its failure domain only, beside those of reporters
/// and holders.
pub(crate) const FULL_MESH: usize = 24;

/// The live peers that a node of `domain` is linked to in any case, to which
/// [`Command::Forward`](crate::Command::Forward) therefore gets.
///
/// In a large fleet these are the peers of its own failure domain. Work that is dealt out over nodes
/// by forwarding must be dealt out over these: a payload for any other node gets nowhere.
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
        .filter(|p| node_count < FULL_MESH || p.domain == domain)
        .collect()
}

//! Mesh settings.

use crate::error::{Result, SettingSnafu};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Minimum length of the key in bytes; a shorter key is refused.
///
/// The acceptor sends its proof first, so anyone who can connect can test guessed keys offline. A
/// random key as long as the digest can't be guessed.
pub const MIN_KEY_BYTES: usize = 32;

/// Mesh settings of one node.
#[derive(Debug)]
pub struct MeshConfig {
    /// Name of the host, unique in the fleet.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Region of the host.
    pub region: String,
    /// Incarnation of the process, see [`new_incarnation`](crate::new_incarnation).
    pub incarnation: u64,
    /// Socket on which to accept connections from other nodes.
    pub listen: Listen,
    /// Address that is advertised to other nodes.
    pub advertise: SocketAddr,
    /// Address that is given to callers.
    pub caller_address: SocketAddr,
    /// Nodes to contact first; this node's own address may be among them.
    pub seeds: Vec<SocketAddr>,
    /// Key shared by all nodes, at least [`MIN_KEY_BYTES`] bytes.
    pub key: Vec<u8>,
    /// Number of nodes that hold each bill record.
    pub holder_count: u8,
    /// Timers.
    pub intervals: Intervals,
}

/// The socket that accepts connections.
#[derive(Debug)]
pub enum Listen {
    /// Binds this address.
    Address(SocketAddr),
    /// Uses a socket that is already bound.
    Bound(TcpListener),
}

/// Timers of the mesh.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Intervals {
    /// Heartbeat interval of a link.
    pub heartbeat: Duration,
    /// Time without a heartbeat after which a node is suspected.
    pub suspect_after: Duration,
    /// Time under suspicion after which a node that the platform no longer lists is removed.
    pub remove_unlisted_after: Duration,
    /// Time under suspicion after which any node is removed.
    pub remove_after: Duration,
    /// Time under suspicion after which holders journal a node's records on its behalf.
    pub orphan_after: Duration,
    /// How long a joining node waits for peers to report their revision.
    pub join_timeout: Duration,
    /// How long a [`Command::Hold`](crate::Command::Hold) waits for confirmations.
    pub hold_timeout: Duration,
    /// Interval between summaries from one failure domain to another; longer if there are many
    /// domains.
    pub report_interval: Duration,
}

impl Default for Intervals {
    fn default() -> Self {
        Intervals {
            heartbeat: Duration::from_millis(500),
            suspect_after: Duration::from_secs(2),
            remove_unlisted_after: Duration::from_secs(5),
            remove_after: Duration::from_secs(600),
            orphan_after: Duration::from_secs(30),
            join_timeout: Duration::from_secs(1),
            hold_timeout: Duration::from_millis(500),
            report_interval: Duration::from_secs(1),
        }
    }
}

impl MeshConfig {
    /// Checks that the settings are valid.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Setting`](crate::Error::Setting) with the setting and a valid value for it.
    pub fn check(&self) -> Result<()> {
        let invalid = |setting, reason: &str| SettingSnafu { setting, reason }.fail();
        let timers = &self.intervals;
        match () {
            () if self.host.is_empty() => invalid("host", "give the host's name"),
            () if self.domain.is_empty() => invalid("domain", "name the host's failure domain"),
            () if self.key.len() < MIN_KEY_BYTES => invalid(
                "key",
                "the key must have at least 32 bytes, chosen at random",
            ),
            () if self.incarnation == 0 => invalid("incarnation", "must not be 0"),
            () if self.advertise.port() == 0 => invalid("advertise", "the port must not be 0"),
            () if timers.heartbeat.is_zero() => invalid("beat", "must be above 0"),
            () if timers.suspect_after < timers.heartbeat * 3 => {
                invalid("suspect", "must be at least three heartbeats")
            }
            () if timers.orphan_after < timers.suspect_after => {
                invalid("orphan", "must not be shorter than `suspect`")
            }
            () => Ok(()),
        }
    }
}

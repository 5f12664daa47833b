//! The settings of the mesh.

use crate::error::{Result, SettingSnafu};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Length under which a key is refused, in bytes.
///
/// An acceptor proves itself first, so whoever may connect can try keys offline; a key as long as
/// the digest can't be guessed.
pub const MIN_KEY_BYTES: usize = 32;

/// The settings of one node.
#[derive(Debug)]
pub struct MeshConfig {
    /// The host's name, unique in the fleet.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// See [`new_incarnation`](crate::new_incarnation).
    pub incarnation: u64,
    /// Where other nodes connect to.
    pub listen: Listen,
    /// The address that others are told.
    pub advertise: SocketAddr,
    /// The address that callers are told.
    pub caller: SocketAddr,
    /// Nodes to ask first; this node's own address may be among them.
    pub seeds: Vec<SocketAddr>,
    /// The key that all nodes share, at least [`MIN_KEY_BYTES`] bytes.
    pub key: Vec<u8>,
    /// Nodes that keep each bill record.
    pub holders: u8,
    /// Timers.
    pub intervals: Intervals,
}

/// Where to listen.
#[derive(Debug)]
pub enum Listen {
    /// Bind this address.
    Address(SocketAddr),
    /// Use a socket that is bound already.
    Bound(TcpListener),
}

/// Timers of the mesh.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Intervals {
    /// Between two heartbeats on one link.
    pub beat: Duration,
    /// Silence after which a node is suspected.
    pub suspect: Duration,
    /// Suspicion after which a node that the platform no longer lists is forgotten.
    pub unlisted: Duration,
    /// Suspicion after which any node is forgotten.
    pub forget: Duration,
    /// Suspicion after which holders journal a node's records in its place.
    pub orphan: Duration,
    /// How long a joiner waits for peers to tell their revision.
    pub join: Duration,
    /// How long a [`Command::Hold`](crate::Command::Hold) waits for its copies.
    pub hold: Duration,
    /// Between two summaries of one failure domain to another where there are few domains.
    pub report: Duration,
}

impl Default for Intervals {
    fn default() -> Self {
        Intervals {
            beat: Duration::from_millis(500),
            suspect: Duration::from_secs(2),
            unlisted: Duration::from_secs(5),
            forget: Duration::from_secs(600),
            orphan: Duration::from_secs(30),
            join: Duration::from_secs(1),
            hold: Duration::from_millis(500),
            report: Duration::from_secs(1),
        }
    }
}

impl MeshConfig {
    /// Refuses settings that can't work.
    ///
    /// # Errors
    ///
    /// [`Error::Setting`](crate::Error::Setting) names the setting and what to write.
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
            () if self.incarnation == 0 => invalid("incarnation", "0 is not used"),
            () if self.advertise.port() == 0 => invalid("advertise", "give a port other than 0"),
            () if timers.beat.is_zero() => invalid("beat", "must be above 0"),
            () if timers.suspect < timers.beat * 3 => {
                invalid("suspect", "must be at least three heartbeats")
            }
            () if timers.orphan < timers.suspect => {
                invalid("orphan", "must not be shorter than `suspect`")
            }
            () => Ok(()),
        }
    }
}

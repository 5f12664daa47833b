//! What can go wrong between two nodes.

use snafu::Snafu;

/// A failure of the duty or of one link.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// The listening socket could not be opened or used.
    #[snafu(display("cannot listen for other nodes on {address}: {source}"))]
    Listen {
        /// What the settings ask for.
        address: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A setting makes no sense.
    #[snafu(display("mesh setting `{setting}`: {reason}"))]
    Setting {
        /// Its name.
        setting: &'static str,
        /// What to write instead.
        reason: String,
    },
    /// A message is not what this version of the protocol speaks.
    #[snafu(display("malformed message: {reason}"))]
    Malformed {
        /// What was wrong.
        reason: String,
    },
    /// A peer speaks no version that this node speaks.
    #[snafu(display("peer speaks versions {low} to {high}, this node speaks {supported}"))]
    Version {
        /// The peer's lowest.
        low: u8,
        /// The peer's highest.
        high: u8,
        /// The only one here.
        supported: u8,
    },
    /// A peer does not prove that it knows the key.
    #[snafu(display("peer does not prove that it holds the mesh key"))]
    Unauthenticated,
    /// A connection to ourselves, made through a list of seeds.
    #[snafu(display("the address is this node's own"))]
    SelfConnection,
    /// The connection failed or ended.
    #[snafu(display("connection: {reason}"))]
    Connection {
        /// What the transport says.
        reason: String,
    },
    /// The peer took too long.
    #[snafu(display("timeout while {operation}"))]
    Timeout {
        /// What was waited for.
        operation: &'static str,
    },
}

/// The crate's result.
pub type Result<T, E = Error> = std::result::Result<T, E>;

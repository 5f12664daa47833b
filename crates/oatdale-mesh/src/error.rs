//! Errors of the mesh.

use snafu::Snafu;

/// A failure of the mesh task or of a single link.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// The listening socket could not be opened or used.
    #[snafu(display("cannot listen for other nodes on {address}: {source}"))]
    Listen {
        /// The address to listen on.
        address: String,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// A setting is invalid.
    #[snafu(display("mesh setting `{setting}`: {reason}"))]
    Setting {
        /// Name of the setting.
        setting: &'static str,
        /// What a valid value is.
        reason: String,
    },
    /// A message does not follow this version of the protocol.
    #[snafu(display("malformed message: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
    /// The peer supports no protocol version that this node supports.
    #[snafu(display("peer supports versions {low} to {high}, this node supports {supported}"))]
    Version {
        /// Lowest version that the peer supports.
        low: u8,
        /// Highest version that the peer supports.
        high: u8,
        /// The only version that this node supports.
        supported: u8,
    },
    /// The peer failed to prove that it holds the mesh key, or a frame carries a wrong tag.
    #[snafu(display("peer failed to prove that it holds the mesh key, or a frame tag is wrong"))]
    Unauthenticated,
    /// The node connected to itself, because the list of seeds contains its own address.
    #[snafu(display("the address belongs to this node itself"))]
    SelfConnection,
    /// The connection failed or ended.
    #[snafu(display("connection error: {reason}"))]
    Connection {
        /// The error that the transport reported.
        reason: String,
    },
    /// The peer did not respond in time.
    #[snafu(display("timeout while {operation}"))]
    Timeout {
        /// The operation that timed out.
        operation: &'static str,
    },
}

/// Result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

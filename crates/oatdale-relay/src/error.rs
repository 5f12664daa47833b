//! Why a relay can't start.

use snafu::Snafu;
use std::io;
use std::net::SocketAddr;

/// Result of starting a relay.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a relay can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// An address can't be listened on.
    #[snafu(display("can't listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The metrics contradict each other.
    #[snafu(display("can't set up metrics: {source}"))]
    Metrics {
        /// What the library said.
        source: prometheus::Error,
    },
}

//! Errors that prevent a relay from starting.

use snafu::Snafu;
use std::io;
use std::net::SocketAddr;

/// Result of starting a relay.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error that prevents a relay from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Binding or listening on an address failed.
    #[snafu(display("can't listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The metrics can't be registered, since two of them conflict.
    #[snafu(display("can't register metrics: {source}"))]
    Metrics {
        /// The error of the metrics library.
        source: prometheus::Error,
    },
}

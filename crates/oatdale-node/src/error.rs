//! Why a node can't start.

use snafu::Snafu;
use std::io;
use std::net::SocketAddr;

/// Result of starting a node.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a node can't start.
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
    /// A thread can't be started.
    #[snafu(display("can't start the thread {name}: {source}"))]
    Thread {
        /// Its name.
        name: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// A file can't be read.
    #[snafu(display("can't read {path}: {source}"))]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// The settings are wrong.
    #[snafu(display("{path}: {source}"))]
    Settings {
        /// The file.
        path: String,
        /// What is wrong, with lines and columns.
        source: oatdale_config::Error,
    },
    /// The file with the nodes' shared key does not hold one.
    #[snafu(display("{path}: the key must be 64 hex digits"))]
    Key {
        /// The file.
        path: String,
    },
}

//! A node's own settings: its addresses, its failure domain, where the platform is.

mod check;
mod wire;

use crate::de::read;
use crate::error::{Error, Result};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

/// Everything a node learns from its settings file.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct NodeSettings {
    /// The entry host's name, unique among all nodes.
    pub host: String,
    /// The failure domain it runs in, by the name that the operators' text uses.
    pub domain: String,
    /// The region that the failure domain lies in.
    pub region: String,
    /// Where it accepts connections; port 0 takes a free port.
    pub listen: Addresses,
    /// What it tells others to connect to; a port 0 here stands for the port that it got.
    pub advertise: Addresses,
    /// Where the platform's services are.
    pub platform: PlatformAddresses,
    /// Other nodes to ask first for the rest; the platform's host list names more.
    pub peers: Vec<SocketAddr>,
    /// What nodes prove to each other that they belong together.
    pub mesh_key: MeshKey,
    /// The least important log lines that are written.
    pub log_level: LogLevel,
    /// What callers may cost the node.
    pub limits: NodeLimits,
    /// How long callers may keep an answer to "which address"; a planned stop goes on accepting
    /// for this long.
    pub address_lifetime: Duration,
    /// How old the newest word of the configuration may get before requests are refused; `None`
    /// goes on with the last one for ever.
    pub refuse_after: Option<Duration>,
    /// Into how many shards the journal is cut; the same on all nodes.
    pub journal_shards: u16,
    /// How many nodes hold a bill before the answer's end goes to the caller.
    pub bill_holders: u8,
}

/// One address for each sort of peer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other nodes.
    pub nodes: SocketAddr,
    /// For operators: metrics, health, status.
    pub admin: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PlatformAddresses {
    /// The key-value service.
    pub key_value: SocketAddr,
    /// The list of live and leaving hosts, if there is one.
    pub host_list: Option<SocketAddr>,
    /// The service that rates answers, if there is one.
    pub ratings: Option<SocketAddr>,
}

/// The key that nodes prove to each other.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum MeshKey {
    /// It stands in the settings.
    Inline(Secret),
    /// It stands in this file, as [`Secret::from_hex`] reads it.
    File(PathBuf),
}

/// 32 secret bytes, which no log line or error shows.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret([u8; 32]);

/// The least important log lines that are written.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LogLevel {
    /// What needs somebody to act.
    Error,
    /// What may.
    Warn,
    /// One line for each routing or placement decision.
    Info,
    /// Each attempt and message.
    Debug,
    /// Everything.
    Trace,
}

/// What callers may cost a node.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct NodeLimits {
    /// Bytes of a request's line and headers.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Open connections of callers.
    pub connections: usize,
    /// Time for a request's headers to come in whole.
    pub header_timeout: Duration,
    /// Time that a body may make no progress.
    pub body_timeout: Duration,
}

/// Reads and checks a node's settings.
///
/// # Errors
///
/// Names every problem that could be found, each with its line, its column and what to write
/// instead.
///
/// # Examples
///
/// ```
/// let node = oatdale_config::node_settings_from_str(
///     "host: entry-1
/// failure-domain: hcm-a
/// region: ho-chi-minh-city
/// listen: { callers: 10.84.1.1:8080, nodes: 10.84.1.1:8081, admin: 10.84.1.1:8082 }
/// platform: { key-value: 10.84.9.1:2400 }
/// mesh-key-file: /etc/oatdale/mesh.key
/// ",
/// )?;
/// assert_eq!(node.advertise.callers.port(), 8080);
/// # Ok::<(), oatdale_config::Error>(())
/// ```
pub fn node_settings_from_str(text: &str) -> Result<NodeSettings> {
    read::<wire::Settings>(text)?.try_into()
}

impl FromStr for NodeSettings {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        node_settings_from_str(text)
    }
}

impl Secret {
    /// Reads 64 hex digits; blanks around them, such as a file's last newline, are left out.
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text.trim(), &mut bytes).ok()?;
        Some(Secret(bytes))
    }

    /// The secret itself.
    pub fn expose(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl LogLevel {
    /// The word that settings use, which is also how crate `log` spells it.
    pub fn as_str(self) -> &'static str {
        match self {
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
            LogLevel::Trace => "trace",
        }
    }
}

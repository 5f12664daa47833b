//! What a relay node is told when it starts, as YAML.

use oatdale_policy::relay::Exposure;
use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;

/// The confidence below which an answer is made again, unless set otherwise. A lower one keeps wrong answers of
/// small models, a higher one makes requests wait for the largest.
const USUAL_CONFIDENCE: u8 = 46;

/// The settings of one relay node.
#[derive(Clone, PartialEq, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// Where configuration, endpoints and roll-outs are learned from.
    pub platform: Platform,
    /// The host's name, unique among all nodes.
    pub host: String,
    /// The host's failure domain, as endpoints name theirs.
    pub failure_domain: String,
    /// Where the node listens.
    pub listen: Listen,
    /// The platform's key-value service.
    pub key_value: SocketAddr,
    /// Times that the site promises.
    pub bounds: Bounds,
    /// The speed of the host's link in Mbit/s; 0 if it is not known. Hosts with faster ones read the records for
    /// others of their failure domain.
    #[serde(default)]
    pub link_mbps: f64,
    /// Whether all nodes start for the first time just now: then they wait until they know each other.
    #[serde(default)]
    pub first_start: bool,
    /// How far a small model's answer is trusted.
    #[serde(default)]
    pub ladder: Ladder,
    /// Where some nodes tell what they know of the site, for a node that starts while the key-value
    /// service is away. They need not be up, and there may be none.
    #[serde(default)]
    pub seeds: Option<Vec<SocketAddr>>,
}

/// When the largest model makes an answer again.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Ladder {
    /// The confidence, from 0 to 100, below which it does.
    pub least_confidence: u8,
}

impl Default for Ladder {
    fn default() -> Self {
        Ladder {
            least_confidence: USUAL_CONFIDENCE,
        }
    }
}

/// The platforms that a relay runs on.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Platform {
    /// A key-value service in which operators and endpoints write their own records.
    Registry,
}

/// Addresses of one node, by IP number.
#[derive(Clone, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Whether this node is ready, for those who run it.
    pub readiness: SocketAddr,
    /// Which nodes callers can use.
    pub addresses: SocketAddr,
    /// Datagrams of other nodes.
    pub nodes: SocketAddr,
    /// Other nodes that ask what this one knows of the site, customers' keys among it.
    pub state: SocketAddr,
    /// Counters and histograms.
    pub metrics: SocketAddr,
}

/// What the site's operators count on.
#[derive(Clone, Copy, PartialEq, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Bounds {
    /// Seconds from the stop signal until the process is killed.
    pub stop_s: f64,
    /// Seconds for which callers may keep an answer about addresses.
    pub addresses_s: f64,
    /// Repeats that all nodes together may add, as a part of the requests for a service.
    pub repeat_ratio: f64,
    /// Repeats that all nodes together may add beyond that part.
    pub repeat_slack: f64,
    /// Seconds over which repeats and requests are counted for these two.
    #[serde(default = "usual_window")]
    pub repeat_window_s: f64,
    /// Requests that a bad version may get during its roll-out, as a part of all for the service.
    pub exposure_share: f64,
    /// Requests that it may get beyond that part.
    pub exposure_slack: f64,
    /// Seconds after its last request for which a session keeps its version.
    pub session_s: f64,
    /// Milliseconds after its record says so in which a leaving endpoint may still get requests.
    #[serde(default = "usual_leave")]
    pub leave_ms: u64,
    /// Requests that may reach a cold endpoint in a second, as a multiple of those that it bears. Without it and the
    /// next one it gets what it bears.
    #[serde(default)]
    pub cold_overshoot: Option<f64>,
    /// Requests that may reach it in a second beyond that.
    #[serde(default)]
    pub cold_slack: Option<f64>,
}

/// The window for repeats, unless set otherwise.
fn usual_window() -> f64 {
    10.0
}

/// The time for endpoints that leave, unless set otherwise.
fn usual_leave() -> u64 {
    2_000
}

/// Why settings can't be used.
#[derive(Debug, Snafu)]
#[snafu(display("the settings can't be read: {source}"))]
pub struct SettingsError {
    source: serde_saphyr::Error,
}

impl Settings {
    /// Reads settings; fields that it does not know are left alone.
    ///
    /// # Errors
    ///
    /// The text is not YAML, or a field is missing or has a wrong type; the message has the place.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = include_str!("../../../examples/relay.yaml");
    /// let settings = oatdale_relay::Settings::read(text)?;
    /// assert_eq!(settings.failure_domain, "hcm-a");
    /// # Ok::<(), oatdale_relay::SettingsError>(())
    /// ```
    pub fn read(text: &str) -> Result<Settings, SettingsError> {
        serde_saphyr::from_str(text).context(SettingsSnafu)
    }

    /// Whether a text is meant for a relay: it names one of the relay's platforms.
    pub fn is_meant(text: &str) -> bool {
        #[derive(Deserialize)]
        struct Head {
            #[expect(dead_code, reason = "only its presence and type count")]
            platform: Platform,
        }
        serde_saphyr::from_str::<Head>(text).is_ok()
    }
}

/// Windows for repeats that are taken as they are set: a shorter one counts nothing, and a longer one
/// outlives what a node remembers of its requests.
const LEAST_WINDOW_S: f64 = 0.1;
const MOST_WINDOW_S: f64 = 600.0;

/// The part of what may reach a cold endpoint that nodes plan to send: the rest is for nodes whose lists of nodes
/// differ.
const COLD_PART: f64 = 0.8;

impl Bounds {
    pub(crate) fn exposure(&self) -> Exposure {
        Exposure {
            share: self.exposure_share,
            slack: self.exposure_slack,
        }
    }

    /// Time over which repeats and requests are counted.
    pub(crate) fn repeat_window(&self) -> Duration {
        Duration::from_secs_f64(self.repeat_window_s.clamp(LEAST_WINDOW_S, MOST_WINDOW_S))
    }

    /// Requests a second that all nodes together plan to send to an endpoint that bears `rate` of them while it is cold.
    pub(crate) fn cold_rate(&self, rate: f64) -> f64 {
        let bound = rate * self.cold_overshoot.unwrap_or(1.0) + self.cold_slack.unwrap_or(0.0);
        rate.max(bound * COLD_PART)
    }

    /// Time from the stop signal until the process is killed.
    pub(crate) fn stop(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s.max(0.0))
    }
}

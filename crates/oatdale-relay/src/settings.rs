//! Settings of a relay node, read from YAML.

use oatdale_policy::relay::ExposureLimit;
use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;

/// Default confidence below which a response is generated again by the largest model. A lower value
/// keeps wrong responses of small models, a higher one makes requests wait for the largest model.
const DEFAULT_LEAST_CONFIDENCE: u8 = 46;

/// The settings of one relay node.
#[derive(Clone, PartialEq, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// Source of configuration, endpoints and rollouts.
    pub platform: Platform,
    /// Host name, unique among all nodes.
    pub host: String,
    /// Failure domain of the host, named as in the records of endpoints.
    pub failure_domain: String,
    /// Addresses that the node listens on.
    pub listen: Listen,
    /// Address of the platform's key-value service.
    pub key_value: SocketAddr,
    /// Time limits and traffic limits that operators rely on.
    pub bounds: Bounds,
    /// Speed of the host's network link in Mbit/s; 0 if unknown. Hosts with faster links read the
    /// records on behalf of others in their failure domain.
    #[serde(default)]
    pub link_mbps: f64,
    /// Whether all nodes are starting for the first time; they then wait until they know each
    /// other.
    #[serde(default)]
    pub first_start: bool,
    /// When a small model's response is accepted.
    #[serde(default)]
    pub ladder: Ladder,
    /// Which parts of load control are used.
    #[serde(default)]
    pub load_control: LoadControl,
    /// State addresses of other nodes, from which a node that starts while the key-value service is
    /// unavailable loads its initial state. The nodes need not be up, and the list may be empty.
    #[serde(default)]
    pub seeds: Option<Vec<SocketAddr>>,
}

/// When the largest model generates a response again.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Ladder {
    /// Confidence, from 0 to 100, below which a small model's response is replaced.
    pub least_confidence: u8,
}

/// Parts of load control. Without a part, requests are served as if the others were alone.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct LoadControl {
    /// Learns how fast each endpoint works and shares that with all nodes.
    pub endpoint_speeds: bool,
    /// Places requests by the expected time to their first event instead of by load.
    pub expected_time: bool,
    /// Decides about escalations by the room that is left at the endpoints.
    pub escalation_by_room: bool,
    /// Queues or refuses requests that no endpoint can serve in time.
    pub admission: bool,
}

impl LoadControl {
    /// Whether a part is on that uses expected times, so that they are learned.
    pub(crate) fn uses_expected_time(&self) -> bool {
        self.expected_time || self.escalation_by_room || self.admission
    }
}

impl Default for Ladder {
    fn default() -> Self {
        Ladder {
            least_confidence: DEFAULT_LEAST_CONFIDENCE,
        }
    }
}

/// Platforms that a relay can run on.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Platform {
    /// A key-value service to which operators and endpoints write their own records.
    Registry,
}

/// Listen addresses of one node, as IP addresses.
#[derive(Clone, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listen {
    /// Accepts callers' requests.
    pub callers: SocketAddr,
    /// Serves this node's readiness to operators.
    pub readiness: SocketAddr,
    /// Serves the addresses of the nodes that callers can use.
    pub addresses: SocketAddr,
    /// Receives datagrams from other nodes.
    pub nodes: SocketAddr,
    /// Serves this node's state to other nodes, including customers' API keys.
    pub state: SocketAddr,
    /// Serves counters and histograms.
    pub metrics: SocketAddr,
}

/// Limits that operators rely on.
#[derive(Clone, Copy, PartialEq, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Bounds {
    /// Seconds from the stop signal until the process is killed.
    pub stop_s: f64,
    /// Seconds for which callers may cache a response with node addresses.
    pub addresses_s: f64,
    /// Retries that all nodes together may add, as a fraction of the requests for a service.
    pub repeat_ratio: f64,
    /// Retries that all nodes together may add beyond that fraction.
    pub repeat_slack: f64,
    /// Seconds over which retries and requests are counted for the two limits above.
    #[serde(default = "usual_window")]
    pub repeat_window_s: f64,
    /// Requests that a faulty version may receive during its rollout, as a fraction of all requests
    /// for the service.
    pub exposure_share: f64,
    /// Requests that a faulty version may receive beyond that fraction.
    pub exposure_slack: f64,
    /// Seconds after its last request during which a session stays on its version.
    pub session_s: f64,
    /// Milliseconds for which an endpoint may still receive requests after its record says that it
    /// leaves.
    #[serde(default = "usual_leave")]
    pub leave_ms: u64,
    /// Requests per second that may reach a cold endpoint, as a multiple of its cold rate. If
    /// neither this nor `cold_slack` is set, it receives its cold rate.
    #[serde(default)]
    pub cold_overshoot: Option<f64>,
    /// Requests per second that may reach a cold endpoint beyond that.
    #[serde(default)]
    pub cold_slack: Option<f64>,
}

/// Default of `repeat_window_s`.
fn usual_window() -> f64 {
    10.0
}

/// Default of `leave_ms`.
fn usual_leave() -> u64 {
    2_000
}

/// An error in the settings.
#[derive(Debug, Snafu)]
#[snafu(display("invalid relay settings: {source}"))]
pub struct SettingsError {
    source: serde_saphyr::Error,
}

impl Settings {
    /// Parses settings; unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// The text is not valid YAML, or a field is missing or has the wrong type; the message
    /// includes the location.
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

    /// Whether a text contains relay settings, that is, names one of the relay's platforms.
    pub fn is_relay_settings(text: &str) -> bool {
        #[derive(Deserialize)]
        struct Head {
            #[expect(dead_code, reason = "only its presence and type count")]
            platform: Platform,
        }
        serde_saphyr::from_str::<Head>(text).is_ok()
    }
}

/// Bounds of `repeat_window_s`: a shorter window counts nothing, and a longer one exceeds the time
/// for which a node remembers its requests.
const MIN_WINDOW_S: f64 = 0.1;
const MAX_WINDOW_S: f64 = 600.0;

/// Fraction of the requests that may reach a cold endpoint which nodes plan to send. The rest is a
/// margin for nodes whose node lists differ.
const PLANNED_COLD_FRACTION: f64 = 0.8;

impl Bounds {
    pub(crate) fn exposure_limit(&self) -> ExposureLimit {
        ExposureLimit {
            share: self.exposure_share,
            slack: self.exposure_slack,
        }
    }

    /// Returns the time over which retries and requests are counted.
    pub(crate) fn repeat_window(&self) -> Duration {
        Duration::from_secs_f64(self.repeat_window_s.clamp(MIN_WINDOW_S, MAX_WINDOW_S))
    }

    /// Returns the requests per second that all nodes together plan to send to a cold endpoint that
    /// can handle `rate`.
    pub(crate) fn cold_rate(&self, rate: f64) -> f64 {
        let limit = rate * self.cold_overshoot.unwrap_or(1.0) + self.cold_slack.unwrap_or(0.0);
        rate.max(limit * PLANNED_COLD_FRACTION)
    }

    /// Returns the time from the stop signal until the process is killed.
    pub(crate) fn stop_time(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s.max(0.0))
    }
}

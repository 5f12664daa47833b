//! What a follower asks, and how it travels.

use crate::replica::Topic;
use crate::revision::Revision;
use crate::update::Node;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Where questions are asked.
pub(crate) const PATH: &str = "/v1/records";

/// Where a starting node fetches the versions that another one has seen.
pub(crate) const KNOWN_PATH: &str = "/v1/records/versions";

/// The longest wait that a follower may ask for.
const MOST_WAIT: Duration = Duration::from_secs(10);

/// What a follower asks.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The records that it follows.
    pub topic: Topic,
    /// The revision up to which it has read; unset for everything.
    pub after: Option<Revision>,
    /// How long it waits for something new, in milliseconds.
    pub wait_ms: u64,
    /// Itself, if callers and other nodes are to know of it by this.
    pub node: Option<Node>,
}

impl FetchRequest {
    pub(crate) fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms).min(MOST_WAIT)
    }
}

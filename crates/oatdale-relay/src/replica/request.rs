//! The request of a follower and its wire format.

use crate::replica::Topic;
use crate::revision::Revision;
use crate::update::Node;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The path for fetching records.
pub(crate) const RECORDS_PATH: &str = "/v1/records";

/// The path at which a starting node fetches the versions that another node knows.
pub(crate) const VERSIONS_PATH: &str = "/v1/records/versions";

/// The path at which a starting node fetches the registered nodes that another node knows.
pub(crate) const REGISTERED_PATH: &str = "/v1/records/nodes";

/// Maximum wait that a follower may request.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A follower's request for the changes of a topic.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The topic that the follower reads.
    pub topic: Topic,
    /// The revision up to which the follower has read; unset for a snapshot.
    pub after: Option<Revision>,
    /// How long to wait for changes, in milliseconds.
    pub wait_ms: u64,
    /// Whether the response may be compressed and hold patches; not set by nodes of an earlier
    /// version, nor by a follower that could not apply a patch.
    #[serde(default)]
    pub accepts_patches: bool,
    /// The follower itself, if this request is to announce it to callers and other nodes.
    pub node: Option<Node>,
}

impl FetchRequest {
    pub(crate) fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms).min(MAX_WAIT)
    }
}

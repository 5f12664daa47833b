//! Messages that nodes exchange about a rollout.

use super::baseline::StatedMedian;
use super::history::VersionOutcome;
use crate::revision::Revision;
use crate::update::RollOut;
use oatdale_policy::relay::{Counts, CountsByOrigin, Origin, Slowdowns, VersionCounts};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum size of an encoded report; with the frame of a message it fits into a datagram.
const MAX_REPORT_BYTES: usize = 1_100;

/// One node's report on a rollout.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Host name of the node.
    pub host: String,
    /// The service.
    pub service: String,
    /// Revision of the rollout order.
    pub order: Revision,
    /// Version to move to.
    pub target: String,
    /// Duration that the order allows, in milliseconds.
    pub duration_ms: u64,
    /// Age of the order as known to the node, in milliseconds.
    pub age_ms: u64,
    /// Response counts of the new version.
    pub new: Vec<OriginCountsWire>,
    /// Response counts of the old versions.
    pub old: Vec<OriginCountsWire>,
    /// Slowdowns of the new version; nodes of an earlier version do not send them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub new_slowdowns: Vec<SlowdownsWire>,
    /// Slowdowns of the old versions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub old_slowdowns: Vec<SlowdownsWire>,
    /// Whether the node has requests in flight on an old version.
    pub old_busy: bool,
    /// The node's requests per second for the service.
    pub rate: f64,
    /// The same rate within about the last second.
    pub recent_rate: f64,
    /// Share of requests that try the new version; nodes of an earlier version do not send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// Latest outcomes of the service's earlier orders; nodes of an earlier version do not send
    /// them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outcomes: Vec<VersionOutcome>,
    /// Medians of the durations of the service's responses on versions that are not in a trial; nodes of
    /// an earlier version do not send them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub medians: Vec<StatedMedian>,
}

/// Response counts of one origin: route, endpoint, and the numbers of all, failed, timed and slow
/// responses. Encoded without field names so that dozens of them fit into a datagram.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct OriginCountsWire(u32, u32, [u64; 4]);

/// Slowdowns at one endpoint, encoded like [`OriginCountsWire`].
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct SlowdownsWire(u32, [u64; 4]);

/// Sessions that began on an old version and that other nodes might route to another one.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct OldSessions {
    /// Hashes of the session names.
    pub sessions: Vec<u64>,
    /// The service; nodes of an earlier version do not send it.
    #[serde(default)]
    pub service: Option<String>,
    /// The version on which the sessions are; nodes of an earlier version do not send it.
    #[serde(default)]
    pub version: Option<String>,
}

impl Report {
    /// Returns the order as the sender of the report knows it.
    pub(super) fn roll_out(&self) -> RollOut {
        RollOut {
            service: self.service.clone(),
            target: self.target.clone(),
            duration: Duration::from_millis(self.duration_ms),
            order: self.order,
            end: None,
        }
    }

    /// Removes outcomes, then medians, then slowdowns until the report fits into a datagram. Datagrams that are
    /// too long are dropped, and the response counts with them; outcomes are in the records as well. A node that
    /// has counts of so many routes and endpoints has responses enough to do without slowdowns.
    pub(super) fn truncate(&mut self) {
        while self.encoded_bytes() > MAX_REPORT_BYTES {
            let is_removed = self.outcomes.pop().is_some() || self.medians.pop().is_some();
            match is_removed {
                true => {}
                false if self.new_slowdowns.is_empty() && self.old_slowdowns.is_empty() => return,
                false => {
                    self.new_slowdowns.clear();
                    self.old_slowdowns.clear();
                }
            }
        }
    }

    fn encoded_bytes(&self) -> usize {
        let mut wire = Vec::new();
        match ciborium::into_writer(self, &mut wire) {
            Ok(()) => wire.len(),
            Err(err) => {
                log::warn!(target: "roll-out", "event=report_not_encoded reason={err:?}");
                usize::MAX
            }
        }
    }

    pub(super) fn version_counts(&self) -> VersionCounts {
        VersionCounts {
            new: decode(&self.new, &self.new_slowdowns),
            old: decode(&self.old, &self.old_slowdowns),
        }
    }
}

fn decode(counts: &[OriginCountsWire], slowdowns: &[SlowdownsWire]) -> CountsByOrigin {
    let mut by_origin: CountsByOrigin = counts.iter().copied().map(Into::into).collect();
    for SlowdownsWire(endpoint, counts) in slowdowns {
        by_origin.add_slowdowns(*endpoint, Slowdowns(*counts));
    }
    by_origin
}

pub(super) fn slowdowns_to_wire(counts: &CountsByOrigin) -> Vec<SlowdownsWire> {
    let all = counts.slowdowns();
    all.map(|(endpoint, Slowdowns(counts))| SlowdownsWire(endpoint, counts))
        .collect()
}

pub(super) fn to_wire(counts: &CountsByOrigin) -> Vec<OriginCountsWire> {
    counts.iter().map(OriginCountsWire::from).collect()
}

impl From<(Origin, Counts)> for OriginCountsWire {
    fn from((origin, counts): (Origin, Counts)) -> Self {
        OriginCountsWire(origin.route, origin.endpoint, to_array(counts))
    }
}

impl From<OriginCountsWire> for (Origin, Counts) {
    fn from(
        OriginCountsWire(route, endpoint, [answers, failed, timed, slow]): OriginCountsWire,
    ) -> Self {
        let counts = Counts {
            answers,
            failed,
            timed,
            slow,
        };
        (Origin { route, endpoint }, counts)
    }
}

/// Returns the counts of all, failed, timed and slow responses, compact for logs and datagrams.
pub(super) fn to_array(counts: Counts) -> [u64; 4] {
    [counts.answers, counts.failed, counts.timed, counts.slow]
}

pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

//! What nodes tell each other of a roll-out.

use crate::update::RollOut;
use oatdale_policy::relay::Counts;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What one node tells others of a roll-out.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The node.
    pub host: String,
    /// The service.
    pub service: String,
    /// The order.
    pub order: u64,
    /// The version to move to.
    pub target: String,
    /// Time that the order gives, in milliseconds.
    pub duration_ms: u64,
    /// How long the node has known of the order, in milliseconds.
    pub age_ms: u64,
    /// Answers of the new version: all, failed, timed, slow.
    pub new: [u64; 4],
    /// The same of the old versions.
    pub old: [u64; 4],
    /// Whether it has requests under way on an old version.
    pub old_busy: bool,
    /// The node's requests a second for the service.
    pub rate: f64,
    /// Sessions that began on an old version and would try the new one if they were new.
    pub on_old: Vec<u64>,
}

impl Report {
    /// The order as its sender heard it.
    pub(super) fn roll_out(&self) -> RollOut {
        RollOut {
            service: self.service.clone(),
            target: self.target.clone(),
            duration: Duration::from_millis(self.duration_ms),
            order: self.order,
            end: None,
        }
    }
}

pub(super) fn numbers(counts: Counts) -> [u64; 4] {
    [counts.answers, counts.failed, counts.timed, counts.slow]
}

pub(super) fn counts([answers, failed, timed, slow]: [u64; 4]) -> Counts {
    Counts {
        answers,
        failed,
        timed,
        slow,
    }
}

pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

//! What nodes tell each other of a roll-out.

use crate::revision::Revision;
use crate::update::RollOut;
use oatdale_policy::relay::{Cells, Counts, Origin, Tally};
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
    pub order: Revision,
    /// The version to move to.
    pub target: String,
    /// Time that the order gives, in milliseconds.
    pub duration_ms: u64,
    /// How long the node has known of the order, in milliseconds.
    pub age_ms: u64,
    /// Answers of the new version.
    pub new: Vec<CellWire>,
    /// The same of the old versions.
    pub old: Vec<CellWire>,
    /// Whether it has requests under way on an old version.
    pub old_busy: bool,
    /// The node's requests a second for the service.
    pub rate: f64,
    /// The same within the last second or so.
    pub recent_rate: f64,
}

/// Answers of one origin: its route, its endpoint, and how many there were in all, failed, timed
/// and slow. Without names, so that some dozens of them fit into a datagram.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct CellWire(u32, u32, [u64; 4]);

/// Sessions that began on an old version and would try the new one if they were new.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct OnOld {
    /// Hashes of their names.
    pub sessions: Vec<u64>,
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

    pub(super) fn tally(&self) -> Tally {
        let cells = |wire: &[CellWire]| wire.iter().copied().map(Into::into).collect();
        Tally {
            new: cells(&self.new),
            old: cells(&self.old),
        }
    }
}

pub(super) fn cells(cells: &Cells) -> Vec<CellWire> {
    cells.iter().map(CellWire::from).collect()
}

impl From<(Origin, Counts)> for CellWire {
    fn from((origin, counts): (Origin, Counts)) -> Self {
        CellWire(origin.route, origin.endpoint, numbers(counts))
    }
}

impl From<CellWire> for (Origin, Counts) {
    fn from(CellWire(route, endpoint, [answers, failed, timed, slow]): CellWire) -> Self {
        let counts = Counts {
            answers,
            failed,
            timed,
            slow,
        };
        (Origin { route, endpoint }, counts)
    }
}

/// All answers, failed ones, timed ones, slow ones: short for logs and datagrams.
pub(super) fn numbers(counts: Counts) -> [u64; 4] {
    [counts.answers, counts.failed, counts.timed, counts.slow]
}

pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

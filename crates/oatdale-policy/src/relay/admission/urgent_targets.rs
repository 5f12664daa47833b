//! Targets of urgent requests that a service cannot meet at present.
//!
//! Answers an overload at which requests with a long target would be placed while more urgent ones
//! with a shorter target are refused: they would keep the load where the urgent ones are refused.

use std::collections::BTreeMap;
use std::time::Duration;

/// How long a missed target counts. Longer than the lag of the load sums, so that less urgent requests
/// are not placed between two urgent ones.
const MEMORY: Duration = Duration::from_secs(1);

/// Smallest target of recently refused or waiting requests of each urgency.
#[derive(Clone, Debug, Default)]
pub struct UrgentTargets(BTreeMap<u8, (Duration, Duration)>);

impl UrgentTargets {
    /// Records that a request was refused or had to wait because it was expected after its target.
    pub fn record_missed(&mut self, now: Duration, urgency: u8, target: Duration) {
        let known = self.0.entry(urgency).or_insert((now, target));
        if now >= known.0 + MEMORY || target <= known.1 {
            *known = (now, target);
        }
    }

    /// Returns the smallest target that more urgent requests have recently missed.
    pub fn missed_by_more_urgent(&self, now: Duration, urgency: u8) -> Option<Duration> {
        let more_urgent = self.0.range(..urgency).map(|(_, missed)| missed);
        let recent = more_urgent.filter(|(at, _)| now < *at + MEMORY);
        recent.map(|(_, target)| *target).min()
    }
}

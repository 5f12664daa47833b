//! Baseline durations of responses, from which slow ones are detected.

use oatdale_policy::relay::BaselineTime;
use std::collections::HashMap;
use std::time::Duration;

/// A class of responses, or of pauses between events, with comparable durations.
pub type Pace = u64;

/// Baseline durations by pace.
#[derive(Debug, Default)]
pub(super) struct BaselineTimes {
    by_pace: HashMap<Pace, BaselineTime>,
}

impl BaselineTimes {
    pub(super) fn learn(&mut self, pace: Pace, time: Duration) {
        self.by_pace.entry(pace).or_default().record(time);
    }

    /// Returns the duration above which a sample counts as slow, if a baseline exists.
    pub(super) fn slow_after(&self, pace: Pace) -> Option<Duration> {
        self.by_pace.get(&pace)?.slow_threshold()
    }
}

//! Baseline durations of responses, from which slow ones are detected.

use oatdale_policy::relay::BaselineTime;
use std::collections::HashMap;
use std::time::Duration;

/// A class of responses, or of pauses between events, with comparable durations.
pub type LatencyClass = u64;

/// Baseline durations by latency class.
#[derive(Debug, Default)]
pub(super) struct BaselineTimes {
    by_class: HashMap<LatencyClass, BaselineTime>,
}

impl BaselineTimes {
    pub(super) fn record(&mut self, class: LatencyClass, time: Duration) {
        self.by_class.entry(class).or_default().record(time);
    }

    /// Returns the duration above which a sample counts as slow, if a baseline exists.
    pub(super) fn slow_threshold(&self, class: LatencyClass) -> Option<Duration> {
        self.by_class.get(&class)?.slow_threshold()
    }
}

//! How long answers usually take, so that slow ones can be told.

use oatdale_policy::relay::UsualTime;
use std::collections::HashMap;
use std::time::Duration;

/// The class of answers, or of pauses, that take about as long as each other.
pub type Pace = u64;

/// Usual times by pace.
#[derive(Debug, Default)]
pub(super) struct UsualTimes {
    by_pace: HashMap<Pace, UsualTime>,
}

impl UsualTimes {
    pub(super) fn learn(&mut self, pace: Pace, took: Duration) {
        self.by_pace.entry(pace).or_default().learn(took);
    }

    /// The time from which on something counts as slow, if there is a usual one.
    pub(super) fn slow_after(&self, pace: Pace) -> Option<Duration> {
        self.by_pace.get(&pace)?.slow_after()
    }
}

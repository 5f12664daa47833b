//! How long answers usually take, so that slow ones can be told.

use std::collections::HashMap;
use std::time::Duration;

/// How many times longer than usual an answer has to take to count as slow. Some of the old
/// version's do as well; what counts is how many more.
const SLOW: f64 = 2.5;

/// Time that never counts as slow: a few milliseconds more are the network's and the scheduler's.
const NOT_SLOW: Duration = Duration::from_millis(8);

/// Answers without which nothing is slow: there is no usual time yet.
const LEAST_ANSWERS: u32 = 4;

/// Answers that the usual time is averaged over.
const MEMORY: f64 = 20.0;

/// The class of answers, or of pauses, that take about as long as each other.
pub type Pace = u64;

/// Mean times by pace.
#[derive(Debug, Default)]
pub(super) struct UsualTimes {
    by_pace: HashMap<Pace, Usual>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    secs: f64,
    answers: u32,
}

impl UsualTimes {
    pub(super) fn learn(&mut self, pace: Pace, took: Duration) {
        let usual = self.by_pace.entry(pace).or_default();
        usual.answers += 1;
        let weight = f64::from(usual.answers).min(MEMORY);
        usual.secs += (took.as_secs_f64() - usual.secs) / weight;
    }

    /// The time from which on something counts as slow, if there is a usual one.
    pub(super) fn slow_after(&self, pace: Pace) -> Option<Duration> {
        let usual = self.by_pace.get(&pace)?;
        let bound = Duration::from_secs_f64(usual.secs * SLOW) + NOT_SLOW;
        (usual.answers >= LEAST_ANSWERS).then_some(bound)
    }
}

//! How fast a stream's events come, and what is usual.

use std::collections::VecDeque;
use std::time::Duration;

/// Pauses between events that a stream's pace is taken from: two, so that a slow version is found
/// before its first streams end.
const PACE_PAUSES: u32 = 2;

/// Times that the usual one is taken from: enough that a few slow ones do not move it, few enough to
/// follow a change of load within seconds.
const MEDIAN_SAMPLES: usize = 31;

/// How many times longer than usual something has to take to count as slow. Versions that were several
/// times slower were above it in 9 of 10 streams and more, good ones in 1 of 20 on calm days and 1 of 5
/// beside slow endpoints.
const SLOW_FACTOR: f64 = 2.0;

/// Time that never counts as slow: a few milliseconds more are the network's and the scheduler's.
const SLOW_MARGIN: Duration = Duration::from_millis(8);

/// Times without which nothing is slow: there is no usual one yet.
const MIN_SAMPLES: usize = 4;

/// The pace of one stream: the shortest of its first pauses.
///
/// An engine that reads somebody's long prompt lets all its streams wait once, so a good version has
/// long pauses too. A slow version is slow from each event to the next.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct StreamPace {
    last_event: Option<Duration>,
    shortest: Option<Duration>,
    pauses: u32,
    is_decided: bool,
}

impl StreamPace {
    /// Notes an event that came at `now`; returns the pace once, when it is known.
    pub fn event(&mut self, now: Duration) -> Option<Duration> {
        let previous = self.last_event.replace(now)?;
        if self.is_decided {
            return None;
        }
        let pause = now.saturating_sub(previous);
        let shortest = self.shortest.map_or(pause, |s| s.min(pause));
        self.shortest = Some(shortest);
        self.pauses += 1;
        self.is_decided = self.pauses >= PACE_PAUSES;
        self.is_decided.then_some(shortest)
    }

    /// When the pace becomes slower than `bound` if no event comes: waiting for an event of a slow
    /// version would hide for seconds that it is slow.
    pub fn slow_at(&self, bound: Duration) -> Option<Duration> {
        let previous_are_slow = self.shortest.is_some_and(|s| s > bound);
        let is_last = self.pauses + 1 == PACE_PAUSES;
        let decides = !self.is_decided && is_last && previous_are_slow;
        self.last_event
            .filter(|_| decides)
            .map(|previous| previous + bound)
    }

    /// Notes that it was found slow before its last pause ended.
    pub fn found_slow(&mut self) {
        self.is_decided = true;
    }
}

/// How long things of one kind took lately.
#[derive(Clone, Debug, Default)]
pub struct UsualTime {
    recent: VecDeque<Duration>,
    median: Duration,
}

impl UsualTime {
    /// Notes a time.
    pub fn learn(&mut self, took: Duration) {
        if self.recent.len() == MEDIAN_SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(took);
        let mut sorted: Vec<_> = self.recent.iter().copied().collect();
        let middle = sorted.len() / 2;
        self.median = *sorted.select_nth_unstable(middle).1;
    }

    /// The time from which on something counts as slow, if there is a usual one.
    ///
    /// It is taken from the median: the mean follows the few that wait behind long prompts, and a
    /// slow version is not far above it.
    pub fn slow_after(&self) -> Option<Duration> {
        let has_baseline = self.recent.len() >= MIN_SAMPLES;
        has_baseline.then(|| self.median.mul_f64(SLOW_FACTOR) + SLOW_MARGIN)
    }
}

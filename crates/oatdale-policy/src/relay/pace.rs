//! How fast a stream's events come, and what is usual.

use std::collections::VecDeque;
use std::time::Duration;

/// Pauses between events that a stream's pace is taken from: two, so that a slow version is found
/// before its first streams end.
const PAUSES: u32 = 2;

/// Times that the usual one is taken from: enough that a few slow ones do not move it, few enough to
/// follow a change of load within seconds.
const REMEMBERED: usize = 31;

/// How many times longer than usual something has to take to count as slow. Versions that were several
/// times slower were above it in 9 of 10 streams and more, good ones in 1 of 20 on calm days and 1 of 5
/// beside slow endpoints.
const SLOW: f64 = 2.0;

/// Time that never counts as slow: a few milliseconds more are the network's and the scheduler's.
const NOT_SLOW: Duration = Duration::from_millis(8);

/// Times without which nothing is slow: there is no usual one yet.
const LEAST: usize = 4;

/// The pace of one stream: the shortest of its first pauses.
///
/// An engine that reads somebody's long prompt lets all its streams wait once, so a good version has
/// long pauses too. A slow version is slow from each event to the next.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct StreamPace {
    last: Option<Duration>,
    shortest: Option<Duration>,
    pauses: u32,
    told: bool,
}

impl StreamPace {
    /// Notes an event that came at `now`; returns the pace once, when it is known.
    pub fn event(&mut self, now: Duration) -> Option<Duration> {
        let last = self.last.replace(now)?;
        if self.told {
            return None;
        }
        let pause = now.saturating_sub(last);
        let shortest = self.shortest.map_or(pause, |s| s.min(pause));
        self.shortest = Some(shortest);
        self.pauses += 1;
        self.told = self.pauses >= PAUSES;
        self.told.then_some(shortest)
    }

    /// When the pace becomes slower than `bound` if no event comes: waiting for an event of a slow
    /// version would hide for seconds that it is slow.
    pub fn slow_at(&self, bound: Duration) -> Option<Duration> {
        let others_are_slow = self.shortest.is_some_and(|s| s > bound);
        let is_last = self.pauses + 1 == PAUSES;
        let decides = !self.told && is_last && others_are_slow;
        self.last.filter(|_| decides).map(|last| last + bound)
    }

    /// Notes that it was found slow before its last pause ended.
    pub fn found_slow(&mut self) {
        self.told = true;
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
        if self.recent.len() == REMEMBERED {
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
        let known = self.recent.len() >= LEAST;
        known.then(|| self.median.mul_f64(SLOW) + NOT_SLOW)
    }
}

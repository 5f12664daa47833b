//! Pace of a stream's events, and the usual pace that it is compared with.

use std::collections::VecDeque;
use std::time::Duration;

/// Pauses between events that determine a stream's pace: two, so that a slow version is found
/// before its first streams end.
const PACE_PAUSES: u32 = 2;

/// Samples of the median: enough that a few slow ones do not move it, few enough to follow a change
/// of load within seconds.
const MEDIAN_SAMPLES: usize = 31;

/// Multiple of the usual time above which something counts as slow. Versions that are several times
/// slower exceed it in at least 9 of 10 streams; good ones in 1 of 20 under normal load and in 1 of
/// 5 beside slow endpoints.
const SLOW_FACTOR: f64 = 2.0;

/// Time beyond that multiple that never counts as slow: a few milliseconds more are due to the
/// network and the scheduler.
const SLOW_MARGIN: Duration = Duration::from_millis(8);

/// Samples that are required before anything counts as slow: with fewer, there is no usual time.
const MIN_SAMPLES: u32 = 4;

/// Pace of one stream: the shortest of its first pauses.
///
/// An engine that reads another request's long prompt pauses all its streams once, so a good
/// version has long pauses too. A slow version is slow between any two events.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct StreamPace {
    /// When the last event came.
    last_event: Option<Duration>,
    /// Shortest pause so far.
    shortest: Option<Duration>,
    pauses: u32,
    /// Whether the pace was reported or found slow.
    is_decided: bool,
}

impl StreamPace {
    /// Records an event that came at `now`; returns the pace once, when it is known.
    pub fn record_event(&mut self, now: Duration) -> Option<Duration> {
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

    /// Returns the time at which the stream is known to be slower than `bound` if no event comes
    /// before; `None` unless the current pause is the last one and all earlier ones were slow.
    /// Waiting for the next event would delay the detection of a slow version by seconds.
    pub fn slow_at(&self, bound: Duration) -> Option<Duration> {
        let earlier_pauses_are_slow = self.shortest.is_some_and(|s| s > bound);
        let current_is_last_pause = self.pauses + 1 == PACE_PAUSES;
        let current_pause_decides =
            !self.is_decided && current_is_last_pause && earlier_pauses_are_slow;
        self.last_event
            .filter(|_| current_pause_decides)
            .map(|previous| previous + bound)
    }

    /// Records that the stream was found slow before its last pause ended.
    pub fn mark_slow(&mut self) {
        self.is_decided = true;
    }
}

/// Median of the recent times of one kind of operation.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct MedianTime {
    /// The median.
    pub median: Duration,
    /// Number of times that it is the median of; at least 1.
    pub samples: u32,
}

/// Recent times of one kind of operation.
#[derive(Clone, Debug, Default)]
pub struct BaselineTime {
    recent: VecDeque<Duration>,
    median: Duration,
}

impl BaselineTime {
    /// Records the time of an operation.
    pub fn record(&mut self, elapsed: Duration) {
        if self.recent.len() == MEDIAN_SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(elapsed);
        let mut sorted: Vec<_> = self.recent.iter().copied().collect();
        let middle = sorted.len() / 2;
        self.median = *sorted.select_nth_unstable(middle).1;
    }

    /// Returns the time above which an operation counts as slow, if a usual time is known.
    pub fn slow_threshold(&self) -> Option<Duration> {
        self.median()?.slow_threshold()
    }

    /// Returns the recent median; `None` if nothing was recorded.
    pub fn median(&self) -> Option<MedianTime> {
        let samples = u32::try_from(self.recent.len()).ok()?;
        (samples > 0).then_some(MedianTime {
            median: self.median,
            samples,
        })
    }
}

impl MedianTime {
    /// Returns the median of several nodes' samples, of which only their own medians are known.
    pub fn combined(medians: impl IntoIterator<Item = MedianTime>) -> Option<MedianTime> {
        let mut medians: Vec<_> = medians.into_iter().collect();
        medians.sort_unstable_by_key(|m| m.median);
        let samples: u32 = medians.iter().map(|m| m.samples).sum();
        let mut before = 0;
        let middle = medians.iter().find(|m| {
            before += m.samples;
            before * 2 >= samples
        })?;
        Some(MedianTime {
            median: middle.median,
            samples,
        })
    }

    /// Returns the time above which an operation counts as slow, if a usual time is known.
    ///
    /// It is derived from the median: the mean follows the few operations that wait behind long
    /// prompts, and a slow version exceeds it only slightly.
    pub fn slow_threshold(self) -> Option<Duration> {
        let has_baseline = self.samples >= MIN_SAMPLES;
        has_baseline.then(|| self.median.mul_f64(SLOW_FACTOR) + SLOW_MARGIN)
    }
}

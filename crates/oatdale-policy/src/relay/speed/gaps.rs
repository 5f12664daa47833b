//! Time of a unit of work at the endpoint of a stream, taken from the gaps between its events.

use std::time::Duration;

/// Gaps of one sample.
const GAPS_PER_SAMPLE: usize = 4;

/// New gaps after which the last four are a sample again. Samples of separate gaps would show a
/// slowdown half a second later.
const GAPS_BETWEEN_SAMPLES: usize = 2;

/// Index of the lower quartile in the sorted gaps of a sample.
///
/// An engine that reads the prompt of another request delays one event of all its streams, and the
/// event after a delayed one comes early; both are rare among four gaps.
const QUARTILE_INDEX: usize = GAPS_PER_SAMPLE / 4;

/// Time that a read must have waited for the time of its event to be known. Data that was there
/// before is read within microseconds, and data that the endpoint could not send while the relay
/// did not read within a round trip.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// Gaps between the events of one stream.
///
/// A relay whose caller reads slowly does not read the stream meanwhile, and then finds several
/// events at once. So only events that the relay was waiting for have a known time, and only gaps
/// between two of them count.
#[derive(Clone, Copy, Debug, Default)]
pub struct GapSampler {
    /// When the last event came, if that is known.
    last_event: Option<Duration>,
    /// The last gaps, in a ring.
    gaps: [Duration; GAPS_PER_SAMPLE],
    count: usize,
}

impl GapSampler {
    /// Records a read that began at `began`, returned at `now` and completed this number of events.
    /// Returns the lower quartile of the last four gaps, at every second gap.
    pub fn record_read(&mut self, began: Duration, now: Duration, events: u64) -> Option<Duration> {
        let events = u32::try_from(events).ok().filter(|events| *events > 0)?;
        let is_known = now >= began + MIN_WAIT;
        let previous = std::mem::replace(&mut self.last_event, is_known.then_some(now));
        let gap = previous.filter(|_| is_known).map(|at| now - at)?;
        // Events that come together share the time since the one before.
        self.gaps[self.count % GAPS_PER_SAMPLE] = gap / events;
        self.count += 1;
        if self.count < GAPS_PER_SAMPLE || !self.count.is_multiple_of(GAPS_BETWEEN_SAMPLES) {
            return None;
        }
        let mut sorted = self.gaps;
        sorted.sort_unstable();
        Some(sorted[QUARTILE_INDEX])
    }
}

//! Time of a unit of work at the endpoint of a stream, taken from the gaps between its events.

use std::time::Duration;

/// Gaps of one sample.
const GAPS_PER_SAMPLE: usize = 4;

/// Index of the lower quartile in the sorted gaps of a sample.
///
/// An engine that reads the prompt of another request delays one event of all its streams, and the
/// event after a delayed one comes early; both are rare among four gaps.
const QUARTILE_INDEX: usize = GAPS_PER_SAMPLE / 4;

/// Time that a read must have waited for the time of its event to be known. Data that was there
/// before is read within microseconds.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Gaps between the events of one stream.
///
/// A relay whose caller reads slowly does not read the stream meanwhile, and then finds several
/// events at once. So only events that the relay was waiting for have a known time, and only gaps
/// between two of them count.
#[derive(Clone, Copy, Debug, Default)]
pub struct GapSampler {
    /// When the last event came, if that is known.
    last_event: Option<Duration>,
    gaps: [Duration; GAPS_PER_SAMPLE],
    len: usize,
}

impl GapSampler {
    /// Records a read that began at `began`, returned at `now` and completed this number of events.
    /// Returns the lower quartile of the gaps once there are four, and begins again.
    pub fn record_read(
        &mut self,
        began: Duration,
        now: Duration,
        events: usize,
    ) -> Option<Duration> {
        let events = u32::try_from(events).ok().filter(|events| *events > 0)?;
        let is_known = now >= began + MIN_WAIT;
        let previous = std::mem::replace(&mut self.last_event, is_known.then_some(now));
        let gap = previous.filter(|_| is_known).map(|at| now - at)?;
        // Events that come together share the time since the one before.
        self.gaps[self.len] = gap / events;
        self.len += 1;
        if self.len < GAPS_PER_SAMPLE {
            return None;
        }
        self.len = 0;
        let mut sorted = self.gaps;
        sorted.sort_unstable();
        Some(sorted[QUARTILE_INDEX])
    }
}

//! When callers of a service without load sums are to return after a rejection.
//!
//! Answers a burst of some seconds at plain endpoints, which queue a few requests and reject others:
//! callers that all return after a part of their short target are rejected again, and do not return a
//! second time. A host knows only the rejections of its own requests.

use std::time::Duration;

/// Time without a rejection after which an overload is over.
const PAUSE: Duration = Duration::from_millis(500);

/// The present overload of a service: the time of the first and the last rejection.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Rejections(Option<(Duration, Duration)>);

impl Rejections {
    /// Records that an endpoint rejected a request without running it.
    pub fn record(&mut self, now: Duration) {
        let first = match self.0 {
            Some((first, last)) if now < last + PAUSE => first,
            _ => now,
        };
        self.0 = Some((first, now));
    }

    /// Returns how much longer callers that are refused now are to wait than they would after a single
    /// rejection. An overload is expected to last as long again as it has lasted; `draw`, a random
    /// number from 0 to 1, spreads them over as much time afterwards.
    pub fn delay(&self, now: Duration, draw: f64) -> Duration {
        match self.0 {
            Some((first, last)) if now < last + PAUSE => now
                .saturating_sub(first)
                .mul_f64(1.0 + draw.clamp(0.0, 1.0)),
            _ => Duration::ZERO,
        }
    }
}

//! Growth of a service's load in the time by which its sums lag.
//!
//! In a burst, all hosts would place requests for half a second after the last one that can be in
//! time: the sums do not show yet what the others have placed meanwhile.

use std::collections::VecDeque;
use std::time::Duration;

/// Time by which sums lag at most.
const LAG: Duration = Duration::from_millis(500);

/// Minimum time between two loads that are kept: more would only take memory.
const KEPT_INTERVAL: Duration = Duration::from_millis(50);

/// Age from which on a load is no longer compared with the present one. A host with few requests has
/// only a load that is some seconds old.
const MAX_AGE: Duration = Duration::from_secs(5);

/// Recent loads of a service, oldest first.
#[derive(Clone, Debug, Default)]
pub struct LoadGrowth(VecDeque<(Duration, f64)>);

impl LoadGrowth {
    /// Records the load of a service and returns the fraction of it that was added in the last half
    /// second, from 0 to 1; 0 if the load has not grown, or if no earlier load is known. If only an
    /// older one is known, the load is taken to have grown evenly since.
    pub fn record(&mut self, now: Duration, load: f64) -> f64 {
        let is_expired = |at: Duration| now >= at + MAX_AGE;
        while self.0.front().is_some_and(|(at, _)| is_expired(*at)) {
            self.0.pop_front();
        }
        let before = self.0.iter().rfind(|(at, _)| now >= *at + LAG);
        let growth = before.map_or(0.0, |(at, before)| {
            let lags = now.saturating_sub(*at).as_secs_f64() / LAG.as_secs_f64();
            (1.0 - before / load.max(f64::EPSILON)) / lags
        });
        let last = self.0.back().map(|(at, _)| *at);
        if last.is_none_or(|last| now >= last + KEPT_INTERVAL) {
            self.0.push_back((now, load));
        }
        growth.clamp(0.0, 1.0)
    }
}

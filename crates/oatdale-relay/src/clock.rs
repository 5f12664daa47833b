//! The clock of a node.

use std::time::Duration;
use tokio::time::Instant;

/// Age of the clock's origin when the process starts.
///
/// Other nodes tell how long ago something happened, which may be longer than this process runs. Nothing
/// that a node is told of is older than this, so that every such time lies after the origin.
const ORIGIN_AGE: Duration = Duration::from_secs(10 * 365 * 24 * 3_600);

/// Tells times as durations since an origin before the start of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the clock of a process.
    pub(crate) fn start() -> Clock {
        Clock {
            started: Instant::now(),
        }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Duration {
        ORIGIN_AGE + self.started.elapsed()
    }

    /// Returns the instant of a time, or that of the process's start if the time is earlier.
    pub(crate) fn instant(&self, time: Duration) -> Instant {
        self.started + time.saturating_sub(ORIGIN_AGE)
    }
}

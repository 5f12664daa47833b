//! Limit that an overloaded endpoint sets on the requests that it gets from all nodes together.

use std::time::Duration;

/// Rate from which a limit is ignored: asking for each request would cost the nodes more than it
/// protects the endpoint from.
const MAX_LIMIT_PER_SECOND: f64 = 1_000.0;

/// What an endpoint last stated about the request rate that it accepts.
///
/// Statements arrive out of order: in responses that overtake each other, and from other nodes. The
/// one that the endpoint made last counts, as far as the times known for it tell.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct RequestLimit {
    stated_at: Duration,
    per_second: Option<f64>,
    max_rejections: Option<u32>,
}

/// Effect of a statement on the limit known before.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LimitChange {
    /// None: the limit is the same, or the statement is older than the known one.
    Unchanged,
    /// The endpoint had no limit before.
    Began,
    /// The limit has another value.
    Adjusted,
    /// The endpoint has no limit any more.
    Ended,
}

impl RequestLimit {
    /// Returns a statement made at `stated_at`: a limit in requests per second, or that there is
    /// none.
    ///
    /// For a response without a limit this is the time at which its request was sent, as the
    /// endpoint may have stated a limit in another response since; for one with a limit it is the
    /// time of arrival.
    pub fn new(stated_at: Duration, per_second: Option<f64>) -> Self {
        RequestLimit {
            stated_at,
            per_second: per_second.filter(|rate| *rate < MAX_LIMIT_PER_SECOND),
            max_rejections: None,
        }
    }

    /// Adds that the endpoint fails if it rejects more than so many requests in a second.
    pub fn with_max_rejections(self, max_rejections: Option<u32>) -> Self {
        RequestLimit {
            max_rejections,
            ..self
        }
    }

    /// Returns the limit in requests per second, if there is one. An endpoint that must not reject many
    /// requests has one, so that each of them needs a permit.
    pub fn per_second(&self) -> Option<f64> {
        let default = self.max_rejections.map(|_| MAX_LIMIT_PER_SECOND);
        self.per_second.or(default)
    }

    /// Returns the limit in requests per second that the endpoint has stated itself, if any.
    pub fn stated_per_second(&self) -> Option<f64> {
        self.per_second
    }

    /// Returns how many rejections in a second the endpoint bears, if it states that.
    pub fn max_rejections(&self) -> Option<u32> {
        self.max_rejections
    }

    /// Returns the time since the statement.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.stated_at)
    }

    /// Replaces this statement by a later one.
    pub fn update(&mut self, later: RequestLimit) -> LimitChange {
        if later.stated_at < self.stated_at {
            return LimitChange::Unchanged;
        }
        let before = std::mem::replace(self, later);
        let is_adjusted = before.max_rejections != later.max_rejections;
        match (before.per_second(), later.per_second()) {
            (None, Some(_)) => LimitChange::Began,
            (Some(_), None) => LimitChange::Ended,
            (Some(old), Some(new)) if old != new || is_adjusted => LimitChange::Adjusted,
            _ => LimitChange::Unchanged,
        }
    }
}

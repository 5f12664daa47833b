//! Messages between nodes about endpoints' limits and permits.

use oatdale_policy::relay::{HeldReport, PermitReply, RequestLimit};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::time::Duration;

/// An endpoint's statement of its limit, as another node heard it.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub(crate) struct LimitStatement {
    /// Id of the endpoint.
    pub(crate) id: String,
    /// When the endpoint started, if it says so.
    pub(crate) born: Option<u64>,
    /// The limit in requests per second; `None` if the endpoint has none.
    per_second: Option<f64>,
    /// Rejections in a second above which the endpoint fails, if it does.
    max_rejections: Option<u32>,
    /// Time since the statement.
    age_ms: u32,
}

/// A limit that no endpoint can have stated.
#[derive(Debug, Snafu)]
#[snafu(display("limit of {per_second} requests per second"))]
pub(crate) struct InvalidLimit {
    per_second: f64,
}

/// A node's request for a permit.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub(crate) struct PermitAsk {
    /// Number that the reply repeats.
    pub(crate) number: u32,
    /// Callers that the node has refused since it last asked.
    pub(crate) refused: u16,
    /// Whether the caller can do without the request.
    pub(crate) is_optional: bool,
    /// The endpoint, and its limit as known to the node that asks.
    pub(crate) limit: LimitStatement,
    /// The node's requests at the endpoint.
    pub(crate) held: HeldCounts,
}

/// A node's requests at an endpoint, as in [`HeldReport`].
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub(crate) struct HeldCounts {
    in_flight: u32,
    answered: u32,
    rejected: u32,
    rejected_ms_ago: Option<u32>,
}

/// A node's requests at one start of an endpoint.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub(crate) struct HeldStatement {
    pub(crate) id: String,
    pub(crate) born: Option<u64>,
    pub(crate) held: HeldCounts,
}

impl From<HeldReport> for HeldCounts {
    fn from(report: HeldReport) -> Self {
        HeldCounts {
            in_flight: report.in_flight,
            answered: report.answered,
            rejected: report.rejected,
            rejected_ms_ago: report.rejected_after.map(millis),
        }
    }
}

impl From<HeldCounts> for HeldReport {
    fn from(counts: HeldCounts) -> Self {
        HeldReport {
            in_flight: counts.in_flight,
            answered: counts.answered,
            rejected: counts.rejected,
            rejected_after: counts
                .rejected_ms_ago
                .map(|ms| Duration::from_millis(ms.into())),
        }
    }
}

/// Reply to a [`PermitAsk`].
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub(crate) enum PermitAnswer {
    Granted,
    Denied {
        wait_ms: u32,
        pause_ms: u32,
    },
    NotIssuer,
    /// The endpoint has stated since, so long ago, that it has no limit.
    NoLimit {
        age_ms: u32,
    },
}

impl LimitStatement {
    pub(crate) fn new(id: &str, born: Option<u64>, limit: &RequestLimit, now: Duration) -> Self {
        LimitStatement {
            id: id.to_owned(),
            born,
            per_second: limit.stated_per_second(),
            max_rejections: limit.max_rejections(),
            age_ms: millis(limit.age(now)),
        }
    }

    /// Returns the limit, with its time by this node's clock.
    pub(crate) fn limit(&self, now: Duration) -> Result<RequestLimit, InvalidLimit> {
        let is_invalid = |rate: &f64| !(rate.is_finite() && *rate >= 0.0);
        if let Some(per_second) = self.per_second.filter(is_invalid) {
            return Err(InvalidLimit { per_second });
        }
        let stated_at = now.saturating_sub(Duration::from_millis(self.age_ms.into()));
        let limit = RequestLimit::new(stated_at, self.per_second);
        Ok(limit.with_max_rejections(self.max_rejections))
    }
}

impl From<PermitReply> for PermitAnswer {
    fn from(reply: PermitReply) -> Self {
        match reply {
            PermitReply::Granted => PermitAnswer::Granted,
            PermitReply::Denied { wait, pause } => PermitAnswer::Denied {
                wait_ms: millis(wait),
                pause_ms: millis(pause),
            },
            PermitReply::NotIssuer => PermitAnswer::NotIssuer,
        }
    }
}

/// Returns a time in whole milliseconds, or the longest that a message can contain.
pub(crate) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

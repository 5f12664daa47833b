//! Errors of the journal.

use crate::record::RequestId;
use oatdale_platform::KvError;
use snafu::Snafu;
use std::time::Duration;

/// Result of a call to the journal.
pub type Result<T, E = JournalError> = std::result::Result<T, E>;

/// An error of a journal operation.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum JournalError {
    /// The key-value service did not respond. The record may still be written, so a claim that
    /// fails this way is neither won nor lost: do not dispatch the request, and
    /// [`release`](crate::JournalHandle::release) the claim.
    #[snafu(display("journal unavailable: {message}"))]
    Unavailable {
        /// How long to wait before a retry.
        retry_after: Duration,
        /// Description of the failure.
        message: String,
    },
    /// The key-value service rejected a call because of its rate limit.
    #[snafu(display("the key-value service throttled the journal"))]
    Throttled {
        /// How long to wait before a retry.
        retry_after: Duration,
    },
    /// A queue of records that wait to be appended is full.
    #[snafu(display("the journal's queue is full"))]
    Overloaded {
        /// How long to wait before a retry.
        retry_after: Duration,
    },
    /// The retention period is over, so the journal can no longer tell whether the request has a
    /// bill, and accepts none.
    #[snafu(display("the bill of request {request} arrived after the retention period"))]
    TooLate {
        /// The request.
        request: RequestId,
    },
    /// The request released its claim earlier.
    #[snafu(display("request {request} already released its claim"))]
    Released {
        /// The request.
        request: RequestId,
    },
    /// A single record exceeds the size limit of records.
    #[snafu(display("record of {bytes} bytes exceeds the limit of {limit} bytes"))]
    TooLarge {
        /// Size of the record in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// A stored value is not valid; only the journal may write below its prefix.
    #[snafu(display("invalid journal value at {key}: {message}"))]
    Corrupt {
        /// The key.
        key: String,
        /// Why the value is invalid.
        message: String,
    },
    /// The shard's manifest lists as many bill pages as it can; bills must be exported first.
    #[snafu(display("the journal shard is full: {pages} pages of bills wait for an export"))]
    Full {
        /// Number of bill pages that wait for an export.
        pages: usize,
    },
    /// The task that runs the journal has stopped.
    #[snafu(display("the journal task has stopped"))]
    Stopped,
}

/// Retry delay where the key-value service gives none.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

impl From<KvError> for JournalError {
    fn from(error: KvError) -> Self {
        match error {
            KvError::Throttled { retry_after } => JournalError::Throttled { retry_after },
            error => JournalError::Unavailable {
                retry_after: RETRY_AFTER,
                message: error.to_string(),
            },
        }
    }
}

impl JournalError {
    pub(crate) fn overloaded() -> Self {
        JournalError::Overloaded {
            retry_after: RETRY_AFTER,
        }
    }

    /// How long to wait before a retry; `None` if a retry can't succeed.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            JournalError::Unavailable { retry_after, .. }
            | JournalError::Throttled { retry_after }
            | JournalError::Overloaded { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}

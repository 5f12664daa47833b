//! Why the journal could not do what it was asked.

use crate::record::RequestId;
use oatdale_platform::KvError;
use snafu::Snafu;
use std::time::Duration;

/// Result of a call to the journal.
pub type Result<T, E = JournalError> = std::result::Result<T, E>;

/// Why the journal could not do what it was asked.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum JournalError {
    /// The key-value service gives no answer. The record may still be written, so a claim that
    /// ends this way is neither won nor lost: do not dispatch, and
    /// [`release`](crate::JournalHandle::release) it.
    #[snafu(display("the journal can't reach the key-value service: {message}"))]
    Unavailable {
        /// When asking again may help.
        retry_after: Duration,
        /// What was seen.
        message: String,
    },
    /// The key-value service's rate limit refused a call.
    #[snafu(display("the key-value service asks the journal to wait"))]
    Throttled {
        /// How long to wait.
        retry_after: Duration,
    },
    /// More records wait than the duty takes.
    #[snafu(display("too many records wait for the journal"))]
    Overloaded {
        /// When asking again may help.
        retry_after: Duration,
    },
    /// The journal has forgotten whether the request has a bill, so it takes none.
    #[snafu(display("the bill of request {request} comes after the journal forgot the request"))]
    TooLate {
        /// The request.
        request: RequestId,
    },
    /// The request gave its claim back before.
    #[snafu(display("request {request} gave its claim back"))]
    Released {
        /// The request.
        request: RequestId,
    },
    /// A record alone is larger than a segment may be.
    #[snafu(display("a record of {bytes} bytes is over the limit of {limit}"))]
    TooLarge {
        /// Its size.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// A stored value can't be read; nobody but the journal may write below its prefix.
    #[snafu(display("the value of {key} is not the journal's: {message}"))]
    Corrupt {
        /// The key.
        key: String,
        /// What is wrong.
        message: String,
    },
    /// As many pages wait for an export as a shard can list.
    #[snafu(display("{pages} pages of bills wait for an export; export them"))]
    Full {
        /// How many.
        pages: usize,
    },
    /// The duty has ended.
    #[snafu(display("the journal's duty has ended"))]
    Stopped,
}

/// How long to wait when the service does not say.
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

    /// When asking again may help, if it may.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            JournalError::Unavailable { retry_after, .. }
            | JournalError::Throttled { retry_after }
            | JournalError::Overloaded { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}

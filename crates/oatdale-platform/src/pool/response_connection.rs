//! What a response tells of its connection.

use crate::pool::stream::Look;
use http::response;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The connection that a response came on, in the response's extensions.
#[derive(Clone, Debug, Default)]
pub struct ResponseConnection {
    discarded: Arc<AtomicBool>,
    earlier_responses: u64,
    stream: Look,
}

/// Closes the connection of a response once it is idle, instead of using it for further requests: the
/// response shows that those to come on it may belong to other requests.
///
/// Does nothing for a response that no pool has returned.
pub fn discard_connection(head: &response::Parts) {
    if let Some(connection) = ResponseConnection::of(head) {
        connection.discarded.store(true, Ordering::Relaxed);
    }
}

impl ResponseConnection {
    /// Returns the connection of a response, if a pool has returned the response.
    pub fn of(head: &response::Parts) -> Option<&Self> {
        head.extensions.get()
    }

    /// Number of responses that came on the connection before this one.
    pub fn earlier_responses(&self) -> u64 {
        self.earlier_responses
    }

    pub(super) fn new(stream: Look) -> Self {
        ResponseConnection {
            stream,
            ..ResponseConnection::default()
        }
    }

    pub(super) fn is_discarded(&self) -> bool {
        self.discarded.load(Ordering::Relaxed)
    }

    /// Whether bytes have come on the connection, or it has ended.
    pub(super) fn has_input(&self) -> bool {
        self.stream.has_input()
    }

    /// The connection as the next response on it describes it.
    pub(super) fn after_response(mut self) -> Self {
        self.earlier_responses += 1;
        self
    }
}

//! What a response tells of its connection.

use crate::pool::stream::{Look, Written};
use bytes::Bytes;
use http::{Request, response};
use http_body_util::Full;
use hyper::body::Body as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The connection that a response came on, in the response's extensions.
#[derive(Clone, Debug, Default)]
pub struct ResponseConnection {
    discarded: Arc<AtomicBool>,
    earlier_responses: u64,
    stream: Look,
    /// `None` if the stream does not count what is written.
    written: Option<Written>,
    /// Bytes that are written when the request is; a few less, as the library adds headers.
    request_end: u64,
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

    /// Whether the request has been written to its end, or may have been. An endpoint that responds before
    /// may have run a part of it.
    pub fn is_request_written(&self) -> bool {
        let written = self.written.as_ref().map(Written::bytes);
        written.is_none_or(|bytes| bytes >= self.request_end)
    }

    pub(super) fn new(stream: Look, written: Written) -> Self {
        ResponseConnection {
            stream,
            written: Some(written),
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

    /// The connection as the response to this request describes it, which is sent next.
    pub(super) fn before_request(mut self, req: &Request<Full<Bytes>>) -> Self {
        let fields = req.headers().iter();
        let fields: usize = fields
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        let body = req.body().size_hint().lower();
        let written = self.written.as_ref().map_or(0, Written::bytes);
        self.request_end = written + fields as u64 + body;
        self
    }

    /// The connection as the next response on it describes it.
    pub(super) fn after_response(mut self) -> Self {
        self.earlier_responses += 1;
        self
    }
}

//! An endpoint's response, whose body is read chunk by chunk.

use crate::in_flight::InFlightRequest;
use crate::wire::{ResponseMetadata, Wire};
use bytes::Bytes;
use http::response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

/// A response whose head has been received and whose body has not been read to its end.
pub(crate) struct EndpointResponse<W> {
    pub(crate) head: response::Parts,
    pub(crate) metadata: ResponseMetadata,
    pub(crate) body: Incoming,
    pub(crate) in_flight: InFlightRequest<W>,
}

/// Result of waiting for the next chunk of a body.
pub(crate) enum Read {
    Chunk(Bytes),
    End,
    /// The body broke off, for this reason.
    Broken(String),
    /// No chunk arrived in time.
    Late,
}

impl<W: Wire> EndpointResponse<W> {
    /// Waits for the next chunk of the body.
    pub(crate) async fn next(&mut self, until: Instant) -> Read {
        // Biased: a chunk that has arrived counts even if its endpoint has restarted since.
        let chunk = tokio::select! {
            biased;
            chunk = timeout_at(until, next_chunk(&mut self.body)) => chunk,
            () = self.in_flight.wait_restarted() => {
                return Read::Broken("endpoint restarted during the response".to_owned());
            }
        };
        match chunk {
            Ok(Some(Ok(chunk))) => {
                self.in_flight.record_progress();
                Read::Chunk(chunk)
            }
            Ok(Some(Err(err))) => Read::Broken(err.to_string()),
            Ok(None) => Read::End,
            Err(_) => Read::Late,
        }
    }
}

async fn next_chunk(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => match frame.into_data() {
                Ok(data) => return Some(Ok(data)),
                Err(_trailers) => continue,
            },
            Err(err) => return Some(Err(err)),
        }
    }
}

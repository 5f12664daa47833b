//! Responses that the relay generates itself, and the body type of all responses.

use bytes::Bytes;
use futures::stream::BoxStream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use std::fmt;
use std::io;
use std::time::Duration;

/// The body of a response to a caller.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Why a request ends without an endpoint's response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Refusal {
    /// The request is malformed.
    BadRequest,
    /// The API key is missing or unknown.
    BadKey,
    /// No route matches the host and path.
    NoRoute,
    /// The body exceeds the size limit.
    TooLarge,
    /// The body was not received in time.
    SlowBody,
    /// No memory for the body became available in time.
    NoMemory,
    /// This node has no configuration yet.
    NotReady,
    /// This node shuts down before the response would end.
    Stopping,
    /// No endpoint has capacity for the request; none has run it.
    NoEndpoint,
    /// All endpoints are so busy that the response would be late; none has run the request.
    Overloaded,
    /// All failure domains with endpoints for the request are evacuated.
    Evacuated,
    /// The deadline was too close to send the request to any endpoint.
    NoTime,
    /// The request is quarantined because it crashes endpoints; this time none has run it.
    Quarantined,
    /// An endpoint may have run the request, and its response is lost.
    ResponseLost,
    /// An endpoint may have run the request, and did not respond in time.
    TimedOut,
}

impl Refusal {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Refusal::BadRequest => StatusCode::BAD_REQUEST,
            Refusal::BadKey => StatusCode::UNAUTHORIZED,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Refusal::NoMemory
            | Refusal::NotReady
            | Refusal::Stopping
            | Refusal::NoEndpoint
            | Refusal::Overloaded
            | Refusal::Evacuated
            | Refusal::NoTime
            | Refusal::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::ResponseLost => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refusal::BadRequest => "bad-request",
            Refusal::BadKey => "bad-key",
            Refusal::NoRoute => "no-route",
            Refusal::TooLarge => "too-large",
            Refusal::SlowBody => "slow-body",
            Refusal::NoMemory => "no-memory",
            Refusal::NotReady => "not-ready",
            Refusal::Stopping => "stopping",
            Refusal::NoEndpoint => "no-endpoint",
            Refusal::Overloaded => "overloaded",
            Refusal::Evacuated => "domains-evacuated",
            Refusal::NoTime => "no-time",
            Refusal::Quarantined => "quarantined",
            Refusal::ResponseLost => "answer-lost",
            Refusal::TimedOut => "timed-out",
        })
    }
}

/// Builds the response for a refused request.
pub(crate) fn refusal_response(refusal: Refusal, retry_after: Option<Duration>) -> Response<Body> {
    let mut res = short_response(refusal.status(), format!("{refusal}\n").into());
    if let Some(value) = retry_after.and_then(header_seconds) {
        res.headers_mut().insert(header::RETRY_AFTER, value);
    }
    // On a reused connection, the unread rest of the body would be parsed as the next request.
    if matches!(
        refusal,
        Refusal::TooLarge | Refusal::SlowBody | Refusal::NoMemory
    ) {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}

/// Builds a response with a short body.
pub(crate) fn short_response(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut res = Response::new(full_body(body));
    *res.status_mut() = status;
    res
}

/// A body whose bytes are all available.
pub(crate) fn full_body(body: Bytes) -> Body {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A streamed body. An error closes the connection, so that a truncated response never looks
/// complete.
pub(crate) fn stream_body(stream: BoxStream<'static, io::Result<Bytes>>) -> Body {
    use futures::StreamExt;
    StreamBody::new(stream.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

fn header_seconds(time: Duration) -> Option<HeaderValue> {
    HeaderValue::try_from(format!("{:.2}", time.as_secs_f64())).ok()
}

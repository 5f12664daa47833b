//! Answers that a relay gives by itself, and the body of all answers.

use bytes::Bytes;
use futures::stream::BoxStream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use std::fmt;
use std::io;
use std::time::Duration;

/// The body of an answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Why a request ends without an endpoint's answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Refusal {
    /// The request's head makes no sense.
    BadRequest,
    /// The key is missing or unknown.
    BadKey,
    /// No route takes it.
    NoRoute,
    /// The body is longer than allowed.
    TooLarge,
    /// The body did not come in time.
    SlowBody,
    /// There is no memory for the body.
    NoMemory,
    /// This node knows no configuration yet.
    NotReady,
    /// This node stops before the answer would end.
    Stopping,
    /// No endpoint has room for it; none has run it.
    NoEndpoint,
    /// All failure domains with endpoints for it are evacuated.
    Evacuated,
    /// The time was up before an endpoint was sent it.
    NoTime,
    /// It crashes the endpoints that run it; this time none has run it.
    Quarantined,
    /// An endpoint may have run it, and its answer is lost.
    Lost,
    /// An endpoint may have run it, and gave no answer in time.
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
            | Refusal::Evacuated
            | Refusal::NoTime
            | Refusal::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Lost => StatusCode::BAD_GATEWAY,
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
            Refusal::Evacuated => "domains-evacuated",
            Refusal::NoTime => "no-time",
            Refusal::Quarantined => "quarantined",
            Refusal::Lost => "answer-lost",
            Refusal::TimedOut => "timed-out",
        })
    }
}

/// The answer that tells a caller of a refusal.
pub(crate) fn refuse(refusal: Refusal, retry_after: Option<Duration>) -> Response<Body> {
    let mut res = plain(refusal.status(), format!("{refusal}\n").into());
    if let Some(value) = retry_after.and_then(seconds) {
        res.headers_mut().insert(header::RETRY_AFTER, value);
    }
    // The rest of a body that was not read would be taken for the next request.
    if matches!(
        refusal,
        Refusal::TooLarge | Refusal::SlowBody | Refusal::NoMemory
    ) {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}

/// An answer with a short body.
pub(crate) fn plain(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut res = Response::new(whole(body));
    *res.status_mut() = status;
    res
}

/// A body that is there as a whole.
pub(crate) fn whole(body: Bytes) -> Body {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body that comes in pieces; an error ends the connection, so that the answer never looks whole.
pub(crate) fn pieces(stream: BoxStream<'static, io::Result<Bytes>>) -> Body {
    use futures::StreamExt;
    StreamBody::new(stream.map(|piece| piece.map(Frame::data))).boxed_unsync()
}

fn seconds(time: Duration) -> Option<HeaderValue> {
    HeaderValue::try_from(format!("{:.2}", time.as_secs_f64())).ok()
}

//! Answers to callers.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use serde::Serialize;

/// An answer's body ends with this error when it cannot be completed.
///
/// The connection is then closed without the end of the message, so that no client mistakes the
/// part it has for the whole.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the answer could not be completed"))]
pub(crate) struct Incomplete;

/// The body of an answer.
pub(crate) type Body = BoxBody<Bytes, Incomplete>;

/// An answer to a caller.
pub(crate) type Reply = Response<Body>;

/// A body whose bytes are all there.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// An answer of JSON bytes.
pub(crate) fn json(status: StatusCode, bytes: Vec<u8>) -> Reply {
    let mut reply = Response::new(full(bytes));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// An answer that serialises a value.
pub(crate) fn json_of(value: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(value).expect("answers are structs of strings and numbers");
    json(StatusCode::OK, bytes)
}

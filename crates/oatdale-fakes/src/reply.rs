//! Answers that stand-ins give.

use crate::server::{Body, Reply};
use bytes::Bytes;
use futures::Stream;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use oatdale_platform::wire;
use std::convert::Infallible;
use std::io;
use std::time::Duration;

/// A body sent whole.
pub(crate) fn full(body: impl Into<Bytes>) -> Body {
    Full::new(body.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// A body sent piece by piece; an error cuts the connection.
pub(crate) fn stream(pieces: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> Body {
    use futures::TryStreamExt;
    StreamBody::new(pieces.map_ok(Frame::data)).boxed_unsync()
}

/// An answer with a status and a body.
pub(crate) fn with(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(full(body));
    *res.status_mut() = status;
    res
}

/// An answer in JSON.
pub(crate) fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("wire types have string keys");
    let mut res = with(status, body);
    set(&mut res, header::CONTENT_TYPE.as_str(), "application/json");
    res
}

/// An error as engines write it.
pub(crate) fn error(status: StatusCode, message: &str) -> Response<Body> {
    json(
        status,
        &serde_json::json!({"error": {"message": message, "code": status.as_u16()}}),
    )
}

/// A refusal by an endpoint that did not begin the request.
pub(crate) fn not_started(
    status: StatusCode,
    message: &str,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let mut res = error(status, message);
    set(&mut res, wire::NOT_STARTED, "true");
    if let Some(wait) = retry_after {
        set_retry_after(&mut res, wait);
    }
    res
}

/// Says when to come back, in whole seconds and in milliseconds.
pub(crate) fn set_retry_after(res: &mut Response<Body>, wait: Duration) {
    // Rounded up: a client that comes back a moment early is refused again.
    let ms = wait.as_micros().div_ceil(1000);
    let seconds = ms.div_ceil(1000);
    set(res, header::RETRY_AFTER.as_str(), &seconds.to_string());
    set(res, wire::RETRY_AFTER_MS, &ms.to_string());
}

/// Sets a header.
pub(crate) fn set(res: &mut Response<Body>, name: &'static str, value: &str) {
    let value = value.try_into().expect("stand-ins write plain ASCII");
    res.headers_mut().insert(name, value);
}

/// Reads a whole request body.
pub(crate) async fn read(req: Request<Incoming>) -> Result<Bytes, hyper::Error> {
    Ok(req.into_body().collect().await?.to_bytes())
}

/// A parameter of the request's query, with percent-encoding undone.
pub(crate) fn query(req: &Request<Incoming>, name: &str) -> Option<String> {
    let query = req.uri().query()?;
    let (_, value) = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name)?;
    Some(decode(value))
}

/// Undoes percent-encoding.
pub(crate) fn decode(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}

/// A header's text.
pub(crate) fn header_text<'a>(req: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

/// The answer to a path or method that the stand-in does not know.
pub(crate) fn unknown(req: &Request<Incoming>) -> Reply {
    let message = format!("no {} {}", req.method(), req.uri().path());
    Ok(error(StatusCode::NOT_FOUND, &message))
}

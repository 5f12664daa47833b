//! Reads callers' bodies within bounds of size and time.

use crate::problem::Problem;
use bytes::{Bytes, BytesMut};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use oatdale_config::NodeLimits;
use tokio::time::timeout;

/// Bytes that are set aside for an announced body before any of it has come.
const FIRST_BUFFER: usize = 64 << 10;

/// Reads a whole body.
///
/// A caller that sends nothing for a while is given up on: otherwise a few thousand callers that
/// each hold back one byte would use up the node's connections and memory.
///
/// # Errors
///
/// Refuses bodies over the limit, by their announced length before any of it is read, and those
/// that stall or break off.
pub(super) async fn read(
    headers: &HeaderMap,
    mut body: Incoming,
    limits: &NodeLimits,
) -> Result<Bytes, Problem> {
    let announced = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<usize>().ok())
        .unwrap_or(0);
    if announced > limits.body_bytes {
        return Err(too_large(limits));
    }
    let mut buf = BytesMut::with_capacity(announced.min(FIRST_BUFFER));
    loop {
        match timeout(limits.body_timeout, body.frame()).await {
            Err(_) => return Err(stalled()),
            Ok(None) => return Ok(buf.freeze()),
            Ok(Some(Err(err))) => return Err(broken(&err)),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) if buf.len() + data.len() > limits.body_bytes => {
                    return Err(too_large(limits));
                }
                Ok(data) => buf.extend_from_slice(&data),
                Err(_trailers) => {}
            },
        }
    }
}

fn too_large(limits: &NodeLimits) -> Problem {
    Problem::not_run(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body-size",
        format!("a body may have {} bytes", limits.body_bytes),
    )
}

fn stalled() -> Problem {
    Problem::not_run(
        StatusCode::REQUEST_TIMEOUT,
        "body-stalled",
        "the body stopped coming",
    )
}

fn broken(err: &hyper::Error) -> Problem {
    Problem::not_run(
        StatusCode::BAD_REQUEST,
        "body-broken",
        format!("the body broke off: {err}"),
    )
}

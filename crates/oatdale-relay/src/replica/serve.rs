//! HTTP handlers that serve the replica to followers.

use crate::replica::Replica;
use crate::replica::compression::ZSTD;
use crate::reply::{Body, short_response};
use crate::traffic::Traffic;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use hyper::body::Incoming;
use oatdale_platform::read_body;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Maximum length of a request body: a few numbers, names and addresses.
const MAX_REQUEST_BYTES: usize = 4 << 10;

/// Timeout for each pause in a request body. Short, since a request fits in one packet.
const REQUEST_STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Responds to a follower's fetch; 503 if it has to ask elsewhere.
pub(crate) async fn handle_fetch(
    replica: &Replica,
    traffic: &Traffic,
    body: Incoming,
) -> Response<Body> {
    let req = match read_request(body).await {
        Ok(req) => req,
        Err(reason) => return bad_request(&reason),
    };
    match replica.fetch_encoded(req).await {
        Ok(Some(update)) => {
            traffic.count("records_served", update.body.len());
            let mut response = short_response(StatusCode::OK, update.body);
            if update.is_compressed {
                let encoding = HeaderValue::from_static(ZSTD);
                response
                    .headers_mut()
                    .insert(header::CONTENT_ENCODING, encoding);
            }
            response
        }
        Ok(None) => short_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        Err(err) => {
            log::warn!(target: "replica", "event=encode_failed err=\"{err}\"");
            short_response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

async fn read_request<T: DeserializeOwned>(body: Incoming) -> Result<T, String> {
    let body = read_body(body, MAX_REQUEST_BYTES, REQUEST_STALL_TIMEOUT).await;
    let body = body.map_err(|err| err.to_string())?;
    ciborium::from_reader(body.as_ref()).map_err(|err| err.to_string())
}

/// Responds to a starting node with the known versions; 503 if this node has not read the records
/// in that era.
pub(crate) async fn handle_versions(replica: &Replica, body: Incoming) -> Response<Body> {
    let era = match read_request(body).await {
        Ok(era) => era,
        Err(reason) => return bad_request(&reason),
    };
    match replica.versions_in_era(era).await {
        Some(versions) => encode(&versions),
        None => short_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    }
}

/// Responds to a starting node with the registered nodes; 503 if this node knows none.
pub(crate) fn handle_registered(replica: &Replica) -> Response<Body> {
    let nodes = replica.registered();
    match nodes.is_empty() {
        true => short_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        false => encode(&nodes),
    }
}

fn bad_request(reason: &str) -> Response<Body> {
    log::warn!(target: "replica", "event=bad_request reason=\"{reason}\"");
    short_response(StatusCode::BAD_REQUEST, Bytes::new())
}

fn encode(value: &impl Serialize) -> Response<Body> {
    let mut body = Vec::new();
    match ciborium::into_writer(value, &mut body) {
        Ok(()) => short_response(StatusCode::OK, body.into()),
        Err(err) => {
            log::warn!(target: "replica", "event=encode_failed err={err}");
            short_response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

//! An endpoint's response, whose body is read chunk by chunk.

use crate::crashes;
use crate::cx::Cx;
use crate::forwarding::ForwardingNode;
use crate::headers::has_framing;
use crate::in_flight::InFlightRequest;
use crate::reachability;
use crate::request_context::RequestContext;
use crate::wire::{ResponseMetadata, Wire};
use bytes::Bytes;
use http::{StatusCode, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use oatdale_platform::ResponseConnection;
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// A response whose head has been received and whose body has not been read to its end.
pub(crate) struct EndpointResponse<W> {
    pub(crate) head: response::Parts,
    pub(crate) metadata: ResponseMetadata,
    /// The body; `None` after its connection was closed.
    pub(crate) body: Option<Incoming>,
    pub(crate) upstream: Upstream<W>,
}

/// Where a response comes from.
pub(crate) enum Upstream<W> {
    /// From an endpoint of this node's choice.
    Endpoint(InFlightRequest<W>),
    /// From an endpoint, through another node.
    Node(ForwardingNode),
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

impl<W> EndpointResponse<W> {
    /// The request at the endpoint, unless another node has sent it there.
    pub(crate) fn in_flight(&self) -> Option<&InFlightRequest<W>> {
        match &self.upstream {
            Upstream::Endpoint(in_flight) => Some(in_flight),
            Upstream::Node(_) => None,
        }
    }

    /// Whether the body's end can be told from that of its connection.
    pub(crate) fn has_framing(&self) -> bool {
        let has_no_body = matches!(
            self.head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        has_no_body || has_framing(&self.head.headers)
    }

    /// Id of the endpoint that responded.
    pub(crate) fn endpoint_id(&self) -> &str {
        match &self.upstream {
            Upstream::Endpoint(in_flight) => &in_flight.id,
            Upstream::Node(node) => &node.endpoint,
        }
    }
}

impl<W: Wire> EndpointResponse<W> {
    /// Records that the response broke off.
    pub(crate) fn record_broken(&self, cx: &Arc<Cx<W>>, request_cx: &RequestContext) {
        match &self.upstream {
            Upstream::Endpoint(in_flight) => {
                in_flight.record_no_response();
                reachability::record_failure(cx, in_flight.key);
                crashes::check_for_crash(cx, request_cx, in_flight);
            }
            Upstream::Node(node) => node.record_broken(cx, &request_cx.service),
        }
    }

    /// Closes the connection of a body that has not ended, so that its endpoint drops the request.
    pub(crate) fn close(&mut self) {
        self.body = None;
    }

    /// Waits for the next chunk of the body.
    pub(crate) async fn next(&mut self, until: Instant) -> Read {
        let Some(body) = &mut self.body else {
            return Read::Broken("the connection was closed".to_owned());
        };
        // Biased: a chunk that has arrived counts even if its endpoint has restarted since.
        let chunk = tokio::select! {
            biased;
            chunk = timeout_at(until, next_chunk(body)) => chunk,
            () = wait_restarted(&self.upstream) => {
                return Read::Broken("endpoint restarted during the response".to_owned());
            }
        };
        match chunk {
            Ok(Some(Ok(chunk))) => {
                if let Upstream::Endpoint(in_flight) = &self.upstream {
                    in_flight.record_progress();
                }
                Read::Chunk(chunk)
            }
            Ok(Some(Err(err))) => Read::Broken(err.to_string()),
            Ok(None) if !self.has_framing() && !self.had_request() => {
                Read::Broken("the connection ended before the request was written".to_owned())
            }
            Ok(None) if self.may_have_broken_off().await => {
                Read::Broken("the endpoint ended with the response".to_owned())
            }
            Ok(None) => Read::End,
            Err(_) => Read::Late,
        }
    }
}

impl<W: Wire> EndpointResponse<W> {
    /// Whether the endpoint may have had the whole request when its connection ended. A success without it
    /// can't be complete, while a failure may well come before.
    fn had_request(&self) -> bool {
        let connection = ResponseConnection::of(&self.head);
        !self.head.status.is_success()
            || connection.is_none_or(ResponseConnection::is_request_written)
    }

    /// Whether a response that has ended may not be complete: nothing but the end of its connection shows
    /// that it is, and its endpoint is gone. The connections of a process that is killed end like those of
    /// one that is done.
    async fn may_have_broken_off(&self) -> bool {
        match &self.upstream {
            Upstream::Endpoint(in_flight) if !self.has_framing() => {
                crashes::has_ended(in_flight).await
            }
            _ => false,
        }
    }
}

async fn wait_restarted<W: Wire>(upstream: &Upstream<W>) {
    match upstream {
        Upstream::Endpoint(in_flight) => in_flight.wait_restarted().await,
        Upstream::Node(_) => std::future::pending().await,
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

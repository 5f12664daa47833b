//! Reads the body of an endpoint's response, and forwards it to the caller.

use super::{Decision, Reply};
use crate::attempt::Failure;
use crate::cx::Cx;
use crate::endpoint_response::{EndpointResponse, Read};
use crate::headers::forwarded_head;
use crate::reply::{self, Body, Refusal};
use crate::request_context::RequestContext;
use crate::request_log::RequestLog;
use crate::stream::EventRelay;
use crate::wire::Wire;
use bytes::{Bytes, BytesMut};
use futures::stream::{self, StreamExt};
use http::{Response, response};
use std::io;
use std::sync::Arc;
use tokio::time::Instant;

/// Response bodies up to this many bytes are buffered before their head is sent, so that a
/// truncated one can still be retried or reported to the caller by a status code.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 << 10;

/// Buffers a response body, or returns it for streaming once it exceeds the bound.
pub(super) async fn buffer<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: &RequestContext,
    mut endpoint_res: EndpointResponse<W>,
    may_abandon: bool,
) -> Decision<W> {
    let route = request_cx.route();
    let target = route.target_latency.unwrap_or(route.timeout);
    let deadline = match may_abandon {
        true => request_cx.deadline_at.min(Instant::now() + target),
        false => request_cx.deadline_at,
    };
    let mut buffered = BytesMut::new();
    loop {
        match endpoint_res.next(deadline).await {
            Read::Chunk(chunk) => buffered.extend_from_slice(&chunk),
            Read::End => {
                let id = endpoint_res.endpoint_id().to_owned();
                return Decision::Forward(Reply::Buffered(
                    Box::new(endpoint_res.head),
                    buffered.freeze(),
                    id,
                ));
            }
            Read::Broken(reason) => {
                endpoint_res.record_broken(cx, request_cx);
                return Decision::Failed(Failure::Unknown(reason));
            }
            Read::Late => return Decision::Failed(Failure::Unknown("body timed out".to_owned())),
        }
        if buffered.len() > MAX_BUFFERED_RESPONSE_BYTES {
            return Decision::Forward(Reply::Streamed(buffered.freeze(), Box::new(endpoint_res)));
        }
    }
}

/// Returns a response whose body is streamed as the endpoint sends it.
pub(super) fn stream<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: RequestContext,
    buffered: Bytes,
    endpoint_res: EndpointResponse<W>,
    request_log: RequestLog<W>,
) -> Response<Body> {
    let head = forwarded_head(endpoint_res.head.clone());
    let rest = stream_rest(cx.clone(), request_cx, endpoint_res, request_log);
    streamed_response(head, buffered, rest)
}

/// A response whose first events have arrived.
pub(super) struct EventsResponse {
    pub(super) res: Response<Body>,
    /// Id of the endpoint that it comes from.
    pub(super) endpoint: String,
    /// Number of attempts that the request has taken.
    pub(super) sends: u32,
}

/// Returns a response whose events are forwarded as they arrive, once the first ones are there. Fails if
/// the stream ends without any for another reason than that it is complete, or if the node stops before.
pub(super) async fn stream_events<W: Wire>(
    cx: &Arc<Cx<W>>,
    request_cx: RequestContext,
    endpoint_res: EndpointResponse<W>,
    request_log: RequestLog<W>,
) -> Result<EventsResponse, (Refusal, Box<RequestContext>)> {
    let head = forwarded_head(endpoint_res.head.clone());
    let mut relay = EventRelay::new(cx.clone(), request_cx, endpoint_res, request_log);
    let first = tokio::select! {
        biased;
        first = relay.first_events() => first,
        () = cx.abandoned.cancelled() => {
            relay.set_refused(Refusal::ResponseLost, "the node stops");
            Err(Refusal::ResponseLost)
        }
    };
    match first {
        Ok(first) => Ok(EventsResponse {
            endpoint: relay.endpoint_id().to_owned(),
            sends: relay.request_cx().sends,
            res: streamed_response(head, first, relay.into_stream()),
        }),
        Err(refusal) => Err((refusal, Box::new(relay.into_request_cx()))),
    }
}

fn streamed_response(
    head: response::Parts,
    first: Bytes,
    rest: impl futures::Stream<Item = io::Result<Bytes>> + Send + 'static,
) -> Response<Body> {
    let first = stream::once(async move { Ok(first) });
    Response::from_parts(head, reply::stream_body(first.chain(rest).boxed()))
}

/// Streams the rest of a body that is too long to be buffered.
fn stream_rest<W: Wire>(
    cx: Arc<Cx<W>>,
    request_cx: RequestContext,
    endpoint_res: EndpointResponse<W>,
    request_log: RequestLog<W>,
) -> impl futures::Stream<Item = io::Result<Bytes>> + Send + 'static {
    let state = Some((cx, request_cx, endpoint_res, request_log));
    stream::unfold(state, |state| async move {
        let (cx, request_cx, mut endpoint_res, mut request_log) = state?;
        match endpoint_res.next(request_cx.deadline_at).await {
            Read::Chunk(chunk) => {
                Some((Ok(chunk), Some((cx, request_cx, endpoint_res, request_log))))
            }
            Read::End => {
                cx.record_completion(&request_cx, &endpoint_res.head);
                request_log.set_outcome("complete");
                None
            }
            Read::Broken(reason) => {
                endpoint_res.record_broken(&cx, &request_cx);
                request_log.set_outcome(&format!("response body broke off: {reason}"));
                Some((Err(io::Error::other(reason)), None))
            }
            Read::Late => {
                request_log.set_outcome("timed-out");
                Some((Err(io::ErrorKind::TimedOut.into()), None))
            }
        }
    })
}

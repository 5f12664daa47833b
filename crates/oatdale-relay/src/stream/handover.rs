//! Hands a stream over to another endpoint while its own one is silent.
//!
//! A silent endpoint may still have the stream and go on, and the other endpoints may have no room for
//! it. A stream therefore leaves an open connection only once another endpoint has taken it: one that
//! has answered, or that has not rejected the request in the time in which a live endpoint rejects. The
//! first endpoint is told then, so that two of them work on a stream for no longer than that time.

use super::EventRelay;
use crate::attempt::{self, Failure, Purpose, SendOptions};
use crate::endpoint_response::{EndpointResponse, Read};
use crate::probe::PROBE_TIMEOUT;
use crate::wire::Wire;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How long a live endpoint takes at most to reject a request; it answers a probe in the same time.
const REJECTION_TIME: Duration = PROBE_TIMEOUT;

/// Result of offering a stream to other endpoints.
pub(super) enum Handover<W> {
    /// Another endpoint continues the stream.
    Taken(Box<EndpointResponse<W>>),
    /// The stream stays where it is; the endpoint may have gone on meanwhile.
    Stays(Option<Read>),
    /// The stream has left its endpoint, and the one that took it has failed, for this reason.
    Left(String),
}

impl<W: Wire> EventRelay<W> {
    /// Offers the stream to other endpoints, one after another, until one takes it.
    pub(super) async fn hand_over(&mut self) -> Handover<W> {
        self.response.record_broken(&self.cx, &self.request_cx);
        let mut rejected_by = Vec::new();
        let mut result = Handover::Stays(None);
        // The last attempt is kept for a stream whose connection ends.
        while self.request_cx.has_attempts_left()
            && (rejected_by.is_empty() || self.request_cx.has_attempts_after_next())
            && self.cx.try_retry(&self.request_cx.service)
        {
            let sends_before = self.request_cx.sends;
            let offered = self.offer().await;
            if self.request_cx.sends > sends_before {
                self.cx.metrics.retries.inc();
            }
            match offered {
                Ok(handover) => {
                    result = handover;
                    break;
                }
                Err(Failure::NotRun(_) | Failure::NotSent(_)) => {
                    rejected_by.extend(self.request_cx.excluded.last().copied());
                }
                Err(Failure::Unknown(_) | Failure::Abandoned) => {}
                Err(_) => break,
            }
        }
        if let Handover::Stays(_) = result {
            // An endpoint that has no room now may have some when the stream is offered again.
            let excluded = &mut self.request_cx.excluded;
            excluded.retain(|key| !rejected_by.contains(key));
        }
        log::info!(
            target: "stream",
            "event=offered id={} endpoint={} rejected={} result={}",
            self.request_cx.metadata.id.as_deref().unwrap_or("-"), self.response.endpoint_id(),
            rejected_by.len(), result.name()
        );
        result
    }

    /// Offers the stream to the best other endpoint. Returns an error if that has not taken it.
    async fn offer(&mut self) -> Result<Handover<W>, Failure> {
        let options = SendOptions {
            purpose: Purpose::Resumption,
            last_event_id: self.events.last(),
            may_abandon: self.request_cx.has_attempts_after_next(),
        };
        let target = tokio::select! {
            biased;
            read = self.response.next(self.request_cx.deadline_at) => {
                return Ok(Handover::Stays(Some(read)));
            }
            target = attempt::find_target(&self.cx, &mut self.request_cx, options) => target?,
        };
        let result = {
            let sending = attempt::send(&self.cx, &mut self.request_cx, target, options);
            send_until_taken(&mut self.response, sending).await
        };
        self.request_cx.record_cancelled_attempt();
        result
    }
}

/// Waits until an endpoint has taken a stream that is being sent to it, or until the present one, whose
/// response is `current`, has gone on or ended first.
async fn send_until_taken<W: Wire>(
    current: &mut EndpointResponse<W>,
    sending: impl Future<Output = Result<EndpointResponse<W>, Failure>>,
) -> Result<Handover<W>, Failure> {
    let mut sending = pin!(sending);
    let leave_at = Instant::now() + REJECTION_TIME;
    let mut chunk = None;
    loop {
        tokio::select! {
            biased;
            result = &mut sending => return match (accepted(result), chunk) {
                (Ok(response), _) => Ok(Handover::Taken(response)),
                (Err(_), Some(chunk)) => Ok(Handover::Stays(Some(Read::Chunk(chunk)))),
                (Err(failure), None) => Err(failure),
            },
            () = sleep_until(leave_at) => break,
            read = current.next(leave_at), if chunk.is_none() => match read {
                Read::Late => {}
                // Kept until the other endpoint has rejected the stream: one of them alone may continue it.
                Read::Chunk(received) => chunk = Some(received),
                Read::End => return Ok(Handover::Stays(Some(Read::End))),
                Read::Broken(_) => break,
            },
        }
    }
    current.close();
    Ok(match accepted(sending.await) {
        Ok(response) => Handover::Taken(response),
        Err(failure) => Handover::Left(format!("{failure:?}")),
    })
}

/// Returns the response of an endpoint that continues a stream.
fn accepted<W>(
    result: Result<EndpointResponse<W>, Failure>,
) -> Result<Box<EndpointResponse<W>>, Failure> {
    match result {
        Ok(response) if response.head.status.is_success() => Ok(Box::new(response)),
        Ok(response) => Err(Failure::Unknown(format!(
            "status {} on resumption",
            response.head.status
        ))),
        Err(failure) => Err(failure),
    }
}

impl<W> Handover<W> {
    /// Name for logs.
    fn name(&self) -> &'static str {
        match self {
            Handover::Taken(_) => "taken",
            Handover::Stays(None) => "stays",
            Handover::Stays(Some(_)) => "goes-on",
            Handover::Left(_) => "left",
        }
    }
}

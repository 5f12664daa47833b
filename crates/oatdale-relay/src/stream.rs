//! Forwards an event stream, and resumes it at another endpoint if it breaks.

mod handover;

use crate::attempt::{self, Failure, Purpose, SendOptions};
use crate::cx::Cx;
use crate::directory::EndpointKey;
use crate::endpoint_response::{EndpointResponse, Read};
use crate::events::EventReassembler;
use crate::forwarding;
use crate::reply::Refusal;
use crate::request_context::RequestContext;
use crate::request_log::RequestLog;
use crate::site::RouteKind;
use crate::speeds::StreamTimes;
use crate::wire::Wire;
use bytes::Bytes;
use futures::stream::{self, BoxStream, StreamExt};
use handover::Handover;
use oatdale_policy::relay::StreamPace;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Share of the accepted gap between events after which a silent stream is checked and may be
/// resumed at another endpoint.
const SILENCE_CHECK_SHARE: f64 = 0.7;

/// Accepted gap between events where the route sets none.
const DEFAULT_EVENT_GAP: Duration = Duration::from_secs(2);

/// Multiple of the accepted gap after which a stream counts as broken, even if the endpoint still
/// sends to other requests. A shorter silence means a busy engine: another one would have to
/// process the prompt first, so the response is late either way.
const STALLED_GAP_FACTOR: f64 = 4.0;

/// Outcome of a stream that has reached its deadline.
const TIMED_OUT: &str = "timed-out";

/// Number of events from which an endpoint counts as answering.
const MIN_ANSWER_EVENTS: u64 = 2;

/// An event stream that is being forwarded to its caller.
pub(crate) struct EventRelay<W> {
    cx: Arc<Cx<W>>,
    request_cx: RequestContext,
    response: EndpointResponse<W>,
    events: EventReassembler,
    request_log: RequestLog<W>,
    /// Whether the caller has received the end of the stream, or an error instead.
    ended: bool,
    /// Whether the retry budget has already been charged for the next attempt to resume.
    retry_charged: bool,
    /// The endpoint that the stream has left since it was silent. It may have room if no other has.
    left: Option<EndpointKey>,
    pace: StreamPace,
    times: StreamTimes,
    /// Complete events before the current endpoint's first one, until it counts as answering.
    events_before: Option<u64>,
}

/// Result of reading the endpoint's stream.
enum Item {
    Chunk(Bytes),
    End,
    Broken(String),
    TimedOut,
    /// Another endpoint continues the stream.
    Moved,
}

impl<W: Wire> EventRelay<W> {
    pub(crate) fn new(
        cx: Arc<Cx<W>>,
        request_cx: RequestContext,
        response: EndpointResponse<W>,
        request_log: RequestLog<W>,
    ) -> Self {
        let events = EventReassembler::after(request_cx.metadata.last_event_id);
        EventRelay {
            cx,
            request_cx,
            response,
            events,
            request_log,
            ended: false,
            retry_charged: false,
            left: None,
            pace: StreamPace::default(),
            times: StreamTimes::default(),
            events_before: Some(0),
        }
    }

    /// Waits for the first events, which the caller gets with the head of the response: until then the
    /// request may still be refused, or answered by a status code. Empty if the stream ends without any.
    pub(crate) async fn first_events(&mut self) -> Result<Bytes, Refusal> {
        let reason = match self.next().await {
            Some(Ok(events)) => return Ok(events),
            None => return Ok(Bytes::new()),
            Some(Err(err)) => err.to_string(),
        };
        let refusal = match reason.as_str() {
            TIMED_OUT => Refusal::TimedOut,
            _ => Refusal::ResponseLost,
        };
        self.set_refused(refusal, &reason);
        Err(refusal)
    }

    /// Sets the outcome of a stream whose caller gets a refusal in place of its first events.
    pub(crate) fn set_refused(&mut self, refusal: Refusal, reason: &str) {
        let outcome = format!("refused {refusal}: {reason}");
        self.request_log.set_outcome(&outcome);
    }

    /// The rest of the body of the response to the caller.
    pub(crate) fn into_stream(self) -> BoxStream<'static, io::Result<Bytes>> {
        stream::unfold(self, |mut relay| async move {
            let chunk = relay.next().await?;
            Some((chunk, relay))
        })
        .boxed()
    }

    pub(crate) fn request_cx(&self) -> &RequestContext {
        &self.request_cx
    }

    pub(crate) fn into_request_cx(self) -> RequestContext {
        self.request_cx
    }

    /// Id of the endpoint that the stream is at.
    pub(crate) fn endpoint_id(&self) -> &str {
        self.response.endpoint_id()
    }

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            return None;
        }
        // An event may arrive in several chunks: its time is that of all of them.
        let mut read_began = self.cx.now();
        loop {
            let break_reason = match self.read().await {
                Item::Chunk(chunk) => match self.events.push(&chunk) {
                    complete_events if complete_events.is_empty() => continue,
                    complete_events => {
                        self.record_pace();
                        self.record_times(read_began);
                        self.record_answering();
                        return Some(Ok(complete_events));
                    }
                },
                Item::End if self.has_ended_before_events() => {
                    "connection ended before the first event".to_owned()
                }
                Item::End if !self.events.has_partial() => {
                    self.record_end();
                    self.request_log.set_outcome("complete");
                    self.ended = true;
                    return None;
                }
                Item::End => "stream ended in the middle of an event".to_owned(),
                Item::Broken(message) => message,
                Item::TimedOut => return Some(Err(self.end_with_error(TIMED_OUT))),
                Item::Moved => {
                    read_began = self.cx.now();
                    continue;
                }
            };
            if let Err(reason) = self.resume(&break_reason).await {
                return Some(Err(self.end_with_error(&reason)));
            }
            read_began = self.cx.now();
        }
    }

    /// Records that events arrived; once their pace at this endpoint is known, adds it to the
    /// rollout statistics.
    fn record_pace(&mut self) {
        let Some(pace) = self.pace.record_event(self.cx.now()) else {
            return;
        };
        let Some(in_flight) = self.response.in_flight() else {
            return;
        };
        let source = self.request_cx.source(in_flight);
        let mut state = self.cx.state();
        state
            .roll_outs
            .record_duration(&source, self.request_cx.event_latency_class(), pace);
    }

    /// Records a read for the speed of the endpoint.
    fn record_times(&mut self, read_began: Duration) {
        let in_flight = self.response.in_flight();
        let events = self.events.completed();
        self.times
            .record_read(&self.cx, &self.request_cx, in_flight, read_began, events);
    }

    /// Whether the current endpoint's response has ended without any event, and with nothing but its
    /// connection to show that it is complete.
    fn has_ended_before_events(&self) -> bool {
        let before = self.events_before;
        !self.response.has_framing() && before.is_some_and(|n| self.events.completed() == n)
    }

    /// Records that the stream is complete. The end of a connection alone may be that of the endpoint,
    /// unless it has answered with more events.
    fn record_end(&mut self) {
        match self.events_before {
            None => self.cx.record_success(&self.request_cx),
            Some(_) => {
                let head = &self.response.head;
                self.cx.record_completion(&self.request_cx, head);
            }
        }
    }

    /// Records, once for each endpoint, that it answers: with more than the first event, which one that
    /// crashes may still have sent.
    fn record_answering(&mut self) {
        let events = self.events.completed();
        if self
            .events_before
            .is_some_and(|before| events >= before + MIN_ANSWER_EVENTS)
        {
            self.events_before = None;
            self.cx.record_answer(&self.request_cx);
        }
    }

    /// Time at which the stream counts as slow unless more events arrive before.
    fn slow_at(&self) -> Option<Duration> {
        let bound = self
            .cx
            .state()
            .roll_outs
            .slow_threshold(self.request_cx.event_latency_class())?;
        self.pace.slow_at(bound)
    }

    fn record_slow(&mut self) {
        self.pace.mark_slow();
        let Some(in_flight) = self.response.in_flight() else {
            return;
        };
        let source = self.request_cx.source(in_flight);
        self.cx.state().roll_outs.record_slow(&source, true);
    }

    /// Longest gap between events with which the response is still on time.
    fn accepted_gap(&self) -> Duration {
        let target_gap = self.request_cx.route().target_gap;
        target_gap.unwrap_or(DEFAULT_EVENT_GAP)
    }

    async fn read(&mut self) -> Item {
        let gap = self.accepted_gap();
        let waiting_since = Instant::now();
        let mut next_check = waiting_since + gap.mul_f64(SILENCE_CHECK_SHARE);
        loop {
            let slow_at = self.slow_at().map(|at| self.cx.at(at));
            let wait_until = next_check
                .min(self.request_cx.deadline_at)
                .min(slow_at.unwrap_or(next_check));
            let read = match self.response.next(wait_until).await {
                Read::Late if Instant::now() >= self.request_cx.deadline_at => {
                    return Item::TimedOut;
                }
                Read::Late if slow_at.is_some_and(|at| Instant::now() >= at) => {
                    self.record_slow();
                    Read::Late
                }
                Read::Late if self.should_hand_over(gap, waiting_since).await => {
                    next_check = Instant::now() + gap;
                    match self.hand_over().await {
                        Handover::Taken(response) => {
                            self.continue_at(*response, "stream stalled");
                            return Item::Moved;
                        }
                        Handover::Stays(read) => read.unwrap_or(Read::Late),
                        Handover::Left(reason) => {
                            self.left = self.response.in_flight().map(|in_flight| in_flight.key);
                            return Item::Broken(reason);
                        }
                    }
                }
                Read::Late => {
                    next_check = Instant::now() + gap / 4;
                    Read::Late
                }
                read => read,
            };
            match read {
                Read::Chunk(chunk) => return Item::Chunk(chunk),
                Read::Broken(reason) => return Item::Broken(reason),
                Read::End => return Item::End,
                Read::Late => {}
            }
        }
    }

    /// Whether the stream has stalled and another endpoint may take it.
    async fn should_hand_over(&mut self, gap: Duration, waiting_since: Instant) -> bool {
        if self.request_cx.route().kind != RouteKind::ResumableStream
            || !self.request_cx.has_attempts_left()
            || !self.events.can_resume()
        {
            return false;
        }
        let silence = gap.mul_f64(SILENCE_CHECK_SHARE);
        let is_unresponsive = match self.response.in_flight() {
            Some(in_flight) => in_flight.is_unresponsive(silence).await,
            None => false,
        };
        let is_stalled =
            is_unresponsive || waiting_since.elapsed() >= gap.mul_f64(STALLED_GAP_FACTOR);
        is_stalled && self.has_other_endpoint()
    }

    fn has_other_endpoint(&self) -> bool {
        self.request_cx.has_eligible_endpoint(&self.cx)
            || forwarding::is_in_use(&self.cx, &self.request_cx.service)
    }

    /// Continues the stream with another endpoint's response.
    fn continue_at(&mut self, response: EndpointResponse<W>, reason: &str) {
        log::info!(
            target: "stream",
            "event=resumed id={} after={:?} from={} to={} reason={reason:?}",
            self.request_cx.metadata.id.as_deref().unwrap_or("-"), self.events.last(),
            self.response.endpoint_id(), response.endpoint_id()
        );
        self.cx.metrics.resumed.inc();
        self.events.discard_partial();
        self.response = response;
        self.left = None;
        self.events_before = Some(self.events.completed());
        self.pace = StreamPace::default();
        self.times.restart();
    }

    /// Resumes the stream at another endpoint, or returns the reason why that failed.
    async fn resume(&mut self, break_reason: &str) -> Result<(), String> {
        self.response.record_broken(&self.cx, &self.request_cx);
        if self.request_cx.forwarded.is_some() {
            return Err(break_reason.to_owned());
        }
        if !self.events.can_resume() {
            return Err(format!("{break_reason}, in a long event"));
        }
        self.events.discard_partial();
        let last_event_id = self.events.last();
        let mut reason = break_reason.to_owned();
        let resume_until = Instant::now() + self.accepted_gap();
        while self.request_cx.route().kind == RouteKind::ResumableStream
            && self.request_cx.has_attempts_left()
            && (std::mem::take(&mut self.retry_charged)
                || self.cx.try_retry(&self.request_cx.service))
        {
            let options = SendOptions {
                purpose: Purpose::Resumption,
                last_event_id,
                may_abandon: self.request_cx.has_attempts_after_next(),
            };
            let sends_before = self.request_cx.sends;
            let result = attempt::attempt(&self.cx, &mut self.request_cx, options).await;
            if self.request_cx.sends > sends_before {
                self.cx.metrics.retries.inc();
            }
            match result {
                Ok(response) if response.head.status.is_success() => {
                    self.continue_at(response, &reason);
                    return Ok(());
                }
                Ok(response) => reason = format!("status {} on resumption", response.head.status),
                Err(Failure::NoEndpoint(_)) if self.may_return() => self.retry_charged = true,
                Err(Failure::NoEndpoint(_)) if self.wait_for_capacity(resume_until).await => {
                    self.retry_charged = true;
                }
                Err(Failure::NoEndpoint(_)) => return Err(format!("{reason}, no other endpoint")),
                Err(Failure::NoNode(why)) => return Err(format!("{reason}, no other node: {why}")),
                Err(Failure::Quarantined { .. }) => return Err(format!("{reason}, quarantined")),
                Err(err) => reason = format!("{err:?}"),
            }
        }
        Err(reason)
    }

    /// Lets the stream return, once, to the endpoint that it has left, and returns whether it has left one.
    fn may_return(&mut self) -> bool {
        let left = self.left.take();
        let excluded = &mut self.request_cx.excluded;
        excluded.retain(|key| left != Some(*key));
        left.is_some()
    }

    /// Waits until an endpoint is expected to accept the request; returns `false` at once if that is
    /// later than `until` or not known.
    ///
    /// Unlike a new request, a stream whose caller has received a part of it cannot be refused.
    async fn wait_for_capacity(&self, until: Instant) -> bool {
        let wait = self.request_cx.time_to_next_attempt(&self.cx);
        let resume_at = wait.map(|wait| Instant::now() + wait);
        match resume_at.filter(|at| *at <= until) {
            Some(at) => {
                sleep_until(at).await;
                true
            }
            None => false,
        }
    }

    fn end_with_error(&mut self, reason: &str) -> io::Error {
        self.ended = true;
        self.request_log.set_outcome(reason);
        io::Error::new(io::ErrorKind::ConnectionAborted, reason.to_owned())
    }
}

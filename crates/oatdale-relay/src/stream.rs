//! Forwards an event stream, and resumes it at another endpoint if the first one breaks off.

use crate::answer::{Answer, Next};
use crate::attempt::{self, Failure, SendOptions};
use crate::crashes;
use crate::cx::Cx;
use crate::events::WholeEvents;
use crate::plan::Plan;
use crate::record::Record;
use crate::site::RouteKind;
use crate::wire::Wire;
use bytes::Bytes;
use futures::stream::{self, BoxStream, StreamExt};
use oatdale_policy::relay::StreamPace;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Share of the event gap that callers accept after which a silent stream may be resumed at another
/// endpoint.
const PATIENCE: f64 = 0.7;

/// Accepted gap between events where the route sets none.
const USUAL_GAP: Duration = Duration::from_secs(2);

/// Multiple of the accepted gap after which a stream counts as broken, even if the endpoint still
/// sends to other requests. A shorter silence means a busy engine: another one would have to
/// process the prompt first, so the response is late either way.
const STUCK: f64 = 4.0;

/// An event stream that is being forwarded to its caller.
pub(crate) struct Relayed<W> {
    cx: Arc<Cx<W>>,
    plan: Plan,
    answer: Answer<W>,
    events: WholeEvents,
    record: Record<W>,
    /// Whether the caller has received the end of the stream, or an error instead.
    over: bool,
    /// Whether the retry budget has already been charged for resuming at another endpoint.
    paid: bool,
    pace: StreamPace,
}

/// Next event of the endpoint's stream.
enum Step {
    Piece(Bytes),
    End,
    Broken(String),
    LimitReached,
}

impl<W: Wire> Relayed<W> {
    pub(crate) fn new(cx: Arc<Cx<W>>, plan: Plan, answer: Answer<W>, record: Record<W>) -> Self {
        let events = WholeEvents::after(plan.facts.last_event);
        Relayed {
            cx,
            plan,
            answer,
            events,
            record,
            over: false,
            paid: false,
            pace: StreamPace::default(),
        }
    }

    /// The body of the response to the caller.
    pub(crate) fn into_stream(self) -> BoxStream<'static, io::Result<Bytes>> {
        stream::unfold(self, |mut relayed| async move {
            let piece = relayed.next().await?;
            Some((piece, relayed))
        })
        .boxed()
    }

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.over {
            return None;
        }
        loop {
            let broken = match self.read().await {
                Step::Piece(piece) => match self.events.push(&piece) {
                    whole if whole.is_empty() => continue,
                    whole => {
                        self.note_pace();
                        return Some(Ok(whole));
                    }
                },
                Step::End if !self.events.is_cut() => {
                    self.cx.note_completed(&self.plan);
                    self.record.end("complete");
                    self.over = true;
                    return None;
                }
                Step::End => "stream ended within an event".to_owned(),
                Step::Broken(message) => message,
                Step::LimitReached => return Some(Err(self.fail("timed-out"))),
            };
            if let Err(reason) = self.resume(&broken).await {
                return Some(Err(self.fail(&reason)));
            }
        }
    }

    /// Counts received events, and records their rate once enough of them have arrived.
    fn note_pace(&mut self) {
        let Some(pace) = self.pace.event(self.cx.now()) else {
            return;
        };
        let source = self.plan.source(&self.answer.running);
        let mut state = self.cx.state();
        state.roll_outs.timed(&source, self.plan.event_pace(), pace);
    }

    /// Time at which the stream counts as slow unless more events arrive before.
    fn slow_at(&self) -> Option<Duration> {
        let bound = self
            .cx
            .state()
            .roll_outs
            .slow_after(self.plan.event_pace())?;
        self.pace.slow_at(bound)
    }

    fn note_slow(&mut self) {
        self.pace.found_slow();
        let source = self.plan.source(&self.answer.running);
        self.cx.state().roll_outs.judged(&source, true);
    }

    async fn read(&mut self) -> Step {
        let gap = self.plan.route().target_gap.unwrap_or(USUAL_GAP);
        let began = Instant::now();
        let mut check = began + gap.mul_f64(PATIENCE);
        loop {
            let slow_at = self.slow_at().map(|at| self.cx.at(at));
            let until = check.min(self.plan.limit).min(slow_at.unwrap_or(check));
            match self.answer.next(until).await {
                Next::Piece(piece) => return Step::Piece(piece),
                Next::Broken(reason) => return Step::Broken(reason),
                Next::End => return Step::End,
                Next::Late if Instant::now() >= self.plan.limit => return Step::LimitReached,
                Next::Late if slow_at.is_some_and(|at| Instant::now() >= at) => self.note_slow(),
                Next::Late if self.is_better_elsewhere(gap, began).await => {
                    return Step::Broken("stream stalled".to_owned());
                }
                Next::Late => check = Instant::now() + gap / 4,
            }
        }
    }

    /// Whether the stream has stalled and another endpoint can resume it.
    ///
    /// Otherwise the relay keeps waiting: a silent endpoint may continue, and ending its stream
    /// without a replacement loses the response.
    async fn is_better_elsewhere(&mut self, gap: Duration, began: Instant) -> bool {
        if self.plan.route().kind != RouteKind::ResumableStream || !self.plan.has_attempts() {
            return false;
        }
        let silence = gap.mul_f64(PATIENCE);
        let stopped =
            self.answer.running.is_dead(silence).await || began.elapsed() >= gap.mul_f64(STUCK);
        let has_other = || self.plan.has_place(&self.cx);
        self.paid = stopped && has_other() && self.cx.may_repeat(&self.plan.service);
        self.paid
    }

    /// Resumes the stream at another endpoint, or returns the reason why that failed.
    async fn resume(&mut self, broken: &str) -> Result<(), String> {
        self.answer.running.silent();
        crashes::note_broken(&self.cx, &self.plan, &self.answer.running);
        self.events.drop_part();
        let last_event = self.events.last();
        let mut reason = broken.to_owned();
        while self.plan.route().kind == RouteKind::ResumableStream
            && self.plan.has_attempts()
            && (std::mem::take(&mut self.paid) || self.cx.may_repeat(&self.plan.service))
        {
            let how = SendOptions {
                last_event,
                may_abandon: self.plan.has_attempts_after_next(),
            };
            self.cx.metrics.repeats.inc();
            match attempt::attempt(&self.cx, &mut self.plan, how).await {
                Ok(answer) if answer.head.status.is_success() => {
                    log::info!(
                        target: "stream",
                        "event=resumed id={} after={last_event:?} from={} to={} reason={reason:?}",
                        self.plan.facts.id.as_deref().unwrap_or("-"),
                        self.answer.running.id, answer.running.id
                    );
                    self.cx.metrics.resumed.inc();
                    self.answer = answer;
                    self.pace = StreamPace::default();
                    return Ok(());
                }
                Ok(answer) => reason = format!("status {} on resumption", answer.head.status),
                Err(Failure::NoEndpoint(_)) => return Err(format!("{reason}, no other endpoint")),
                Err(Failure::Quarantined { .. }) => return Err(format!("{reason}, quarantined")),
                Err(err) => reason = format!("{err:?}"),
            }
        }
        Err(reason)
    }

    fn fail(&mut self, reason: &str) -> io::Error {
        self.over = true;
        self.record.end(reason);
        io::Error::new(io::ErrorKind::ConnectionAborted, reason.to_owned())
    }
}

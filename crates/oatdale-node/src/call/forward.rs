//! Hands an answer on to the caller as it comes, and holds back its end until the bill is safe.

use crate::call::CallState;
use crate::call::answered::name_answer;
use crate::call::attempt::{caller_gone, gone};
use crate::call::rated::add_stream_text;
use crate::problem::{Problem, Run};
use crate::reply::{Body, Incomplete, Reply};
use crate::route::Routed;
use bytes::{Bytes, BytesMut};
use futures::stream;
use http::header::CONTENT_LENGTH;
use http::{StatusCode, response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use log::info;
use oatdale_journal::Outcome as Ending;
use oatdale_platform::chat::Usage;
use oatdale_platform::sse::Events;
use oatdale_platform::{Answer, CallError, ChatStream};
use oatdale_policy::AttemptResult;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

/// Pieces of an answer that may wait for a slow caller; more make the endpoint wait.
const WAITING_PIECES: usize = 8;

/// Bytes of an answer's text that are kept for a late rating.
const MAX_RATED_TEXT: usize = 64 << 10;

/// An answer to hand on.
pub(crate) enum Forward {
    /// A streamed chat completion.
    Chat(ChatStream),
    /// A plain service's answer, with the bytes that are still to come if it says how many.
    Plain(Answer, Option<u64>),
}

/// How handing an answer on ended.
pub(crate) struct Forwarded {
    /// Whether all of it went to the caller.
    pub(crate) whole: bool,
    failure: Option<Failure>,
    status: StatusCode,
    usage: Usage,
    /// Its text, if it is to be rated.
    pub(crate) text: String,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Failure {
    Endpoint,
    Deadline,
    Caller,
}

impl Forwarded {
    /// What the log says of it.
    pub(crate) fn status(&self) -> StatusCode {
        match self.failure {
            None => self.status,
            Some(Failure::Endpoint) => StatusCode::BAD_GATEWAY,
            Some(Failure::Deadline) => StatusCode::GATEWAY_TIMEOUT,
            Some(Failure::Caller) => caller_gone(),
        }
    }

    /// What the router is told.
    pub(crate) fn result(&self) -> AttemptResult {
        match self.failure {
            None => AttemptResult::Complete {
                rating: None,
                output_tokens: self.usage.completion_tokens,
            },
            Some(Failure::Endpoint) => AttemptResult::Broken,
            Some(Failure::Deadline) => AttemptResult::TimedOut,
            Some(Failure::Caller) => AttemptResult::Cancelled,
        }
    }
}

impl Forward {
    /// A plain service's answer.
    pub(crate) fn plain(answer: Answer) -> Forward {
        let length = answer
            .head
            .headers
            .get(CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        Forward::Plain(answer, length)
    }

    fn head(&self) -> &response::Parts {
        match self {
            Forward::Chat(stream) => stream.head(),
            Forward::Plain(answer, _) => &answer.head,
        }
    }

    fn status(&self) -> StatusCode {
        self.head().status
    }

    async fn next(&mut self, deadline: tokio::time::Instant) -> Result<Option<Bytes>, CallError> {
        match self {
            Forward::Chat(stream) => stream.next(deadline).await,
            Forward::Plain(answer, length) => {
                let piece = answer.next(deadline).await?;
                if let (Some(left), Some(piece)) = (length.as_mut(), &piece) {
                    *left = left.saturating_sub(piece.len() as u64);
                }
                Ok(piece)
            }
        }
    }

    /// Whether the pieces so far make the answer look whole to its reader, so that the last of
    /// them must wait for the bill.
    ///
    /// An answer without a length ends by the end of its message, which is held back in any case.
    fn looks_whole(&self) -> bool {
        match self {
            Forward::Chat(stream) => stream.is_done(),
            Forward::Plain(_, length) => *length == Some(0),
        }
    }

    fn usage(&self) -> Usage {
        match self {
            Forward::Chat(stream) => {
                let seen = stream.seen();
                let events = u32::try_from(seen.events).unwrap_or(u32::MAX);
                seen.usage.unwrap_or_else(|| Usage::new(0, events))
            }
            Forward::Plain(..) => Usage::default(),
        }
    }
}

type Pieces = mpsc::Sender<Result<Frame<Bytes>, Incomplete>>;

/// The way to the caller once the answer's head has gone.
struct Sink {
    tx: Pieces,
}

impl CallState {
    /// Hands an answer on.
    ///
    /// # Errors
    ///
    /// The endpoint failed before any of the answer went to the caller, so another attempt may
    /// still answer.
    pub(crate) async fn forward_answer(
        &mut self,
        routed: &Routed,
        mut source: Forward,
        version: Option<String>,
    ) -> Result<Forwarded, CallError> {
        let deadline = self.job.deadline;
        let first = tokio::select! {
            piece = source.next(deadline) => piece?,
            () = gone(&mut self.reply) => return Ok(self.broken(routed, &source, Failure::Caller).await),
        };
        self.opening_held().await;
        let sink = self.start_answer(&source, version.as_deref());
        self.cx.metrics.first_byte(self.started.elapsed());
        self.pump(routed, source, sink, first).await
    }

    async fn pump(
        &mut self,
        routed: &Routed,
        mut source: Forward,
        sink: Sink,
        first: Option<Bytes>,
    ) -> Result<Forwarded, CallError> {
        let deadline = self.job.deadline;
        let mut text = RatedText::new(self.wants_rating(routed));
        let mut end = BytesMut::new();
        let mut piece = first;
        loop {
            let Some(bytes) = piece else { break };
            text.add(&bytes);
            match source.looks_whole() {
                true => end.extend_from_slice(&bytes),
                false => match timeout_at(deadline, sink.send(bytes)).await {
                    Ok(true) => {}
                    Ok(false) => return Ok(self.broken(routed, &source, Failure::Caller).await),
                    Err(_) => {
                        return Ok(self
                            .cut_off(routed, &source, &sink, Failure::Deadline)
                            .await);
                    }
                },
            }
            let next = tokio::select! {
                next = source.next(deadline) => next,
                () = sink.tx.closed() => {
                    return Ok(self.broken(routed, &source, Failure::Caller).await);
                }
            };
            piece = match next {
                Ok(next) => next,
                Err(CallError::TimedOut) => {
                    return Ok(self
                        .cut_off(routed, &source, &sink, Failure::Deadline)
                        .await);
                }
                Err(err) => {
                    info!(target: "call", "event=answer_cut request={} error={:?}", self.job.id, err.to_string());
                    return Ok(self
                        .cut_off(routed, &source, &sink, Failure::Endpoint)
                        .await);
                }
            };
        }
        let usage = source.usage();
        self.add_cost(routed, usage);
        self.close_bill(Ending::Complete).await;
        let delivered = end.is_empty() || sink.send(end.freeze()).await;
        Ok(Forwarded {
            whole: delivered,
            failure: (!delivered).then_some(Failure::Caller),
            status: source.status(),
            usage,
            text: text.text,
        })
    }

    /// Ends an answer that can't be completed: the caller is told in the stream where it can be,
    /// and the message gets no proper end.
    async fn cut_off(
        &mut self,
        routed: &Routed,
        source: &Forward,
        sink: &Sink,
        failure: Failure,
    ) -> Forwarded {
        if matches!(source, Forward::Chat(_)) {
            sink.send_problem(failure, self.job.id.to_string()).await;
        }
        let forwarded = self.broken(routed, source, failure).await;
        // A caller that does not read any more sees the connection close instead.
        let _ = sink.tx.try_send(Err(Incomplete));
        forwarded
    }

    /// Closes the bill of an answer that broke off. What a caller that went away had generated is
    /// charged; what an endpoint failed to complete is not.
    async fn broken(&mut self, routed: &Routed, source: &Forward, failure: Failure) -> Forwarded {
        let usage = source.usage();
        if failure == Failure::Caller {
            self.add_cost(routed, usage);
        }
        self.close_bill(Ending::Interrupted).await;
        Forwarded {
            whole: false,
            failure: Some(failure),
            status: source.status(),
            usage,
            text: String::new(),
        }
    }

    async fn opening_held(&mut self) {
        if let Some(bill) = self.bill.as_mut() {
            bill.held.wait().await;
        }
    }

    fn start_answer(&mut self, source: &Forward, version: Option<&str>) -> Sink {
        let (tx, rx) = mpsc::channel(WAITING_PIECES);
        let mut reply = Reply::from_parts(source.head().clone(), body(rx));
        name_answer(&mut reply, self.job.id, version);
        self.send(reply);
        Sink { tx }
    }
}

impl Sink {
    /// Waits for the caller to read; `false` when it went away.
    async fn send(&self, bytes: Bytes) -> bool {
        self.tx.send(Ok(Frame::data(bytes))).await.is_ok()
    }

    async fn send_problem(&self, failure: Failure, request: String) {
        let (status, detail) = match failure {
            Failure::Deadline => (StatusCode::GATEWAY_TIMEOUT, "the deadline passed"),
            _ => (StatusCode::BAD_GATEWAY, "the endpoint broke off"),
        };
        let problem = Problem {
            status,
            kind: "incomplete",
            detail: detail.to_owned(),
            run: Run::MayHaveRun,
            retry_after: None,
        };
        let mut event = b"data: {\"error\":".to_vec();
        event.extend(problem.document(Some(&request)));
        event.extend_from_slice(b"}\n\n");
        // A caller that does not read would keep the place of its request for ever.
        let _ = self.tx.try_send(Ok(Frame::data(event.into())));
    }
}

fn body(rx: mpsc::Receiver<Result<Frame<Bytes>, Incomplete>>) -> Body {
    let pieces = stream::unfold(rx, |mut rx| async move {
        let piece = rx.recv().await?;
        Some((piece, rx))
    });
    StreamBody::new(pieces).boxed()
}

/// Collects the text of an answer that is to be rated.
struct RatedText {
    wanted: bool,
    events: Events,
    text: String,
}

impl RatedText {
    fn new(wanted: bool) -> RatedText {
        RatedText {
            wanted,
            events: Events::default(),
            text: String::new(),
        }
    }

    fn add(&mut self, piece: &[u8]) {
        if self.wanted && self.text.len() < MAX_RATED_TEXT {
            add_stream_text(&mut self.events, piece, &mut self.text);
        }
    }
}

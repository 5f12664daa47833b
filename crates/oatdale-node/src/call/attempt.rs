//! One attempt: send it, read the answer, tell the router how it ended.

use crate::call::answered::Answered;
use crate::call::forward::{Forward, Forwarded};
use crate::call::work::Work;
use crate::call::{CALLER_GONE, CallState};
use crate::problem::Run;
use crate::reply::Reply;
use crate::route::{Routed, Verdict};
use bytes::Bytes;
use http::{StatusCode, response};
use oatdale_config::{PoolKind, ServiceKind};
use oatdale_journal::Outcome as Ending;
use oatdale_platform::chat::{ChatResponse, Usage};
use oatdale_platform::wire::Load;
use oatdale_platform::{Answer, Call, CallError, ChatStream, Reuse};
use oatdale_policy::{AttemptResult, LoadReport, Outcome};
use std::time::Duration;
use tokio::time::Instant;

/// Bytes of an answer that is read whole before it is handed on.
const MAX_WHOLE: usize = 32 << 20;

/// Urgency of work whose users weigh latency first, and of other work, as in RFC 9218.
const URGENCY: [u8; 2] = [2, 4];

/// How an attempt ended here, before the router knows of it.
enum End {
    /// A whole answer is kept back.
    Kept { answered: Answered, usage: Usage },
    /// The answer went to the caller as it came.
    Forwarded(Forwarded),
    /// It failed before any of it went to the caller.
    Failed(CallError),
    /// The caller went away.
    Gone,
}

impl CallState {
    /// Sends one attempt and asks the router what follows.
    pub(crate) async fn attempt(&mut self, routed: &Routed) -> Verdict {
        let sent_at = Instant::now();
        let before = self.ran;
        // From here on a byte may be written.
        self.ran = Run::MayHaveRun;
        let answer = self.send_attempt(routed).await;
        let first_byte = answer.as_ref().ok().map(|_| sent_at.elapsed());
        let end = match answer {
            Ok(Some(answer)) => self.read(routed, answer).await,
            Ok(None) => End::Gone,
            Err(err) => {
                if err.is_not_run() {
                    self.ran = before;
                }
                End::Failed(err)
            }
        };
        self.finish(routed, end, first_byte, sent_at.elapsed())
            .await
    }

    /// Sends the attempt; `None` when the caller went away, by which the endpoint stops.
    async fn send_attempt(&mut self, routed: &Routed) -> Result<Option<Answer>, CallError> {
        let cfg = &routed.live.cfg;
        let addr = cfg.endpoints[routed.dispatch.endpoint].address;
        let call = Call {
            request: self.job.id.to_string(),
            attempt: routed.dispatch.attempt,
            urgency: self.urgency(),
            deadline: self.job.deadline,
        };
        let version = routed.dispatch.version.map(|key| cfg.version_name(key));
        let reuse = match self.job.request_info.idempotent {
            true => Reuse::Allowed,
            false => Reuse::Never,
        };
        let (engines, plain) = (&self.cx.engines, &self.cx.plain);
        let sending = async {
            match &mut self.job.work {
                Work::Chat(chat) => {
                    let body = chat.body_for(version.as_deref().unwrap_or_default());
                    engines.chat_over(addr, &call, body, reuse).await
                }
                Work::Plain(work) => plain.call(addr, &call, work.request(), reuse).await,
            }
        };
        let Some(reply) = self.reply.as_mut() else {
            return Ok(None);
        };
        tokio::select! {
            answer = sending => answer.map(Some),
            () = reply.closed() => Ok(None),
        }
    }

    async fn read(&mut self, routed: &Routed, answer: Answer) -> End {
        if let Some(load) = &answer.load {
            self.report_load(routed, load);
        }
        let streams = match &self.job.work {
            Work::Chat(chat) => chat.request.stream && answer.head.status.is_success(),
            Work::Plain(_) => false,
        };
        let plain = matches!(self.job.work, Work::Plain(_));
        match (routed.dispatch.needs_rating, streams, plain) {
            (false, true, _) => {
                self.forward(routed, Forward::Chat(ChatStream::new(answer)))
                    .await
            }
            (false, false, true) => self.forward(routed, Forward::plain(answer)).await,
            (_, true, _) => self.keep_stream(routed, answer).await,
            (_, false, _) => self.keep_whole(routed, answer).await,
        }
    }

    /// Reads a streamed answer to its end without handing any of it on.
    async fn keep_stream(&mut self, routed: &Routed, answer: Answer) -> End {
        let head = answer.head.clone();
        let mut stream = ChatStream::new(answer);
        let mut body = Vec::new();
        loop {
            let piece = tokio::select! {
                piece = stream.next(self.job.deadline) => piece,
                () = gone(&mut self.reply) => return End::Gone,
            };
            match piece {
                Ok(Some(piece)) if body.len() + piece.len() <= MAX_WHOLE => {
                    body.extend_from_slice(&piece);
                }
                Ok(Some(_)) => return End::Failed(too_long()),
                Ok(None) => break,
                Err(err) => return End::Failed(err),
            }
        }
        let usage = stream.seen().usage.unwrap_or_default();
        self.kept(routed, head, body.into(), usage)
    }

    /// Reads an answer that is one JSON document.
    async fn keep_whole(&mut self, routed: &Routed, answer: Answer) -> End {
        let head = answer.head.clone();
        let body = tokio::select! {
            body = answer.collect(MAX_WHOLE, self.job.deadline) => body,
            () = gone(&mut self.reply) => return End::Gone,
        };
        let body = match body {
            Ok(body) => body,
            Err(err) => return End::Failed(err),
        };
        if !head.status.is_success() {
            return self.kept(routed, head, body, Usage::default());
        }
        match serde_json::from_slice::<ChatResponse>(&body) {
            Ok(response) => {
                let usage = response.usage.unwrap_or_default();
                self.kept(routed, head, body, usage)
            }
            // An engine that answers something else has failed; a caller must not be told that
            // half a document is its answer.
            Err(err) => End::Failed(CallError::Broken {
                status: Some(head.status),
                message: format!("the answer is no chat completion: {err}"),
            }),
        }
    }

    fn kept(&self, routed: &Routed, head: response::Parts, body: Bytes, usage: Usage) -> End {
        End::Kept {
            answered: Answered {
                head,
                body,
                version: version_name(routed),
            },
            usage,
        }
    }

    async fn forward(&mut self, routed: &Routed, source: Forward) -> End {
        match self
            .forward_answer(routed, source, version_name(routed))
            .await
        {
            Ok(forwarded) => End::Forwarded(forwarded),
            Err(err) => End::Failed(err),
        }
    }

    async fn finish(
        &mut self,
        routed: &Routed,
        end: End,
        first_byte: Option<Duration>,
        total: Duration,
    ) -> Verdict {
        let ticket = routed.dispatch.ticket;
        let (result, forwarded) = match end {
            End::Gone => {
                self.status = caller_gone();
                self.cx.route.cancel(ticket);
                self.close_bill(Ending::Interrupted).await;
                return Verdict::Done;
            }
            End::Failed(err) => {
                log::info!(
                    target: "call",
                    "event=attempt_failed request={} attempt={} error={:?}",
                    self.job.id,
                    routed.dispatch.attempt,
                    err.to_string()
                );
                (result_of(&err, self.job.request_info.idempotent), false)
            }
            End::Kept { answered, usage } => (self.keep(routed, answered, usage).await, false),
            End::Forwarded(forwarded) => {
                self.status = forwarded.status();
                if forwarded.whole {
                    self.rate_later(routed, &forwarded.text);
                }
                (forwarded.result(), true)
            }
        };
        let outcome = Outcome {
            result,
            forwarded,
            first_byte,
            total,
        };
        match (forwarded, self.cx.route.finish(ticket, outcome).await) {
            // The caller has its answer, or the part that came; nothing can be added to it.
            (true, _) => Verdict::Done,
            (false, verdict) => verdict,
        }
    }

    /// Keeps a complete answer, has it rated if the router wants to know, and counts its cost.
    async fn keep(&mut self, routed: &Routed, answered: Answered, usage: Usage) -> AttemptResult {
        self.add_cost(routed, usage);
        let rating = match routed.dispatch.needs_rating {
            true => self.verdict(routed, &answered).await,
            false => {
                if answered.head.status.is_success() {
                    self.rate_later_bytes(routed, &answered.body);
                }
                None
            }
        };
        self.kept = Some(answered);
        AttemptResult::Complete {
            rating,
            output_tokens: usage.completion_tokens,
        }
    }
    /// Counts what an attempt used.
    pub(crate) fn add_cost(&mut self, routed: &Routed, usage: Usage) {
        if let Some(key) = routed.dispatch.version {
            let cfg = &routed.live.cfg;
            self.cost
                .add(&cfg.version_name(key), cfg.versions[key].price, usage);
        }
    }
    fn report_load(&self, routed: &Routed, load: &Load) {
        let report = LoadReport {
            running: load.running,
            waiting: load.waiting,
            age: load.age(),
        };
        self.cx.route.load(
            routed.live.revision,
            routed.dispatch.endpoint,
            report,
            load.leaving,
        );
    }

    fn urgency(&self) -> u8 {
        let cfg = &self.job.live.cfg;
        let service = &cfg.services[self.job.request_info.service];
        let latency_first = match service.kind {
            ServiceKind::Model { latency_weight, .. } => latency_weight >= 0.5,
            ServiceKind::Plain => cfg.pools[service.pool].kind == PoolKind::Plain,
        };
        URGENCY[usize::from(!latency_first)]
    }
}

/// Returns once the caller has gone away.
pub(crate) async fn gone(reply: &mut Option<tokio::sync::oneshot::Sender<Reply>>) {
    match reply {
        Some(reply) => reply.closed().await,
        None => std::future::pending().await,
    }
}

/// The full name of the version that an attempt names.
pub(super) fn version_name(routed: &Routed) -> Option<String> {
    let key = routed.dispatch.version?;
    Some(routed.live.cfg.version_name(key))
}

fn result_of(err: &CallError, idempotent: bool) -> AttemptResult {
    match err {
        CallError::NotSent { .. } => AttemptResult::NotSent,
        // The endpoint has no room, whichever request it refused; but only a call that may be repeated
        // goes on from a refusal that may be another's.
        CallError::NotStarted { retry_after, .. } if idempotent || err.is_not_run() => {
            AttemptResult::NotStarted {
                retry_after: *retry_after,
            }
        }
        CallError::NotStarted { .. } | CallError::Broken { .. } => AttemptResult::Broken,
        CallError::TimedOut => AttemptResult::TimedOut,
    }
}

/// What the log says of a request whose caller went away.
pub(crate) fn caller_gone() -> StatusCode {
    StatusCode::from_u16(CALLER_GONE).unwrap_or(StatusCode::BAD_REQUEST)
}

fn too_long() -> CallError {
    CallError::Broken {
        status: None,
        message: format!("the answer is longer than {MAX_WHOLE} bytes"),
    }
}

//! Chat completions: the request is checked, queued and answered whole or as events.

use crate::engine::Fault;
use crate::engine::batch::{Event, Job, READER_LAG};
use crate::engine::core::Core;
use crate::server::{Body, CloseConnection, Reply};
use crate::{reply, text};
use bytes::Bytes;
use futures::{Stream, stream};
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use oatdale_platform::chat::{
    ChatRequest, ChatResponse, Choice, Chunk, ChunkChoice, Delta, Message, Usage,
};
use oatdale_platform::wire;
use std::io;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;

/// Tokens of an answer when the request sets no limit.
const DEFAULT_TOKENS: u32 = 32;

/// Tokens that an answer has at most, whatever the request asks for.
const MAX_TOKENS: u32 = 100_000;

/// Priority of a request that names none.
const DEFAULT_PRIORITY: u8 = 3;

/// When to come back to an engine whose queue is full.
const QUEUE_PAUSE: Duration = Duration::from_millis(500);

/// Names an answer and says what it used.
#[derive(Clone, Debug)]
struct Answer {
    id: String,
    created: u64,
    model: String,
    usage: Usage,
    include_usage: bool,
}

pub(crate) async fn chat(core: &Core, req: Request<Incoming>) -> Reply {
    let request_id = reply::header_text(&req, wire::REQUEST_ID)
        .unwrap_or("unnamed")
        .to_owned();
    let priority = reply::header_text(&req, "priority").and_then(urgency);
    let body = reply::read(req).await.map_err(|_| CloseConnection)?;
    let ask: ChatRequest = match serde_json::from_slice(&body) {
        Ok(ask) => ask,
        Err(err) => return Ok(reply::error(StatusCode::BAD_REQUEST, &err.to_string())),
    };
    if let Some(refusal) = core.refusal(&ask.model) {
        return Ok(refusal);
    }
    let fault = core.fault(&ask.model);
    match fault {
        Some(Fault::Errors) => {
            core.note_call(&request_id, &ask.model);
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Ok(reply::error(status, "the engine failed"));
        }
        Some(Fault::Reset) => {
            core.note_call(&request_id, &ask.model);
            return Err(CloseConnection);
        }
        _ => {}
    }
    let (job, answer, rx) = prepare(core, &ask, request_id.clone(), priority, fault);
    if core.submit(job).is_err() {
        return Ok(queue_full());
    }
    core.note_call(&request_id, &ask.model);
    let mut res = match ask.stream {
        true => streamed(answer, rx),
        false => whole(answer, rx).await?,
    };
    reply::set(&mut res, wire::LOAD, &core.load().to_header());
    Ok(res)
}

fn prepare(
    core: &Core,
    ask: &ChatRequest,
    request_id: String,
    priority: Option<u8>,
    fault: Option<Fault>,
) -> (Job, Answer, mpsc::Receiver<Event>) {
    let prompt = ask.prompt();
    let tokens = ask.max_tokens.unwrap_or(DEFAULT_TOKENS);
    let tokens = tokens.clamp(1, MAX_TOKENS);
    let quality = match fault {
        Some(Fault::LowQuality) => 0.0,
        _ => core.quality(&ask.model),
    };
    let words = text::answer(&ask.model, &prompt, quality, tokens);
    let prompt_tokens = text::tokens(&prompt);
    let cached = core.read_prompt(&ask.model, &prompt);
    let (tx, rx) = mpsc::channel(READER_LAG);
    let job = Job {
        request: request_id,
        priority: priority.unwrap_or(DEFAULT_PRIORITY),
        prefill: prompt_tokens.saturating_sub(cached),
        answer: words.into(),
        fault,
        tx,
    };
    let answer = Answer {
        id: format!("chatcmpl-{:016x}", text::hash((&job.request, &prompt))),
        created: unix_seconds(),
        model: ask.model.clone(),
        usage: Usage::new(prompt_tokens, tokens).with_cached(cached),
        include_usage: ask.stream_options.is_some_and(|o| o.include_usage),
    };
    (job, answer, rx)
}

fn queue_full() -> Response<Body> {
    let status = StatusCode::TOO_MANY_REQUESTS;
    reply::not_started(status, "the queue is full", Some(QUEUE_PAUSE))
}

/// The number of a `Priority: u=N` header.
fn urgency(header: &str) -> Option<u8> {
    header
        .split(',')
        .find_map(|p| p.trim().strip_prefix("u=")?.parse().ok())
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}

async fn whole(
    answer: Answer,
    mut rx: mpsc::Receiver<Event>,
) -> Result<Response<Body>, CloseConnection> {
    let mut text = String::new();
    loop {
        match rx.recv().await {
            Some(Event::Token(token)) => text.push_str(&token),
            Some(Event::Done) => break,
            Some(Event::Cut | Event::Break) | None => return Err(CloseConnection),
        }
    }
    let response = ChatResponse {
        id: answer.id,
        object: "chat.completion".to_owned(),
        created: answer.created,
        model: answer.model,
        choices: vec![Choice {
            index: 0,
            message: Message::new("assistant", text),
            finish_reason: Some("stop".to_owned()),
        }],
        usage: Some(answer.usage),
    };
    Ok(reply::json(StatusCode::OK, &response))
}

fn streamed(answer: Answer, rx: mpsc::Receiver<Event>) -> Response<Body> {
    let mut res = Response::new(reply::stream(events(answer, rx)));
    reply::set(&mut res, header::CONTENT_TYPE.as_str(), "text/event-stream");
    reply::set(&mut res, header::CACHE_CONTROL.as_str(), "no-cache");
    res
}

fn events(
    answer: Answer,
    rx: mpsc::Receiver<Event>,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    stream::unfold(Some((answer, rx)), |state| async move {
        let (answer, mut rx) = state?;
        match rx.recv().await {
            Some(Event::Token(token)) => {
                let piece = answer.piece(Some(token), None);
                Some((Ok(event(&piece)), Some((answer, rx))))
            }
            Some(Event::Done) => Some((Ok(answer.end()), None)),
            Some(Event::Cut) => None,
            Some(Event::Break) | None => {
                let err = io::Error::other("the stand-in breaks the stream");
                Some((Err(err), None))
            }
        }
    })
}

impl Answer {
    fn piece(&self, content: Option<String>, finish_reason: Option<&str>) -> Chunk {
        self.chunk(vec![ChunkChoice {
            index: 0,
            delta: Delta {
                role: None,
                content,
            },
            finish_reason: finish_reason.map(str::to_owned),
        }])
    }

    fn chunk(&self, choices: Vec<ChunkChoice>) -> Chunk {
        Chunk {
            id: self.id.clone(),
            object: "chat.completion.chunk".to_owned(),
            created: self.created,
            model: self.model.clone(),
            choices,
            usage: None,
        }
    }

    /// The last events: the reason for the end, the usage if asked for, and the terminator.
    fn end(&self) -> Bytes {
        let mut buf = event(&self.piece(None, Some("stop"))).to_vec();
        if self.include_usage {
            let usage = Chunk {
                usage: Some(self.usage),
                ..self.chunk(Vec::new())
            };
            buf.extend_from_slice(&event(&usage));
        }
        buf.extend_from_slice(b"data: [DONE]\n\n");
        buf.into()
    }
}

fn event(chunk: &Chunk) -> Bytes {
    let json = serde_json::to_string(chunk).expect("wire types have string keys");
    format!("data: {json}\n\n").into()
}

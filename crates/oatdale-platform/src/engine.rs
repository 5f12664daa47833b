//! Client of the model engines.

use crate::cache_events::CacheEvents;
use crate::call::{self, Answer, Call, CallError};
use crate::pool::{Pool, Reuse};
use crate::sse::{Scanner, Summary};
use crate::wire::{self, Held, Load, Order, Ordered, StaleFencing};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, response};
use http_body_util::Full;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use std::net::SocketAddr;
use tokio::time::Instant;

/// Bytes that the answer to an order may have.
const MAX_ORDER: usize = 1 << 20;

/// The highest number of RFC 9218's urgencies.
const LEAST_URGENT: u8 = 7;

/// Talks to engines; clones share their connections.
#[derive(Clone, Debug, Default)]
pub struct EngineClient {
    pool: Pool,
}

/// A streamed answer that is handed on as it comes.
#[derive(Debug)]
pub struct ChatStream {
    answer: Answer,
    scanner: Scanner,
}

impl EngineClient {
    /// Makes a client on a pool that others may share.
    pub fn new(pool: Pool) -> Self {
        EngineClient { pool }
    }

    /// Sends a chat completion that may be repeated; see [`EngineClient::chat_over`].
    ///
    /// # Errors
    ///
    /// As [`EngineClient::chat_over`].
    pub async fn chat(
        &self,
        addr: SocketAddr,
        call: &Call,
        body: Bytes,
    ) -> Result<Answer, CallError> {
        self.chat_over(addr, call, body, Reuse::Allowed).await
    }

    /// Sends a chat completion, as JSON whose `model` is `model/version`.
    ///
    /// One that may not be repeated goes with [`Reuse::Never`]: an endpoint may close an idle
    /// connection just as the call is written to it, and it could then not be sent again.
    ///
    /// An answer with a status of 400 to 499 is the caller's matter and is returned as it came.
    /// Dropping the future or the answer closes the connection, by which the engine cancels the
    /// request.
    ///
    /// # Errors
    ///
    /// [`CallError`]; a server error that the engine did not mark as not begun is `Broken`.
    pub async fn chat_over(
        &self,
        addr: SocketAddr,
        call: &Call,
        body: Bytes,
        reuse: Reuse,
    ) -> Result<Answer, CallError> {
        let mut req = call::request(Method::POST, "/v1/chat/completions", Some(body));
        name(&mut req, call)?;
        let answer = call::send(&self.pool, addr, req, reuse, call.deadline).await?;
        let answer = call::not_of_another(answer, &call.request)?;
        call::no_server_error(answer, call.deadline).await
    }

    /// Cancels a request by its id; says whether the engine still had it.
    ///
    /// # Errors
    ///
    /// The engine gave no usable answer.
    pub async fn cancel(
        &self,
        addr: SocketAddr,
        request: &str,
        deadline: Instant,
    ) -> Result<bool, CallError> {
        let id = utf8_percent_encode(request, NON_ALPHANUMERIC);
        let req = call::request(Method::DELETE, &format!("/v1/requests/{id}"), None);
        let answer = call::send(&self.pool, addr, req, Reuse::Allowed, deadline).await?;
        match answer.head.status {
            StatusCode::NO_CONTENT => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            status => Err(unexpected(status)),
        }
    }

    /// Asks for the engine's load.
    ///
    /// # Errors
    ///
    /// The engine gave no usable answer.
    pub async fn load(&self, addr: SocketAddr, deadline: Instant) -> Result<Load, CallError> {
        let req = call::request(Method::GET, "/v1/load", None);
        call::json(&self.pool, addr, req, deadline).await
    }

    /// Reads what the engine was last ordered to hold and what it holds.
    ///
    /// # Errors
    ///
    /// The engine gave no usable answer.
    pub async fn held(&self, addr: SocketAddr, deadline: Instant) -> Result<Held, CallError> {
        let req = call::request(Method::GET, "/v1/orders", None);
        call::json(&self.pool, addr, req, deadline).await
    }

    /// Orders the engine to hold exactly the named versions.
    ///
    /// An order names a wanted state, so sending one twice does no harm. An engine that checks
    /// fencing numbers answers [`Ordered::Stale`] to one that is older than it has seen; others
    /// accept whatever comes, and [`EngineClient::held`] shows what they made of it.
    ///
    /// # Errors
    ///
    /// The engine gave no usable answer; the order may have taken effect unless
    /// [`CallError::is_not_run`].
    pub async fn order(
        &self,
        addr: SocketAddr,
        order: &Order,
        deadline: Instant,
    ) -> Result<Ordered, CallError> {
        let req = call::request(Method::POST, "/v1/orders", Some(call::to_json(order)));
        let answer = call::send(&self.pool, addr, req, Reuse::Allowed, deadline).await?;
        let status = answer.head.status;
        let body = answer.collect(MAX_ORDER, deadline).await?;
        match status {
            StatusCode::ACCEPTED => Ok(Ordered::Accepted(call::parse(&body)?)),
            StatusCode::CONFLICT => {
                let stale: StaleFencing = call::parse(&body)?;
                Ok(Ordered::Stale {
                    newest: stale.newest,
                })
            }
            status => Err(unexpected(status)),
        }
    }

    /// Follows the changes of the engine's prefix cache after event number `after`.
    ///
    /// # Errors
    ///
    /// The engine gave no usable answer.
    pub async fn cache_events(
        &self,
        addr: SocketAddr,
        after: u64,
        deadline: Instant,
    ) -> Result<CacheEvents, CallError> {
        let path = format!("/v1/cache-events?after={after}");
        let req = call::request(Method::GET, &path, None);
        let answer = call::send(&self.pool, addr, req, Reuse::Allowed, deadline).await?;
        match answer.head.status {
            StatusCode::OK => Ok(CacheEvents::new(answer, after)),
            status => Err(unexpected(status)),
        }
    }

    /// The pool, to forget addresses that are no longer served.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }
}

impl ChatStream {
    /// Reads a streamed answer.
    pub fn new(answer: Answer) -> Self {
        ChatStream {
            answer,
            scanner: Scanner::default(),
        }
    }

    /// The answer's status and headers.
    pub fn head(&self) -> &response::Parts {
        &self.answer.head
    }

    /// The next piece, exactly as the engine wrote it; `None` once the whole answer has come.
    ///
    /// # Errors
    ///
    /// The stream was cut off, ended without its terminator, or reported an error; a caller must
    /// then not see a proper end. `TimedOut` when no piece came before `deadline`.
    pub async fn next(&mut self, deadline: Instant) -> Result<Option<Bytes>, CallError> {
        let piece = self.answer.next(deadline).await?;
        match &piece {
            Some(piece) => self.scanner.push(piece)?,
            None => {
                self.scanner.clone().finish()?;
            }
        }
        Ok(piece)
    }

    /// Whether the terminator is in a piece that has been returned.
    pub fn is_done(&self) -> bool {
        self.scanner.is_done()
    }

    /// Events and usage so far.
    pub fn seen(&self) -> Summary {
        self.scanner.seen()
    }
}

/// Adds the headers that name an attempt.
///
/// Without its id an answer could not be told from others, so a request whose id no header can
/// hold is not sent.
pub(crate) fn name(req: &mut Request<Full<Bytes>>, call: &Call) -> Result<(), CallError> {
    let Some(id) = id_header(&call.request) else {
        return Err(CallError::NotSent {
            message: format!("{:?} is no request id", call.request),
        });
    };
    let urgency = call.urgency.min(LEAST_URGENT);
    let headers = req.headers_mut();
    headers.insert(wire::REQUEST_ID, id);
    headers.insert(wire::ATTEMPT, call.attempt.into());
    let priority = HeaderValue::try_from(format!("u={urgency}"));
    headers.insert("priority", priority.expect("a digit is a header value"));
    Ok(())
}

fn id_header(id: &str) -> Option<HeaderValue> {
    match id.is_ascii() && !id.is_empty() {
        true => HeaderValue::try_from(id).ok(),
        false => None,
    }
}

fn unexpected(status: StatusCode) -> CallError {
    CallError::Broken {
        status: Some(status),
        message: format!("unexpected status {status}"),
    }
}

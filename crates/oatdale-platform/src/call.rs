//! One attempt of one call to an endpoint, and the exact ways in which it fails.

use crate::pool::{Pool, ResponseConnection, Reuse, SendError, discard_connection};
use crate::sse::SseError;
use crate::wire::{self, Load};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header, response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Bytes of an error answer that are read for its message.
const MAX_MESSAGE: usize = 4 << 10;

/// Bytes that a JSON answer of a platform service may have.
const MAX_JSON: usize = 16 << 20;

/// Why an attempt gave no answer.
///
/// Only [`CallError::NotSent`] and a certain [`CallError::NotStarted`] may ever become "not run" towards a
/// caller; see [`CallError::is_not_run`].
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
pub enum CallError {
    /// No byte was sent.
    #[snafu(display("not sent: {message}"))]
    NotSent {
        /// What was seen.
        message: String,
    },
    /// The endpoint refused and promised that it had not begun.
    #[snafu(display("not started{}: {status}: {message}", match certain {
        true => "",
        false => " (the refusal may be another request's)",
    }))]
    NotStarted {
        /// The status of the refusal.
        status: StatusCode,
        /// Whether the refusal is certainly this request's: it names it, or it names none and is the
        /// first response on its connection.
        certain: bool,
        /// When the endpoint wants to be asked again.
        retry_after: Option<Duration>,
        /// What the endpoint said.
        message: String,
    },
    /// It failed after the endpoint may have received it; it may have run.
    #[snafu(display("broken: {message}"))]
    Broken {
        /// The status, if an answer's head came.
        status: Option<StatusCode>,
        /// What was seen.
        message: String,
    },
    /// The deadline passed after it may have been received; it may have run.
    #[snafu(display("no answer before the deadline"))]
    TimedOut,
}

/// What names an attempt and bounds it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Call {
    /// The request's id, the same for all its attempts.
    pub request: String,
    /// Counts the attempts from 1.
    pub attempt: u16,
    /// How urgent it is, from 0 (first) to 7, as in RFC 9218.
    pub urgency: u8,
    /// When the answer's head must have come.
    pub deadline: Instant,
}

/// An answer whose body is still to be read; dropping it cancels the endpoint's work.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: response::Parts,
    /// The load that an engine reported with its answer.
    pub load: Option<Load>,
    /// The rest of the answer.
    pub body: Incoming,
}

/// Which request an answer names.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Named {
    None,
    This,
    /// Another one, or more than one.
    Other,
}

impl Named {
    pub(crate) fn of(headers: &HeaderMap, id: Option<&HeaderValue>) -> Self {
        let mut named = headers.get_all(wire::REQUEST_ID).iter();
        match (named.next(), named.next()) {
            (None, _) => Named::None,
            (Some(named), None) if Some(named) == id => Named::This,
            _ => Named::Other,
        }
    }
}

impl CallError {
    /// Whether it is certain that the endpoint ran nothing.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            CallError::NotSent { .. } | CallError::NotStarted { certain: true, .. }
        )
    }

    pub(crate) fn broken(message: &impl ToString) -> Self {
        CallError::Broken {
            status: None,
            message: message.to_string(),
        }
    }
}

impl From<SendError> for CallError {
    fn from(err: SendError) -> Self {
        match err {
            SendError::NotSent { message } => CallError::NotSent { message },
            SendError::Broken { message } => CallError::broken(&message),
            SendError::TimedOut => CallError::TimedOut,
        }
    }
}

impl From<SseError> for CallError {
    fn from(err: SseError) -> Self {
        CallError::broken(&err)
    }
}

impl Answer {
    /// The next piece of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// The body was cut off, or the deadline passed.
    pub async fn next(&mut self, deadline: Instant) -> Result<Option<Bytes>, CallError> {
        loop {
            match timeout_at(deadline, self.body.frame()).await {
                Err(_) => return Err(CallError::TimedOut),
                Ok(None) => return Ok(None),
                Ok(Some(Err(err))) => return Err(CallError::broken(&err)),
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => return Ok(Some(data)),
                    Err(_trailers) => continue,
                },
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// The body was cut off or is longer than `limit`, or the deadline passed.
    pub async fn collect(self, limit: usize, deadline: Instant) -> Result<Bytes, CallError> {
        match timeout_at(deadline, Limited::new(self.body, limit).collect()).await {
            Err(_) => Err(CallError::TimedOut),
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(err)) if err.is::<LengthLimitError>() => Err(CallError::broken(&format!(
                "the answer is longer than {limit} bytes"
            ))),
            Ok(Err(err)) => Err(CallError::broken(&err)),
        }
    }
}

/// Sends a call and sorts out refusals by endpoints that did not begin.
pub(crate) async fn send(
    pool: &Pool,
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    reuse: Reuse,
    deadline: Instant,
) -> Result<Answer, CallError> {
    let id = req.headers().get(wire::REQUEST_ID).cloned();
    let (head, body) = pool.send(addr, req, reuse, deadline).await?.into_parts();
    let load = head
        .headers
        .get(wire::LOAD)
        .and_then(|text| Load::from_header(text.to_str().ok()?));
    let answer = Answer { head, load, body };
    match wire::is_not_started(&answer.head.headers) {
        false => Ok(answer),
        true => Err(CallError::NotStarted {
            status: answer.head.status,
            certain: is_certain(&answer.head, id.as_ref()),
            retry_after: wire::retry_after(&answer.head.headers),
            message: message(answer, deadline).await,
        }),
    }
}

/// Whether a refusal is certainly that of the request with this id.
///
/// One that is not ends its connection, so that a refusal of the next request is that connection's first.
fn is_certain(refusal: &response::Parts, id: Option<&HeaderValue>) -> bool {
    let connection = ResponseConnection::of(refusal);
    let certain = match Named::of(&refusal.headers, id) {
        Named::This => true,
        Named::None => connection.is_some_and(|c| c.earlier_responses() == 0),
        Named::Other => false,
    };
    if !certain {
        discard_connection(refusal);
    }
    certain
}

/// Turns an answer that names another request into [`CallError::Broken`], and ends its connection.
pub(crate) fn not_of_another(answer: Answer, id: &str) -> Result<Answer, CallError> {
    let id = HeaderValue::try_from(id).ok();
    if Named::of(&answer.head.headers, id.as_ref()) != Named::Other {
        return Ok(answer);
    }
    discard_connection(&answer.head);
    Err(CallError::Broken {
        status: Some(answer.head.status),
        message: "the answer names another request".to_owned(),
    })
}

/// Turns a server error into [`CallError::Broken`].
pub(crate) async fn no_server_error(
    answer: Answer,
    deadline: Instant,
) -> Result<Answer, CallError> {
    let status = answer.head.status;
    match status.is_server_error() {
        false => Ok(answer),
        true => Err(CallError::Broken {
            status: Some(status),
            message: format!("{status}: {}", message(answer, deadline).await),
        }),
    }
}

/// Sends a call whose answer is JSON.
pub(crate) async fn json<T: DeserializeOwned>(
    pool: &Pool,
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<T, CallError> {
    let answer = send(pool, addr, req, Reuse::Allowed, deadline).await?;
    let status = answer.head.status;
    if !status.is_success() {
        return Err(CallError::Broken {
            status: Some(status),
            message: format!("{status}: {}", message(answer, deadline).await),
        });
    }
    parse(&answer.collect(MAX_JSON, deadline).await?)
}

/// Reads a JSON answer.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body)
        .map_err(|err| CallError::broken(&format!("the answer can't be read: {err}")))
}

/// A request to a platform service.
pub(crate) fn request(method: Method, path: &str, body: Option<Bytes>) -> Request<Full<Bytes>> {
    let has_body = body.is_some();
    let mut req = Request::new(Full::new(body.unwrap_or_default()));
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().expect("paths are percent-encoded");
    if has_body {
        let json = HeaderValue::from_static("application/json");
        req.headers_mut().insert(header::CONTENT_TYPE, json);
    }
    req
}

/// Writes a value that has string keys only.
pub(crate) fn to_json(value: &impl serde::Serialize) -> Bytes {
    serde_json::to_vec(value)
        .expect("wire types have string keys")
        .into()
}

async fn message(answer: Answer, deadline: Instant) -> String {
    match answer.collect(MAX_MESSAGE, deadline).await {
        Ok(body) => String::from_utf8_lossy(&body).trim().to_owned(),
        Err(err) => err.to_string(),
    }
}

//! Answers followers.

use crate::replica::{Question, Replica, Told};
use crate::reply::{Body, plain};
use bytes::Bytes;
use http::{Response, StatusCode};
use hyper::body::Incoming;
use oatdale_platform::read_body;
use std::time::Duration;

/// The longest question, in bytes: a few numbers, names and addresses.
const MOST_QUESTION: usize = 4 << 10;

/// How long each pause in a question may be: it is one packet.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(500);

/// The answer to a follower; 503 if it should ask elsewhere.
pub(crate) async fn answer(replica: &Replica, body: Incoming) -> Response<Body> {
    let question = match read_question(body).await {
        Ok(question) => question,
        Err(reason) => {
            log::warn!(target: "replica", "event=bad_question reason=\"{reason}\"");
            return plain(StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    match replica.tell(question).await {
        Some(told) => encoded(&told),
        None => plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    }
}

async fn read_question(body: Incoming) -> Result<Question, String> {
    let body = read_body(body, MOST_QUESTION, QUESTION_TIMEOUT).await;
    let body = body.map_err(|err| err.to_string())?;
    ciborium::from_reader(body.as_ref()).map_err(|err| err.to_string())
}

fn encoded(told: &Told) -> Response<Body> {
    let mut body = Vec::new();
    match ciborium::into_writer(told, &mut body) {
        Ok(()) => plain(StatusCode::OK, body.into()),
        Err(err) => {
            log::warn!(target: "replica", "event=encode_failed err={err}");
            plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

//! Answers followers.

use crate::replica::{Replica, Told, Topic};
use crate::reply::{Body, plain};
use bytes::Bytes;
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The longest wait that a follower may ask for.
const MOST_WAIT: Duration = Duration::from_secs(10);

/// What a follower asks for, as the path of its request.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub(crate) struct Question {
    pub(crate) topic: Topic,
    /// The revision up to which it has read; unset for everything.
    pub(crate) after: Option<u64>,
    pub(crate) wait_ms: u64,
}

const PATH: &str = "/v1/records/";

impl Question {
    pub(crate) fn path(self) -> String {
        let topic = match self.topic {
            Topic::Operators => "operators",
            Topic::Endpoints => "endpoints",
        };
        let after = self.after.map_or(String::new(), |after| after.to_string());
        format!("{PATH}{topic}/{after}/{}", self.wait_ms)
    }

    /// Reads a path; `None` if it asks for something else.
    pub(crate) fn read(path: &str) -> Option<Question> {
        let mut parts = path.strip_prefix(PATH)?.split('/');
        let topic = match parts.next()? {
            "operators" => Topic::Operators,
            "endpoints" => Topic::Endpoints,
            _ => return None,
        };
        let after = match parts.next()? {
            "" => None,
            after => Some(after.parse().ok()?),
        };
        let wait_ms = parts.next()?.parse().ok()?;
        Some(Question {
            topic,
            after,
            wait_ms,
        })
    }
}

/// The answer to a follower; 503 if it should ask elsewhere.
pub(crate) async fn answer(replica: &Replica, question: Question) -> Response<Body> {
    let wait = Duration::from_millis(question.wait_ms).min(MOST_WAIT);
    match replica.tell(question.topic, question.after, wait).await {
        Some(told) => encoded(&told),
        None => plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    }
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

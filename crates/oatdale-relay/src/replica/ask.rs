//! Asks a reader.

use crate::replica::serve::Question;
use crate::replica::{Told, Topic};
use http::{Request, StatusCode, Uri};
use http_body_util::Full;
use oatdale_platform::{BodyError, Pool, PoolConfig, Reuse, SendError, read_body};
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time for a connection, for an answer's head beside the time that it waits, and for each pause in its body:
/// readers are less than a millisecond away.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest answer: several times the largest value that the key-value service holds.
const MAX_ANSWER: usize = 8 << 20;

/// Why a reader told nothing.
#[derive(Debug, Snafu)]
pub enum AskError {
    /// It could not be asked, or did not answer in time.
    #[snafu(display("no answer: {source}"))]
    NoAnswer {
        /// What was seen.
        source: SendError,
    },
    /// It does not read by itself, or the service does not answer it.
    #[snafu(display("refused with {status}"))]
    Refused {
        /// The answer's status.
        status: StatusCode,
    },
    /// The answer broke off.
    #[snafu(display("{source}"))]
    BrokenOff {
        /// What was seen.
        source: BodyError,
    },
    /// The answer makes no sense.
    #[snafu(display("can't be read: {source}"))]
    Unreadable {
        /// What was seen.
        source: ciborium::de::Error<io::Error>,
    },
}

/// A client of other nodes' replicas.
#[derive(Clone, Debug)]
pub struct RecordsClient {
    pool: Pool,
}

impl Default for RecordsClient {
    fn default() -> Self {
        let pool = Pool::new(PoolConfig {
            connect_timeout: ANSWER_TIMEOUT,
            ..PoolConfig::default()
        });
        RecordsClient { pool }
    }
}

impl RecordsClient {
    /// Asks for what is new of a topic after a revision, or for everything; the reader waits up to `wait` for it.
    ///
    /// # Errors
    ///
    /// [`AskError`]; in each case another node, or the service, has to be asked.
    pub async fn ask(
        &self,
        reader: SocketAddr,
        topic: Topic,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Told, AskError> {
        let question = Question {
            topic,
            after,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let mut req = Request::new(Full::default());
        *req.uri_mut() = Uri::try_from(question.path()).expect("the path is of letters and digits");
        let deadline = Instant::now() + wait + ANSWER_TIMEOUT;
        let sent = self.pool.send(reader, req, Reuse::Allowed, deadline).await;
        let res = sent.context(NoAnswerSnafu)?;
        if res.status() != StatusCode::OK {
            let status = res.status();
            return RefusedSnafu { status }.fail();
        }
        let body = read_body(res.into_body(), MAX_ANSWER, ANSWER_TIMEOUT).await;
        let body = body.context(BrokenOffSnafu)?;
        ciborium::from_reader(body.as_ref()).context(UnreadableSnafu)
    }
}

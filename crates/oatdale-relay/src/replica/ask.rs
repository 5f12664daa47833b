//! Asks a reader.

use crate::replica::request::{KNOWN_PATH, PATH};
use crate::replica::{FetchRequest, ReplicaUpdate};
use crate::versions::KnownVersions;
use http::{Method, Request, StatusCode, Uri};
use http_body_util::Full;
use oatdale_platform::{BodyError, Pool, PoolConfig, Reuse, SendError, read_body};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time for a connection, and for each pause in an answer's body.
const PAUSE: Duration = Duration::from_millis(500);

/// The longest answer: several times the largest value that the key-value service holds.
const MAX_ANSWER: usize = 8 << 20;

/// Why a reader told nothing.
#[derive(Debug, Snafu)]
pub enum AskError {
    /// The question could not be written.
    #[snafu(display("not written: {source}"))]
    NotWritten {
        /// What was seen.
        source: ciborium::ser::Error<io::Error>,
    },
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
            connect_timeout: PAUSE,
            ..PoolConfig::default()
        });
        RecordsClient { pool }
    }
}

impl RecordsClient {
    /// Asks for what is new of a topic; the answer begins within `patience` beside the time that the question waits.
    ///
    /// # Errors
    ///
    /// [`AskError`]; in each case another node, or the service, has to be asked.
    pub async fn ask(
        &self,
        reader: SocketAddr,
        question: &FetchRequest,
        patience: Duration,
    ) -> Result<ReplicaUpdate, AskError> {
        let time = question.wait() + patience;
        self.exchange(reader, PATH, question, time).await
    }

    /// Fetches the versions that a running node has seen, in an era.
    ///
    /// # Errors
    ///
    /// As for [`ask`](RecordsClient::ask).
    pub async fn ask_known(
        &self,
        node: SocketAddr,
        era: u64,
        patience: Duration,
    ) -> Result<Vec<KnownVersions>, AskError> {
        self.exchange(node, KNOWN_PATH, &era, patience).await
    }

    /// Sends a question; the answer begins within `time`.
    async fn exchange<T: DeserializeOwned>(
        &self,
        node: SocketAddr,
        path: &'static str,
        question: &impl Serialize,
        time: Duration,
    ) -> Result<T, AskError> {
        let mut body = Vec::new();
        ciborium::into_writer(question, &mut body).context(NotWrittenSnafu)?;
        let mut req = Request::new(Full::from(body));
        *req.method_mut() = Method::POST;
        *req.uri_mut() = Uri::from_static(path);
        let deadline = Instant::now() + time;
        let sent = self.pool.send(node, req, Reuse::Allowed, deadline).await;
        let res = sent.context(NoAnswerSnafu)?;
        if res.status() != StatusCode::OK {
            let status = res.status();
            return RefusedSnafu { status }.fail();
        }
        let body = read_body(res.into_body(), MAX_ANSWER, PAUSE).await;
        let body = body.context(BrokenOffSnafu)?;
        ciborium::from_reader(body.as_ref()).context(UnreadableSnafu)
    }
}

//! A client that fetches records from readers.

use crate::replica::compression::{ZSTD, decompress};
use crate::replica::request::{RECORDS_PATH, REGISTERED_PATH, VERSIONS_PATH};
use crate::replica::{FetchRequest, ReplicaUpdate};
use crate::update::Node;
use crate::versions::KnownVersions;
use http::{Method, Request, StatusCode, Uri, header};
use http_body_util::Full;
use oatdale_platform::{BodyError, Connector, Pool, PoolConfig, Reuse, SendError, read_body};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout for connecting and for each pause in a response body.
const IO_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum length of a response: several times the largest value that the key-value service holds.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// An error when fetching from a reader.
#[derive(Debug, Snafu)]
pub enum FetchError {
    /// The request could not be encoded.
    #[snafu(display("cannot encode the request: {source}"))]
    Encode {
        /// The underlying error.
        source: ciborium::ser::Error<io::Error>,
    },
    /// The request could not be sent, or no response arrived in time.
    #[snafu(display("no response: {source}"))]
    Send {
        /// The underlying error.
        source: SendError,
    },
    /// The node does not read for others, or the service does not answer it.
    #[snafu(display("request refused: expected status 200, got {status}"))]
    Refused {
        /// The response's status.
        status: StatusCode,
    },
    /// The response body could not be read completely.
    #[snafu(display("cannot read the response body: {source}"))]
    ReadBody {
        /// The underlying error.
        source: BodyError,
    },
    /// The response body is not what its content encoding says.
    #[snafu(display("cannot decompress the response: {source}"))]
    Decompress {
        /// The underlying error.
        source: io::Error,
    },
    /// The response is not valid CBOR of the expected type.
    #[snafu(display("cannot decode the response: {source}"))]
    Decode {
        /// The underlying error.
        source: ciborium::de::Error<io::Error>,
    },
}

/// A client of other nodes' replicas.
#[derive(Clone, Debug)]
pub struct ReplicaClient {
    pool: Pool,
}

impl ReplicaClient {
    /// Creates a client. It connects on the first request.
    pub fn new(connector: Connector) -> Self {
        ReplicaClient::with_connect_timeout(connector, IO_TIMEOUT)
    }

    /// Creates a client whose connections have to open within `connect_timeout`.
    pub fn with_connect_timeout(connector: Connector, connect_timeout: Duration) -> Self {
        let cfg = PoolConfig {
            connect_timeout,
            ..PoolConfig::default()
        };
        ReplicaClient {
            pool: Pool::with_connector(cfg, connector),
        }
    }

    /// Fetches the changes of a topic. The response has to begin within `timeout` in addition to
    /// the request's own wait time.
    ///
    /// # Errors
    ///
    /// [`FetchError`]; in each case the caller has to fetch from another node or the service.
    pub async fn fetch(
        &self,
        reader: SocketAddr,
        request: &FetchRequest,
        timeout: Duration,
    ) -> Result<ReplicaUpdate, FetchError> {
        let response_timeout = request.wait() + timeout;
        self.post(reader, RECORDS_PATH, request, response_timeout)
            .await
    }

    /// Fetches the versions that a running node knows in an era.
    ///
    /// # Errors
    ///
    /// As for [`fetch`](ReplicaClient::fetch).
    pub async fn fetch_versions(
        &self,
        node: SocketAddr,
        era: u64,
        timeout: Duration,
    ) -> Result<Vec<KnownVersions>, FetchError> {
        self.post(node, VERSIONS_PATH, &era, timeout).await
    }

    /// Fetches the registered nodes that a node knows.
    ///
    /// # Errors
    ///
    /// As for [`fetch`](ReplicaClient::fetch).
    pub async fn fetch_registered(
        &self,
        node: SocketAddr,
        timeout: Duration,
    ) -> Result<Vec<Node>, FetchError> {
        self.post(node, REGISTERED_PATH, &(), timeout).await
    }

    /// Posts a payload and decodes the response, which has to begin within `response_timeout`.
    async fn post<T: DeserializeOwned>(
        &self,
        node: SocketAddr,
        path: &'static str,
        payload: &impl Serialize,
        response_timeout: Duration,
    ) -> Result<T, FetchError> {
        let mut body = Vec::new();
        ciborium::into_writer(payload, &mut body).context(EncodeSnafu)?;
        let mut req = Request::new(Full::from(body));
        *req.method_mut() = Method::POST;
        *req.uri_mut() = Uri::from_static(path);
        let deadline = Instant::now() + response_timeout;
        let sent = self.pool.send(node, req, Reuse::Allowed, deadline).await;
        let res = sent.context(SendSnafu)?;
        if res.status() != StatusCode::OK {
            let status = res.status();
            return RefusedSnafu { status }.fail();
        }
        let encoding = res.headers().get(header::CONTENT_ENCODING);
        let is_compressed = encoding.is_some_and(|encoding| encoding == ZSTD);
        let body = read_body(res.into_body(), MAX_RESPONSE_BYTES, IO_TIMEOUT).await;
        let body = body.context(ReadBodySnafu)?;
        if is_compressed {
            let body = decompress(&body).context(DecompressSnafu)?;
            return ciborium::from_reader(body.as_slice()).context(DecodeSnafu);
        }
        ciborium::from_reader(body.as_ref()).context(DecodeSnafu)
    }
}

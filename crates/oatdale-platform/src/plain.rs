//! Client of the plain services.

use crate::call::{self, Answer, Call, CallError};
use crate::engine::name;
use crate::pool::{Pool, Reuse};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, header};
use http_body_util::Full;
use std::net::SocketAddr;

/// Headers that speak of one connection only, and `Expect`, which was answered already.
const OF_ONE_CONNECTION: [HeaderName; 9] = [
    header::CONNECTION,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Talks to plain services; clones share their connections.
#[derive(Clone, Debug, Default)]
pub struct PlainClient {
    pool: Pool,
}

impl PlainClient {
    /// Makes a client on a pool that others may share.
    pub fn new(pool: Pool) -> Self {
        PlainClient { pool }
    }

    /// Sends a request, whose target is a path, and returns whatever answer comes.
    ///
    /// Headers that speak of one connection are taken out both ways. A call that may not be
    /// repeated goes with [`Reuse::Never`]: an endpoint may close an idle connection just as the
    /// call is written to it, and it could then not be sent again.
    ///
    /// # Errors
    ///
    /// [`CallError`]; a server error that is not marked as not begun is an answer like others.
    pub async fn call(
        &self,
        addr: SocketAddr,
        call: &Call,
        req: Request<Bytes>,
        reuse: Reuse,
    ) -> Result<Answer, CallError> {
        let mut req = req.map(Full::new);
        strip(req.headers_mut());
        req.headers_mut().remove(header::CONTENT_LENGTH);
        name(&mut req, call)?;
        let mut answer = call::send(&self.pool, addr, req, reuse, call.deadline).await?;
        strip(&mut answer.head.headers);
        Ok(answer)
    }
}

/// Takes out the headers that speak of one connection, and those that `Connection` names.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|names| names.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&OF_ONE_CONNECTION) {
        headers.remove(name);
    }
}

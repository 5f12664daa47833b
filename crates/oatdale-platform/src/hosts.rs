//! Client of the platform's list of hosts.

use crate::call::{self, CallError};
use crate::pool::Pool;
use crate::wire::{Host, HostList};
use http::Method;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Polls the list of hosts.
///
/// The list lags behind: a host may be gone that it still names, and be up that it does not name
/// yet. It serves as a hint and never as a promise.
#[derive(Clone, Debug)]
pub struct HostListClient {
    pool: Pool,
    addr: SocketAddr,
}

impl HostListClient {
    /// Makes a client of the list at `addr`.
    pub fn new(pool: Pool, addr: SocketAddr) -> Self {
        HostListClient { pool, addr }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// No usable answer came; the list read before stays the best there is.
    pub async fn hosts(&self, deadline: Instant) -> Result<Vec<Host>, CallError> {
        let req = call::request(Method::GET, "/v1/hosts", None);
        let list: HostList = call::json(&self.pool, self.addr, req, deadline).await?;
        Ok(list.hosts)
    }
}

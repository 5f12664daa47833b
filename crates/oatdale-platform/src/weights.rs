//! Client of the weight store, as far as placement needs it.

use crate::call::{self, CallError};
use crate::pool::Pool;
use crate::wire::WeightList;
use http::Method;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Asks the weight store what it holds; engines fetch weights by themselves.
#[derive(Clone, Debug)]
pub struct WeightStoreClient {
    pool: Pool,
    addr: SocketAddr,
}

impl WeightStoreClient {
    /// Makes a client of the store at `addr`.
    pub fn new(pool: Pool, addr: SocketAddr) -> Self {
        WeightStoreClient { pool, addr }
    }

    /// Versions with their sizes, and how long the store is busy with what was asked for.
    ///
    /// # Errors
    ///
    /// No usable answer came.
    pub async fn list(&self, deadline: Instant) -> Result<WeightList, CallError> {
        let req = call::request(Method::GET, "/v1/weights", None);
        call::json(&self.pool, self.addr, req, deadline).await
    }
}

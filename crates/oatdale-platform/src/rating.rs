//! Client of the service that rates answers.

use crate::call::{self, CallError};
use crate::pool::Pool;
use crate::wire::{Rating, Score};
use http::Method;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Asks for ratings.
#[derive(Clone, Debug)]
pub struct RatingClient {
    pool: Pool,
    addr: SocketAddr,
}

impl RatingClient {
    /// Makes a client of the service at `addr`.
    pub fn new(pool: Pool, addr: SocketAddr) -> Self {
        RatingClient { pool, addr }
    }

    /// The score of an answer, from 0 to 1.
    ///
    /// # Errors
    ///
    /// No usable score came in time; one outside 0 to 1 counts as none, since it would spoil every
    /// average that it enters.
    pub async fn rate(&self, rating: &Rating, deadline: Instant) -> Result<f64, CallError> {
        let body = call::to_json(rating);
        let req = call::request(Method::POST, "/v1/ratings", Some(body));
        let Score { score } = call::json(&self.pool, self.addr, req, deadline).await?;
        match (0.0..=1.0).contains(&score) {
            true => Ok(score),
            false => Err(CallError::broken(&format!("{score} is no score"))),
        }
    }
}

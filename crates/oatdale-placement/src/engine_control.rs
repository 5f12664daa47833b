//! Communication with engines.

use oatdale_platform::wire::{Held, Order, Ordered};
use oatdale_platform::{CallError, EngineClient};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Reads the state of engines and sends them orders.
pub trait EngineControl: Clone + Send + Sync + 'static {
    /// Returns the versions that an engine holds and its last accepted order.
    fn held(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> impl Future<Output = Result<Held, CallError>> + Send;

    /// Sends an order. After an error the order may still have taken effect or take effect later.
    fn order(
        &self,
        address: SocketAddr,
        order: &Order,
        timeout: Duration,
    ) -> impl Future<Output = Result<Ordered, CallError>> + Send;
}

impl EngineControl for EngineClient {
    async fn held(&self, address: SocketAddr, timeout: Duration) -> Result<Held, CallError> {
        EngineClient::held(self, address, Instant::now() + timeout).await
    }

    async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
        timeout: Duration,
    ) -> Result<Ordered, CallError> {
        EngineClient::order(self, address, order, Instant::now() + timeout).await
    }
}

//! Buffers callers' bodies, because a retry, a larger model and a resumed stream send them again.

use crate::plan::Plan;
use crate::reply::Refusal;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, timeout_at};

/// How long a caller may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Total bytes of request bodies that are buffered at once: a quarter of the memory of the smallest
/// known host. Without this bound, a few dozen bodies of the size that the configuration allows
/// would exhaust a small host's memory, and the process would be killed with every request in
/// flight.
const HELD_AT_ONCE: usize = 28 << 20;

/// Bytes of each body that need no reservation, so that short bodies never wait for long ones. A
/// host's 4,000 connections with such bodies fit into its memory.
const FREE: usize = 16 << 10;

/// How long a body waits for memory. Bodies that hold part of their memory may wait for each other,
/// so a longer wait would not help.
const MEMORY_WAIT: Duration = Duration::from_secs(1);

/// Memory budget for the bodies of all requests.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory(Arc<Semaphore>);

/// A buffered body and its reservation in the memory budget.
#[derive(Debug, Default)]
pub(crate) struct HeldBody {
    pub(crate) bytes: Bytes,
    _memory: Option<OwnedSemaphorePermit>,
}

impl Default for BodyMemory {
    fn default() -> Self {
        BodyMemory(Arc::new(Semaphore::new(HELD_AT_ONCE)))
    }
}

impl BodyMemory {
    /// Reads a body to its end.
    ///
    /// While there is no memory for it, nothing is read, which applies back pressure to the caller.
    /// Memory is reserved as bytes arrive: a caller that announces a length and sends nothing must
    /// not block others.
    ///
    /// # Errors
    ///
    /// Fails if the body exceeds the size limit, breaks off or is not received in time, or if no
    /// memory becomes free in time.
    pub(crate) async fn read(&self, plan: &Plan, mut body: Incoming) -> Result<HeldBody, Refusal> {
        let limit = plan.site.limits.body_bytes.min(HELD_AT_ONCE);
        if body.size_hint().lower() > limit as u64 {
            return Err(Refusal::TooLarge);
        }
        let until = plan.limit.min(plan.arrival + BODY_TIMEOUT);
        let mut bytes = BytesMut::new();
        let mut memory: Option<OwnedSemaphorePermit> = None;
        loop {
            let frame = timeout_at(until, body.frame()).await;
            let data = match frame.map_err(|_| Refusal::SlowBody)? {
                None => break,
                Some(Err(_)) => return Err(Refusal::BadRequest),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let length = bytes.len() + data.len();
            if length > limit {
                return Err(Refusal::TooLarge);
            }
            let held = memory.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
            let missing = length.saturating_sub(FREE + held);
            if missing > 0 {
                let more = self.take(missing).await?;
                match &mut memory {
                    Some(memory) => memory.merge(more),
                    None => memory = Some(more),
                }
            }
            bytes.extend_from_slice(&data);
        }
        Ok(HeldBody {
            bytes: bytes.freeze(),
            _memory: memory,
        })
    }

    async fn take(&self, bytes: usize) -> Result<OwnedSemaphorePermit, Refusal> {
        let bytes = u32::try_from(bytes).map_err(|_| Refusal::TooLarge)?;
        let memory = timeout(MEMORY_WAIT, self.0.clone().acquire_many_owned(bytes)).await;
        match memory {
            Ok(Ok(memory)) => Ok(memory),
            // The semaphore is never closed; if it were, the caller could still retry.
            Ok(Err(_)) | Err(_) => Err(Refusal::NoMemory),
        }
    }
}

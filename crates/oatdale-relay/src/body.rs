//! Buffers callers' bodies, because a retry, a larger model and a resumed stream send them again.

use crate::reply::Refusal;
use crate::request_context::RequestContext;
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
const MAX_BUFFERED_BYTES: usize = 28 << 20;

/// Bytes of each body that need no reservation, so that short bodies never wait for long ones. A
/// host's 4,000 connections with such bodies fit into its memory.
const UNRESERVED_BYTES: usize = 16 << 10;

/// How long a body waits for memory. Partly received bodies may wait for each other's memory, so a
/// longer wait would not help.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(1);

/// How much of a refused request's body is read, and for how long: a caller that is sending when the response arrives
/// stops well before.
const MAX_DISCARDED_BYTES: usize = 4 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Memory budget for the bodies of all requests.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory(Arc<Semaphore>);

/// A buffered body and its reservation in the memory budget.
#[derive(Debug, Default)]
pub(crate) struct BufferedBody {
    pub(crate) bytes: Bytes,
    _reservation: Option<OwnedSemaphorePermit>,
}

impl Default for BodyMemory {
    fn default() -> Self {
        BodyMemory(Arc::new(Semaphore::new(MAX_BUFFERED_BYTES)))
    }
}

impl BodyMemory {
    /// Reserves memory for a request whose body is not read yet; `None` if there is not enough.
    pub(crate) fn try_reserve(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = u32::try_from(bytes).ok()?;
        self.0.clone().try_acquire_many_owned(bytes).ok()
    }

    /// Reads a body to its end.
    ///
    /// While there is no memory for it, nothing is read, which applies back pressure to the caller.
    /// Memory is reserved as bytes arrive: a caller that announces a length and sends nothing must
    /// not block others.
    ///
    /// # Errors
    ///
    /// Fails if the body exceeds the size limit, is truncated or not received in time, or if no
    /// memory becomes free in time.
    pub(crate) async fn read(
        &self,
        request_cx: &RequestContext,
        body: &mut Incoming,
    ) -> Result<BufferedBody, Refusal> {
        let limit = request_cx.site.limits.body_bytes.min(MAX_BUFFERED_BYTES);
        if body.size_hint().lower() > limit as u64 {
            return Err(Refusal::TooLarge);
        }
        let deadline = request_cx
            .deadline_at
            .min(request_cx.arrival + BODY_TIMEOUT);
        let mut bytes = BytesMut::new();
        let mut reservation: Option<OwnedSemaphorePermit> = None;
        loop {
            let frame = timeout_at(deadline, body.frame()).await;
            let data = match frame.map_err(|_| Refusal::SlowBody)? {
                None => break,
                Some(Err(_)) => return Err(Refusal::BadRequest),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let length = bytes.len() + data.len();
            if length > limit {
                return Err(Refusal::TooLarge);
            }
            let reserved = reservation
                .as_ref()
                .map_or(0, OwnedSemaphorePermit::num_permits);
            let missing = length.saturating_sub(UNRESERVED_BYTES + reserved);
            if missing > 0 {
                let added = self.reserve(missing).await?;
                match &mut reservation {
                    Some(reservation) => reservation.merge(added),
                    None => reservation = Some(added),
                }
            }
            bytes.extend_from_slice(&data);
        }
        Ok(BufferedBody {
            bytes: bytes.freeze(),
            _reservation: reservation,
        })
    }

    async fn reserve(&self, bytes: usize) -> Result<OwnedSemaphorePermit, Refusal> {
        let bytes = u32::try_from(bytes).map_err(|_| Refusal::TooLarge)?;
        let reservation = timeout(MEMORY_TIMEOUT, self.0.clone().acquire_many_owned(bytes)).await;
        match reservation {
            Ok(Ok(reservation)) => Ok(reservation),
            // The semaphore is never closed; if it were, the caller could still retry.
            Ok(Err(_)) | Err(_) => Err(Refusal::NoMemory),
        }
    }
}

/// Discards the rest of a refused request's body, so that its connection is not closed meanwhile: bytes that arrive at
/// a closed connection reset it, and the caller could lose the response.
pub(crate) async fn discard(mut body: Incoming) {
    let mut left = MAX_DISCARDED_BYTES;
    let read = async {
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            match left.checked_sub(length) {
                Some(rest) => left = rest,
                None => break,
            }
        }
    };
    // A caller that has not sent the rest by then has had the response.
    let _ = timeout(DISCARD_TIMEOUT, read).await;
}

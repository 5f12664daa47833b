//! Calls to the service that are repeated, until a deadline, while they have no effect.

use crate::config_store::{StoreError, StoreResult};
use crate::kv::{Condition, Kv, KvError, Put, Result};
use bytes::Bytes;
use std::future::Future;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// The pause after the first call that the service did not answer; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// A service that asks to come back at once would be asked without end.
const SHORTEST_PAUSE: Duration = Duration::from_millis(10);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// What became of a write.
pub(super) enum Written {
    /// The service answered.
    Answered(Put),
    /// It was sent, and no answer came.
    Unknown(String),
}

/// Reads until an answer comes.
pub(super) async fn read<T, F: Future<Output = Result<T>>>(
    deadline: Instant,
    mut call: impl FnMut() -> F,
) -> StoreResult<T> {
    let mut pauses = Pauses::new(deadline);
    loop {
        let error = match timeout_at(deadline, call()).await {
            Ok(Ok(value)) => return Ok(value),
            Ok(Err(e)) => e,
            Err(_) => too_late(),
        };
        pauses.after(error).await?;
    }
}

/// Writes until the service took the write or it may have.
pub(super) async fn write(
    kv: &impl Kv,
    deadline: Instant,
    key: &str,
    value: &Bytes,
    cond: Condition,
) -> StoreResult<Written> {
    let mut pauses = Pauses::new(deadline);
    loop {
        let call = kv.put(key, value.clone(), cond, None);
        let error = match timeout_at(deadline, call).await {
            Ok(Ok(put)) => return Ok(Written::Answered(put)),
            Ok(Err(KvError::Unknown { message })) => return Ok(Written::Unknown(message)),
            Ok(Err(e)) => e,
            Err(_) => return Ok(Written::Unknown("the deadline passed".to_owned())),
        };
        pauses.after(error).await?;
    }
}

/// Pauses between calls: as long as the service asks for, else ever longer.
pub(super) struct Pauses {
    deadline: Instant,
    next: Duration,
}

impl Pauses {
    pub(super) fn new(deadline: Instant) -> Self {
        Pauses {
            deadline,
            next: FIRST_PAUSE,
        }
    }

    /// Waits until a call may be repeated, or gives the error back when that would be too late or
    /// of no use.
    async fn after(&mut self, source: KvError) -> StoreResult<()> {
        let pause = match &source {
            KvError::Throttled { retry_after } => SHORTEST_PAUSE.max(*retry_after),
            KvError::Unavailable { .. } | KvError::Unknown { .. } => self.next,
            KvError::Rejected { .. } => return Err(StoreError::Service { source }),
        };
        match self.wait(pause).await {
            true => Ok(()),
            false => Err(StoreError::Service { source }),
        }
    }

    /// Waits before the same write is sent again, unless the deadline comes first.
    pub(super) async fn before_again(&mut self) -> bool {
        self.wait(self.next).await
    }

    async fn wait(&mut self, pause: Duration) -> bool {
        if Instant::now() + pause >= self.deadline {
            return false;
        }
        sleep(pause).await;
        self.next = (self.next * 2).min(LONGEST_PAUSE);
        true
    }
}

fn too_late() -> KvError {
    KvError::Unavailable {
        message: "the deadline passed".to_owned(),
    }
}

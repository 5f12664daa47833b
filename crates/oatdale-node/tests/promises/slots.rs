//! Slots and queue of an endpoint.

use crate::http::Conn;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Requests that run at once.
pub(crate) const SLOTS: usize = 6;

/// Requests that wait for a slot; further ones are rejected.
const QUEUE: usize = 24;

pub(crate) struct Slots {
    free: Semaphore,
    waiting: AtomicUsize,
}

/// What a request gets.
pub(crate) enum Admission<'a> {
    Slot(SemaphorePermit<'a>),
    Rejected,
    /// Its connection closed while it waited.
    Gone,
}

/// Counts a request as waiting until dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl Slots {
    pub(crate) fn new() -> Slots {
        Slots {
            free: Semaphore::new(SLOTS),
            waiting: AtomicUsize::new(0),
        }
    }

    /// Waits for a slot.
    pub(crate) async fn enter(&self, conn: &Conn) -> Admission<'_> {
        if let Ok(slot) = self.free.try_acquire() {
            return Admission::Slot(slot);
        }
        let others = self.waiting.fetch_add(1, Ordering::Relaxed);
        let _waiting = Waiting(&self.waiting);
        if others >= QUEUE {
            return Admission::Rejected;
        }
        tokio::select! {
            biased;
            () = closed(conn) => Admission::Gone,
            slot = self.free.acquire() => Admission::Slot(slot.expect("it is never closed")),
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits until the other side has closed the connection.
async fn closed(conn: &Conn) {
    if matches!(conn.stream.peek(&mut [0]).await, Ok(n) if n > 0) {
        std::future::pending::<()>().await;
    }
}

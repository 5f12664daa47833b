//! Changes of an engine's prefix cache, which come late and with gaps.

use crate::call::{Answer, CallError};
use crate::sse::Events;
use crate::wire::CacheEvent;
use std::collections::VecDeque;
use tokio::time::Instant;

/// A stream of cache events; dropping it closes the connection.
#[derive(Debug)]
pub struct CacheEvents {
    answer: Answer,
    events: Events,
    ready: VecDeque<CacheEvent>,
    last: u64,
}

/// An event and how many before it were lost.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Seen {
    /// The event.
    pub event: CacheEvent,
    /// Events between the one before and this one that never came. A reader that ignored a gap
    /// would go on believing in blocks whose removal it has missed.
    pub missed: u64,
}

impl CacheEvents {
    pub(crate) fn new(answer: Answer, after: u64) -> Self {
        CacheEvents {
            answer,
            events: Events::default(),
            ready: VecDeque::new(),
            last: after,
        }
    }

    /// The next event; `None` when the engine ends the stream.
    ///
    /// # Errors
    ///
    /// The stream broke, or no event came before `deadline`; after the latter it can be asked
    /// again.
    pub async fn next(&mut self, deadline: Instant) -> Result<Option<Seen>, CallError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                let missed = event.seq.saturating_sub(self.last + 1);
                self.last = event.seq;
                return Ok(Some(Seen { event, missed }));
            }
            let Some(piece) = self.answer.next(deadline).await? else {
                return Ok(None);
            };
            let CacheEvents { events, ready, .. } = self;
            // An event that can't be read leaves a gap in the numbers, like one that was lost.
            events.push(&piece, |data| {
                ready.extend(serde_json::from_slice::<CacheEvent>(data));
                Ok(())
            })?;
        }
    }

    /// The number of the last event returned, from which a new stream can go on.
    pub fn last(&self) -> u64 {
        self.last
    }
}

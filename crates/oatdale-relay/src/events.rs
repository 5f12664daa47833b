//! Splits a byte stream into complete server-sent events.
//!
//! Only complete events are forwarded. An endpoint that crashes stops in the middle of an event,
//! and the endpoint that resumes the stream begins with the event after the last complete one: had
//! a partial event been forwarded, the caller would read two events as one.
//!
//! ```
//! use oatdale_relay::EventReassembler;
//!
//! let mut events = EventReassembler::after(None);
//! assert_eq!(events.push(b"id: 1\ndata: a\n\nid: 2\nda"), &b"id: 1\ndata: a\n\n"[..]);
//! assert_eq!((events.last(), events.has_partial()), (Some(1), true));
//! ```

use bytes::Bytes;

/// Reassembles the complete events of a stream.
#[derive(Clone, Debug, Default)]
pub struct EventReassembler {
    /// Start of an event whose end has not been received yet.
    partial: Vec<u8>,
    last: Option<u64>,
    /// Complete events so far, without those that were dropped.
    completed: u64,
}

impl EventReassembler {
    /// Creates a reassembler for a stream that resumes after event `last`.
    pub fn after(last: Option<u64>) -> Self {
        EventReassembler {
            partial: Vec::new(),
            last,
            completed: 0,
        }
    }

    /// Returns the id of the last complete event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of complete events that were not dropped.
    pub fn completed(&self) -> u64 {
        self.completed
    }

    /// Whether the data received so far ends in the middle of an event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards a partial event that its endpoint will not complete.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Appends the next chunk and returns the events that it completes.
    ///
    /// Events with an id up to the last one are dropped: an endpoint that resumes a stream may
    /// begin too early, and the caller would receive them twice.
    pub fn push(&mut self, chunk: &[u8]) -> Bytes {
        self.partial.extend_from_slice(chunk);
        let mut complete = Vec::new();
        let mut start = 0;
        while let Some(len) = event_len(&self.partial[start..]) {
            let event = &self.partial[start..start + len];
            let id = event_id(event);
            let is_duplicate = matches!((id, self.last), (Some(id), Some(last)) if id <= last);
            if !is_duplicate {
                complete.extend_from_slice(event);
                self.completed += 1;
                self.last = id.or(self.last);
            }
            start += len;
        }
        self.partial.drain(..start);
        complete.into()
    }
}

/// Returns the length of the first complete event, including the empty line that ends it.
fn event_len(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (end, _) in buf.iter().enumerate().filter(|(_, b)| **b == b'\n') {
        let line = &buf[line_start..end];
        if line.is_empty() || line == b"\r" {
            return Some(end + 1);
        }
        line_start = end + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|b| *b == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}

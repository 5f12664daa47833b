//! Splits a byte stream into complete server-sent events.
//!
//! Only complete events are forwarded. An endpoint that crashes stops in the middle of an event,
//! and the endpoint that resumes the stream begins with the event after the last complete one: had
//! a partial event been forwarded, the caller would read two events as one. An event that is too
//! long to be kept is forwarded in parts, and a stream that breaks off in it can't be resumed.
//!
//! ```
//! use oatdale_relay::EventReassembler;
//!
//! let mut events = EventReassembler::after(None);
//! assert_eq!(events.push(b"id: 1\ndata: a\n\nid: 2\nda"), &b"id: 1\ndata: a\n\n"[..]);
//! assert_eq!((events.last(), events.has_partial()), (Some(1), true));
//! ```

use bytes::Bytes;

/// Length from which on the part of an event that has been received is forwarded without its end.
/// Usual events have some hundred bytes; without a bound, an event that never ends would occupy as
/// much memory as its endpoint sends.
const MAX_PARTIAL_BYTES: usize = 64 << 10;

/// Reassembles the complete events of a stream.
#[derive(Clone, Debug, Default)]
pub struct EventReassembler {
    /// Start of an event whose end has not been received yet.
    partial: Vec<u8>,
    last: Option<u64>,
    /// Complete events so far, without those that were dropped.
    completed: u64,
    /// The current event, if a part of it was already returned.
    long_event: Option<LongEvent>,
}

/// An event that is returned in parts.
#[derive(Clone, Copy, Debug)]
struct LongEvent {
    /// Its id, if the first part has one.
    id: Option<u64>,
    is_duplicate: bool,
}

impl EventReassembler {
    /// Creates a reassembler for a stream that resumes after event `last`.
    pub fn after(last: Option<u64>) -> Self {
        EventReassembler {
            last,
            ..EventReassembler::default()
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
        !self.partial.is_empty() || self.long_event.is_some()
    }

    /// Whether another endpoint can continue after the last complete event: no part of a later one
    /// was returned.
    pub fn can_resume(&self) -> bool {
        self.long_event.is_none_or(|event| event.is_duplicate)
    }

    /// Discards a partial event that its endpoint will not complete.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.long_event = None;
    }

    /// Appends the next chunk and returns the events that it completes, and the part of a long one.
    ///
    /// Events with an id up to the last one are dropped: an endpoint that resumes a stream may
    /// begin too early, and the caller would receive them twice.
    pub fn push(&mut self, chunk: &[u8]) -> Bytes {
        self.partial.extend_from_slice(chunk);
        let mut returned = Vec::new();
        let mut start = 0;
        while let Some(len) = event_len(&self.partial[start..]) {
            let event = &self.partial[start..start + len];
            let long_event = self.long_event.take();
            let LongEvent { id, is_duplicate } = long_event.unwrap_or_else(|| self.inspect(event));
            if !is_duplicate {
                self.completed += 1;
                returned.extend_from_slice(event);
                self.last = id.or(self.last);
            }
            start += len;
        }
        self.partial.drain(..start);
        if self.partial.len() > MAX_PARTIAL_BYTES {
            self.split_partial(&mut returned);
        }
        returned.into()
    }

    /// Appends the partial event to `returned`, except the end of its last line: whether the next
    /// line break ends the event depends on it.
    fn split_partial(&mut self, returned: &mut Vec<u8>) {
        let mut lines = self.partial.split(|b| *b == b'\n');
        let last_line_len = lines.next_back().map_or(0, <[u8]>::len);
        let split_at = self.partial.len() - last_line_len.min(2);
        let event = self.long_event;
        let event = event.unwrap_or_else(|| self.inspect(&self.partial[..split_at]));
        let part = self.partial.drain(..split_at);
        if !event.is_duplicate {
            returned.extend(part);
        }
        self.long_event = Some(event);
    }

    fn inspect(&self, event: &[u8]) -> LongEvent {
        let id = event_id(event);
        let is_duplicate = matches!((id, self.last), (Some(id), Some(last)) if id <= last);
        LongEvent { id, is_duplicate }
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

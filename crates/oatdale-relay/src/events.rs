//! Cuts a stream into whole events.
//!
//! Only whole events are passed on. An endpoint that dies stops in the middle of one, and the
//! endpoint that goes on begins with the next: had a part been passed on before, the caller would
//! read two events as one.
//!
//! ```
//! use oatdale_relay::WholeEvents;
//!
//! let mut events = WholeEvents::after(None);
//! assert_eq!(events.push(b"id: 1\ndata: a\n\nid: 2\nda"), &b"id: 1\ndata: a\n\n"[..]);
//! assert_eq!((events.last(), events.is_cut()), (Some(1), true));
//! ```

use bytes::Bytes;

/// The whole events of a stream.
#[derive(Clone, Debug, Default)]
pub struct WholeEvents {
    /// The beginning of an event whose end has not come yet.
    part: Vec<u8>,
    last: Option<u64>,
}

impl WholeEvents {
    /// A stream that goes on after event `last`.
    pub fn after(last: Option<u64>) -> Self {
        WholeEvents {
            part: Vec::new(),
            last,
        }
    }

    /// The id of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether the stream stops in the middle of an event.
    pub fn is_cut(&self) -> bool {
        !self.part.is_empty()
    }

    /// Drops the beginning of an event that its endpoint will not end.
    pub fn drop_part(&mut self) {
        self.part.clear();
    }

    /// Takes the next piece and returns the events that it ends.
    ///
    /// Events up to the last one are left out: an endpoint that goes on may begin too early, and
    /// the caller would get them twice.
    pub fn push(&mut self, piece: &[u8]) -> Bytes {
        self.part.extend_from_slice(piece);
        let mut out = Vec::new();
        let mut from = 0;
        while let Some(len) = event_len(&self.part[from..]) {
            let event = &self.part[from..from + len];
            let id = event_id(event);
            let seen = matches!((id, self.last), (Some(id), Some(last)) if id <= last);
            if !seen {
                out.extend_from_slice(event);
                self.last = id.or(self.last);
            }
            from += len;
        }
        self.part.drain(..from);
        out.into()
    }
}

/// The length of the first whole event, with the empty line that ends it.
fn event_len(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, _) in buf.iter().enumerate().filter(|(_, b)| **b == b'\n') {
        let line = &buf[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|b| *b == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}

//! Server-sent events, read as they pass by.
//!
//! An answer is handed on in the pieces that it came in, and the same pieces are shown to a
//! [`Scanner`]. It finds the terminator `data: [DONE]` and the usage wherever the pieces are cut,
//! so that a stream that just stops is never taken for a whole answer.
//!
//! ```
//! use oatdale_platform::sse::{Scanner, SseError};
//!
//! let mut scanner = Scanner::default();
//! scanner.push(b"data: {\"choices\":[]}\n\nda").unwrap();
//! assert_eq!(scanner.clone().finish(), Err(SseError::NoTerminator));
//! scanner.push(b"ta: [DONE]\n\n").unwrap();
//! assert!(scanner.finish().is_ok());
//! ```

use crate::chat::Usage;
use serde::Deserialize;
use snafu::Snafu;

/// Bytes that one event may have.
pub const MAX_EVENT: usize = 1 << 20;

const DONE: &[u8] = b"[DONE]";
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Why a stream is not a whole answer.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
pub enum SseError {
    /// It ended before `data: [DONE]`.
    #[snafu(display("the stream ended without its terminator"))]
    NoTerminator,
    /// It went on after `data: [DONE]`.
    #[snafu(display("the stream went on after its terminator"))]
    AfterTerminator,
    /// The engine reported an error in the stream.
    #[snafu(display("the engine reported: {message}"))]
    Engine {
        /// What the engine said.
        message: String,
    },
    /// An event is longer than [`MAX_EVENT`].
    #[snafu(display("an event is longer than {MAX_EVENT} bytes"))]
    TooLong,
}

/// What a whole streamed answer told.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Summary {
    /// Events before the terminator.
    pub events: u64,
    /// What the request used, unless the engine left it out.
    pub usage: Option<Usage>,
}

/// Watches a streamed chat completion pass by.
#[derive(Clone, Debug, Default)]
pub struct Scanner {
    events: Events,
    seen: Summary,
    done: bool,
}

/// Cuts a byte stream into the data of its events, at any boundaries.
#[derive(Clone, Debug, Default)]
pub struct Events {
    /// The beginning of a line whose end has not come yet.
    line: Vec<u8>,
    /// Data of the event under way.
    data: Vec<u8>,
    has_data: bool,
    after_cr: bool,
    started: bool,
}

/// The part of a chunk that the scanner reads.
#[derive(Deserialize)]
struct Notable {
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    error: Option<serde_json::Value>,
}

impl Scanner {
    /// Takes the next piece of the stream, which may be cut anywhere.
    ///
    /// # Errors
    ///
    /// The engine reported an error, the stream went on after its terminator, or an event is too
    /// long. The answer is then not whole, whatever follows.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), SseError> {
        let Scanner { events, seen, done } = self;
        events.push(piece, |data| event(seen, done, data))
    }

    /// Whether the terminator has passed.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// What was seen so far.
    pub fn seen(&self) -> Summary {
        self.seen
    }

    /// Ends the stream.
    ///
    /// # Errors
    ///
    /// [`SseError::NoTerminator`] if the terminator has not passed.
    pub fn finish(self) -> Result<Summary, SseError> {
        let last = self.events.has_data && self.events.data == DONE;
        match self.done || last {
            true => Ok(self.seen),
            false => Err(SseError::NoTerminator),
        }
    }
}

fn event(seen: &mut Summary, done: &mut bool, data: &[u8]) -> Result<(), SseError> {
    if *done {
        return Err(SseError::AfterTerminator);
    }
    if data == DONE {
        *done = true;
        return Ok(());
    }
    seen.events += 1;
    // Quotes within an answer's text are escaped, so these bytes can only be a member's name;
    // most events have neither and are not parsed at all.
    if !contains(data, b"\"usage\"") && !contains(data, b"\"error\"") {
        return Ok(());
    }
    match serde_json::from_slice::<Notable>(data) {
        Ok(Notable { error: Some(e), .. }) => Err(SseError::Engine {
            message: e.to_string(),
        }),
        Ok(Notable { usage, .. }) => {
            seen.usage = usage.or(seen.usage);
            Ok(())
        }
        Err(_) => Ok(()),
    }
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|w| w == part)
}

impl Events {
    /// Takes the next piece and calls `f` with the data of each event that ends in it.
    ///
    /// # Errors
    ///
    /// The first error of `f`, or [`SseError::TooLong`].
    pub fn push(
        &mut self,
        mut piece: &[u8],
        mut f: impl FnMut(&[u8]) -> Result<(), SseError>,
    ) -> Result<(), SseError> {
        while !piece.is_empty() {
            if std::mem::take(&mut self.after_cr) && piece[0] == b'\n' {
                piece = &piece[1..];
                continue;
            }
            let Some(end) = piece.iter().position(|b| matches!(b, b'\n' | b'\r')) else {
                return self.carry(piece);
            };
            self.after_cr = piece[end] == b'\r';
            if self.line.is_empty() {
                self.take_line(&piece[..end], &mut f)?;
            } else {
                self.carry(&piece[..end])?;
                let line = std::mem::take(&mut self.line);
                self.take_line(&line, &mut f)?;
            }
            piece = &piece[end + 1..];
        }
        Ok(())
    }

    fn carry(&mut self, part: &[u8]) -> Result<(), SseError> {
        if self.line.len() + part.len() > MAX_EVENT {
            return Err(SseError::TooLong);
        }
        self.line.extend_from_slice(part);
        Ok(())
    }

    fn take_line(
        &mut self,
        line: &[u8],
        f: &mut impl FnMut(&[u8]) -> Result<(), SseError>,
    ) -> Result<(), SseError> {
        let line = match std::mem::replace(&mut self.started, true) {
            false => line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line),
            true => line,
        };
        match field(line) {
            Field::Data(value) => self.add_data(value),
            Field::End => self.end_event(f),
            Field::Other => Ok(()),
        }
    }

    fn add_data(&mut self, value: &[u8]) -> Result<(), SseError> {
        if self.data.len() + value.len() > MAX_EVENT {
            return Err(SseError::TooLong);
        }
        if self.has_data {
            self.data.push(b'\n');
        }
        self.has_data = true;
        self.data.extend_from_slice(value);
        Ok(())
    }

    fn end_event(
        &mut self,
        f: &mut impl FnMut(&[u8]) -> Result<(), SseError>,
    ) -> Result<(), SseError> {
        if !std::mem::take(&mut self.has_data) {
            return Ok(());
        }
        let result = f(&self.data);
        self.data.clear();
        result
    }
}

enum Field<'a> {
    Data(&'a [u8]),
    End,
    Other,
}

fn field(line: &[u8]) -> Field<'_> {
    match line.strip_prefix(b"data") {
        _ if line.is_empty() => Field::End,
        Some(b"") => Field::Data(b""),
        Some([b':', b' ', value @ ..] | [b':', value @ ..]) => Field::Data(value),
        _ => Field::Other,
    }
}

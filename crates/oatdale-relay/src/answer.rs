//! An endpoint's answer, and what comes next of its body.

use crate::running::Running;
use crate::wire::{AnswerFacts, Wire};
use bytes::Bytes;
use http::response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

/// An answer's head, with its body still to be read.
pub(crate) struct Answer<W> {
    pub(crate) head: response::Parts,
    pub(crate) facts: AnswerFacts,
    pub(crate) body: Incoming,
    pub(crate) running: Running<W>,
}

/// What came next of a body.
pub(crate) enum Next {
    Piece(Bytes),
    End,
    /// It breaks off, for this reason.
    Broken(String),
    /// Nothing came in time.
    Late,
}

impl<W: Wire> Answer<W> {
    /// Waits for the next bytes of the body.
    pub(crate) async fn next(&mut self, until: Instant) -> Next {
        // What has come counts, also from an endpoint that has started again meanwhile.
        let piece = tokio::select! {
            biased;
            piece = timeout_at(until, next_piece(&mut self.body)) => piece,
            () = self.running.started_again() => {
                return Next::Broken("the endpoint started again".to_owned());
            }
        };
        match piece {
            Ok(Some(Ok(piece))) => {
                self.running.note_progress();
                Next::Piece(piece)
            }
            Ok(Some(Err(err))) => Next::Broken(err.to_string()),
            Ok(None) => Next::End,
            Err(_) => Next::Late,
        }
    }
}

async fn next_piece(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => match frame.into_data() {
                Ok(data) => return Some(Ok(data)),
                Err(_trailers) => continue,
            },
            Err(err) => return Some(Err(err)),
        }
    }
}

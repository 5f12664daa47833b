//! Reads an answer's body for as long as something comes of it.

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use snafu::Snafu;
use std::time::Duration;
use tokio::time::timeout;

/// Why a body was not read to its end.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
pub enum BodyError {
    /// Nothing came for longer than was allowed.
    #[snafu(display("the answer's body is late"))]
    Late,
    /// It broke off, or is too long.
    #[snafu(display("the answer's body broke off: {message}"))]
    Broken {
        /// What was seen.
        message: String,
    },
}

/// Reads a body of up to `most` bytes to its end; each pause may last as long as `pause`.
///
/// A configuration of some thousand routes takes a second on a slow link. Were all of it to come within
/// one call's time, it would be given up and begun again, with nothing else coming through meanwhile.
///
/// # Errors
///
/// [`BodyError`].
pub async fn read_body(body: Incoming, most: usize, pause: Duration) -> Result<Bytes, BodyError> {
    let mut body = Limited::new(body, most);
    let mut read = BytesMut::new();
    loop {
        match timeout(pause, body.frame()).await {
            Ok(Some(Ok(frame))) => read.extend(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(err))) => {
                let message = err.to_string();
                return Err(BodyError::Broken { message });
            }
            Ok(None) => return Ok(read.freeze()),
            Err(_) => return Err(BodyError::Late),
        }
    }
}

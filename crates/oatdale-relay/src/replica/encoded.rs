//! Encoding of responses to followers, each of which serves all followers at the same revision.

use crate::replica::{FetchRequest, Replica, ReplicaUpdate, State, Topic, compression};
use crate::revision::Revision;
use bytes::Bytes;
use std::collections::VecDeque;
use std::io;

/// Number of encoded responses that are kept: for each topic those for followers at the current
/// revision, at the one before, and without any.
const MAX_RESPONSES: usize = 6;

/// A response to a follower.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EncodedUpdate {
    /// The CBOR encoding of a [`ReplicaUpdate`].
    pub body: Bytes,
    /// Whether the body is compressed.
    pub is_compressed: bool,
}

/// Responses that were encoded lately, the newest last, and the number of encodings so far.
#[derive(Debug, Default)]
pub(super) struct EncodedResponses {
    recent: VecDeque<(ResponseKey, EncodedUpdate)>,
    encodings: u64,
}

/// What determines a response. An update that reports a recent outage is encoded for itself.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct ResponseKey {
    topic: Topic,
    after: Option<Revision>,
    revision: Revision,
    accepts_patches: bool,
}

impl Replica {
    /// Answers a follower like [`fetch`](Replica::fetch), encoded.
    ///
    /// # Errors
    ///
    /// The update cannot be encoded.
    pub async fn fetch_encoded(&self, req: FetchRequest) -> Result<Option<EncodedUpdate>, String> {
        let (topic, after, accepts_patches) = (req.topic, req.after, req.accepts_patches);
        let respond = |state: &mut State| {
            let revision = state.response_revision(topic, after)?;
            let key = ResponseKey {
                topic,
                after,
                revision,
                accepts_patches,
            };
            let is_shared = state.reachable_for().is_none();
            let known = state.responses.get(&key).filter(|_| is_shared);
            if let Some(known) = known {
                return Some(Ok(known));
            }
            let update = state.update(topic, after, accepts_patches)?;
            let encoded = encode(&update, accepts_patches).map_err(|err| err.to_string());
            state
                .responses
                .record_encoding(key, encoded.as_ref().ok().filter(|_| is_shared));
            Some(encoded)
        };
        self.when_ready(req, respond).await.transpose()
    }

    /// Returns the number of responses that were encoded so far.
    pub fn encodings(&self) -> u64 {
        self.lock().responses.encodings
    }
}

impl EncodedResponses {
    fn get(&self, key: &ResponseKey) -> Option<EncodedUpdate> {
        let known = self.recent.iter().find(|(k, _)| k == key);
        known.map(|(_, encoded)| encoded.clone())
    }

    /// Forgets the responses because the records have changed.
    pub(super) fn clear(&mut self) {
        self.recent.clear();
    }

    /// Counts an encoding, and keeps its response if other followers may get the same.
    fn record_encoding(&mut self, key: ResponseKey, encoded: Option<&EncodedUpdate>) {
        self.encodings += 1;
        let Some(encoded) = encoded else {
            return;
        };
        self.recent.push_back((key, encoded.clone()));
        if self.recent.len() > MAX_RESPONSES {
            self.recent.pop_front();
        }
    }
}

fn encode(update: &ReplicaUpdate, may_compress: bool) -> io::Result<EncodedUpdate> {
    let mut body = Vec::new();
    ciborium::into_writer(update, &mut body).map_err(io::Error::other)?;
    let body = match may_compress {
        true => compression::compress(&body)?,
        false => body,
    };
    Ok(EncodedUpdate {
        body: body.into(),
        is_compressed: may_compress,
    })
}

//! What a request sends to endpoints.

use bytes::Bytes;
use http::Request;
use oatdale_platform::chat::{ChatRequest, StreamOptions};

/// What to send, to a model engine or a plain service.
pub(crate) enum Work {
    /// A chat completion.
    Chat(Box<ChatWork>),
    /// A call of a plain service.
    Plain(Box<PlainWork>),
}

/// A chat completion as its caller wrote it.
pub(crate) struct ChatWork {
    /// The caller's request; its `model` is the service's name.
    pub(crate) request: ChatRequest,
}

/// A call of a plain service.
pub(crate) struct PlainWork {
    /// The call, whose target is the path below the service.
    pub(crate) request: Request<Bytes>,
}

impl ChatWork {
    /// The request's body for the engine that holds `version`.
    ///
    /// A stream is always asked for its usage, since the bill is made from it.
    pub(crate) fn body_for(&mut self, version: &str) -> Bytes {
        self.request.model = version.to_owned();
        if self.request.stream {
            self.request.stream_options = Some(StreamOptions {
                include_usage: true,
            });
        }
        serde_json::to_vec(&self.request)
            .expect("what was read from JSON can be written as JSON")
            .into()
    }
}

impl PlainWork {
    /// The call once more; bodies are shared, not copied.
    pub(crate) fn request(&self) -> Request<Bytes> {
        self.request.clone()
    }
}

//! Chat completions as engines and callers write them in JSON.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A request for a completion; fields that are not named here are passed on as they came.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ChatRequest {
    /// A service when it comes from a caller, `model/version` when it goes to an engine.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<Message>,
    /// Whether the answer is sent as server-sent events while it is generated.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub stream: bool,
    /// What the stream has beside the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
    /// Tokens that may be generated at most.
    #[serde(
        default,
        alias = "max_completion_tokens",
        skip_serializing_if = "Option::is_none"
    )]
    pub max_tokens: Option<u32>,
    /// All other fields.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

/// What a stream has beside the answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether a chunk with the usage comes before the end.
    #[serde(default)]
    pub include_usage: bool,
}

/// One message of a conversation.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// What was said.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Content>,
    /// All other fields.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

/// The content of a message.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Content {
    /// Plain text.
    Text(String),
    /// Text and other parts, which are passed on as they came.
    Parts(Vec<Value>),
}

/// Tokens that a request used; the bill is made from it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the conversation.
    pub prompt_tokens: u32,
    /// Tokens that were generated.
    pub completion_tokens: u32,
    /// Both together.
    pub total_tokens: u32,
    /// What the engine says of the prompt's tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt_tokens_details: Option<PromptTokensDetails>,
}

/// What an engine says of a prompt's tokens.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct PromptTokensDetails {
    /// Tokens that were in the engine's prefix cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// A whole answer.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ChatResponse {
    /// The engine's name for the answer.
    pub id: String,
    /// `chat.completion`.
    pub object: String,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// `model/version` that answered.
    pub model: String,
    /// The answer, in one choice.
    pub choices: Vec<Choice>,
    /// What it used.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// One choice of a whole answer.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Choice {
    /// Its place.
    pub index: u32,
    /// The answer.
    pub message: Message,
    /// Why it ends, such as `stop` or `length`.
    pub finish_reason: Option<String>,
}

/// One event of a streamed answer.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Chunk {
    /// The engine's name for the answer.
    pub id: String,
    /// `chat.completion.chunk`.
    pub object: String,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// `model/version` that answers.
    pub model: String,
    /// The next piece, in one choice; none in the chunk with the usage.
    pub choices: Vec<ChunkChoice>,
    /// What the request used, in one chunk before the end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// One choice of a streamed answer.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Its place.
    pub index: u32,
    /// What is added.
    pub delta: Delta,
    /// Why it ends, in its last chunk.
    pub finish_reason: Option<String>,
}

/// What a chunk adds to a message.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Delta {
    /// The role, in the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// More text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

impl Message {
    /// Makes a message of plain text.
    pub fn new(role: &str, text: impl Into<String>) -> Self {
        Message {
            role: role.to_owned(),
            content: Some(Content::Text(text.into())),
            other: Map::new(),
        }
    }

    /// The message's text; parts that are not text are left out.
    pub fn text(&self) -> String {
        match &self.content {
            None => String::new(),
            Some(Content::Text(text)) => text.clone(),
            Some(Content::Parts(parts)) => parts
                .iter()
                .filter_map(|p| p.get("text")?.as_str())
                .collect(),
        }
    }
}

impl ChatRequest {
    /// Makes a request of a single user message.
    pub fn new(model: impl Into<String>, prompt: impl Into<String>) -> Self {
        ChatRequest {
            model: model.into(),
            messages: vec![Message::new("user", prompt)],
            stream: false,
            stream_options: None,
            max_tokens: None,
            other: Map::new(),
        }
    }

    /// The whole conversation as one text, a line for each message.
    pub fn prompt(&self) -> String {
        let lines: Vec<String> = self
            .messages
            .iter()
            .map(|m| format!("{}: {}", m.role, m.text()))
            .collect();
        lines.join("\n")
    }
}

impl Usage {
    /// Adds up the total.
    pub fn new(prompt_tokens: u32, completion_tokens: u32) -> Self {
        Usage {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens.saturating_add(completion_tokens),
            prompt_tokens_details: None,
        }
    }

    /// Adds how many of the prompt's tokens were in the engine's prefix cache.
    pub fn with_cached(self, cached_tokens: u32) -> Self {
        Usage {
            prompt_tokens_details: Some(PromptTokensDetails { cached_tokens }),
            ..self
        }
    }
}

//! Answers that follow from the prompt alone, with a quality that the rating service can read.
//!
//! Each answer ends with a reference such as `ref-5f3a09c2d4e81b76-83.`: a hash of the version and
//! the prompt, by which a test sees that an answer belongs to its own request, and the quality in
//! percent.

use std::hash::{DefaultHasher, Hash, Hasher};

const WORDS: [&str; 24] = [
    "pass",
    "window",
    "antenna",
    "elevation",
    "orbit",
    "uplink",
    "handover",
    "station",
    "register",
    "serial",
    "rack",
    "licence",
    "renewal",
    "vendor",
    "seat",
    "asset",
    "confirmed",
    "scheduled",
    "pending",
    "checked",
    "matched",
    "northern",
    "morning",
    "team",
];

/// Quality in percent of a good answer and of a poor one.
const GOOD: u32 = 90;
const POOR: u32 = 30;

/// The answer of `model` (with its version) to a prompt.
///
/// `quality`, from 0 to 1, is the share of prompts that the version answers well; `tokens` is the
/// answer's length, at least 1.
pub fn answer(model: &str, prompt: &str, quality: f64, tokens: u32) -> Vec<String> {
    let id = hash((model, prompt));
    let last = tokens.max(1) - 1;
    let word = |i: u32| format!("{} ", WORDS[pick(hash((id, i)), WORDS.len())]);
    let mut words: Vec<String> = (0..last).map(word).collect();
    words.push(format!(
        "ref-{id:016x}-{}.",
        percent(model, prompt, quality)
    ));
    words
}

/// The reference at the end of the answer of `model` to a prompt, up to its quality.
pub fn reference(model: &str, prompt: &str) -> String {
    format!("ref-{:016x}", hash((model, prompt)))
}

/// The quality, from 0 to 1, that an answer states; 0 when it is cut off.
pub fn quality(answer: &str) -> f64 {
    let stated = answer
        .trim_end()
        .strip_suffix('.')
        .and_then(|a| a.rsplit_once('-'))
        .and_then(|(_, percent)| percent.parse::<f64>().ok());
    stated.unwrap_or(0.0) / 100.0
}

/// Tokens of a text: its words.
pub fn tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// A hash that is the same in every run.
pub(crate) fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A number from 0 to 1 that is the same in every run.
pub(crate) fn uniform(value: impl Hash) -> f64 {
    const STEPS: u64 = 1 << 53;
    (hash(value) % STEPS) as f64 / STEPS as f64
}

fn pick(hash: u64, len: usize) -> usize {
    usize::try_from(hash % len as u64).unwrap_or(0)
}

fn percent(model: &str, prompt: &str, quality: f64) -> u32 {
    match uniform(("quality", model, prompt)) < quality {
        true => GOOD,
        false => POOR,
    }
}

//! Skyward's example configuration and requests, built into the program.

use crate::cx::other;
use crate::error::Result;
use serde::Deserialize;

/// The operators' text.
pub(super) const TEXT: &str = include_str!("../../../../../examples/skyward.yaml");

const REQUESTS: &str = include_str!("../../../../../examples/data/skyward/requests.jsonl");

macro_rules! files {
    ($($name:literal),* $(,)?) => {
        [$(($name, include_str!(concat!("../../../../../examples/data/skyward/", $name)))),*]
    };
}

/// The files that requests name.
const FILES: [(&str, &str); 12] = files![
    "booking-mails/01-confirm.txt",
    "booking-mails/02-release.txt",
    "booking-mails/03-move.txt",
    "booking-mails/04-relief.txt",
    "booking-mails/05-invoice.txt",
    "booking-mails/06-question.txt",
    "booking-mails/07-doubled.txt",
    "orbit-logs/hcm-a-2026-11-28.txt",
    "orbit-logs/hcm-b-2026-11-28.txt",
    "shift-notes/2026-11-28-evening.txt",
    "shift-notes/2026-11-28-morning.txt",
    "shift-notes/2026-11-29-night.txt",
];

/// A request of a customer.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Example {
    pub(super) customer: String,
    pub(super) service: String,
    instruction: String,
    /// The file that it is about.
    pub(super) file: String,
    pub(super) max_tokens: u32,
}

impl Example {
    /// What the model is asked.
    pub(super) fn prompt(&self) -> String {
        let file = FILES.iter().find(|(name, _)| *name == self.file);
        let text = file.map_or("", |(_, text)| text);
        format!("{}\n\n{text}", self.instruction)
    }
}

/// The example requests of one service.
///
/// # Errors
///
/// The built-in data does not fit this program.
pub(super) fn requests(service: &str) -> Result<Vec<Example>> {
    let examples = REQUESTS
        .lines()
        .map(serde_json::from_str)
        .collect::<std::result::Result<Vec<Example>, _>>()
        .map_err(|e| other(&e))?;
    Ok(examples
        .into_iter()
        .filter(|example| example.service == service)
        .collect())
}

/// The key of a customer of the example configuration.
pub(super) fn key(customer: &str) -> String {
    format!("dev-{customer}")
}

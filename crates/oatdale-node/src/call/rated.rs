//! Has answers rated: at once for a cascade, later for the record.

use crate::call::CallState;
use crate::call::answered::Answered;
use crate::call::attempt::version_name;
use crate::call::work::Work;
use crate::rate::Rated;
use crate::route::Routed;
use oatdale_platform::chat::{ChatResponse, Chunk};
use oatdale_platform::sse::Events;
use oatdale_policy::VersionReason;

impl CallState {
    /// The verdict on an answer that is kept back, if it comes in time.
    pub(super) async fn verdict(&self, routed: &Routed, answered: &Answered) -> Option<f64> {
        let rated = self.rated(routed, answer_text(&answered.body))?;
        self.cx.rate.verdict(rated, self.job.deadline).await
    }
    /// Has an answer that was read whole rated for the record.
    pub(super) fn rate_later_bytes(&self, routed: &Routed, body: &[u8]) {
        if self.wants_rating(routed) {
            self.rate_later(routed, &answer_text(body));
        }
    }

    /// Has an answer's text rated for the record.
    pub(super) fn rate_later(&self, routed: &Routed, text: &str) {
        if !self.wants_rating(routed) || text.is_empty() {
            return;
        }
        if let Some(rated) = self.rated(routed, text.to_owned()) {
            self.cx.rate.late(rated);
        }
    }

    /// Whether this answer is rated for the record. All are, as far as the rating duty has room: with
    /// a tenth of them rated the quality target was met in half of the seeds only
    /// (docs/MEASUREMENTS.md).
    pub(crate) fn wants_rating(&self, routed: &Routed) -> bool {
        self.cx.rate.is_there() && routed.dispatch.version.is_some()
    }

    fn rated(&self, routed: &Routed, answer: String) -> Option<Rated> {
        let Work::Chat(chat) = &self.job.work else {
            return None;
        };
        Some(Rated {
            service: self.service().to_owned(),
            version: version_name(routed)?,
            class: self.job.request_info.class,
            prompt: chat.request.prompt(),
            answer,
            escalated: routed.dispatch.version_reason == VersionReason::Escalated,
        })
    }
}

/// The text of an answer, streamed or whole; empty if it is neither.
fn answer_text(body: &[u8]) -> String {
    match serde_json::from_slice::<ChatResponse>(body) {
        Ok(response) => response
            .choices
            .iter()
            .map(|choice| choice.message.text())
            .collect(),
        Err(_) => {
            let mut text = String::new();
            add_stream_text(&mut Events::default(), body, &mut text);
            text
        }
    }
}

/// Adds the text of the events that end in `piece`.
pub(crate) fn add_stream_text(events: &mut Events, piece: &[u8], text: &mut String) {
    // Whether the stream is in order is the scanner's matter.
    let _ = events.push(piece, |data| {
        if let Ok(chunk) = serde_json::from_slice::<Chunk>(data) {
            let pieces = chunk
                .choices
                .iter()
                .filter_map(|c| c.delta.content.as_deref());
            text.extend(pieces);
        }
        Ok(())
    });
}

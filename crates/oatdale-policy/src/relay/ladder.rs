//! Which of a ladder of model sizes answers a request.

/// What to do with an answer whose head has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// Hand it to the caller.
    Keep,
    /// Drop it and ask the model at this place of the ladder.
    Up(usize),
}

/// The rule for one ladder: the smallest model answers first, and an answer of which the model
/// itself is not sure enough is made again by the largest.
///
/// Models in between are left out: each step reads the whole prompt again, and a second step would
/// do so twice.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Ladder {
    /// Confidence from 0 to 100 below which an answer is made again.
    pub threshold: u8,
}

impl Ladder {
    /// Decides about an answer of the model at `at` in a ladder of `sizes` models.
    ///
    /// `room` says whether a further run is allowed and would be in time.
    pub fn step(&self, at: usize, sizes: usize, confidence: Option<u8>, room: bool) -> Step {
        let top = sizes.saturating_sub(1);
        match confidence {
            Some(sure) if room && at < top && sure < self.threshold => Step::Up(top),
            _ => Step::Keep,
        }
    }
}

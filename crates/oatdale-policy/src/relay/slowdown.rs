//! How many times as long as usual responses take, and whether those of a new version take longer.
//!
//! Whether a response is slow says little in a short trial: a response that takes a little over twice the usual
//! time is nothing special, and one that takes eight times as long is. Responses are therefore counted by how
//! often the usual time doubles within theirs, and the new version's are ranked among all of them.

use std::time::Duration;

/// Doublings that are told apart.
const MAX_DOUBLINGS: usize = 3;

/// Responses of the new version up to which they are ranked. With more, the shares of slow responses tell the
/// versions apart, and a good one may have somewhat more of them.
const MAX_RANKED: u64 = 100;

/// Responses by how often the usual time doubles within theirs: less than twice as long, less than four times as
/// long, and so on.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Slowdowns(pub [u64; MAX_DOUBLINGS + 1]);

impl Slowdowns {
    /// Counts a response.
    pub fn record(&mut self, usual: Duration, time: Duration) {
        let is_doubled = |n: &usize| time >= usual * 2_u32.pow(*n as u32);
        let doublings = (1..=MAX_DOUBLINGS).take_while(is_doubled).count();
        self.0[doublings] += 1;
    }

    /// Returns the sum of both counts.
    pub fn plus(self, other: Slowdowns) -> Slowdowns {
        let mut sum = self;
        for (count, other) in sum.0.iter_mut().zip(other.0) {
            *count = count.saturating_add(other);
        }
        sum
    }

    fn total(self) -> u64 {
        self.0.into_iter().fold(0, u64::saturating_add)
    }
}

/// Returns the probability that as many responses as the new version's, drawn at random from those of both
/// versions, have at least as many doublings in sum; `None` if there are too many responses to rank.
///
/// It makes no assumption on how the times of a version vary.
pub(crate) fn tail_probability(new: Slowdowns, old: Slowdowns) -> Option<f64> {
    let drawn = new.total();
    if drawn > MAX_RANKED {
        return None;
    }
    let [usual, once, twice, thrice] = new.plus(old).0.map(|n| ln_choices(n, drawn));
    let all = ln_choices(new.plus(old).total(), drawn);
    let all = all.last().copied().unwrap_or(0.0);
    let doublings = |n: [u64; MAX_DOUBLINGS]| n[0] + 2 * n[1] + 3 * n[2];
    let [_, observed @ ..] = new.0;
    let observed = doublings(observed);
    let mut probability = 0.0;
    for (c, ln_c) in (0..).zip(&thrice) {
        for (b, ln_b) in (0..=drawn - c).zip(&twice) {
            let least = observed.saturating_sub(doublings([0, b, c]));
            for (a, ln_a) in (0..=drawn - b - c).zip(&once).skip(least as usize) {
                if let Some(rest) = usual.get((drawn - a - b - c) as usize) {
                    probability += (ln_a + ln_b + ln_c + rest - all).exp();
                }
            }
        }
    }
    Some(probability)
}

/// Returns the logarithms of the numbers of ways to choose 0, 1, and up to `max` of `n`.
fn ln_choices(n: u64, max: u64) -> Vec<f64> {
    let steps = (0..n.min(max)).scan(0.0, |ln, k| {
        *ln += ((n - k) as f64 / (k + 1) as f64).ln();
        Some(*ln)
    });
    std::iter::once(0.0).chain(steps).collect()
}

//! A share of accepted answers that is learned from ratings and notices change.

/// Ratings that an estimate remembers.
const MEMORY: f64 = 1000.0;

/// Ratings that the quick average remembers, which tells a change from chance.
const QUICK: f64 = 25.0;

/// Standard deviations between the quick and the slow average that count as a change.
const CHANGE: f64 = 4.0;

/// What is believed before the first rating counts as much as this many ratings.
const PRIOR: f64 = 4.0;

/// The share of answers that the rating service accepts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Estimate {
    mean: f64,
    weight: f64,
    quick: f64,
    quick_weight: f64,
}

impl Estimate {
    /// Takes in one rating from 0 to 1.
    ///
    /// When a version's quality shifts, the slow average would take hundreds of requests to
    /// follow, all below the target. So it restarts from the quick one once the two differ by
    /// more than chance explains.
    pub(crate) fn add(&mut self, rating: f64) {
        self.weight = (self.weight + 1.0).min(MEMORY);
        self.mean += (rating - self.mean) / self.weight;
        self.quick_weight = (self.quick_weight + 1.0).min(QUICK);
        self.quick += (rating - self.quick) / self.quick_weight;
        let variance = (self.mean * (1.0 - self.mean)).max(0.02);
        let chance = (variance / (2.0 * QUICK - 1.0)).sqrt();
        let settled = self.weight > 2.0 * QUICK;
        if settled && (self.quick - self.mean).abs() > CHANGE * chance {
            self.mean = self.quick;
            self.weight = QUICK;
        }
    }

    /// The estimate, drawn towards `prior` while ratings are few.
    pub(crate) fn get(&self, prior: f64) -> f64 {
        (self.mean * self.weight + prior * PRIOR) / (self.weight + PRIOR)
    }

    /// How many ratings it rests on.
    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }
}

//! A share of accepted answers that is learned from ratings and notices change.

/// Ratings that an estimate remembers.
const SLOW_AVERAGE_RATINGS: f64 = 1000.0;

/// Ratings that the quick average remembers, which tells a change from chance.
const FAST_AVERAGE_RATINGS: f64 = 25.0;

/// Standard deviations between the quick and the slow average that count as a change.
const CHANGE_STD_ERRORS: f64 = 4.0;

/// What is believed before the first rating counts as much as this many ratings.
const PRIOR_RATINGS: f64 = 4.0;

/// The share of answers that the rating service accepts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AcceptanceEstimate {
    mean: f64,
    ratings: f64,
    fast_mean: f64,
    fast_ratings: f64,
}

impl AcceptanceEstimate {
    /// Takes in one rating from 0 to 1.
    ///
    /// When a version's quality shifts, the slow average would take hundreds of requests to
    /// follow, all below the target. So it restarts from the quick one once the two differ by
    /// more than chance explains.
    pub(crate) fn add(&mut self, rating: f64) {
        self.ratings = (self.ratings + 1.0).min(SLOW_AVERAGE_RATINGS);
        self.mean += (rating - self.mean) / self.ratings;
        self.fast_ratings = (self.fast_ratings + 1.0).min(FAST_AVERAGE_RATINGS);
        self.fast_mean += (rating - self.fast_mean) / self.fast_ratings;
        let variance = (self.mean * (1.0 - self.mean)).max(0.02);
        let std_error = (variance / (2.0 * FAST_AVERAGE_RATINGS - 1.0)).sqrt();
        let is_settled = self.ratings > 2.0 * FAST_AVERAGE_RATINGS;
        if is_settled && (self.fast_mean - self.mean).abs() > CHANGE_STD_ERRORS * std_error {
            self.mean = self.fast_mean;
            self.ratings = FAST_AVERAGE_RATINGS;
        }
    }

    /// The estimate, drawn towards `prior` while ratings are few.
    pub(crate) fn get(&self, prior: f64) -> f64 {
        (self.mean * self.ratings + prior * PRIOR_RATINGS) / (self.ratings + PRIOR_RATINGS)
    }

    /// How many ratings it rests on.
    pub(crate) fn ratings(&self) -> f64 {
        self.ratings
    }
}

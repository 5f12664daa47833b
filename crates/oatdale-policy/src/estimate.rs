//! Estimate of the share of accepted answers, learned from ratings, with change detection.

/// Ratings over which the slow average runs.
const SLOW_AVERAGE_RATINGS: f64 = 1000.0;

/// Ratings over which the fast average runs, which tells a change from chance.
const FAST_AVERAGE_RATINGS: f64 = 25.0;

/// Standard errors by which the fast and the slow average must differ to count as a change.
const CHANGE_STD_ERRORS: f64 = 4.0;

/// Weight of the prior, in ratings.
const PRIOR_RATINGS: f64 = 4.0;

/// Estimated share of answers that the rating service accepts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AcceptanceEstimate {
    mean: f64,
    ratings: f64,
    fast_mean: f64,
    fast_ratings: f64,
}

impl AcceptanceEstimate {
    /// Records a rating from 0 to 1.
    ///
    /// When a version's quality changes, the slow average would take hundreds of requests to
    /// follow, all of them below the target. So it restarts from the fast average once the two
    /// differ by more than chance explains.
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

    /// Returns the estimate, weighted towards `prior` while there are few ratings.
    pub(crate) fn get(&self, prior: f64) -> f64 {
        (self.mean * self.ratings + prior * PRIOR_RATINGS) / (self.ratings + PRIOR_RATINGS)
    }

    /// Returns the number of ratings in the slow average.
    pub(crate) fn ratings(&self) -> f64 {
        self.ratings
    }
}

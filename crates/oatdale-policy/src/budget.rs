//! A retry budget: retries may add only a fixed part to a service's load.

/// What each first attempt adds to the budget, in retries.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.2;

/// The most that may be saved up, in retries.
const MAX_BALANCE_RETRIES: f64 = 10.0;

/// What a service may still spend on retries.
///
/// Without it, endpoints that fail because they are overloaded get each request several times,
/// which keeps them overloaded after the cause has gone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            balance: MAX_BALANCE_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub(crate) fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_FIRST_ATTEMPT).min(MAX_BALANCE_RETRIES);
    }

    /// Pays for one retry, if the budget allows it.
    pub(crate) fn withdraw(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}

//! Retry budget: retries may add only a fixed fraction to a service's load.

/// Retries that each first attempt adds to the budget.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.2;

/// Largest balance, in retries.
const MAX_BALANCE_RETRIES: f64 = 10.0;

/// Retries that a service may still send.
///
/// Without a budget, endpoints that fail because of overload receive each request several times,
/// which keeps them overloaded after the cause is gone.
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
    /// Records a first attempt.
    pub(crate) fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_FIRST_ATTEMPT).min(MAX_BALANCE_RETRIES);
    }

    /// Withdraws one retry; returns whether the balance allows it.
    pub(crate) fn withdraw(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}

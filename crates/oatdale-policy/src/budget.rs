//! A retry budget: retries may add only a fixed part to a service's load.

/// What each first attempt adds to the budget, in retries.
const DEPOSIT: f64 = 0.2;

/// The most that may be saved up, in retries.
const CAP: f64 = 10.0;

/// What a service may still spend on retries.
///
/// Without it, endpoints that fail because they are overloaded get each request several times,
/// which keeps them overloaded after the cause has gone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { balance: CAP }
    }
}

impl Budget {
    /// Notes a first attempt.
    pub(crate) fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(CAP);
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

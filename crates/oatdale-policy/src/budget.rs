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
pub struct Budget {
    balance: f64,
    /// What each first attempt adds, in retries.
    deposit: f64,
    /// The most that may be saved up, in retries.
    cap: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget::new(DEPOSIT, CAP)
    }
}

impl Budget {
    /// A full budget to which each first attempt adds `deposit` retries, up to `cap`.
    pub fn new(deposit: f64, cap: f64) -> Self {
        Budget {
            balance: cap,
            deposit,
            cap,
        }
    }

    /// Notes a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.deposit).min(self.cap);
    }

    /// Pays for one retry, if the budget allows it.
    pub fn withdraw(&mut self) -> bool {
        self.withdraw_above(0.0)
    }

    /// Pays for one retry if the budget allows it and this part of its cap is left then.
    ///
    /// A use that can wait leaves something for one that cannot.
    pub fn withdraw_above(&mut self, part: f64) -> bool {
        let allowed = self.balance >= 1.0 + part * self.cap;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }

    /// Changes the most that may be saved up.
    pub fn set_cap(&mut self, cap: f64) {
        self.cap = cap;
        self.balance = self.balance.min(cap);
    }
}

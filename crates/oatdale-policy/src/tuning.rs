//! Switches by which measurements compare a decision with its simpler form.

/// How a router decides where a simpler way exists; nodes use the default.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Tuning {
    /// What bounds retries.
    pub retries: Retries,
    /// Which of a customer's waiting requests goes first.
    pub order: Order,
}

/// What bounds retries, beside the number of attempts of one request.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Retries {
    /// A budget for each service.
    #[default]
    Budget,
    /// Nothing.
    Unlimited,
}

/// Which of a customer's waiting requests goes first.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Order {
    /// The one that came first.
    Arrival,
    /// The one whose session has come furthest.
    #[default]
    Progress,
}

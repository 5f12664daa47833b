//! Switches with which measurements compare a decision with a simpler alternative.

/// Selects between the rules of the router and simpler ones; nodes use the default.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Tuning {
    /// Limit on retries.
    pub retries: Retries,
    /// Order of a customer's queued requests.
    pub order: Order,
}

/// Limit on retries, besides the number of attempts of one request.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Retries {
    /// One budget for each service.
    #[default]
    Budget,
    /// No limit.
    Unlimited,
}

/// Order of a customer's queued requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Order {
    /// Order of arrival.
    Arrival,
    /// By the number of earlier requests of the session, highest first.
    #[default]
    Progress,
}

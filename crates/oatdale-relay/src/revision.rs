//! Places in the history of the platform's key-value service.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A place in the service's history.
///
/// The service numbers its changes. When it comes back from an older copy of itself, numbers are given out again, for
/// other changes, in a later era; so the era goes first.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct Revision {
    /// How often the service came back from an older copy, by its own count.
    pub era: u64,
    /// The service's number of the last change.
    pub number: u64,
}

impl Revision {
    /// The place of a change in an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Revision { era, number }
    }

    /// The next place in the same era.
    pub const fn next(self) -> Self {
        Revision::new(self.era, self.number + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

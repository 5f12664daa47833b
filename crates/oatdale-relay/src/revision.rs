//! Revisions of the platform's key-value service.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A position in the service's history.
///
/// The service numbers its changes. When it is restored from an older backup, it assigns the same
/// numbers again to other changes, in a later era; so the era is compared first.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct Revision {
    /// How often the service was restored from an older backup, by its own count.
    pub era: u64,
    /// The service's number of its last change.
    pub number: u64,
}

impl Revision {
    /// Creates the revision of a change in an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Revision { era, number }
    }

    /// Returns the next revision in the same era.
    pub const fn next(self) -> Self {
        Revision::new(self.era, self.number + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

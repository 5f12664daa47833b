//! Admission rules by a version's state and stop, shared by the node and the specification.

use oatdale_config::{Revision, VersionState};

/// Kind of work for which a version is requested.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Work {
    /// A new session or a request outside any session.
    New,
    /// A request of a session that is pinned to the version.
    Pinned,
}

/// Whether a version admits work, by its configured state and the stop recorded beside it.
///
/// ```
/// use oatdale_config::VersionState;
/// use oatdale_policy::{Work, admits};
///
/// assert!(admits(VersionState::Draining, false, Work::Pinned));
/// assert!(!admits(VersionState::Draining, false, Work::New));
/// assert!(!admits(VersionState::Serving, true, Work::New));
/// assert!(!admits(VersionState::Withdrawn, false, Work::Pinned));
/// ```
pub fn admits(state: VersionState, stopped: bool, work: Work) -> bool {
    match (state, work) {
        (VersionState::Withdrawn, _) | (VersionState::Draining, Work::New) => false,
        (_, Work::New) => !stopped,
        (_, Work::Pinned) => true,
    }
}

/// Whether a stop decided at one revision still holds; `changed_at` is the newest known revision
/// that changed the version's configuration.
///
/// A node that has not received the newer revision keeps the stop. A node that has not received the
/// stop can't end it, since only a revision above the stop's does.
pub fn stop_holds(stopped_at: Revision, changed_at: Revision) -> bool {
    changed_at <= stopped_at
}

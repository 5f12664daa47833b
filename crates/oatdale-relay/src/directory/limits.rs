//! Limits on the requests to an endpoint from all nodes together, and the permits by which nodes keep
//! them.

use crate::directory::Entry;
use oatdale_policy::relay::{AdaptiveRate, LimitChange, PermitIssuer, PermitSeeker, RequestLimit};
use std::time::Duration;

/// Permits for requests to an endpoint that limits them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Permits {
    /// Whether all nodes have been told of the limit.
    pub(crate) limit_announced: bool,
    /// This node's use of permits.
    pub(crate) seeker: PermitSeeker,
    /// The permits that this node issues.
    pub(crate) issuer: PermitIssuer,
    /// The rate at which it issues them, if the endpoint has rejected requests.
    pub(crate) rate: AdaptiveRate,
}

impl Entry {
    /// Returns the permits for it.
    pub(crate) fn permits(&mut self) -> &mut Permits {
        self.permits.get_or_insert_default()
    }

    /// Updates its limit by a statement of it.
    pub(crate) fn update_limit(&mut self, limit: RequestLimit) -> LimitChange {
        let change = self.limit.update(limit);
        if change == LimitChange::Ended {
            self.permits().limit_announced = false;
        }
        change
    }

    /// Ends its limit, as an issuer knows of a later statement, made at `stated_at`.
    pub(crate) fn end_limit(&mut self, now: Duration, stated_at: Duration) {
        // By the two nodes' clocks the order may come out differently by a few milliseconds.
        let known_at = now.saturating_sub(self.limit.age(now));
        self.update_limit(RequestLimit::new(known_at.max(stated_at), None));
    }

    /// Whether it has no limit, or this node may ask for a permit now.
    pub(super) fn may_ask_permit(&self, now: Duration) -> bool {
        let seeker = self.seeker_of_limited();
        seeker.is_none_or(|seeker| seeker.may_ask(now))
    }

    /// Returns this node's use of permits, if it has a limit and this node has asked for one.
    pub(super) fn seeker_of_limited(&self) -> Option<&PermitSeeker> {
        let permits = self.permits.as_ref()?;
        self.limit.per_second().map(|_| &permits.seeker)
    }
}

//! Limits on the requests to an endpoint from all nodes together, and the permits by which nodes keep
//! them.

use crate::directory::{Directory, EndpointKey, Entry};
use oatdale_policy::relay::{
    AdaptiveRoom, HeldReport, HeldRequests, LimitChange, PermitIssuer, PermitSeeker, RequestLimit,
    RoomBounds,
};
use std::net::SocketAddr;
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
    /// The room of an endpoint that must not reject many requests, as this node knows it as an issuer.
    pub(crate) room: AdaptiveRoom,
    /// Requests of the other nodes there, as they report them to this issuer.
    pub(crate) held: HeldRequests<SocketAddr>,
    /// This node's requests for permits that have not been answered; their requests are placed already.
    pub(crate) undecided: u32,
    /// Highest number of those that have been answered.
    pub(crate) answered: u32,
    /// Requests of this node that the endpoint has rejected, and when the last one was sent.
    rejected: u32,
    rejected_sent_at: Option<Duration>,
}

/// Time for which the last rejected request is reported.
const REJECTION_REPORT_TIME: Duration = Duration::from_secs(1);

impl Entry {
    /// Returns the permits for it.
    pub(crate) fn permits(&mut self) -> &mut Permits {
        self.permits.get_or_insert_default()
    }

    /// Number of this node's requests that have been sent to it.
    pub(crate) fn sent(&self) -> u32 {
        let undecided = self.permits.as_ref().map_or(0, |p| p.undecided);
        self.in_flight.saturating_sub(undecided)
    }

    /// Records that it has rejected a request of this node that was sent at `sent_at`.
    pub(crate) fn record_rejection(&mut self, sent_at: Duration) {
        let permits = self.permits();
        permits.rejected = permits.rejected.saturating_add(1);
        permits.rejected_sent_at = Some(sent_at);
    }

    /// Returns this node's requests there, to report them to the issuers.
    pub(crate) fn held_report(&self, now: Duration) -> HeldReport {
        let permits = self.permits.as_deref();
        let rejected_after = permits
            .and_then(|p| p.rejected_sent_at)
            .map(|at| now.saturating_sub(at));
        HeldReport {
            in_flight: self.sent(),
            answered: permits.map_or(0, |p| p.answered),
            rejected: permits.map_or(0, |p| p.rejected),
            rejected_after: rejected_after.filter(|time| *time < REJECTION_REPORT_TIME),
        }
    }

    /// Returns the rate at which it finishes requests, as far as known, if it must not reject many and
    /// has no room for another one now. This node uses the given share of its room as an issuer.
    pub(crate) fn rate_if_full(&mut self, now: Duration, share: f64) -> Option<f64> {
        let max_rejections = self.limit.max_rejections()?;
        let bounds = RoomBounds {
            max_rejections,
            slots: self.endpoint.slots,
            share,
        };
        let sent = self.sent();
        let permits = self.permits();
        let in_flight = permits.held.total(now).saturating_add(sent);
        match permits.room.accepts(now, in_flight, &bounds) {
            true => None,
            false => Some(permits.room.granted_per_second(now)),
        }
    }

    /// Lowers the limit on the requests that it holds, as it has rejected one that was sent at
    /// `sent_at`, and returns the limit.
    pub(crate) fn lower_room(&mut self, now: Duration, sent_at: Duration) -> f64 {
        let sent = self.sent();
        let permits = self.permits();
        let in_flight = permits.held.total(now).saturating_add(sent);
        permits.room.record_rejection(now, sent_at, in_flight)
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

impl Directory {
    /// Records that the endpoints of a service state how many rejections in a second they bear, or that
    /// they no longer do. It applies to those that have stated nothing since, and to new ones until they
    /// state something themselves.
    pub(crate) fn set_max_rejections(
        &mut self,
        now: Duration,
        service: &str,
        max_rejections: Option<u32>,
    ) {
        match max_rejections {
            Some(max) => self.max_rejections.insert(service.to_owned(), max),
            None => self.max_rejections.remove(service),
        };
        let Some(max_rejections) = max_rejections else {
            return;
        };
        let limit = RequestLimit::new(now, None).with_max_rejections(Some(max_rejections));
        for key in self.by_service.get(service).into_iter().flatten() {
            match self.entries.get_mut(key) {
                Some(entry) if entry.limit.per_second().is_none() => {
                    entry.update_limit(limit);
                }
                _ => {}
            }
        }
    }

    /// Returns the limit of an endpoint of a service that has stated nothing yet.
    pub(super) fn initial_limit(&self, now: Duration, service: &str) -> RequestLimit {
        match self.max_rejections.get(service) {
            Some(max) => RequestLimit::new(now, None).with_max_rejections(Some(*max)),
            None => RequestLimit::default(),
        }
    }

    /// Returns the endpoints with requests of this node that must not reject many.
    pub(crate) fn busy_and_brittle(&self) -> Vec<EndpointKey> {
        let is_brittle = |key: &&EndpointKey| {
            let entry = self.entries.get(key);
            entry.is_some_and(|e| e.limit.max_rejections().is_some())
        };
        self.busy.iter().filter(is_brittle).copied().collect()
    }
}

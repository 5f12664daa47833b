//! Decisions about requests that are proxied without interpreting their content.
//!
//! Each decision is a plain function or a small state machine over the caller's observations: where
//! a request is placed, whether it may be sent again, whether the answer of a small model is good
//! enough, and how far a new software version of an endpoint pool may be exposed.
//!
//! # Examples
//!
//! ```
//! use oatdale_policy::relay::{Candidate, Placement, choose};
//!
//! let idle = Candidate { in_flight: 0.0, affinity: 1, ..Candidate::default() };
//! let busy = Candidate { in_flight: 9.0, affinity: 7, ..Candidate::default() };
//! // The busy endpoint caches the prompt's prefix, but its load is too far above the mean.
//! assert_eq!(choose(&[idle, busy], Placement::Affinity, 0), Some(0));
//! ```

mod adaptive_room;
mod addresses;
mod admission;
mod announcement;
mod engine;
mod escalation;
mod evidence;
mod expected_time;
mod fingerprint;
mod forwarding;
mod health;
mod held_requests;
mod ladder;
mod pace;
mod part_crashes;
mod permits;
mod placement;
mod prefix_shares;
mod quarantine;
mod reachability;
mod readers;
mod request_limit;
mod retry_limiter;
mod roll_out;
mod slowdown;
mod speed;
mod timed_placement;
mod unconfirmed_crashes;
mod warm_up;

pub use crate::average::{Mean, Rate};
pub use crate::relay::adaptive_room::{AdaptiveRoom, RoomBounds};
pub use crate::relay::addresses::{AddressCandidate, advertised_addresses};
pub use crate::relay::admission::{
    AdmissionDecision, AdmissionQueue, AdmissionRefusal, AdmissionRequest, LoadGrowth, Prospect,
    Rejections, ReleaseShare, ReturningCallers, ServiceOutlook, SpareCapacity, UrgentTargets,
    WaitingRequest, admit, may_be_overloaded,
};
pub use crate::relay::announcement::is_prompt_announced;
pub use crate::relay::engine::EngineReport;
pub use crate::relay::escalation::{
    EscalationRule, EscalationVerdict, RunTime, ServiceLoad, WAIT_FREE_LOAD, wait_free_load,
};
pub use crate::relay::evidence::{
    Counts, CountsByOrigin, Origin, Verdict, VersionCounts, completion_verdict, verdict,
};
pub use crate::relay::expected_time::{LoadAhead, READ_TIME_PER_WEIGHT, ResponseTimes, TimeCurve};
pub use crate::relay::fingerprint::Fingerprint;
pub use crate::relay::forwarding::ForwardTargets;
pub use crate::relay::health::Health;
pub use crate::relay::held_requests::{HeldReport, HeldRequests};
pub use crate::relay::ladder::{EscalationDecision, Ladder};
pub use crate::relay::pace::{BaselineTime, MedianTime, StreamPace};
pub use crate::relay::part_crashes::{CrashedRequest, PartAnswers, PartCrashes};
pub use crate::relay::permits::{
    IssuerRank, IssuerView, PermitIssuer, PermitReply, PermitRequest, PermitSeeker,
};
pub use crate::relay::placement::{Candidate, Placement, choose};
pub use crate::relay::prefix_shares::PrefixShares;
pub use crate::relay::quarantine::{
    MAX_CRASHES, QUARANTINE_TIME, Quarantine, SUSPECT_TIME, Tracking,
};
pub use crate::relay::reachability::{CHECKED_ENDPOINTS, CheckOutcome, ReachChange, Reachability};
pub use crate::relay::readers::{
    READERS_PER_DOMAIN, REGISTERED_PER_DOMAIN, ReaderCandidate, ReaderSelector, first_read_delay,
    first_registration_delay, max_forwarded_bytes, rank_readers, registration_delay, retry_pause,
    select_readers, start_delay,
};
pub use crate::relay::request_limit::{LimitChange, RequestLimit};
pub use crate::relay::retry_limiter::{RetryLimit, RetryLimiter};
pub use crate::relay::roll_out::{
    ExposureLimit, MAX_TRIAL_SHARE, Phase, Schedule, is_in_trial, trial_share, uses_new_version,
};
pub use crate::relay::slowdown::Slowdowns;
pub use crate::relay::speed::{
    EstimateFault, GapSampler, MAX_SPEED_FACTOR, MAX_SPEED_WEIGHT, MIN_SPEED_FACTOR, MergeOutcome,
    SlownessChange, SpeedEstimate, SpeedOrigin, SpeedSample, SpeedTable, StatedEstimate, Trend,
    UsualTime,
};
pub use crate::relay::timed_placement::{
    CachedPrefix, TimedCandidate, choose_cached, choose_of_two,
};
pub use crate::relay::unconfirmed_crashes::{EndpointFate, SettledCrash, UnconfirmedCrashes};
pub use crate::relay::warm_up::{WarmUp, warm_up_share};

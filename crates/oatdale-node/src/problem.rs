//! Problem documents (RFC 9457) with a `run` member.

use crate::reply::{Reply, json};
use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use oatdale_policy::{Refusal, RefusalReason};
use serde::Serialize;
use std::time::Duration;

/// Whether the request may have run at an endpoint.
///
/// A caller repeats a request that is `NotRun` without a second thought, so a wrong `NotRun` books
/// a slot twice. `NotRun` is therefore only said when no attempt was written to any endpoint, or
/// when the endpoint itself refused before it started.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Run {
    /// No endpoint started on it.
    NotRun,
    /// An endpoint may have started on it, or finished it.
    MayHaveRun,
}

/// A refusal or failure as the caller gets it.
#[derive(Clone, PartialEq, Debug)]
pub(crate) struct Problem {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The last part of the problem's type, stable for programs.
    pub(crate) kind: &'static str,
    /// One sentence for a person.
    pub(crate) detail: String,
    /// Whether the request may have run.
    pub(crate) run: Run,
    /// When asking again may help.
    pub(crate) retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Document<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    run: Run,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<&'a str>,
}

impl Problem {
    /// A problem of a request that reached no endpoint.
    pub(crate) fn not_run(
        status: StatusCode,
        kind: &'static str,
        detail: impl Into<String>,
    ) -> Problem {
        Problem {
            status,
            kind,
            detail: detail.into(),
            run: Run::NotRun,
            retry_after: None,
        }
    }

    /// The problem of a request that the router refuses.
    pub(crate) fn refusal(refusal: Refusal, run: Run) -> Problem {
        let (status, kind, detail) = describe(refusal.reason);
        Problem {
            status,
            kind,
            detail: detail.to_owned(),
            run,
            retry_after: refusal.retry_after,
        }
    }

    /// Says when to ask again.
    pub(crate) fn retry_after(mut self, after: Duration) -> Problem {
        self.retry_after = Some(after);
        self
    }

    /// The document as bytes, for an answer or for the end of a stream.
    pub(crate) fn document(&self, request: Option<&str>) -> Vec<u8> {
        let document = Document {
            r#type: format!("urn:oatdale:problem:{}", self.kind),
            title: self.status.canonical_reason().unwrap_or("error"),
            status: self.status.as_u16(),
            detail: &self.detail,
            run: self.run,
            request,
        };
        serde_json::to_vec(&document).expect("a document of strings and numbers serialises")
    }

    /// The whole answer.
    pub(crate) fn reply(&self, request: Option<&str>) -> Reply {
        let mut reply = json(self.status, self.document(request));
        let headers = reply.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(after)));
        }
        reply
    }
}

/// Rounds up, since a caller that comes back early is refused again.
fn whole_seconds(after: Duration) -> u64 {
    after.as_secs() + u64::from(after.subsec_nanos() > 0)
}

fn describe(reason: RefusalReason) -> (StatusCode, &'static str, &'static str) {
    match reason {
        RefusalReason::CustomerRate => (
            StatusCode::TOO_MANY_REQUESTS,
            "customer-rate",
            "the customer's requests a second are used up",
        ),
        RefusalReason::CustomerConcurrency => (
            StatusCode::TOO_MANY_REQUESTS,
            "customer-concurrency",
            "the customer has as many requests under way as it may have",
        ),
        RefusalReason::Overload => (
            StatusCode::SERVICE_UNAVAILABLE,
            "overload",
            "the service has no room for this request before its deadline",
        ),
        RefusalReason::Dependency => (
            StatusCode::SERVICE_UNAVAILABLE,
            "dependency",
            "a service that this one depends on has no room",
        ),
        RefusalReason::Deadline => (
            StatusCode::GATEWAY_TIMEOUT,
            "deadline",
            "the deadline passed before an answer was there",
        ),
        RefusalReason::NoVersion => (
            StatusCode::FORBIDDEN,
            "no-version",
            "no version that this customer may use takes new work",
        ),
        RefusalReason::SessionVersionWithdrawn => (
            StatusCode::GONE,
            "session-version-withdrawn",
            "the session's version has been withdrawn; open a new session",
        ),
        RefusalReason::NoEndpoint => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no-endpoint",
            "no endpoint that could answer is reachable",
        ),
        RefusalReason::Failed => (
            StatusCode::BAD_GATEWAY,
            "failed",
            "the endpoint failed and no further attempt is allowed",
        ),
    }
}

//! Sessions: `POST /v1/sessions`, and the headers by which requests belong to one.

use super::once::bad;
use super::{MAX_NAME, Who, body, digest, new_id, spread};
use crate::cx::{Cx, wall_clock};
use crate::problem::{Problem, Run};
use crate::reply::{Reply, json_of};
use crate::session::Claims;
use http::header::HeaderName;
use http::{HeaderMap, Request, StatusCode};
use hyper::body::Incoming;
use oatdale_config::ServiceKey;
use oatdale_journal::{Pin, SessionKey};
use oatdale_policy::Session;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Carries the token that `POST /v1/sessions` returned.
const TOKEN_HEADER: HeaderName = HeaderName::from_static("x-session-token");

/// Names a session; the first request with the name pins its version.
pub(super) const NAME_HEADER: HeaderName = HeaderName::from_static("x-session");

/// How many requests of the session went before; the caller counts.
const STEP_HEADER: HeaderName = HeaderName::from_static("x-session-step");

/// How long a named session lasts.
const MAX_AGE: Duration = Duration::from_secs(24 * 3600);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Open {
    /// The service that the session is for.
    model: String,
}

#[derive(Serialize)]
struct Opened {
    id: String,
    object: &'static str,
    model: String,
    version: String,
    token: String,
}

/// Opens a session whose token any node honours.
pub(super) async fn handle(cx: Cx, who: Who, req: Request<Incoming>) -> Result<Reply, Problem> {
    let (head, incoming) = req.into_parts();
    let bytes = body::read(&head.headers, incoming, &cx.settings.limits).await?;
    let open: Open = serde_json::from_slice(&bytes).map_err(|err| {
        Problem::not_run(
            StatusCode::BAD_REQUEST,
            "body",
            format!("the body must be {{\"model\": SERVICE}}: {err}"),
        )
    })?;
    let service = who.model_service(&open.model)?;
    let id = new_id();
    let version = choose(&cx, &who, service, id.0 as u64).await?;
    let claims = Claims {
        customer: who.name().to_owned(),
        id: id.to_string(),
        service: open.model.clone(),
        version: version.clone(),
    };
    Ok(json_of(&Opened {
        id: claims.id.clone(),
        object: "session",
        model: open.model,
        version,
        token: cx.sealer.seal(&claims),
    }))
}

/// Where a request stands in a session, by its headers.
///
/// # Errors
///
/// Refuses tokens of others and sessions whose version is gone from the text: a session keeps its
/// version or ends, it is never moved.
pub(super) async fn of(
    cx: &Cx,
    who: &Who,
    headers: &HeaderMap,
    service: ServiceKey,
) -> Result<Session, Problem> {
    let version = match (headers.get(TOKEN_HEADER), headers.get(NAME_HEADER)) {
        (None, None) => return Ok(Session::None),
        (Some(_), Some(_)) => {
            return Err(refused("give a session's token or its name, not both"));
        }
        (Some(token), None) => by_token(cx, who, token.to_str().unwrap_or_default(), service)?,
        (None, Some(name)) => by_name(cx, who, name.as_bytes(), service).await?,
    };
    let version = who.live.version(&version).ok_or_else(|| {
        Problem::not_run(
            StatusCode::GONE,
            "session-version-withdrawn",
            format!("the session's version {version} is gone; open a new session"),
        )
    })?;
    Ok(Session::Pinned {
        version,
        step: step(headers)?,
    })
}

fn by_token(cx: &Cx, who: &Who, token: &str, service: ServiceKey) -> Result<String, Problem> {
    let claims = cx
        .sealer
        .open(token)
        .map_err(|err| refused(&err.to_string()))?;
    let service = &who.live.cfg.services[service].name;
    match claims.customer == who.name() && claims.service == *service {
        true => Ok(claims.version),
        false => Err(refused("the session is another customer's or service's")),
    }
}

/// The version that the journal holds for a session's name; the first request chooses it.
async fn by_name(cx: &Cx, who: &Who, name: &[u8], service: ServiceKey) -> Result<String, Problem> {
    if !(1..=MAX_NAME).contains(&name.len()) {
        return Err(bad(&NAME_HEADER, "1 to 256 bytes"));
    }
    let service_name = who.live.cfg.services[service].name.as_bytes();
    let key = SessionKey(digest(&[
        b"session",
        who.name().as_bytes(),
        service_name,
        name,
    ]));
    if let Some(version) = cx.pins.get(key) {
        return Ok(version);
    }
    let version = choose(cx, who, service, spread(&[b"draw", name])).await?;
    let pin = Pin {
        versions: vec![version],
        opened_at: wall_clock(),
    };
    let held = cx.journal.pin(key, pin).await.map_err(|err| {
        Problem::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "pin-unavailable",
            "the session's version can't be found out now",
        )
        .retry_after(err.retry_after().unwrap_or(Duration::from_secs(1)))
    })?;
    check_age(&held)?;
    let version = held.versions.into_iter().next().unwrap_or_default();
    cx.pins.put(key, version.clone());
    Ok(version)
}

/// Ends a session before the journal forgets its pin.
///
/// The journal keeps pins for an hour longer. A session that went on past that would be pinned
/// anew, perhaps to another version, and its caller would not know.
fn check_age(pin: &Pin) -> Result<(), Problem> {
    let age = wall_clock().0.saturating_sub(pin.opened_at.0);
    match Duration::from_millis(age) < MAX_AGE {
        true => Ok(()),
        false => Err(Problem::not_run(
            StatusCode::GONE,
            "session-ended",
            "a session lasts 24 hours; open one with a new name",
        )),
    }
}

async fn choose(
    cx: &Cx,
    who: &Who,
    service: ServiceKey,
    rollout_hash: u64,
) -> Result<String, Problem> {
    let opened = cx
        .route
        .open_session(who.live.clone(), who.customer, service, rollout_hash)
        .await
        .map_err(|refusal| Problem::refusal(refusal, Run::NotRun))?;
    Ok(opened.live.cfg.version_name(opened.version))
}

fn step(headers: &HeaderMap) -> Result<u32, Problem> {
    let Some(value) = headers.get(STEP_HEADER) else {
        return Ok(1);
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok())
        .ok_or_else(|| bad(&STEP_HEADER, "a whole number"))
}

fn refused(detail: &str) -> Problem {
    Problem::not_run(StatusCode::BAD_REQUEST, "session", detail)
}

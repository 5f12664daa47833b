//! The tour's second part: a roll-out, a bad version, a withdrawal, and a session through all.

use crate::command::demo::caller::Answer;
use crate::command::demo::data::{self, Example};
use crate::command::demo::report::Report;
use crate::command::demo::service::answered;
use crate::command::demo::site::Site;
use crate::command::demo::{expect, fail};
use crate::error::Result;
use http::StatusCode;
use oatdale_config::VersionState;
use oatdale_fakes::Fault;
use serde_json::Value;
use std::time::Duration;
use tokio::time::sleep;

const OLD: &str = "orbit-mini/2026-09";
const NEW: &str = "orbit-mini/2026-11";

/// The share of a canary that is to be found bad quickly.
const SHARE: f64 = 0.5;

/// Sessions to open until one is on the older version, which gets 95 of 100.
const MAX_SESSIONS: usize = 20;

/// Requests until a version that fails each must be stopped, with a wide margin.
const MAX_EXPOSED: u32 = 400;

/// Between two requests, so that they keep within the 20 a second that mail-desk may send.
const PACE: Duration = Duration::from_millis(80);

/// Requests that show where work goes.
const PROBES: usize = 12;

/// Moves versions and checks what callers meet.
pub(super) async fn tour(site: &mut Site, report: &mut Report) -> Result<()> {
    let example = data::requests("tag-mail")?.remove(0);
    let session = open_old(site, &example, report).await?;
    canary(site, &example, &session, report).await?;
    bad_version(site, &example, report).await?;
    withdrawal(site, &example, &session, report).await
}

async fn open_old(site: &Site, example: &Example, report: &mut Report) -> Result<String> {
    report.section("A session keeps its version while versions roll out")?;
    for _ in 0..MAX_SESSIONS {
        let opened = site.open_session(example).await?;
        if opened.version == OLD {
            report.line(&format!("a session of mail-desk was opened on {OLD}"))?;
            return Ok(opened.token);
        }
    }
    fail("no session was opened on the version that has 95% of them")
}

async fn canary(
    site: &mut Site,
    example: &Example,
    session: &str,
    report: &mut Report,
) -> Result<()> {
    let state = VersionState::Canary { share: SHARE };
    site.set_state(NEW, state, report).await?;
    keeps_version(site, example, session, report).await
}

/// Asks every node, as a session's caller may.
async fn keeps_version(
    site: &Site,
    example: &Example,
    session: &str,
    report: &mut Report,
) -> Result<()> {
    for node in 0..3 {
        let answer = ask(site, node, example, session).await?;
        answered(&answer, report)?;
        let version = answer.version();
        expect(version == OLD, || {
            format!("the session was moved to {version}")
        })?;
    }
    report.line(&format!("the session asked each node: still {OLD}"))
}

async fn bad_version(site: &mut Site, example: &Example, report: &mut Report) -> Result<()> {
    report.section("A version turns bad and is stopped with no operator")?;
    break_new(site, Some(Fault::Errors));
    let mut failed = 0;
    let mut sent = 0;
    while !site.statuses().await?.iter().any(knows_stop) {
        expect(sent < MAX_EXPOSED, || {
            format!("{NEW} is not stopped after {sent} requests")
        })?;
        let addr = site.callers(sent as usize);
        sleep(PACE).await;
        let answer = site.caller.chat(addr, example, &[]).await?;
        sent += 1;
        match answer.status.is_success() {
            true => answered(&answer, report)?,
            false => failed += 1,
        }
    }
    report.facts().failed_by_bad_version = failed;
    report.line(&format!(
        "{NEW} fails every request; it was stopped after {sent} requests, {failed} of them lost"
    ))?;
    site.until("every node knows of the stop", knows_stop)
        .await?;
    for node in 0..PROBES {
        sleep(PACE).await;
        let answer = site.caller.chat(site.callers(node), example, &[]).await?;
        answered(&answer, report)?;
        let version = answer.version();
        expect(version == OLD, || format!("{version} got work"))?;
    }
    report.line(&format!(
        "the next {PROBES} requests, over all nodes: all by {OLD}"
    ))?;
    break_new(site, None);
    report.line("it is mended, and an operator speaks of it again")?;
    site.set_state(NEW, VersionState::Serving, report).await
}

async fn withdrawal(
    site: &mut Site,
    example: &Example,
    session: &str,
    report: &mut Report,
) -> Result<()> {
    report.section("The older version drains, then is withdrawn")?;
    site.set_state(OLD, VersionState::Draining, report).await?;
    keeps_version(site, example, session, report).await?;
    let opened = site.open_session(example).await?;
    expect(opened.version == NEW, || {
        format!("a new session got {}", opened.version)
    })?;
    report.line(&format!("a new session: {NEW}"))?;
    site.set_state(OLD, VersionState::Withdrawn, report).await?;
    for node in 0..3 {
        let answer = ask(site, node, example, session).await?;
        let refused = answer.status == StatusCode::GONE && answer.not_run();
        expect(refused, || {
            format!(
                "the session was answered {}: {}",
                answer.status,
                answer.json()
            )
        })?;
    }
    report.line("the old session is refused by each node: 410, session-version-withdrawn, not-run")
}

fn break_new(site: &Site, fault: Option<Fault>) {
    for engine in site.stand_ins.engines() {
        engine.set_version_fault(NEW, fault);
    }
}

fn knows_stop(status: &Value) -> bool {
    let stops = status["stops"].as_array();
    stops.is_some_and(|stops| stops.iter().any(|stop| stop["version"] == NEW))
}

async fn ask(site: &Site, node: usize, example: &Example, session: &str) -> Result<Answer> {
    let headers = [("x-session-token", session)];
    site.caller
        .chat(site.callers(node), example, &headers)
        .await
}

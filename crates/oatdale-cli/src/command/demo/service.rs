//! The tour's first part: drafts, summaries, tags and a booking.

use crate::command::demo::caller::Answer;
use crate::command::demo::data;
use crate::command::demo::expect;
use crate::command::demo::report::Report;
use crate::command::demo::site::Site;
use crate::error::Result;
use http::StatusCode;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::sleep;

/// Words of a draft that are printed; all of them are read.
const SHOWN_BYTES: usize = 220;

/// A caller that asks again does so after a while.
const BEFORE_ASKING_AGAIN: Duration = Duration::from_millis(600);

const CONFIRM: (&str, &str) = (
    "POST",
    "/services/booking/slots/hcm-a-2026-12-01T02/confirm",
);
const BOOKER: &str = "mekong-flood-watch";

/// Sends the example requests and checks their answers.
pub(super) async fn tour(site: &Site, report: &mut Report) -> Result<()> {
    draft(site, report).await?;
    summaries(site, report).await?;
    tags(site, report).await?;
    booking(site, report).await
}

/// Takes note of a request that was answered in whole.
///
/// # Errors
///
/// It was refused or failed.
pub(super) fn answered(answer: &Answer, report: &mut Report) -> Result<()> {
    expect(answer.status.is_success(), || {
        format!(
            "a request was answered {}: {}",
            answer.status,
            answer.json()
        )
    })?;
    report.answered.insert(answer.id().to_owned());
    Ok(())
}

async fn draft(site: &Site, report: &mut Report) -> Result<()> {
    report.section("A pass schedule is drafted from an orbit log, streamed as it comes")?;
    let example = data::requests("draft-schedule")?.remove(0);
    let session = site.open_session(&example).await?;
    report.line(&format!(
        "{} opens a session, which gets {}, and sends {}",
        example.customer, session.version, example.file
    ))?;
    report.print("   > ")?;
    let mut shown = 0;
    let show = |text: &str| match shown < SHOWN_BYTES {
        true => {
            shown += text.len();
            report.print(text)
        }
        false => Ok(()),
    };
    let headers = [("x-session-token", session.token.as_str())];
    let sent = site
        .caller
        .stream(site.callers(0), &example, &headers, show);
    let streamed = sent.await?;
    expect(streamed.version == session.version, || {
        format!("the session was moved to {}", streamed.version)
    })?;
    report.print("...\n")?;
    report.line(&format!(
        "{} answered: {} pieces, the first after {} ms, the last after {} ms",
        streamed.version,
        streamed.pieces,
        streamed.first.as_millis(),
        streamed.total.as_millis()
    ))?;
    report.answered.insert(streamed.id);
    Ok(())
}

async fn summaries(site: &Site, report: &mut Report) -> Result<()> {
    report.section("Shift notes are summarised")?;
    for (node, example) in data::requests("summarise-shift")?.iter().enumerate() {
        let answer = site.caller.chat(site.callers(node), example, &[]).await?;
        answered(&answer, report)?;
        let words = answer.content().split_whitespace().count();
        report.line(&format!(
            "{}: {words} words by {}",
            example.file,
            answer.version()
        ))?;
    }
    Ok(())
}

/// The mail desk may use the cheap model only, so no other may answer.
async fn tags(site: &Site, report: &mut Report) -> Result<()> {
    report.section("Booking mails are tagged by the cheap model, all that mail-desk may use")?;
    let mut by_version = BTreeMap::<String, u32>::new();
    for (node, example) in data::requests("tag-mail")?.iter().enumerate() {
        let answer = site.caller.chat(site.callers(node), example, &[]).await?;
        answered(&answer, report)?;
        let version = answer.version().to_owned();
        expect(version.starts_with("orbit-mini/"), || {
            format!("mail-desk was answered by {version}")
        })?;
        *by_version.entry(version).or_default() += 1;
    }
    for (version, count) in by_version {
        report.line(&format!("{count} mails by {version}"))?;
    }
    Ok(())
}

async fn booking(site: &Site, report: &mut Report) -> Result<()> {
    report.section("A slot is confirmed once, although its caller asks twice")?;
    let headers = [("idempotency-key", "flood-watch-2026-12-01-0231")];
    let mut answers = Vec::new();
    for node in 0..2 {
        sleep(BEFORE_ASKING_AGAIN).await;
        let (addr, body) = (site.callers(node), "{\"team\": \"FLOODEYE-1\"}".to_owned());
        let sent = site.caller.send(addr, BOOKER, CONFIRM, &headers, body);
        answers.push(sent.await?);
    }
    let (first, second) = (&answers[0], &answers[1]);
    answered(first, report)?;
    report.line(&format!(
        "entry-1 answered {}: the desk confirmed",
        first.status
    ))?;
    let refused = second.status == StatusCode::CONFLICT && second.problem() == "already-sent";
    expect(refused, || {
        format!(
            "the second was answered {}: {}",
            second.status,
            second.json()
        )
    })?;
    report.line(&format!(
        "entry-2 answered {}: {}",
        second.status,
        second.json()["detail"].as_str().unwrap_or_default()
    ))?;
    let desks = site.stand_ins.plain().iter();
    let runs: usize = desks
        .map(|desk| {
            desk.calls()
                .iter()
                .filter(|c| c.path.ends_with("/confirm"))
                .count()
        })
        .sum();
    expect(runs == 1, || format!("the desks ran it {runs} times"))?;
    report.line("the desks' own logs: it ran once")
}

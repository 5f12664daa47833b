//! `oatdale demo`: three nodes, the platform and the endpoints in one process, and a tour.

mod caller;
mod data;
mod ledger;
mod report;
mod roll_out;
mod service;
mod site;

use crate::command::demo::report::Report;
use crate::command::demo::site::Site;
use crate::cx::{Cx, other};
use crate::error::{CliError, Result};
use crate::flags::Demo;
use tokio::time::Instant;

/// Runs the tour.
///
/// # Errors
///
/// Something came out other than the tour says.
pub(crate) async fn run(cx: &Cx, flags: &Demo) -> Result<()> {
    let start = Instant::now();
    let mut report = Report::new(cx.json);
    let mut site = Site::start(&mut report).await?;
    service::tour(&site, &mut report).await?;
    roll_out::tour(&mut site, &mut report).await?;
    ledger::tour(&site, &mut report).await?;
    if flags.keep {
        site.tell_how_to_try(&report)?;
        report.others_may_call = true;
        tokio::signal::ctrl_c().await.map_err(|e| other(&e))?;
    }
    site.stop(&mut report).await?;
    report.end(cx, start.elapsed())
}

/// Ends the tour with an error unless `holds`.
fn expect(holds: bool, otherwise: impl FnOnce() -> String) -> Result<()> {
    match holds {
        true => Ok(()),
        false => fail(&otherwise()),
    }
}

/// Ends the tour with an error.
fn fail<T>(what: &str) -> Result<T> {
    Err(CliError::Other {
        message: format!("the demo went wrong: {what}"),
    })
}

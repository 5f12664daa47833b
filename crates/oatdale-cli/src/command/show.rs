//! `oatdale show`, `diff` and `history`.

use crate::command::{apply, seen};
use crate::cx::{Cx, read_text};
use crate::error::{CliError, NoRevisionSnafu, RefusedSnafu, Result, usage};
use crate::flags::{Diff, History, Show};
use oatdale_config::{Change, Digest, Document, Head, Revision, unified};
use oatdale_platform::{ConfigStore, HttpKv};
use serde::Serialize;
use snafu::OptionExt;
use std::time::{Duration, UNIX_EPOCH};

const DEFAULT_LIMIT: usize = 20;

#[derive(Serialize)]
struct HeadReport<'a> {
    revision: Revision,
    change: String,
    operator: &'a str,
    time: String,
    digest: Digest,
}

#[derive(Serialize)]
struct ShowReport<'a> {
    #[serde(flatten)]
    head: HeadReport<'a>,
    text: &'a str,
}

#[derive(Serialize)]
struct DiffReport<'a> {
    changes: &'a [Change],
    diff: &'a str,
}

pub(crate) async fn show(cx: &Cx, flags: &Show) -> Result<()> {
    let store = cx.store()?;
    let document = document(cx, &store, flags.revision.map(Revision)).await?;
    let text = match flags.plain {
        true => document.text.clone(),
        false => seen::mark(&document.text, document.head.revision),
    };
    let value = ShowReport {
        head: head_report(&document.head),
        text: &document.text,
    };
    cx.print(&text, &value)
}

pub(crate) async fn diff(cx: &Cx, flags: &Diff) -> Result<()> {
    let store = cx.store()?;
    let (old, new, names) = match (&flags.file, flags.from) {
        (Some(file), None) => {
            let name = file.display().to_string();
            let whole = read_text(file)?;
            if let Err(e) = oatdale_config::from_str(&whole) {
                let report = e.in_file(name).to_string();
                return RefusedSnafu { report }.fail();
            }
            let old = document(cx, &store, flags.to.map(Revision)).await?;
            let from = format!("revision {}", old.head.revision);
            (old.text, seen::split(&whole).1.to_owned(), (from, name))
        }
        (None, Some(from)) => {
            let old = document(cx, &store, Some(Revision(from))).await?;
            let new = document(cx, &store, flags.to.map(Revision)).await?;
            let to = format!("revision {}", new.head.revision);
            (old.text, new.text, (format!("revision {from}"), to))
        }
        _ => return usage("compare what? Name a file, or give `--from` with a revision"),
    };
    let changes = apply::meaning(&old, &new)?;
    let lines = unified(&old, &new, (&names.0, &names.1));
    let meaning: String = changes.iter().map(|c| format!("{c}\n")).collect();
    let value = DiffReport {
        changes: &changes,
        diff: &lines,
    };
    cx.print(&format!("{meaning}{lines}"), &value)
}

pub(crate) async fn history(cx: &Cx, flags: &History) -> Result<()> {
    let limit = flags.limit.unwrap_or(DEFAULT_LIMIT);
    let heads = cx.store()?.history(limit, cx.deadline()).await?;
    let reports: Vec<HeadReport<'_>> = heads.iter().map(head_report).collect();
    let lines: String = reports
        .iter()
        .map(|r| {
            format!(
                "{:>6}  {}  {}  {}\n",
                r.revision.0, r.time, r.change, r.operator
            )
        })
        .collect();
    cx.print(&lines, &reports)
}

/// The document of a revision, or the one in force.
pub(crate) async fn document(
    cx: &Cx,
    store: &ConfigStore<HttpKv>,
    revision: Option<Revision>,
) -> Result<Document> {
    match revision {
        Some(revision) => {
            let found = store.at(revision, cx.deadline()).await?;
            found.context(NoRevisionSnafu { revision })
        }
        None => match store.current(cx.deadline()).await? {
            Some(stored) => Ok(stored.document),
            None => Err(CliError::NoConfiguration),
        },
    }
}

fn head_report(head: &Head) -> HeadReport<'_> {
    let time = UNIX_EPOCH.checked_add(Duration::from_secs(head.time));
    let time = time.unwrap_or(UNIX_EPOCH);
    HeadReport {
        revision: head.revision,
        change: head.change.to_string(),
        operator: &head.operator,
        time: humantime::format_rfc3339_seconds(time).to_string(),
        digest: head.digest,
    }
}

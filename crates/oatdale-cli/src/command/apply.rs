//! `oatdale apply`, and the part of it that roll-outs share.

use crate::command::{seen, status};
use crate::cx::{Cx, other, read_text};
use crate::error::{CliError, ConflictSnafu, RefusedSnafu, Result, usage};
use crate::flags::Apply;
use oatdale_config::{Change, ChangeId, Config, Document, Revision, changes, unified, unserved};
use oatdale_platform::{Applied, ConfigStore, HttpKv, Proposal, StoreError};
use rand::Rng;
use serde::Serialize;
use std::time::{SystemTime, UNIX_EPOCH};

/// A text that an operator wants in force.
pub(crate) struct Wish {
    /// The revision that it started from.
    pub(crate) seen: Revision,
    pub(crate) text: String,
    /// The change that is tried again, if it is.
    pub(crate) change: Option<ChangeId>,
    pub(crate) wait: bool,
}

#[derive(Serialize)]
struct Report<'a> {
    result: &'static str,
    revision: Revision,
    change: ChangeId,
    operator: &'a str,
}

#[derive(Serialize)]
struct ConflictReport<'a> {
    result: &'static str,
    seen: Revision,
    revision: Revision,
    operator: &'a str,
    changes: Vec<Change>,
    diff: &'a str,
}

pub(crate) async fn run(cx: &Cx, flags: &Apply) -> Result<()> {
    let file = flags.file.display().to_string();
    let whole = read_text(&flags.file)?;
    // The whole is checked, so that places count the first line, as an editor does.
    if let Err(e) = oatdale_config::from_str(&whole) {
        let report = format!("{}\nNothing was changed.", e.in_file(file));
        return RefusedSnafu { report }.fail();
    }
    let (marked, text) = seen::split(&whole);
    let store = cx.store()?;
    let seen = match flags.seen.map(Revision).or(marked) {
        Some(seen) => seen,
        // Only the very first text says no revision, so that is the one to try again.
        None if flags.change.is_some() => Revision(0),
        None => guess_seen(cx, &store, text).await?,
    };
    let wish = Wish {
        seen,
        text: text.to_owned(),
        change: flags.change,
        wait: flags.wait,
    };
    apply(cx, &store, wish).await
}

/// The revision that an unmarked text may have started from without taking anything back: none if
/// there is none yet, and the one in force if it is this very text.
async fn guess_seen(cx: &Cx, store: &ConfigStore<HttpKv>, text: &str) -> Result<Revision> {
    let current = store.current(cx.deadline()).await?;
    match current.map(|stored| stored.document) {
        None => Ok(Revision(0)),
        Some(document) if document.text == text => Ok(document.head.revision),
        Some(document) => usage(format!(
            "which revision did this text start from? Revision {0} is in force. If you began with \
             that, give `--seen {0}`; `oatdale diff` shows what you would change. Texts of \
             `oatdale show` say it in their first line.",
            document.head.revision
        )),
    }
}

/// Puts a text in force and reports what became of it.
pub(crate) async fn apply(cx: &Cx, store: &ConfigStore<HttpKv>, wish: Wish) -> Result<()> {
    let change = wish
        .change
        .unwrap_or_else(|| ChangeId(rand::rng().next_u64()));
    let proposal = Proposal {
        seen: wish.seen,
        change,
        operator: cx.operator()?,
        time: now(),
        text: wish.text.clone(),
    };
    if wish.wait {
        cx.nodes()?;
    }
    if let Ok(cfg) = oatdale_config::from_str(&wish.text) {
        eprint!("{}", warnings(&cfg));
    }
    let applied = match store.apply(proposal, cx.deadline()).await {
        Ok(applied) => applied,
        Err(StoreError::Conflict { seen, theirs }) => {
            return conflict(cx, store, &wish.text, seen, &theirs).await;
        }
        Err(StoreError::Unknown { message }) => return Err(CliError::Unknown { message, change }),
        Err(e) => return Err(e.into()),
    };
    let newest = report(cx, &applied, change)?;
    match wish.wait {
        true => status::wait_for(cx, newest).await,
        false => Ok(()),
    }
}

fn report(cx: &Cx, applied: &Applied, change: ChangeId) -> Result<Revision> {
    let (result, text, head) = match applied {
        Applied::Accepted(document) => (
            "accepted",
            format!("revision {} is accepted\n", document.head.revision),
            &document.head,
        ),
        Applied::Superseded { ours, current } => (
            "superseded",
            format!(
                "revision {ours} was accepted; since then {} has put revision {} in force\n",
                current.head.operator, current.head.revision
            ),
            &current.head,
        ),
        Applied::Unchanged(document) => (
            "unchanged",
            format!(
                "nothing to change: revision {} by {} is this very text\n",
                document.head.revision, document.head.operator
            ),
            &document.head,
        ),
    };
    let value = Report {
        result,
        revision: head.revision,
        change,
        operator: &head.operator,
    };
    cx.print(&text, &value)?;
    Ok(head.revision)
}

/// Shows what the other operator changed since the revision that this one started from.
async fn conflict(
    cx: &Cx,
    store: &ConfigStore<HttpKv>,
    ours: &str,
    seen: Revision,
    theirs: &Document,
) -> Result<()> {
    let base = store.at(seen, cx.deadline()).await.ok().flatten();
    let (name, base) = match &base {
        Some(document) => (format!("revision {seen}"), document.text.as_str()),
        None => ("your text".to_owned(), ours),
    };
    let head = &theirs.head;
    let changes = meaning(base, &theirs.text)?;
    let lines: String = changes.iter().map(|c| format!("  {c}\n")).collect();
    let newest = format!("revision {}", head.revision);
    let diff = unified(base, &theirs.text, (&name, &newest));
    if cx.json {
        let value = ConflictReport {
            result: "conflict",
            seen,
            revision: head.revision,
            operator: &head.operator,
            changes,
            diff: &diff,
        };
        cx.print("", &value)?;
    }
    let report = format!(
        "{newest} by {} is in force, and your change started from revision {seen}. Nothing was \
         changed.\nFrom {name} to {newest}:\n{lines}{diff}Make your change again in the text of \
         `oatdale show`, and apply that.",
        head.operator
    );
    ConflictSnafu { report }.fail()
}

/// What a sound text leaves callers without, a line for each.
pub(crate) fn warnings(cfg: &Config) -> String {
    unserved(cfg)
        .into_iter()
        .map(|(customer, service)| {
            format!(
                "warning: new requests of customer `{}` to `{}` are refused: every version it may \
                 use is draining or withdrawn\n",
                cfg.customers[customer].name, cfg.services[service].name
            )
        })
        .collect()
}

/// The differences in meaning of two texts.
pub(crate) fn meaning(old: &str, new: &str) -> Result<Vec<Change>> {
    let old = oatdale_config::from_str(old).map_err(|e| other(&e))?;
    let new = oatdale_config::from_str(new).map_err(|e| other(&e))?;
    Ok(changes(&old, &new))
}

fn now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}

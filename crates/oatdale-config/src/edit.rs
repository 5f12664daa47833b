//! Changing one version's state in a text while its comments and layout stay.
//!
//! Only the words of the state and its share are touched. The result is read again and compared
//! with what was asked for, so a layout that this module does not understand is refused rather
//! than spoilt.

use crate::config::{Config, VersionState};
use crate::de::{from_str, read};
use crate::diff::percent;
use crate::error::Error;
use crate::wire::{self, Word};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::ops::Range;

/// Why a state could not be set.
#[derive(Debug, Snafu)]
pub enum EditError {
    /// The text is not sound as it stands.
    #[snafu(display("the text is not sound before the change:\n{source}"))]
    Before {
        /// What is wrong.
        source: Error,
    },
    /// The text does not name the version.
    #[snafu(display("there is no version `{name}`{}", did_you_mean(near)))]
    UnknownVersion {
        /// What was asked for.
        name: String,
        /// The nearest version that there is.
        near: Option<String>,
    },
    /// The change is refused for what it leads to.
    #[snafu(display("the change would make a text that is refused:\n{source}"))]
    After {
        /// What is wrong.
        source: Error,
    },
    /// The text is laid out so that a change of words would change something else too.
    #[snafu(display(
        "`{name}` is written in a way that can't be changed without touching more; edit the text \
         and apply it"
    ))]
    Layout {
        /// The version.
        name: String,
    },
}

/// Sets the state of one version, such as `planner/2026-12`, and leaves the rest of the text as
/// it is. A text where the version has that state already comes back unchanged.
///
/// # Errors
///
/// Refuses an unknown version, a state that the rules of the text forbid, and a layout where the
/// change would touch more than this version.
///
/// # Examples
///
/// ```
/// # let text = include_str!("../../../examples/skyward.yaml");
/// use oatdale_config::{VersionState, set_state};
///
/// let text = set_state(text, "orbit-mini/2026-11", VersionState::Canary { share: 0.2 })?;
/// assert!(text.contains("        share: 20%\n"));
/// # Ok::<(), oatdale_config::EditError>(())
/// ```
pub fn set_state(text: &str, name: &str, state: VersionState) -> Result<String, EditError> {
    let before = from_str(text).context(BeforeSnafu)?;
    let key = before.version(name).with_context(|| UnknownVersionSnafu {
        name,
        near: nearest_version(&before, name),
    })?;
    if before.versions[key].state == state {
        return Ok(text.to_owned());
    }
    let wire: wire::Text = read(text).context(BeforeSnafu)?;
    let version = find(&wire, name).context(LayoutSnafu { name })?;
    let edited = edit(text, version, state).context(LayoutSnafu { name })?;
    let after = from_str(&edited).context(AfterSnafu)?;
    let mut wanted = before;
    wanted.versions.get_mut(key).state = state;
    ensure!(same_but_rounding(&after, &wanted), LayoutSnafu { name });
    Ok(edited)
}

fn nearest_version(cfg: &Config, name: &str) -> Option<String> {
    let names: Vec<String> = cfg.versions.keys().map(|v| cfg.version_name(v)).collect();
    let near = crate::suggest::nearest(name, names.iter().map(String::as_str));
    near.map(str::to_owned)
}

fn did_you_mean(near: &Option<String>) -> String {
    match near {
        Some(near) => format!("; did you mean `{near}`?"),
        None => String::new(),
    }
}

fn find<'a>(text: &'a wire::Text, name: &str) -> Option<&'a wire::Version> {
    let (model, version) = name.split_once('/')?;
    let (_, model) = text.models.0.iter().find(|(n, _)| n.value == model)?;
    let versions = &model.versions.0;
    versions
        .iter()
        .find(|(n, _)| n.value == version)
        .map(|(_, v)| v)
}

fn edit(text: &str, version: &wire::Version, state: VersionState) -> Option<String> {
    let word = token(text, &version.state)?;
    let share = match &version.share {
        Some(share) => Some(token(text, share)?),
        None => None,
    };
    let mut edits: Vec<(Range<usize>, String)> = Vec::new();
    match (state, share) {
        (VersionState::Canary { share: part }, Some(at)) => {
            edits.push((word, "canary".to_owned()));
            edits.push((at, percent(part)));
        }
        (VersionState::Canary { share: part }, None) => {
            let (at, line) = new_share(text, &word, &percent(part))?;
            edits.push((word, "canary".to_owned()));
            edits.push((at..at, line));
        }
        (other, share) => {
            edits.push((word, other.to_string()));
            if let Some(at) = share {
                edits.push(without_share(text, &at)?);
            }
        }
    }
    edits.sort_by_key(|(range, _)| std::cmp::Reverse(range.start));
    let mut edited = text.to_owned();
    for (range, new) in edits {
        edited.replace_range(range, &new);
    }
    Some(edited)
}

/// Where a word stands, with its quotes.
fn token(text: &str, word: &Word) -> Option<Range<usize>> {
    let start = usize::try_from(word.referenced.span().byte_offset()?).ok()?;
    let rest = text.get(start..)?;
    let len = match rest.chars().next()? {
        quote @ ('"' | '\'') => rest[1..].find(quote)? + 2,
        _ => rest
            .find(|c: char| c.is_whitespace() || matches!(c, ',' | '}' | ']' | '#'))
            .unwrap_or(rest.len()),
    };
    let found = rest[..len].trim_matches(['"', '\'']);
    (found == word.value).then_some(start..start + len)
}

/// The beginning and the end of the line around a place, without its line end.
fn line_around(text: &str, at: usize) -> Range<usize> {
    let start = text[..at].rfind('\n').map_or(0, |n| n + 1);
    let end = text[at..].find('\n').map_or(text.len(), |n| at + n);
    start..end
}

/// Whether a field has a line of its own, up to a comment.
fn has_own_line(text: &str, field: &str, word: &Range<usize>) -> bool {
    let line = line_around(text, word.start);
    let before = text[line.start..word.start].trim();
    let after = text[word.end..line.end].trim();
    before.strip_suffix(':').map(str::trim_end) == Some(field)
        && (after.is_empty() || after.starts_with('#'))
}

/// Where and what to add for a version that has no share yet.
fn new_share(text: &str, state: &Range<usize>, share: &str) -> Option<(usize, String)> {
    if !has_own_line(text, "state", state) {
        return Some((state.end, format!(", share: {share}")));
    }
    let line = line_around(text, state.start);
    let indent = text[line.clone()].find("state")?;
    let indent = &text[line.start..line.start + indent];
    let end = match text[..line.end].ends_with('\r') {
        true => "\r\n",
        false => "\n",
    };
    let at = line.end - (end.len() - 1);
    Some((at, format!("{end}{indent}share: {share}")))
}

/// What to cut for a version that has a share no longer; a comment on its line stays.
fn without_share(text: &str, share: &Range<usize>) -> Option<(Range<usize>, String)> {
    let line = line_around(text, share.start);
    if has_own_line(text, "share", share) {
        let comment = text[share.end..line.end].trim();
        return match comment.is_empty() {
            true => Some((line.start..(line.end + 1).min(text.len()), String::new())),
            false => {
                let field = line.start + text[line.clone()].find("share")?;
                let comment_start = share.end + text[share.end..line.end].find('#')?;
                Some((field..comment_start, String::new()))
            }
        };
    }
    let field = text[..share.start].rfind("share")?;
    let before = text[..field].trim_end();
    if before.ends_with(',') {
        return Some((before.len() - 1..share.end, String::new()));
    }
    let comma = text[share.end..].find(',')? + share.end + 1;
    let blanks = text[comma..].len() - text[comma..].trim_start().len();
    Some((field..comma + blanks, String::new()))
}

/// Whether two configurations are equal, up to the rounding of a share to its digits.
fn same_but_rounding(a: &Config, b: &Config) -> bool {
    crate::diff::changes(a, b).is_empty()
}

//! The first line of a shown text, which tells the revision that an edit of it starts from.

use oatdale_config::Revision;

const LINE: &str = "# oatdale-revision: ";

/// The text with its revision in a first line.
pub(crate) fn mark(text: &str, revision: Revision) -> String {
    format!("{LINE}{revision}\n{text}")
}

/// The revision that the first line names, if it does, and the text without that line.
pub(crate) fn split(text: &str) -> (Option<Revision>, &str) {
    let Some((first, rest)) = text.split_once('\n') else {
        return (None, text);
    };
    let number = first.trim_end().strip_prefix(LINE);
    match number.and_then(|n| n.parse().ok()) {
        Some(number) => (Some(Revision(number)), rest),
        None => (None, text),
    }
}

//! The difference between two texts as replaced ranges of lines.
//!
//! Nodes spread deltas instead of whole texts. Each names the digests of both sides, so that it
//! changes nothing but the very text it was made from, and its result is known to be right.

use crate::config::Digest;
use crate::de::MAX_TEXT;
use serde::{Deserialize, Serialize};
use similar::{Algorithm, DiffOp, capture_diff_slices};
use snafu::{Snafu, ensure};

/// Changed lines beyond which one range replaces all of them: an exact comparison takes time by
/// the square of their number.
const MAX_COMPARED: usize = 4_000;

/// How one text becomes another.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The digest of the text that it changes.
    #[serde(rename = "o")]
    pub old: Digest,
    /// The digest of the text that it makes.
    #[serde(rename = "n")]
    pub new: Digest,
    /// Replaced ranges, ascending by line and apart from each other.
    #[serde(rename = "e")]
    pub edits: Vec<Edit>,
}

/// One replaced range of lines.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The first replaced line of the old text, from 0.
    #[serde(rename = "l")]
    pub line: u32,
    /// How many lines of the old text go.
    #[serde(rename = "r")]
    pub removed: u32,
    /// What comes in their place, with its line ends.
    #[serde(rename = "t")]
    pub text: String,
}

/// Why a delta could not be applied.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Snafu)]
pub enum DeltaError {
    /// It was made from another text than the one at hand.
    #[snafu(display("the delta changes text {wanted}, but the text at hand is {found}"))]
    OtherText {
        /// What the delta changes.
        wanted: Digest,
        /// What is at hand.
        found: Digest,
    },
    /// A range lies outside the text, or ranges overlap.
    #[snafu(display("edit {index} of the delta does not fit the text"))]
    Range {
        /// The place of the edit in the delta.
        index: usize,
    },
    /// The result would be longer than a text may be.
    #[snafu(display("the delta makes a text of more than {MAX_TEXT} bytes"))]
    TooLong,
    /// The result is not what the delta promised.
    #[snafu(display("the delta made text {found} in place of {wanted}"))]
    WrongResult {
        /// What the delta promised.
        wanted: Digest,
        /// What it made.
        found: Digest,
    },
}

/// The difference between two texts.
///
/// # Examples
///
/// ```
/// let (old, new) = ("a\nb\nc\n", "a\nB\nc\n");
/// let delta = oatdale_config::delta(old, new);
/// assert_eq!(delta.edits[0].text, "B\n");
/// assert_eq!(oatdale_config::apply_delta(old, &delta).unwrap(), new);
/// ```
pub fn delta(old: &str, new: &str) -> Delta {
    let old_lines = lines(old);
    let new_lines = lines(new);
    let head = same(old_lines.iter(), new_lines.iter());
    let tail = same(
        old_lines[head..].iter().rev(),
        new_lines[head..].iter().rev(),
    );
    let old_changed = &old_lines[head..old_lines.len() - tail];
    let new_changed = &new_lines[head..new_lines.len() - tail];
    Delta {
        old: Digest::of(old),
        new: Digest::of(new),
        edits: edits(head, old_changed, new_changed),
    }
}

/// Changes a text by a delta.
///
/// # Errors
///
/// Refuses a delta that was made from another text or whose result is not what it promised.
pub fn apply_delta(old: &str, delta: &Delta) -> Result<String, DeltaError> {
    let (wanted, found) = (delta.old, Digest::of(old));
    ensure!(wanted == found, OtherTextSnafu { wanted, found });
    let old_lines = lines(old);
    let mut new = String::new();
    let mut next = 0;
    for (index, edit) in delta.edits.iter().enumerate() {
        let (line, removed) = (edit.line as usize, edit.removed as usize);
        let kept = old_lines.get(next..line);
        let kept = kept.ok_or(DeltaError::Range { index })?;
        kept.iter().for_each(|l| new.push_str(l));
        new.push_str(&edit.text);
        next = line + removed;
        ensure!(next <= old_lines.len(), RangeSnafu { index });
        ensure!(new.len() <= MAX_TEXT, TooLongSnafu);
    }
    old_lines[next..].iter().for_each(|l| new.push_str(l));
    ensure!(new.len() <= MAX_TEXT, TooLongSnafu);
    let (wanted, found) = (delta.new, Digest::of(&new));
    ensure!(wanted == found, WrongResultSnafu { wanted, found });
    Ok(new)
}

/// Lines with their ends, so that joining them gives the text again.
fn lines(text: &str) -> Vec<&str> {
    text.split_inclusive('\n').collect()
}

fn same<'a>(a: impl Iterator<Item = &'a &'a str>, b: impl Iterator<Item = &'a &'a str>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}

fn edits(first: usize, old: &[&str], new: &[&str]) -> Vec<Edit> {
    if old.len().max(new.len()) > MAX_COMPARED {
        return vec![edit(first, old.len(), new)];
    }
    capture_diff_slices(Algorithm::Myers, old, new)
        .into_iter()
        .filter(|op| !matches!(op, DiffOp::Equal { .. }))
        .map(|op| {
            edit(
                first + op.old_range().start,
                op.old_range().len(),
                &new[op.new_range()],
            )
        })
        .collect()
}

fn edit(line: usize, removed: usize, new: &[&str]) -> Edit {
    // A text's bytes, and so its lines, are bounded far below 32 bits.
    let narrow = |n| u32::try_from(n).expect("the text is shorter than 4 GiB");
    Edit {
        line: narrow(line),
        removed: narrow(removed),
        text: new.concat(),
    }
}

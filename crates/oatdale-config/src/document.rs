//! An accepted text with what is known of it, as the key-value service and nodes hold it.

use crate::config::{Digest, Revision};
use crate::de::{MAX_TEXT, from_str};
use crate::delta::{Delta, DeltaError, apply_delta, delta};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// The wire format's number; a reader refuses one it does not know.
const FORMAT: u8 = 1;

/// An accepted text.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Document {
    /// What is known of it.
    pub head: Head,
    /// The operators' text.
    pub text: String,
}

/// What is known of an accepted text.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Head {
    /// Its number.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The apply that wrote it.
    #[serde(rename = "c")]
    pub change: ChangeId,
    /// Who applied it.
    #[serde(rename = "w")]
    pub operator: String,
    /// When it was applied, in seconds since 1970 by the operator's clock; for people only.
    #[serde(rename = "t")]
    pub time: u64,
    /// The digest of the text.
    #[serde(rename = "d")]
    pub digest: Digest,
    /// For each version, the revision that last changed its state, share or price. A stop of a bad
    /// version ends by such a revision only, and a node that starts anew can't know it otherwise.
    #[serde(rename = "s", default)]
    pub spoken: BTreeMap<String, Revision>,
}

/// Names one apply; drawn at random, so that an operator whose answer was lost can find out
/// whether a stored text is the one it sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct ChangeId(pub u64);

/// How one document becomes a later one; what the history keeps.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct DocumentDelta {
    /// The revision that it starts from.
    #[serde(rename = "f")]
    pub from: Revision,
    /// What is known of the later document.
    #[serde(rename = "h")]
    pub head: Head,
    /// The change of the text.
    #[serde(rename = "x")]
    pub delta: Delta,
}

/// Why bytes are no document, or a delta does not lead to one.
#[derive(Debug, Snafu)]
pub enum DocumentError {
    /// The bytes are not a line of JSON and a text.
    #[snafu(display("the stored configuration has no readable first line"))]
    NoHead,
    /// The first line is not what is known of a document.
    #[snafu(display("the stored configuration's first line can't be read: {source}"))]
    FirstLine {
        /// What the decoder says.
        source: serde_json::Error,
    },
    /// An entry of the history is not CBOR of a document or a delta.
    #[snafu(display("the stored configuration can't be read: {source}"))]
    Decode {
        /// What the decoder says.
        source: ciborium::de::Error<std::io::Error>,
    },
    /// A newer program wrote it.
    #[snafu(display("the stored configuration has format {found}, this program knows {FORMAT}"))]
    Format {
        /// The format's number.
        found: u8,
    },
    /// The text is longer than a text may be.
    #[snafu(display("the stored text has more than {MAX_TEXT} bytes"))]
    TooLong,
    /// The text is not the one that the digest names.
    #[snafu(display("the stored text is {found}, but its digest says {wanted}"))]
    WrongDigest {
        /// What the head says.
        wanted: Digest,
        /// What the text has.
        found: Digest,
    },
    /// A delta does not start at this revision or does not go forward.
    #[snafu(display("the delta leads from revision {from} to {to}, but this is {found}"))]
    WrongRevision {
        /// Where it starts.
        from: Revision,
        /// Where it leads.
        to: Revision,
        /// The revision at hand.
        found: Revision,
    },
    /// The change of the text does not fit.
    #[snafu(transparent)]
    Text {
        /// Why.
        source: DeltaError,
    },
}

/// The first line of the bytes.
#[derive(Serialize, Deserialize)]
struct Line {
    #[serde(rename = "v")]
    format: u8,
    #[serde(rename = "h")]
    head: Head,
}

impl Document {
    /// The document of the first accepted text.
    pub fn new(
        revision: Revision,
        change: ChangeId,
        operator: impl Into<String>,
        time: u64,
        text: impl Into<String>,
    ) -> Self {
        let text = text.into();
        let head = Head {
            revision,
            change,
            operator: operator.into(),
            time,
            digest: Digest::of(&text),
            spoken: BTreeMap::new(),
        };
        Document { head, text }
    }

    /// Takes over from the document before which revision last spoke of each version.
    #[must_use]
    pub fn after(mut self, before: Option<&Document>) -> Self {
        self.head.spoken = spoken(before, &self);
        self
    }

    /// Its bytes, as the key-value service holds them and nodes spread them: a line of JSON, then
    /// the text.
    ///
    /// They are lines because nodes tell each other which lines changed; in a binary form a new
    /// head would shift the whole text, and each change would cost as much as all of it.
    pub fn encode(&self) -> Vec<u8> {
        let first = Line {
            format: FORMAT,
            head: self.head.clone(),
        };
        let mut bytes = serde_json::to_vec(&first).expect("a head is strings and numbers");
        bytes.push(b'\n');
        bytes.extend_from_slice(self.text.as_bytes());
        bytes
    }

    /// Reads [`encode`](Self::encode)'s bytes.
    ///
    /// # Errors
    ///
    /// Refuses what is no document, has an unknown format, or whose text is not the one that its
    /// digest names.
    pub fn decode(bytes: &[u8]) -> Result<Self, DocumentError> {
        let whole = std::str::from_utf8(bytes).ok().context(NoHeadSnafu)?;
        let (first, text) = whole.split_once('\n').context(NoHeadSnafu)?;
        let Line { format, head } = serde_json::from_str(first).context(FirstLineSnafu)?;
        ensure!(format == FORMAT, FormatSnafu { found: format });
        ensure!(text.len() <= MAX_TEXT, TooLongSnafu);
        let (wanted, found) = (head.digest, Digest::of(text));
        ensure!(wanted == found, WrongDigestSnafu { wanted, found });
        Ok(Document {
            head,
            text: text.to_owned(),
        })
    }

    /// How this document becomes `later`.
    pub fn delta_to(&self, later: &Document) -> DocumentDelta {
        DocumentDelta {
            from: self.head.revision,
            head: later.head.clone(),
            delta: delta(&self.text, &later.text),
        }
    }

    /// The later document that a delta leads to.
    ///
    /// # Errors
    ///
    /// Refuses a delta that starts elsewhere, does not go forward, or whose result is wrong.
    pub fn apply(&self, delta: &DocumentDelta) -> Result<Self, DocumentError> {
        let (from, to, found) = (delta.from, delta.head.revision, self.head.revision);
        ensure!(
            from == found && to > found,
            WrongRevisionSnafu { from, to, found }
        );
        let text = apply_delta(&self.text, &delta.delta)?;
        let (wanted, found) = (delta.head.digest, delta.delta.new);
        ensure!(wanted == found, WrongDigestSnafu { wanted, found });
        Ok(Document {
            head: delta.head.clone(),
            text,
        })
    }
}

/// For each version of `document`, the revision that last changed what the text says of it.
///
/// A text that can't be read, such as one of a newer program, speaks of nothing: a stopped version
/// then stays stopped.
fn spoken(before: Option<&Document>, document: &Document) -> BTreeMap<String, Revision> {
    let Ok(cfg) = from_str(&document.text) else {
        return BTreeMap::new();
    };
    let old = before.and_then(|before| from_str(&before.text).ok());
    let said = |name: &str| {
        let (old, before) = (old.as_ref()?, before?);
        let version = &old.versions[old.version(name)?];
        let revision = before.head.spoken.get(name).copied();
        Some((version.state, version.price, revision.unwrap_or_default()))
    };
    let names = cfg.versions.iter().map(|(key, version)| {
        let name = cfg.version_name(key);
        let revision = match said(&name) {
            Some((state, price, revision)) if (state, price) == (version.state, version.price) => {
                revision
            }
            _ => document.head.revision,
        };
        (name, revision)
    });
    names.collect()
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ChangeId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(ChangeId)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

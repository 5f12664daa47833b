//! Reading YAML: the options, the size limit, and the parser's errors in our words.

use crate::config::Config;
use crate::error::{Category, Problem, Result};
use crate::suggest::nearest;
use crate::wire;
use serde::de::DeserializeOwned;
use serde_saphyr::options::DuplicateKeyPolicy;
use serde_saphyr::{Error as YamlError, Location};

/// The longest text that is read, in bytes; with its envelope it fits the key-value service's
/// limit of a megabyte.
pub const MAX_TEXT: usize = 960 * 1024;

/// Where problems of the whole text are reported.
const BEGINNING: (u32, u32) = (1, 1);

/// Reads and checks the operators' text.
///
/// # Errors
///
/// Names every problem that could be found, each with its line, its column and what to write
/// instead. A text that is not YAML or has a wrong field is reported up to the first such place.
///
/// # Examples
///
/// ```
/// let error = oatdale_config::from_str("custmers: {}").unwrap_err();
/// assert_eq!((error.line(), error.column()), (1, 1));
/// assert!(error.to_string().contains("did you mean `customers`?"));
/// ```
pub fn from_str(text: &str) -> Result<Config> {
    read::<wire::Text>(text)?.try_into()
}

/// Reads the wire form of a text.
pub(crate) fn read<T: DeserializeOwned>(text: &str) -> Result<T> {
    if text.len() > MAX_TEXT {
        return Err(too_long(text.len()).into());
    }
    let options = serde_saphyr::options! {
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        strict_booleans: true,
        with_snippet: false,
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|e| problem(&e).into())
}

/// The line and column of a place; what concerns the whole text is at its beginning.
pub(crate) fn place(location: Location) -> (u32, u32) {
    if location == Location::UNKNOWN {
        return BEGINNING;
    }
    let line = u32::try_from(location.line()).unwrap_or(u32::MAX);
    let column = u32::try_from(location.column()).unwrap_or(u32::MAX);
    (line, column)
}

fn too_long(len: usize) -> Problem {
    Problem {
        line: BEGINNING.0,
        column: BEGINNING.1,
        category: Category::Value,
        message: format!("the text has {len} bytes, and {MAX_TEXT} are the most"),
        help: Some("take out what is no longer used".to_owned()),
    }
}

fn problem(error: &YamlError) -> Problem {
    let error = error.without_snippet();
    let (line, column) = error.location().map_or(BEGINNING, place);
    let (category, message, help) = explain(error);
    Problem {
        line,
        column,
        category,
        message,
        help,
    }
}

fn explain(error: &YamlError) -> (Category, String, Option<String>) {
    match error {
        YamlError::SerdeUnknownField {
            field, expected, ..
        } => (
            Category::Field,
            format!("unknown field `{field}`"),
            Some(instead(field, expected)),
        ),
        YamlError::SerdeMissingField { field, .. } => (
            Category::Field,
            format!("missing field `{field}`"),
            Some(format!("add a line `{field}: ...` to this entry")),
        ),
        YamlError::SerdeInvalidType {
            unexpected,
            expected,
            ..
        }
        | YamlError::SerdeInvalidValue {
            unexpected,
            expected,
            ..
        } => (
            Category::Field,
            format!("found {unexpected}"),
            Some(format!("write {expected}")),
        ),
        YamlError::InvalidScalar { ty, .. } => {
            let wanted = plain_words(ty);
            (
                Category::Field,
                format!("this is not {wanted}"),
                Some(format!("write {wanted}")),
            )
        }
        YamlError::InvalidBooleanStrict { .. } => (
            Category::Field,
            "this is neither true nor false".to_owned(),
            Some("write `true` or `false`".to_owned()),
        ),
        YamlError::Unexpected { expected, .. } => {
            let wanted = plain_words(expected);
            (
                Category::Field,
                format!("{wanted} belongs here"),
                Some(format!("write {wanted}")),
            )
        }
        YamlError::Message { msg, .. } if msg.starts_with("duplicate field") => (
            Category::Field,
            msg.clone(),
            Some("keep one of the two lines".to_owned()),
        ),
        YamlError::NullIntoString { .. } => (
            Category::Field,
            "a value is missing here".to_owned(),
            Some("write the value after the colon or dash".to_owned()),
        ),
        YamlError::Eof { .. } => (
            Category::Syntax,
            "the text is empty or ends too early".to_owned(),
            None,
        ),
        YamlError::MultipleDocuments { .. } => (
            Category::Syntax,
            "the text holds more than one YAML document".to_owned(),
            Some("take out the line `---`".to_owned()),
        ),
        YamlError::Budget { .. }
        | YamlError::AliasReplayLimitExceeded { .. }
        | YamlError::AliasExpansionLimitExceeded { .. }
        | YamlError::AliasReplayStackDepthExceeded { .. } => (
            Category::Syntax,
            "the text is nested too deeply or repeats too much by aliases".to_owned(),
            Some("write the entries out".to_owned()),
        ),
        other => (Category::Syntax, first_line(other), None),
    }
}

/// The parser's word for a type or token in an operator's words.
fn plain_words(wanted: &'static str) -> &'static str {
    match wanted {
        "u32" => "a whole number from 0 to 4294967295",
        "floating point" => "a number such as `0.5`",
        "sequence start" => "a list such as `[first, second]`",
        "mapping start" => "a map such as `{ name: value }`, or lines of `name: value`",
        "string scalar" | "scalar" => "one word or number",
        other => other,
    }
}

fn instead(word: &str, expected: &[&'static str]) -> String {
    match nearest(word, expected.iter().copied()) {
        Some(known) => format!("did you mean `{known}`?"),
        None => format!("known here: {}", expected.join(", ")),
    }
}

/// The parser's message without the place, which stands before it already.
fn first_line(error: &YamlError) -> String {
    let text = error.to_string();
    let line = text.lines().next().unwrap_or("not YAML");
    let end = line.rfind(" at line ").unwrap_or(line.len());
    line[..end].to_owned()
}

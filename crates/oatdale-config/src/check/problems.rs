//! Collects problems, and the checks that every section shares.

use crate::de::place;
use crate::error::{Category, Error, Problem, Result};
use crate::suggest::nearest;
use crate::wire::Word;
use serde_saphyr::Location;
use std::collections::HashMap;

/// Items that one section may have; keys are 16 bits wide.
pub(crate) const MAX_ITEMS: usize = u16::MAX as usize;
/// Characters that a name may have.
const MAX_NAME: usize = 64;
/// Problems that are reported at once; more would hide the first.
const MAX_PROBLEMS: usize = 20;

/// What has been found wrong so far.
#[derive(Default)]
pub(crate) struct Problems {
    found: Vec<Problem>,
}

impl Problems {
    /// Adds a problem with what to write instead.
    pub(crate) fn add(
        &mut self,
        at: Location,
        category: Category,
        message: impl Into<String>,
        help: impl Into<String>,
    ) {
        let (line, column) = place(at);
        self.found.push(Problem {
            line,
            column,
            category,
            message: message.into(),
            help: Some(help.into()),
        });
    }

    /// Whether nothing has been found.
    pub(crate) fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// The checked form, or everything that is wrong.
    pub(crate) fn finish<T>(mut self, checked: T) -> Result<T> {
        if self.found.is_empty() {
            return Ok(checked);
        }
        self.found.sort_by_key(|p| (p.line, p.column));
        self.found.truncate(MAX_PROBLEMS);
        Err(Error::new(self.found))
    }

    /// Checks a name's form.
    pub(crate) fn name(&mut self, what: &str, name: &Word) {
        let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let value = &name.value;
        if value.is_empty() || value.len() > MAX_NAME || !value.chars().all(fits) {
            self.add(
                name.referenced,
                Category::Name,
                format!("`{}` can't be the name of a {what}", shorten(value)),
                format!("use 1 to {MAX_NAME} of the letters a-z, digits, `-`, `_` and `.`"),
            );
        }
    }

    /// Checks the names of a section: their form, their number, and that none comes twice.
    pub(crate) fn names<T>(&mut self, what: &str, entries: &[(Word, T)]) {
        for (name, _) in entries {
            self.name(what, name);
        }
        self.unique(what, entries.iter().map(|(name, _)| name));
        if let Some((name, _)) = entries.get(MAX_ITEMS) {
            self.add(
                name.referenced,
                Category::Value,
                format!("{} entries are too many for one section", entries.len()),
                format!("keep it to {MAX_ITEMS} of kind {what}"),
            );
        }
    }

    /// Checks that no word comes twice.
    pub(crate) fn unique<'a>(&mut self, what: &str, words: impl Iterator<Item = &'a Word>) {
        let mut seen = HashMap::new();
        for word in words {
            let Some(line) = seen.insert(&word.value, place(word.referenced).0) else {
                continue;
            };
            self.add(
                word.referenced,
                Category::Name,
                format!("{what} `{}` is already in line {line}", word.value),
                "take one of the two out, or give it another name",
            );
        }
    }

    /// One of a closed set of words. A word that is not in it is a problem, and the nearest one is
    /// taken for it, so that what hangs on it is not reported too.
    pub(crate) fn one_of<const N: usize>(
        &mut self,
        what: &str,
        word: &Word,
        known: [&'static str; N],
    ) -> &'static str {
        let found = known.into_iter().find(|k| *k == word.value);
        found.unwrap_or_else(|| {
            self.unknown(what, word, known.into_iter());
            nearest(&word.value, known).unwrap_or(known[0])
        })
    }

    /// Adds that a name is not defined, with the nearest that is.
    pub(crate) fn unknown<'a>(
        &mut self,
        what: &str,
        name: &Word,
        known: impl Iterator<Item = &'a str>,
    ) {
        let mut known: Vec<&str> = known.collect();
        known.dedup();
        let help = match nearest(&name.value, known.iter().copied()) {
            Some(near) => format!("did you mean `{near}`?"),
            None if known.is_empty() => format!("no {what} is defined; define one first"),
            None => format!("defined here: {}", list(&known)),
        };
        self.add(
            name.referenced,
            Category::Name,
            format!("there is no {what} `{}`", shorten(&name.value)),
            help,
        );
    }
}

/// A value cut to a length that fits a message.
pub(crate) fn shorten(value: &str) -> String {
    const MOST: usize = 80;
    match value.char_indices().nth(MOST) {
        Some((end, _)) => format!("{}...", &value[..end]),
        None => value.to_owned(),
    }
}

fn list(known: &[&str]) -> String {
    const MOST: usize = 8;
    let mut text = known[..known.len().min(MOST)].join(", ");
    if known.len() > MOST {
        text.push_str(", ...");
    }
    text
}

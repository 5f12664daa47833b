//! The operators' text as it is written, before it is checked.
//!
//! Leaf values keep their place in the text, so that the checker can point at them.

use serde::Deserialize;
use serde::de::{Deserializer, MapAccess, Visitor};
use serde_saphyr::Spanned;
use std::fmt;
use std::marker::PhantomData;

/// A word with its place.
pub(crate) type Word = Spanned<String>;

/// The whole text.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct Text {
    #[serde(default)]
    pub(crate) failure_domains: Entries<Domain>,
    #[serde(default)]
    pub(crate) models: Entries<Model>,
    #[serde(default)]
    pub(crate) pools: Entries<Pool>,
    #[serde(default)]
    pub(crate) services: Entries<Service>,
    #[serde(default)]
    pub(crate) customers: Entries<Customer>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct Domain {
    pub(crate) region: Word,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct Model {
    pub(crate) versions: Entries<Version>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct Version {
    pub(crate) state: Word,
    pub(crate) share: Option<Word>,
    pub(crate) price: Price,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct Price {
    pub(crate) input: Spanned<f64>,
    pub(crate) output: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct Pool {
    pub(crate) kind: Word,
    pub(crate) fencing: Option<Spanned<bool>>,
    pub(crate) versions: Option<Vec<Word>>,
    pub(crate) concurrency: Option<Spanned<u32>>,
    pub(crate) endpoints: Entries<Endpoint>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct Endpoint {
    pub(crate) address: Word,
    pub(crate) failure_domain: Word,
    pub(crate) versions: Option<Vec<Word>>,
    pub(crate) concurrency: Option<Spanned<u32>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct Service {
    pub(crate) kind: Word,
    pub(crate) pool: Word,
    pub(crate) models: Option<Vec<Word>>,
    pub(crate) quality: Option<Word>,
    pub(crate) latency_weight: Option<Word>,
    #[serde(default)]
    pub(crate) depends_on: Vec<Word>,
    pub(crate) deadline: Option<Word>,
    #[serde(default)]
    pub(crate) non_idempotent: Vec<Word>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct Customer {
    pub(crate) keys: Vec<Word>,
    pub(crate) services: Vec<Word>,
    #[serde(default)]
    pub(crate) versions: Vec<Word>,
    pub(crate) limits: Limits,
    pub(crate) weight: Option<Spanned<f64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct Limits {
    pub(crate) requests_per_second: Spanned<f64>,
    pub(crate) concurrent: Spanned<u32>,
}

/// A map in the order of the text; each name keeps its place, and a repeated one is kept too, so
/// that the checker can name both places.
pub(crate) struct Entries<T>(pub(crate) Vec<(Word, T)>);

impl<T> Default for Entries<T> {
    fn default() -> Self {
        Entries(Vec::new())
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Entries<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(EntriesVisitor(PhantomData))
    }
}

struct EntriesVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for EntriesVisitor<T> {
    type Value = Entries<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a map from names to their settings")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(name) = map.next_key::<Word>()? {
            entries.push((name, map.next_value()?));
        }
        Ok(Entries(entries))
    }
}

//! A node's settings as they are written.

use crate::wire::Word;
use serde::Deserialize;
use serde_saphyr::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct Settings {
    pub(super) host: Word,
    pub(super) failure_domain: Word,
    pub(super) region: Word,
    pub(super) listen: Listen,
    #[serde(default)]
    pub(super) advertise: Advertise,
    pub(super) platform: Platform,
    #[serde(default)]
    pub(super) peers: Vec<Word>,
    pub(super) mesh_key: Option<Word>,
    pub(super) mesh_key_file: Option<Word>,
    pub(super) log_level: Option<Word>,
    #[serde(default)]
    pub(super) limits: Limits,
    pub(super) address_lifetime: Option<Word>,
    pub(super) refuse_after: Option<Word>,
    pub(super) journal_shards: Option<Spanned<u32>>,
    pub(super) bill_holders: Option<Spanned<u32>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct Listen {
    pub(super) callers: Word,
    pub(super) nodes: Word,
    pub(super) admin: Word,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct Advertise {
    pub(super) callers: Option<Word>,
    pub(super) nodes: Option<Word>,
    pub(super) admin: Option<Word>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct Platform {
    pub(super) key_value: Word,
    pub(super) host_list: Option<Word>,
    pub(super) ratings: Option<Word>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct Limits {
    pub(super) header_bytes: Option<Word>,
    pub(super) body_bytes: Option<Word>,
    pub(super) connections: Option<Spanned<u32>>,
    pub(super) header_timeout: Option<Word>,
    pub(super) body_timeout: Option<Word>,
}

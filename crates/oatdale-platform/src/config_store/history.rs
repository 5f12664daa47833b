//! How each revision came about.
//!
//! An entry is either a whole document or its difference from the revision before; whole ones come
//! often enough that a revision is rebuilt from few entries. Old entries are deleted, as the
//! service's room is paid for.

use crate::config_store::call::{Written, read, write};
use crate::config_store::{ConfigStore, StoreError, StoreResult};
use crate::kv::{Condition, Entry, Kv};
use bytes::Bytes;
use oatdale_config::{Document, DocumentDelta, DocumentError, Head, Revision};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// What the keys of the entries begin with; the revision follows in digits that sort.
const PREFIX: &str = "config/history/";
/// Every so many revisions an entry is a whole document.
const WHOLE_EVERY: u64 = 64;
/// Revisions that are kept at least.
const KEPT: u64 = 1024;
/// Entries that one call reads.
const PAGE: usize = 256;

#[derive(Serialize, Deserialize)]
enum Record {
    /// The encoded document.
    #[serde(rename = "w")]
    Whole(Bytes),
    /// The way from the revision before.
    #[serde(rename = "d")]
    Delta(DocumentDelta),
}

impl<K: Kv> ConfigStore<K> {
    /// The newest revisions, up to `limit`, newest first.
    ///
    /// # Errors
    ///
    /// As [`current`](Self::current).
    pub async fn history(&self, limit: usize, deadline: Instant) -> StoreResult<Vec<Head>> {
        let Some(current) = self.current(deadline).await? else {
            return Ok(Vec::new());
        };
        let current = current.document.head;
        let first = current.revision.0.saturating_sub(limit as u64).max(1);
        let mut heads = Vec::new();
        for entry in self.entries_from(Revision(first), deadline).await? {
            heads.push(decode(&entry)?.head()?);
        }
        // The entry of the newest revision may not be there yet.
        heads.retain(|head| head.revision < current.revision);
        heads.push(current);
        heads.reverse();
        heads.truncate(limit);
        Ok(heads)
    }

    /// The document of a revision, if it is still kept.
    ///
    /// # Errors
    ///
    /// As [`current`](Self::current).
    pub async fn at(&self, revision: Revision, deadline: Instant) -> StoreResult<Option<Document>> {
        match self.current(deadline).await? {
            Some(stored) if stored.document.head.revision == revision => {
                return Ok(Some(stored.document));
            }
            Some(stored) if stored.document.head.revision > revision => {}
            _ => return Ok(None),
        }
        let first = Revision(revision.0.saturating_sub(WHOLE_EVERY));
        let mut document: Option<Document> = None;
        for entry in self.entries_from(first, deadline).await? {
            document = match (decode(&entry)?, document) {
                (Record::Whole(bytes), _) => Some(Document::decode(&bytes).map_err(damaged)?),
                (Record::Delta(delta), Some(d)) if delta.from == d.head.revision => {
                    Some(d.apply(&delta).map_err(damaged)?)
                }
                (Record::Delta(_), _) => None,
            };
            let found = document.as_ref().map(|d| d.head.revision);
            if found == Some(revision) {
                return Ok(document);
            }
        }
        Ok(None)
    }

    /// Makes sure that a document which is about to be overwritten has its entry.
    pub(super) async fn keep(&self, document: &Document, deadline: Instant) -> StoreResult<()> {
        let key = key(document.head.revision);
        if read(deadline, || self.kv.get(&key)).await?.is_some() {
            return Ok(());
        }
        let value = encode(&Record::Whole(document.encode().into()));
        loop {
            match write(&self.kv, deadline, &key, &value, Condition::Absent).await? {
                // Whoever wrote the entry first wrote the same revision's.
                Written::Answered(_) => return Ok(()),
                Written::Unknown(_) => {}
            }
            if read(deadline, || self.kv.get(&key)).await?.is_some() {
                return Ok(());
            }
        }
    }

    /// Writes the entry of a document that was just accepted. If that fails, the next apply makes
    /// up for it, so the failure is only logged.
    pub(super) async fn record(
        &self,
        before: Option<&Document>,
        document: &Document,
        deadline: Instant,
    ) {
        let revision = document.head.revision;
        let is_whole = revision.0.is_multiple_of(WHOLE_EVERY);
        let record = match before {
            Some(before) if !is_whole => Record::Delta(before.delta_to(document)),
            _ => Record::Whole(document.encode().into()),
        };
        let (key, value) = (key(revision), encode(&record));
        match write(&self.kv, deadline, &key, &value, Condition::Absent).await {
            Ok(_) if is_whole => self.prune(revision, deadline).await,
            Ok(_) => {}
            Err(e) => log::warn!("revision {revision} has no history entry yet: {e}"),
        }
    }

    /// Deletes entries that are older than any that is kept; what fails is left for the next time.
    async fn prune(&self, newest: Revision, deadline: Instant) {
        let first_kept = newest.0.saturating_sub(KEPT) / WHOLE_EVERY * WHOLE_EVERY;
        let list = read(deadline, || self.kv.list(PREFIX, None, PAGE));
        let Ok(entries) = list.await else {
            return;
        };
        for entry in entries {
            if entry.key >= key(Revision(first_kept)) {
                return;
            }
            if let Err(e) = self.kv.delete(&entry.key, entry.revision).await {
                log::warn!("the history entry {} was not deleted: {e}", entry.key);
                return;
            }
        }
    }

    /// What is known of a revision by its entry.
    pub(super) async fn head_in_history(
        &self,
        revision: Revision,
        deadline: Instant,
    ) -> StoreResult<Option<Head>> {
        let key = key(revision);
        let entry = read(deadline, || self.kv.get(&key)).await?;
        match entry {
            Some(entry) => Ok(Some(decode(&entry)?.head()?)),
            None => Ok(None),
        }
    }

    /// The newest revision that has an entry; 0 for none.
    ///
    /// Asked only when there is no current document: should somebody delete it, revisions still go
    /// on rising, and nodes, which never take a lower one, follow the next text.
    pub(super) async fn newest_in_history(&self, deadline: Instant) -> StoreResult<Revision> {
        let entries = self.entries_from(Revision(0), deadline).await?;
        match entries.last() {
            Some(entry) => Ok(decode(entry)?.head()?.revision),
            None => Ok(Revision(0)),
        }
    }

    /// All entries from a revision on, in order.
    async fn entries_from(&self, first: Revision, deadline: Instant) -> StoreResult<Vec<Entry>> {
        let mut entries: Vec<Entry> = Vec::new();
        let mut after = first.0.checked_sub(1).map(|before| key(Revision(before)));
        loop {
            let list = || self.kv.list(PREFIX, after.as_deref(), PAGE);
            let page = read(deadline, list).await?;
            let is_last = page.len() < PAGE;
            entries.extend(page);
            if is_last {
                return Ok(entries);
            }
            after = entries.last().map(|entry| entry.key.clone());
        }
    }
}

impl Record {
    fn head(self) -> StoreResult<Head> {
        match self {
            Record::Whole(bytes) => Ok(Document::decode(&bytes).map_err(damaged)?.head),
            Record::Delta(delta) => Ok(delta.head),
        }
    }
}

fn key(revision: Revision) -> String {
    format!("{PREFIX}{:020}", revision.0)
}

fn encode(record: &Record) -> Bytes {
    let mut bytes = Vec::new();
    ciborium::into_writer(record, &mut bytes).expect("memory takes what is written");
    bytes.into()
}

fn decode(entry: &Entry) -> StoreResult<Record> {
    ciborium::from_reader(&entry.value[..])
        .map_err(|source| damaged(DocumentError::Decode { source }))
}

fn damaged(source: DocumentError) -> StoreError {
    StoreError::Damaged { source }
}

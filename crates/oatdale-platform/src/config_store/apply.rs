//! Changing the document in force.

use crate::config_store::call::{Pauses, Written, write};
use crate::config_store::{
    CURRENT_KEY, ConfigStore, ConflictSnafu, NotYetSnafu, StoreError, StoreResult, Stored,
};
use crate::kv::{Condition, Kv, Put};
use bytes::Bytes;
use oatdale_config::{ChangeId, Document, Revision};
use snafu::ensure;
use tokio::time::Instant;

/// What an operator wants in force.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Proposal {
    /// The revision that the operator's text started from; 0 when there was none.
    pub seen: Revision,
    /// Drawn at random for this apply; the same when an apply is tried again.
    pub change: ChangeId,
    /// Who applies it.
    pub operator: String,
    /// Seconds since 1970; for people only.
    pub time: u64,
    /// The text, already checked.
    pub text: String,
}

/// What became of an accepted proposal.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Applied {
    /// It is in force as this document.
    Accepted(Document),
    /// It was accepted, and a later change by somebody else is in force already.
    Superseded {
        /// The revision that the proposal became.
        ours: Revision,
        /// What is in force.
        current: Document,
    },
    /// The text was in force already, so nothing was written.
    Unchanged(Document),
}

/// What the service shows of a write without an answer.
enum Trace {
    /// It took effect.
    Accepted(Applied),
    /// Another write took its place, so it never will.
    Lost(Document),
    /// Nothing of it is to be seen; it may still be on its way.
    None,
}

impl<K: Kv> ConfigStore<K> {
    /// Puts a checked text in force, if nobody else changed it since the operator saw it.
    ///
    /// A write whose answer is lost is looked for by its change id. While it can't be seen, the
    /// same write is sent again: both name the same key revision, so at most one takes effect.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] carries the document that another operator put in force;
    /// [`StoreError::Unknown`] when the service did not say before `deadline` whether the change
    /// holds. After every other error nothing was changed.
    pub async fn apply(&self, proposal: Proposal, deadline: Instant) -> StoreResult<Applied> {
        let current = self.current(deadline).await?;
        let newest = match &current {
            Some(stored) => stored.document.head.revision,
            None => self.newest_in_history(deadline).await?,
        };
        if let Some(stored) = &current
            && let Some(applied) = self.settle(&proposal, &stored.document, deadline).await?
        {
            return Ok(applied);
        }
        let seen = proposal.seen;
        ensure!(seen <= newest, NotYetSnafu { seen, newest });
        if let Some(stored) = &current {
            self.keep(&stored.document, deadline).await?;
        }
        let Proposal {
            change,
            operator,
            time,
            text,
            ..
        } = proposal;
        let before = current.as_ref().map(|stored| &stored.document);
        let ours =
            Document::new(Revision(newest.0 + 1), change, operator, time, text).after(before);
        let applied = self.swap(current.as_ref(), ours, deadline).await?;
        if let Applied::Accepted(ours) = &applied {
            let before = current.map(|stored| stored.document);
            self.record(before.as_ref(), ours, deadline).await;
        }
        Ok(applied)
    }

    /// What can be said before anything is written; an apply that is tried again may hold already.
    async fn settle(
        &self,
        proposal: &Proposal,
        current: &Document,
        deadline: Instant,
    ) -> StoreResult<Option<Applied>> {
        let (seen, newest) = (proposal.seen, current.head.revision);
        if current.head.change == proposal.change {
            return Ok(Some(Applied::Accepted(current.clone())));
        }
        let next = Revision(seen.0.saturating_add(1));
        if seen < newest && self.is_in_history(next, proposal.change, deadline).await? {
            let (ours, current) = (next, current.clone());
            return Ok(Some(Applied::Superseded { ours, current }));
        }
        if current.text == proposal.text {
            return Ok(Some(Applied::Unchanged(current.clone())));
        }
        let theirs = || Box::new(current.clone());
        ensure!(
            seen >= newest,
            ConflictSnafu {
                seen,
                theirs: theirs()
            }
        );
        Ok(None)
    }

    async fn is_in_history(
        &self,
        revision: Revision,
        change: ChangeId,
        deadline: Instant,
    ) -> StoreResult<bool> {
        let head = self.head_in_history(revision, deadline).await?;
        Ok(head.is_some_and(|head| head.change == change))
    }

    async fn swap(
        &self,
        current: Option<&Stored>,
        ours: Document,
        deadline: Instant,
    ) -> StoreResult<Applied> {
        let cond = current.map_or(Condition::Absent, |s| Condition::Is(s.key_revision));
        let value = Bytes::from(ours.encode());
        let mut pauses = Pauses::new(deadline);
        let mut unknown = None;
        loop {
            let message = match write(&self.kv, deadline, CURRENT_KEY, &value, cond).await {
                Ok(Written::Answered(Put::Stored(_))) => return Ok(Applied::Accepted(ours)),
                Ok(Written::Answered(Put::Conflict(_))) => "a conflict".to_owned(),
                Ok(Written::Unknown(message)) => message,
                Err(error) => return Err(after_unknown(unknown, error)),
            };
            match self.trace(&ours, deadline).await {
                Ok(Trace::Accepted(applied)) => return Ok(applied),
                Ok(Trace::Lost(theirs)) => {
                    return Err(StoreError::Conflict {
                        seen: Revision(ours.head.revision.0 - 1),
                        theirs: Box::new(theirs),
                    });
                }
                Ok(Trace::None) => unknown = Some(message.clone()),
                Err(_) => return Err(StoreError::Unknown { message }),
            }
            if !pauses.before_again().await {
                return Err(StoreError::Unknown { message });
            }
        }
    }

    /// Looks for a write whose answer was lost.
    ///
    /// When a later revision is in force, the history tells who wrote ours: nobody overwrites a
    /// document before its entry is there.
    async fn trace(&self, ours: &Document, deadline: Instant) -> StoreResult<Trace> {
        let wanted = ours.head.revision;
        let Some(stored) = self.current(deadline).await? else {
            return Ok(Trace::None);
        };
        let current = stored.document;
        match current.head.revision {
            found if found < wanted => Ok(Trace::None),
            found if found == wanted && current.head.change == ours.head.change => {
                Ok(Trace::Accepted(Applied::Accepted(current)))
            }
            found if found == wanted => Ok(Trace::Lost(current)),
            _ if self
                .is_in_history(wanted, ours.head.change, deadline)
                .await? =>
            {
                let ours = wanted;
                Ok(Trace::Accepted(Applied::Superseded { ours, current }))
            }
            _ => Ok(Trace::Lost(current)),
        }
    }
}

/// A refusal after an attempt whose answer was lost doesn't tell what became of that attempt.
fn after_unknown(unknown: Option<String>, error: StoreError) -> StoreError {
    match unknown {
        Some(message) => StoreError::Unknown { message },
        None => error,
    }
}

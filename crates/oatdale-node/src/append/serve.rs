//! The append duty: appends for nodes that ask, and takes the answers to this node's own calls.

use crate::append::wire::{self, Message, Unreadable};
use crate::append::{Answer, AppendHandle, Ask, Job};
use bytes::Bytes;
use log::warn;
use oatdale_journal::{Claim, JournalError, JournalHandle};
use oatdale_mesh::Command;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;

/// Calls that are served at once; those beyond are dropped, and their nodes append for themselves.
const MAX_SERVED: usize = 2048;

/// What the append duty reads and writes.
pub(crate) struct Duty {
    pub(super) handle: AppendHandle,
    pub(super) jobs: mpsc::Receiver<Job>,
    pub(super) stop: watch::Receiver<bool>,
}

/// Runs the duty until the node stops.
pub(crate) async fn run(mut duty: Duty) {
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            job = duty.jobs.recv() => match job {
                Some(job) => duty.handle.job(job, &mut tasks),
                None => return,
            },
            Some(_) = tasks.join_next() => {}
            _ = duty.stop.wait_for(|stop| *stop) => return,
        }
    }
}

impl AppendHandle {
    fn job(&self, job: Job, tasks: &mut JoinSet<()>) {
        match job {
            Job::Heard { from, payload } => self.message(from, &payload, tasks),
            Job::Finish { key, by, outcome } => {
                let handle = self.clone();
                tasks.spawn(async move { handle.finish_now(key, by, outcome).await });
            }
        }
    }

    fn message(&self, from: String, payload: &Bytes, tasks: &mut JoinSet<()>) {
        match wire::from_slice(payload) {
            Ok((call, Message::Answer(answer))) => self.calls.answered(&from, call, answer),
            Ok((call, Message::Ask(ask))) if tasks.len() < MAX_SERVED => {
                let (journal, mesh) = (self.journal.clone(), self.mesh.clone());
                tasks.spawn(serve(journal, mesh, from, call, ask));
            }
            Ok((_, Message::Ask(_))) => {
                warn!(target: "append", "event=call_dropped from={from:?} under_way={MAX_SERVED}");
            }
            Err(Unreadable::Version(version)) => {
                warn!(target: "append", "event=other_release from={from:?} version={version:?}");
            }
            Err(Unreadable::Content(error)) => {
                warn!(target: "append", "event=unreadable from={from:?} error={error:?}");
            }
        }
    }
}

async fn serve(
    journal: JournalHandle,
    mesh: mpsc::Sender<Command>,
    from: String,
    call: u128,
    ask: Ask,
) {
    let answer = append(&journal, ask).await.unwrap_or_else(Answer::Refused);
    let payload = wire::to_vec(call, &Message::Answer(answer));
    // Nobody waits for it: a node that gets no answer appends for itself.
    let (reply, _) = oneshot::channel();
    let command = Command::Forward {
        to: from,
        payload: payload.into(),
        reply,
    };
    let _ = mesh.send(command).await;
}

/// Appends through this node's own journal; it never asks a third node.
async fn append(journal: &JournalHandle, ask: Ask) -> Result<Answer, JournalError> {
    match ask {
        Ask::Claim { key, by } => match journal.claim(key, by).await? {
            Claim::Won { .. } => Ok(Answer::Won),
            Claim::Lost { by, finished } => Ok(Answer::Lost { by, finished }),
        },
        Ask::Finish { key, by, outcome } => {
            journal.finish(key, by, outcome)?;
            Ok(Answer::Done)
        }
        Ask::Pin { session, pin } => Ok(Answer::Pinned(journal.pin(session, pin).await?)),
        Ask::Bill(records) => {
            journal.bill(records).await?;
            Ok(Answer::Done)
        }
    }
}

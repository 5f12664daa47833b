//! What was sent, answered and run, in the order in which it happened.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One thing that a client or a worker saw.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Milliseconds since the start.
    pub at_ms: u128,
    /// Who saw it.
    pub who: String,
    pub what: What,
    /// Id of the request.
    pub id: String,
    pub note: String,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum What {
    /// A client sent the request.
    Sent,
    /// The client got an answer with this status; 0 if the connection ended without one.
    Answered(u16),
    /// The request reached a worker.
    Reached,
    /// A worker began to run the request.
    Ran,
    /// A worker's run of the request ended.
    RunEnded,
    /// A worker rejected the request without running it.
    Rejected,
    /// A disruption, or a step of the case.
    Event,
}

/// The record of one run of a case, shared by its threads.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            start: Instant::now(),
            entries: Arc::default(),
        }
    }

    /// Adds an entry.
    pub fn add(&self, who: &str, what: What, id: &str, note: impl Into<String>) {
        let entry = Entry {
            at_ms: self.start.elapsed().as_millis(),
            who: who.to_owned(),
            what,
            id: id.to_owned(),
            note: note.into(),
        };
        let mut entries = self.entries.lock().expect("no thread panics with the lock");
        entries.push(entry);
    }

    /// Returns all entries so far.
    pub fn entries(&self) -> Vec<Entry> {
        let entries = self.entries.lock().expect("no thread panics with the lock");
        entries.clone()
    }

    /// Writes the findings and all entries to a file.
    pub fn write(&self, file: &Path, findings: &[String]) -> io::Result<()> {
        let mut text = String::new();
        for line in findings {
            text += &format!("{line}\n");
        }
        text += "\nms | who | what | request | note\n";
        for e in self.entries() {
            text += &format!(
                "{} | {} | {:?} | {} | {}\n",
                e.at_ms, e.who, e.what, e.id, e.note
            );
        }
        fs::write(file, text)
    }
}

//! What endpoints did with requests, and how callers' attempts ended.

use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum What {
    Arrived,
    Began,
    Ended,
    Answered(u16),
}

/// A step of a request at an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    /// Since the start of the record.
    pub(crate) at: Duration,
    pub(crate) endpoint: String,
    /// Number of the connection at the endpoint.
    pub(crate) conn: u64,
    pub(crate) id: String,
    pub(crate) what: What,
}

/// How an attempt ended for its caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum End {
    /// A complete response, and the request that its body names.
    Answered {
        status: u16,
        names: Option<String>,
    },
    /// The connection ended or the deadline passed.
    NoAnswer,
    NotConnected,
}

/// An attempt of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Since the start of the record.
    pub(crate) at: Duration,
    pub(crate) took: Duration,
    /// Request that the attempt belongs to.
    pub(crate) request: u64,
    pub(crate) id: String,
    pub(crate) host: usize,
    pub(crate) is_unsafe: bool,
    pub(crate) end: End,
}

/// Steps and attempts of a run.
#[derive(Clone)]
pub(crate) struct Record {
    began: Instant,
    steps: Arc<Mutex<Vec<Step>>>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Record {
    pub(crate) fn new() -> Record {
        Record {
            began: Instant::now(),
            steps: Arc::default(),
            attempts: Arc::default(),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub(crate) fn add(&self, endpoint: &str, conn: u64, id: &str, what: What) {
        let step = Step {
            at: self.now(),
            endpoint: endpoint.to_owned(),
            conn,
            id: id.to_owned(),
            what,
        };
        self.steps.lock().expect("no thread panics").push(step);
    }

    pub(crate) fn add_attempt(&self, attempt: Attempt) {
        let mut attempts = self.attempts.lock().expect("no thread panics");
        attempts.push(attempt);
    }

    pub(crate) fn steps(&self) -> Vec<Step> {
        self.steps.lock().expect("no thread panics").clone()
    }

    pub(crate) fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().expect("no thread panics").clone()
    }
}

//! What the tour prints and sums up.

use crate::cx::{Cx, out};
use crate::error::Result;
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::Duration;

/// The tour's voice, and what it counted.
pub(super) struct Report {
    quiet: bool,
    facts: Facts,
    /// Ids of the requests that were answered in whole.
    pub(super) answered: BTreeSet<String>,
    /// Whether there may be bills of requests that the tour did not send.
    pub(super) others_may_call: bool,
}

/// What the tour found, for scripts.
#[derive(Default, Serialize)]
pub(super) struct Facts {
    /// Requests that were answered in whole.
    pub(super) answered: usize,
    /// Bills of them.
    pub(super) bills: usize,
    /// What they cost in all, in millionths of the currency unit.
    pub(super) price_micros: u64,
    /// Milliseconds until the slowest change was in force on every node.
    pub(super) slowest_change_ms: u128,
    /// Requests that a bad version failed before it was stopped.
    pub(super) failed_by_bad_version: u32,
    /// Seconds that the tour took.
    pub(super) seconds: f64,
}

impl Report {
    /// With `quiet` nothing is printed but the sum at the end.
    pub(super) fn new(quiet: bool) -> Self {
        Report {
            quiet,
            facts: Facts::default(),
            answered: BTreeSet::new(),
            others_may_call: false,
        }
    }

    /// Begins a section.
    pub(super) fn section(&self, title: &str) -> Result<()> {
        self.print(&format!("\n== {title}\n"))
    }

    /// Prints a line.
    pub(super) fn line(&self, text: &str) -> Result<()> {
        self.print(&format!("   {text}\n"))
    }

    /// Prints text as it is.
    pub(super) fn print(&self, text: &str) -> Result<()> {
        match self.quiet {
            true => Ok(()),
            false => out(text),
        }
    }

    /// What was found so far.
    pub(super) fn facts(&mut self) -> &mut Facts {
        &mut self.facts
    }

    /// Sums up.
    pub(super) fn end(mut self, cx: &Cx, took: Duration) -> Result<()> {
        self.facts.answered = self.answered.len();
        self.facts.seconds = took.as_secs_f64();
        let text = format!(
            "\nAll of it came out as it should: {} requests answered, {} bills, {:.1} s.\n",
            self.facts.answered, self.facts.bills, self.facts.seconds
        );
        cx.print(&text, &self.facts)
    }
}

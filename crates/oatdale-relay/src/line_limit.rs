//! Limit on the log lines about endpoints.

use std::time::Duration;

/// Maximum number of lines about single endpoints per second. When thousands of endpoints start or
/// are replaced at once, each node would write a line for each of them.
pub(crate) const MAX_LINES_PER_SECOND: u32 = 20;

/// Counts the log lines of the current second.
#[derive(Clone, Debug, Default)]
pub struct LineLimit {
    second: u64,
    lines: u32,
    omitted: u64,
}

impl LineLimit {
    /// Whether another line may be written now. A line that may not is counted as omitted.
    pub fn allows(&mut self, now: Duration) -> bool {
        if now.as_secs() != self.second {
            (self.second, self.lines) = (now.as_secs(), 0);
        }
        let is_allowed = self.lines < MAX_LINES_PER_SECOND;
        match is_allowed {
            true => self.lines += 1,
            false => self.omitted += 1,
        }
        is_allowed
    }

    /// Counts lines that are not written.
    pub fn omit(&mut self, lines: usize) {
        self.omitted += lines as u64;
    }

    /// Returns the number of lines omitted since the last call.
    pub fn take_omitted(&mut self) -> u64 {
        std::mem::take(&mut self.omitted)
    }
}

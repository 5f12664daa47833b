//! Structured logs: one line of `key=value` pairs an event, written by a thread of its own.

use fern::{Dispatch, Output};
use log::LevelFilter;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, sync_channel};
use std::thread;
use std::time::SystemTime;

/// Lines that may wait for the writer.
const WAITING_LINES: usize = 8192;

/// Counts lines that were dropped because the writer fell behind.
#[derive(Clone, Default)]
pub struct Dropped(Arc<AtomicU64>);

impl Dropped {
    /// Lines dropped since the start.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Where log lines go.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LogTarget {
    /// Standard output, for processes that say nothing else there.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Sends all log lines of the process at `level` and above to standard error.
///
/// # Errors
///
/// As for [`start_to`].
pub fn start(level: LevelFilter) -> io::Result<Dropped> {
    start_to(LogTarget::Stderr, level)
}

/// Sends all log lines of the process at `level` and above to `target`.
///
/// A terminal or a full pipe that blocks would stop every duty that logs, and callers would see
/// answers stall. So duties hand their lines to a bounded channel, and lines that find it full are
/// counted and dropped.
///
/// # Errors
///
/// Fails if the process has set up logging before, or if no thread can be started.
pub fn start_to(target: LogTarget, level: LevelFilter) -> io::Result<Dropped> {
    let (tx, rx) = sync_channel::<String>(WAITING_LINES);
    let dropped = Dropped::default();
    let counter = dropped.clone();
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(target, &rx))?;
    Dispatch::new()
        .level(level)
        .level_for("hyper", LevelFilter::Warn)
        .level_for("hyper_util", LevelFilter::Warn)
        .level_for("tungstenite", LevelFilter::Warn)
        .format(|out, message, record| {
            out.finish(format_args!(
                "time={} level={} duty={} {}",
                humantime::format_rfc3339_millis(SystemTime::now()),
                record.level().as_str().to_ascii_lowercase(),
                record.target(),
                message
            ));
        })
        .chain(Output::call(move |record| {
            if tx.try_send(format!("{}\n", record.args())).is_err() {
                counter.0.fetch_add(1, Ordering::Relaxed);
            }
        }))
        .apply()
        .map_err(io::Error::other)?;
    Ok(dropped)
}

fn write_lines(target: LogTarget, rx: &Receiver<String>) {
    while let Ok(line) = rx.recv() {
        // The lock is held for one line only: the program's last words at a failed start go to
        // standard error as well and would wait for it for ever. Nowhere is left to report to
        // when the target itself fails.
        let _ = match target {
            LogTarget::Stdout => io::stdout().lock().write_all(line.as_bytes()),
            LogTarget::Stderr => io::stderr().lock().write_all(line.as_bytes()),
        };
    }
}

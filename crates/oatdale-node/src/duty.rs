//! Threads of their own for the duties.

use crate::error::{Result, ThreadSnafu};
use log::{error, info};
use snafu::ResultExt;
use std::future::Future;
use std::thread::{self, JoinHandle};
use tokio::runtime::Builder;

/// Ends the process when a duty panics.
///
/// A node without its router would still accept connections and never answer, and callers would
/// wait for their deadlines. A process that is gone is noticed at once, and other nodes take over.
struct AbortOnPanic(&'static str);

impl Drop for AbortOnPanic {
    fn drop(&mut self) {
        if thread::panicking() {
            error!(target: "node", "event=duty_panicked name={}", self.0);
            std::process::abort();
        }
    }
}

/// Runs a duty on a thread with a current-thread runtime of its own.
///
/// # Errors
///
/// Fails if the thread can't be started.
pub(crate) fn spawn<F>(
    name: &'static str,
    duty: impl FnOnce() -> F + Send + 'static,
) -> Result<JoinHandle<()>>
where
    F: Future<Output = ()>,
{
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            let _guard = AbortOnPanic(name);
            let runtime = Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("the kernel grants a thread its event queue");
            runtime.block_on(duty());
            info!(target: "node", "event=duty_ended name={name}");
        })
        .context(ThreadSnafu { name })
}

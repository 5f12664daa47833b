//! The paused clock beside real sockets.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// How far the clock moves at once.
const STEP: Duration = Duration::from_millis(1);

/// Rounds of the runtime's queue and sockets between two steps.
const ROUNDS: usize = 48;

/// Runs a future on a paused clock, and moves the clock only when sockets have come to rest.
///
/// By itself a paused runtime moves its clock to the next timer as soon as no task is ready, also
/// when bytes on a loopback socket have just arrived: a timeout of an hour then ends a call that
/// would have been answered in microseconds. Here the clock stands while bytes travel, and moves
/// one millisecond when many rounds of the runtime brought nothing to an end.
///
/// Every task of the test must run on the current-thread runtime that this is called on.
///
/// # Panics
///
/// Panics if the clock is not paused.
pub async fn drive<F: Future>(fut: F) -> F::Output {
    // A blocking task keeps the runtime from moving its clock by itself.
    let (hold, held) = std::sync::mpsc::channel::<()>();
    let blocking = tokio::task::spawn_blocking(move || held.recv().is_err());
    let output = steps(fut).await;
    drop(hold);
    blocking.await.ok();
    output
}

async fn steps<F: Future>(fut: F) -> F::Output {
    let mut fut = pin!(fut);
    loop {
        for _ in 0..ROUNDS {
            tokio::select! {
                biased;
                output = &mut fut => return output,
                () = tokio::task::yield_now() => {}
            }
        }
        tokio::time::advance(STEP).await;
    }
}

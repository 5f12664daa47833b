//! `oatdaled` as a relay: requests pass through unread.

use log::{LevelFilter, info, warn};
use oatdale_adapter::Headers;
use oatdale_node::{LogTarget, start_logging_to};
use oatdale_relay::{Relay, Settings};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Time between two looks at the settings file: within the time in which operators expect a change to
/// be in force, and a few system calls.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Runs a relay until it is told to stop.
pub(crate) fn start(settings: Settings, path: &Path) -> ExitCode {
    let started = start_logging_to(LogTarget::Stdout, LevelFilter::Info)
        .map_err(|err| err.to_string())
        .and_then(|_| run(settings, path));
    match started {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("oatdaled: {message}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run(settings: Settings, path: &Path) -> Result<(), String> {
    let listen = |kind| signal(kind).map_err(|err| format!("can't listen for signals: {err}"));
    let mut term = listen(SignalKind::terminate())?;
    let mut int = listen(SignalKind::interrupt())?;
    let mut hup = listen(SignalKind::hangup())?;
    let link = oatdale_adapter::start_adapter(settings.clone())
        .map_err(|err| format!("can't start the platform's thread: {err}"))?;
    let mut relay = Relay::start(settings, Headers, link)
        .await
        .map_err(|err| err.to_string())?;
    let mut in_use = std::fs::read_to_string(path).unwrap_or_default();
    let mut look = tokio::time::interval(LOOK_EVERY);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => reload(&mut relay, path, &mut in_use),
            // The file may change without a signal.
            _ = look.tick() => reload(&mut relay, path, &mut in_use),
        }
    }
    tokio::select! {
        () = relay.stop() => {}
        () = second(&mut int) => warn!(target: "node", "event=ended_at_once"),
    }
    Ok(())
}

async fn second(int: &mut Signal) {
    int.recv().await;
}

/// Takes in changed settings; wrong ones leave those in force as they are. `in_use` is the text that was
/// last looked at.
fn reload(relay: &mut Relay<Headers>, path: &Path, in_use: &mut String) {
    let text = match std::fs::read_to_string(path) {
        Ok(text) if text == *in_use => return,
        Ok(text) => text,
        Err(err) => {
            warn!(target: "node", "event=reload_failed err={:?}", err.to_string());
            return;
        }
    };
    let read = Settings::read(&text).map_err(|err| err.to_string());
    *in_use = text;
    match read {
        Ok(settings) => {
            let needs_restart = relay.reload(&settings);
            info!(target: "node", "event=reloaded needs_restart={needs_restart}");
        }
        Err(err) => warn!(target: "node", "event=reload_failed err={err:?}"),
    }
}

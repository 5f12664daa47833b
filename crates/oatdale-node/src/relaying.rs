//! `oatdaled` as a relay: requests pass through unread.

use log::{LevelFilter, info, warn};
use oatdale_adapter::Headers;
use oatdale_node::{LogTarget, start_logging_to};
use oatdale_relay::{Relay, Settings};
use std::path::Path;
use std::process::ExitCode;
use tokio::signal::unix::{Signal, SignalKind, signal};

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
    let link = oatdale_adapter::start(settings.clone())
        .map_err(|err| format!("can't start the platform's thread: {err}"))?;
    let mut relay = Relay::start(settings, Headers, link.updates, link.commands)
        .await
        .map_err(|err| err.to_string())?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => reload(&mut relay, path),
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

/// Takes in changed settings; wrong ones leave those in force as they are.
fn reload(relay: &mut Relay<Headers>, path: &Path) {
    let read = std::fs::read_to_string(path)
        .map_err(|err| err.to_string())
        .and_then(|text| Settings::read(&text).map_err(|err| err.to_string()));
    match read {
        Ok(settings) => {
            let needs_restart = relay.reload(&settings);
            info!(target: "node", "event=reloaded needs_restart={needs_restart}");
        }
        Err(err) => warn!(target: "node", "event=reload_failed err={err:?}"),
    }
}

//! `oatdaled`: one node on one entry host.

mod relaying;

use log::{LevelFilter, info};
use oatdale_config::NodeSettings;
use oatdale_node::{Node, start_logging};
use oatdale_relay::Settings as RelaySettings;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs one oatdale node.
        ///
        /// SIGTERM or SIGINT stops it in order: it leaves the addresses that callers are told,
        /// goes on for as long as they may keep an address, ends all requests, writes the bills.
        /// A second signal ends it at once.
        ///
        /// Exit codes: 0 stopped in order, 1 could not start, 2 wrong flags or settings,
        /// 3 another process runs under this node's name.
        cmd oatdaled {
            /// The node's settings, a YAML file; examples/node.yaml shows all of them.
            required -s, --settings path: PathBuf
            /// Check the settings and stop.
            optional --check
        }
    }
}

/// The settings or flags are wrong.
const EXIT_USAGE: u8 = 2;

/// Another process has the node's name.
const EXIT_SUPERSEDED: u8 = 3;

fn main() -> ExitCode {
    let flags = flags::Oatdaled::from_env_or_exit();
    let settings = match read(&flags.settings) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("oatdaled: {message}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match settings {
        _ if flags.check => {
            println!("{}: the settings are right", flags.settings.display());
            ExitCode::SUCCESS
        }
        Settings::Node(settings) => start(*settings),
        Settings::Relay(settings) => relaying::start(*settings, &flags.settings),
    }
}

/// What the program is told to be.
enum Settings {
    /// It reads requests for models and sends them to engines of its own kind.
    Node(Box<NodeSettings>),
    /// It passes requests on unread.
    Relay(Box<RelaySettings>),
}

fn read(path: &Path) -> Result<Settings, String> {
    let name = PathBuf::from(path).display().to_string();
    let text = std::fs::read_to_string(path).map_err(|err| format!("can't read {name}: {err}"))?;
    if RelaySettings::is_relay_settings(&text) {
        let settings = RelaySettings::read(&text).map_err(|err| format!("{name}: {err}"))?;
        return Ok(Settings::Relay(Box::new(settings)));
    }
    oatdale_config::node_settings_from_str(&text)
        .map(|settings| Settings::Node(Box::new(settings)))
        .map_err(|err| format!("{name}:\n{err}"))
}

fn start(settings: NodeSettings) -> ExitCode {
    let level = settings.log_level.as_str().parse();
    let started = start_logging(level.unwrap_or(LevelFilter::Info))
        .map_err(|err| err.to_string())
        .and_then(|dropped| Node::start(settings, dropped).map_err(|err| err.to_string()));
    match started {
        Ok(node) => run(node),
        Err(message) => {
            eprintln!("oatdaled: {message}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run(node: Node) -> ExitCode {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        eprintln!("oatdaled: can't listen for signals");
        return ExitCode::FAILURE;
    };
    // The one line on standard output, for scripts that start nodes on free ports.
    let bound = node.addresses();
    println!(
        "callers={} nodes={} admin={}",
        bound.callers, bound.nodes, bound.admin
    );
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        () = node.superseded() => {
            node.close().await;
            return ExitCode::from(EXIT_SUPERSEDED);
        }
    }
    info!(target: "node", "event=signal");
    tokio::select! {
        () = node.stop() => ExitCode::SUCCESS,
        _ = term.recv() => ExitCode::FAILURE,
        _ = int.recv() => ExitCode::FAILURE,
    }
}

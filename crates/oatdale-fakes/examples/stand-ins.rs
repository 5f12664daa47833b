//! Runs stand-ins as a process of their own, for tests of separate processes and for trying out.
//!
//! Prints a JSON line with the name and address of each, then reads commands from its input, one a
//! line, and prints a JSON line for each. Ends with its input or with `stop`.
//!
//! `cargo run -p oatdale-fakes --example stand-ins -- --engines 3 --plain 1`

use oatdale_fakes::{
    CacheConfig, Command, EngineConfig, EngineVersion, RatingConfig, Speed, StandIns,
    StandInsConfig, WeightStore,
};
use oatdale_platform::wire::Weights;
use serde::Serialize;
use std::io::{self, Write};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};

/// Size of each version in the weight store, and what the store sends in a second.
const WEIGHT_BYTES: u64 = 2_000_000_000;
const STORE_RATE: u64 = 1_000_000_000;

/// Time for what is under way when it is told to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

mod flags {
    xflags::xflags! {
        /// Runs stand-ins for the platform and the endpoints.
        cmd stand-ins {
            /// First port, from which the others count; free ones without it.
            optional --port port: u16
            /// How many engines; 1 without it.
            optional --engines count: usize
            /// How many plain services; 1 without it.
            optional --plain count: usize
            /// Versions as MODEL/VERSION=QUALITY, separated by commas.
            optional --versions list: String
            /// Failure domains, separated by commas.
            optional --domains list: String
            /// Milliseconds of an engine's step; 10 without it.
            optional --step-ms ms: u64
            /// Requests that an engine runs at once; 16 without it.
            optional --concurrency count: usize
            /// Milliseconds by which load reports and the host list lag; 100 without it.
            optional --lag-ms ms: u64
            /// Engines accept orders with an old fencing number.
            optional --no-fencing
            /// Decides which faults are drawn; 1 without it.
            optional --seed seed: u64
        }
    }
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
enum Line<T> {
    Ok(T),
    Error(String),
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> io::Result<()> {
    let flags = flags::StandIns::from_env_or_exit();
    let cfg = config(&flags).map_err(io::Error::other)?;
    let stand_ins = StandIns::start(cfg).await?;
    for listening in stand_ins.listening() {
        print(listening)?;
    }
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        if line.trim().is_empty() {
            continue;
        }
        match line.parse::<Command>() {
            Ok(Command::Stop) => break,
            Ok(command) => match stand_ins.run(command) {
                Ok(calls) => print(&Line::Ok(calls))?,
                Err(message) => print(&Line::<()>::Error(message))?,
            },
            Err(err) => print(&Line::<()>::Error(err.to_string()))?,
        }
    }
    // Requests that were made to hang never finish.
    tokio::time::timeout(STOP_TIMEOUT, stand_ins.stop())
        .await
        .ok();
    Ok(())
}

fn config(flags: &flags::StandIns) -> Result<StandInsConfig, String> {
    let lag = Duration::from_millis(flags.lag_ms.unwrap_or(100));
    let versions = versions(flags.versions.as_deref().unwrap_or("model/v1=0.9"))?;
    let weight = |v: &EngineVersion| Weights {
        version: v.name.clone(),
        bytes: WEIGHT_BYTES,
    };
    let weights = WeightStore::new(versions.iter().map(weight).collect(), STORE_RATE);
    let seed = flags.seed.unwrap_or(1);
    let speed = Speed {
        step: Duration::from_millis(flags.step_ms.unwrap_or(10)),
        max_running: flags.concurrency.unwrap_or(16),
        ..Speed::default()
    };
    Ok(StandInsConfig {
        first_port: flags.port.unwrap_or(0),
        domains: list(flags.domains.as_deref().unwrap_or("a,b,c")),
        engines: flags.engines.unwrap_or(1),
        engine: EngineConfig {
            versions,
            speed,
            load_lag: lag,
            cache: CacheConfig {
                event_lag: lag,
                seed,
                ..CacheConfig::default()
            },
            checks_fencing: !flags.no_fencing,
            ..EngineConfig::default()
        },
        plain: flags.plain.unwrap_or(1),
        host_lag: lag,
        rating: RatingConfig::default(),
        weights,
        seed,
    })
}

fn versions(text: &str) -> Result<Vec<EngineVersion>, String> {
    list(text).iter().map(|v| version(v)).collect()
}

fn version(text: &str) -> Result<EngineVersion, String> {
    let (name, quality) = text.split_once('=').unwrap_or((text, "1"));
    match quality.parse() {
        Ok(quality) if (0.0..=1.0).contains(&quality) => Ok(EngineVersion::held(name, quality)),
        _ => Err(format!("{quality:?} is no quality; write 0 to 1")),
    }
}

fn list(text: &str) -> Vec<String> {
    text.split(',').map(|s| s.trim().to_owned()).collect()
}

fn print(value: &impl Serialize) -> io::Result<()> {
    let mut out = io::stdout().lock();
    serde_json::to_writer(&mut out, value)?;
    out.write_all(b"\n")?;
    out.flush()
}

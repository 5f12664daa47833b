//! Measures the router's decisions in rounds, each against simpler ways of deciding.
//!
//! `cargo run --release -p oatdale-policy --example measure -- [round] [--seeds N] [--from N]
//! [--out DIR]` runs one round, or all, over N seeds from a first one on and prints a table. With `--out` it writes `<round>.csv` with every
//! seed's figures and `<round>.svg` with a plot. Time is simulated and every draw comes from the
//! seed: the same command writes the same bytes.

mod cascade;
mod endpoints;
mod engine;
mod exposure;
mod overload;
mod progress;
mod report;
mod retries;
mod sim;
mod world;

use report::Report;
use std::path::PathBuf;
use std::process::ExitCode;

/// Seeds that a round runs unless told otherwise.
const DEFAULT_SEEDS: u64 = 20;

/// The seeds of a run.
pub(crate) type Seeds = std::ops::Range<u64>;

/// A round's name and what runs it.
type Experiment = (&'static str, fn(Seeds) -> Report);

/// All rounds.
const EXPERIMENTS: [Experiment; 6] = [
    ("cascade", cascade::run),
    ("endpoints", endpoints::run),
    ("overload", overload::run),
    ("exposure", exposure::run),
    ("retries", retries::run),
    ("progress", progress::run),
];

/// What the command line asks for.
struct Args {
    experiment: Option<String>,
    seeds: u64,
    first_seed: u64,
    out: Option<PathBuf>,
}

fn main() -> ExitCode {
    match parse(std::env::args().skip(1)).and_then(|args| run(&args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("measure: {message}");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut argv: impl Iterator<Item = String>) -> Result<Args, String> {
    let mut args = Args {
        experiment: None,
        seeds: DEFAULT_SEEDS,
        first_seed: 0,
        out: None,
    };
    while let Some(arg) = argv.next() {
        let mut value = || argv.next().ok_or(format!("{arg} requires a value"));
        match arg.as_str() {
            "--seeds" => args.seeds = parse_number(&value()?)?,
            "--from" => args.first_seed = parse_number(&value()?)?,
            "--out" => args.out = Some(PathBuf::from(value()?)),
            name if EXPERIMENTS
                .iter()
                .any(|(experiment, _)| *experiment == name) =>
            {
                args.experiment = Some(arg);
            }
            other => return Err(format!("bad argument {other}; experiments: {}", names())),
        }
    }
    Ok(args)
}

fn parse_number(text: &str) -> Result<u64, String> {
    text.parse()
        .map_err(|_| format!("invalid number {text}: expected an unsigned integer"))
}

fn names() -> String {
    EXPERIMENTS.map(|(name, _)| name).join(", ")
}

fn run(args: &Args) -> Result<(), String> {
    for (name, experiment) in EXPERIMENTS {
        if args
            .experiment
            .as_ref()
            .is_some_and(|selected| selected != name)
        {
            continue;
        }
        let report = experiment(args.first_seed..args.first_seed + args.seeds);
        println!("{}", report.table());
        if let Some(out) = &args.out {
            report.write(out, name).map_err(|e| e.to_string())?;
        }
    }
    Ok(())
}

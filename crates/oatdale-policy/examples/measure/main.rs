//! Simulations that compare the router's decisions with simpler policies.
//!
//! `cargo run --release -p oatdale-policy --example measure -- [experiment] [--seeds N]
//! [--from SEED] [--out DIR]` runs one experiment, or all, with N consecutive seeds starting at
//! `--from`, and prints a table. With `--out` it also writes `<experiment>.csv` with the values
//! of every seed and `<experiment>.svg` with a plot. Time is simulated and all random numbers
//! derive from the seed: the same command writes the same bytes.

mod cascade;
mod endpoints;
mod engine;
mod exposure;
mod overload;
mod progress;
mod report;
mod retries;
mod sim;
mod site;

use report::Report;
use std::path::PathBuf;
use std::process::ExitCode;

/// Number of seeds without `--seeds`.
const DEFAULT_SEEDS: u64 = 20;

/// Seeds with which an experiment is repeated.
pub(crate) type Seeds = std::ops::Range<u64>;

/// Name of an experiment on the command line, and the function that runs it.
type Experiment = (&'static str, fn(Seeds) -> Report);

const EXPERIMENTS: [Experiment; 6] = [
    ("cascade", cascade::run),
    ("endpoints", endpoints::run),
    ("overload", overload::run),
    ("exposure", exposure::run),
    ("retries", retries::run),
    ("progress", progress::run),
];

/// Parsed command line.
struct Args {
    /// The only experiment to run, or `None` for all.
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

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
const SEEDS: u64 = 20;

/// The seeds of a run.
pub(crate) type Seeds = std::ops::Range<u64>;

/// A round's name and what runs it.
type Round = (&'static str, fn(Seeds) -> Report);

/// All rounds.
const ROUNDS: [Round; 6] = [
    ("cascade", cascade::run),
    ("endpoints", endpoints::run),
    ("overload", overload::run),
    ("exposure", exposure::run),
    ("retries", retries::run),
    ("progress", progress::run),
];

/// What the command line asks for.
struct Args {
    round: Option<String>,
    seeds: u64,
    from: u64,
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

fn parse(mut words: impl Iterator<Item = String>) -> Result<Args, String> {
    let mut args = Args {
        round: None,
        seeds: SEEDS,
        from: 0,
        out: None,
    };
    while let Some(word) = words.next() {
        let mut value = || words.next().ok_or(format!("{word} needs a value"));
        match word.as_str() {
            "--seeds" => args.seeds = number(&value()?)?,
            "--from" => args.from = number(&value()?)?,
            "--out" => args.out = Some(PathBuf::from(value()?)),
            name if ROUNDS.iter().any(|(round, _)| *round == name) => {
                args.round = Some(word);
            }
            other => return Err(format!("no round or option {other}; rounds: {}", names())),
        }
    }
    Ok(args)
}

fn number(word: &str) -> Result<u64, String> {
    word.parse()
        .map_err(|_| format!("{word} is no whole number"))
}

fn names() -> String {
    ROUNDS.map(|(name, _)| name).join(", ")
}

fn run(args: &Args) -> Result<(), String> {
    for (name, round) in ROUNDS {
        if args.round.as_ref().is_some_and(|only| only != name) {
            continue;
        }
        let report = round(args.from..args.from + args.seeds);
        println!("{}", report.table());
        if let Some(out) = &args.out {
            report.write(out, name).map_err(|e| e.to_string())?;
        }
    }
    Ok(())
}

//! Runs one case of the review: `cases NAME FOLDER TROUBLE`. The exit code is 0 if the rule held, 1 if it was
//! broken, and 2 if the case could not run. If TROUBLE is 0 there is no disruption.

mod batch_worker;
mod client;
mod engine;
mod http;
mod json;
mod late_extra_answers;
mod random;
mod record;
mod relay;
mod stop_under_load;
mod store;
mod unframed_streams;
mod worker;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::{env, fs, io, process};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    if let [_, kind, id, share] = args.as_slice()
        && kind == "engine"
    {
        let ended = engine::run(id, share.parse().unwrap_or(0.0));
        return ended.map_or(ExitCode::FAILURE, |()| ExitCode::SUCCESS);
    }
    let [_, name, dir, trouble] = args.as_slice() else {
        eprintln!("usage: cases NAME FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let with_trouble = trouble != "0";
    let temp = env::temp_dir().join(format!("oatdale-review-{}", process::id()));
    let result =
        fs::create_dir_all(&temp).and_then(|()| run(name, Path::new(dir), &temp, with_trouble));
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&temp);
    }
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}

fn run(name: &str, dir: &Path, temp: &Path, with_trouble: bool) -> io::Result<bool> {
    let dir = PathBuf::from(dir);
    match name {
        "late-extra-answers" => late_extra_answers::run(&dir, temp, with_trouble),
        "unframed-streams" => unframed_streams::run(&dir, temp, with_trouble),
        "stop-under-load" => stop_under_load::run(&dir, temp, with_trouble),
        _ => Err(io::Error::other(format!("there is no case {name}"))),
    }
}

//! The operators' program `oatdale`: check and apply configurations, roll versions out and in,
//! watch nodes, export bills.

mod command;
mod cx;
mod error;
mod flags;

use crate::cx::Cx;
use crate::error::Result;
use crate::flags::{BillsCmd, KeyCmd, Oatdale, OatdaleCmd};
use log::LevelFilter;
use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = match Oatdale::from_env() {
        Ok(flags) => flags,
        Err(e) if e.is_help() => e.exit(),
        Err(e) => {
            eprintln!("{e}; `oatdale --help` lists the commands and their flags");
            return ExitCode::from(error::USAGE);
        }
    };
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            e.exit_code()
        }
    }
}

fn run(flags: Oatdale) -> Result<()> {
    log_to_stderr(log_level(&flags.subcommand))?;
    let cx = Cx::new(&flags)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| cx::other(&e))?;
    runtime.block_on(dispatch(&cx, flags.subcommand))
}

async fn dispatch(cx: &Cx, command: OatdaleCmd) -> Result<()> {
    match command {
        OatdaleCmd::Check(flags) => command::check::run(cx, &flags),
        OatdaleCmd::Apply(flags) => command::apply::run(cx, &flags).await,
        OatdaleCmd::Show(flags) => command::show::show(cx, &flags).await,
        OatdaleCmd::Diff(flags) => command::show::diff(cx, &flags).await,
        OatdaleCmd::History(flags) => command::show::history(cx, &flags).await,
        OatdaleCmd::RollOut(flags) => command::state::roll_out(cx, &flags).await,
        OatdaleCmd::Drain(flags) => command::state::drain(cx, &flags).await,
        OatdaleCmd::Withdraw(flags) => command::state::withdraw(cx, &flags).await,
        OatdaleCmd::Status(_) => command::status::run(cx).await,
        OatdaleCmd::Bills(bills) => match bills.subcommand {
            BillsCmd::Export(flags) => command::bills::export(cx, &flags).await,
        },
        OatdaleCmd::Key(key) => match key.subcommand {
            KeyCmd::New(_) => command::key::new(cx),
            KeyCmd::Digest(_) => command::key::digest(cx),
        },
        OatdaleCmd::Demo(flags) => command::demo::run(cx, &flags).await,
    }
}

/// The demo breaks things on purpose; the nodes' warnings of that would drown what it tells.
fn log_level(command: &OatdaleCmd) -> LevelFilter {
    match command {
        OatdaleCmd::Demo(flags) if flags.verbose => LevelFilter::Info,
        OatdaleCmd::Demo(_) => LevelFilter::Off,
        _ => LevelFilter::Warn,
    }
}

/// Log lines go to standard error, so that standard output stays what was asked for.
fn log_to_stderr(level: LevelFilter) -> Result<()> {
    fern::Dispatch::new()
        .level(level)
        .format(|out, message, record| {
            out.finish(format_args!("{}: {message}", record.level()));
        })
        .chain(std::io::stderr())
        .apply()
        .map_err(|e| cx::other(&e))
}

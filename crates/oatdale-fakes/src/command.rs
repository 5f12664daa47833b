//! Commands that switch stand-ins, one a line, such as `kv outage 10s` or `engine 3 bad hang`.

use crate::engine::Fault;
use crate::plain::PlainFault;
use snafu::Snafu;
use std::str::FromStr;
use std::time::Duration;

/// All commands, for people.
pub const HELP: &str = "\
kv outage on|off|TIME           say that the service is down
kv refuse on|off|TIME           refuse connections and cut the open ones
kv slow TIME                    answer later
kv lost-answers SHARE           let writes take effect and lose their answers
kv limits WRITES READS          calls a second
ratings outage on|off|TIME
ratings lag TIME
hosts outage on|off|TIME
hosts leaving NAME              mark a host as leaving
hosts remove NAME
engine N bad errors|low-quality|cut|break|hang|reset [VERSION]
engine N good [VERSION]
engine N slow FACTOR
engine N leaving on|off|TIME
engine N refuse on|off|TIME
engine N calls                  requests it began, and what is under way
plain N bad errors|not-started|lost-answer|hang
plain N good
plain N slow TIME
plain N refuse on|off|TIME
plain N calls                   calls it ran, by request id
stop                            finish what is under way and exit";

/// A command.
#[derive(Clone, PartialEq, Debug)]
pub enum Command {
    /// To the key-value service.
    Kv(KvCommand),
    /// To the rating service.
    Ratings(RatingCommand),
    /// To the host list.
    Hosts(HostCommand),
    /// To an engine, counted from 1.
    Engine(usize, EngineCommand),
    /// To a plain service, counted from 1.
    Plain(usize, PlainCommand),
    /// Finish what is under way and exit.
    Stop,
}

/// How long a switch stays on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Switch {
    /// Until it is switched off.
    On,
    /// Not at all.
    Off,
    /// For this long.
    For(Duration),
}

/// A command to the key-value service.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum KvCommand {
    /// Say that the service is down.
    Outage(Switch),
    /// Refuse connections.
    Refuse(Switch),
    /// Answer this much later.
    Slow(Duration),
    /// Lose the answers of this share of writes.
    LostAnswers(f64),
    /// Take so many writes and reads a second.
    Limits(f64, f64),
}

/// A command to the rating service.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RatingCommand {
    /// Answer with errors.
    Outage(Switch),
    /// Rate this much later.
    Lag(Duration),
}

/// A command to the host list.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum HostCommand {
    /// Answer with errors.
    Outage(Switch),
    /// Mark a host as leaving.
    Leaving(String),
    /// Take a host out.
    Remove(String),
}

/// A command to an engine.
#[derive(Clone, PartialEq, Debug)]
pub enum EngineCommand {
    /// Break or mend one version, or all.
    Fault(Option<Fault>, Option<String>),
    /// Make steps take so many times as long.
    Slow(f64),
    /// Refuse new requests as not begun.
    Leaving(Switch),
    /// Refuse connections.
    Refuse(Switch),
    /// Tell what it began.
    Calls,
}

/// A command to a plain service.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PlainCommand {
    /// Break or mend it.
    Fault(Option<PlainFault>),
    /// Make calls take this long.
    Slow(Duration),
    /// Refuse connections.
    Refuse(Switch),
    /// Tell what it ran.
    Calls,
}

/// A line that is no command.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
#[snafu(display("not understood: {line:?}; these are the commands:\n{HELP}"))]
pub struct NoCommand {
    /// The line.
    pub line: String,
}

impl FromStr for Command {
    type Err = NoCommand;

    fn from_str(line: &str) -> Result<Self, NoCommand> {
        let words: Vec<&str> = line.split_whitespace().collect();
        parse(&words).ok_or_else(|| NoCommand {
            line: line.to_owned(),
        })
    }
}

fn parse(words: &[&str]) -> Option<Command> {
    match words {
        ["kv", rest @ ..] => kv(rest).map(Command::Kv),
        ["ratings", rest @ ..] => ratings(rest).map(Command::Ratings),
        ["hosts", rest @ ..] => hosts(rest).map(Command::Hosts),
        ["engine", n, rest @ ..] => Some(Command::Engine(n.parse().ok()?, engine(rest)?)),
        ["plain", n, rest @ ..] => Some(Command::Plain(n.parse().ok()?, plain(rest)?)),
        ["stop"] => Some(Command::Stop),
        _ => None,
    }
}

fn kv(words: &[&str]) -> Option<KvCommand> {
    match words {
        ["outage", s] => switch(s).map(KvCommand::Outage),
        ["refuse", s] => switch(s).map(KvCommand::Refuse),
        ["slow", t] => time(t).map(KvCommand::Slow),
        ["lost-answers", share] => number(share)
            .filter(|s| *s <= 1.0)
            .map(KvCommand::LostAnswers),
        ["limits", writes, reads] => Some(KvCommand::Limits(rate(writes)?, rate(reads)?)),
        _ => None,
    }
}

fn ratings(words: &[&str]) -> Option<RatingCommand> {
    match words {
        ["outage", s] => switch(s).map(RatingCommand::Outage),
        ["lag", t] => time(t).map(RatingCommand::Lag),
        _ => None,
    }
}

fn hosts(words: &[&str]) -> Option<HostCommand> {
    match words {
        ["outage", s] => switch(s).map(HostCommand::Outage),
        ["leaving", host] => Some(HostCommand::Leaving((*host).to_owned())),
        ["remove", host] => Some(HostCommand::Remove((*host).to_owned())),
        _ => None,
    }
}

fn engine(words: &[&str]) -> Option<EngineCommand> {
    let of = |version: &[&str]| version.first().map(|&v| v.to_owned());
    match words {
        ["bad", fault, version @ ..] if version.len() < 2 => Some(EngineCommand::Fault(
            Some(engine_fault(fault)?),
            of(version),
        )),
        ["good", version @ ..] if version.len() < 2 => {
            Some(EngineCommand::Fault(None, of(version)))
        }
        ["slow", factor] => number(factor).map(EngineCommand::Slow),
        ["leaving", s] => switch(s).map(EngineCommand::Leaving),
        ["refuse", s] => switch(s).map(EngineCommand::Refuse),
        ["calls"] => Some(EngineCommand::Calls),
        _ => None,
    }
}

fn plain(words: &[&str]) -> Option<PlainCommand> {
    match words {
        ["bad", fault] => Some(PlainCommand::Fault(Some(plain_fault(fault)?))),
        ["good"] => Some(PlainCommand::Fault(None)),
        ["slow", t] => time(t).map(PlainCommand::Slow),
        ["refuse", s] => switch(s).map(PlainCommand::Refuse),
        ["calls"] => Some(PlainCommand::Calls),
        _ => None,
    }
}

fn engine_fault(word: &str) -> Option<Fault> {
    match word {
        "errors" => Some(Fault::Errors),
        "low-quality" => Some(Fault::LowQuality),
        "cut" => Some(Fault::Cut),
        "break" => Some(Fault::Break),
        "hang" => Some(Fault::Hang),
        "reset" => Some(Fault::Reset),
        _ => None,
    }
}

fn plain_fault(word: &str) -> Option<PlainFault> {
    match word {
        "errors" => Some(PlainFault::Errors),
        "not-started" => Some(PlainFault::NotStarted),
        "lost-answer" => Some(PlainFault::LostAnswer),
        "hang" => Some(PlainFault::Hang),
        _ => None,
    }
}

fn switch(word: &str) -> Option<Switch> {
    match word {
        "on" => Some(Switch::On),
        "off" => Some(Switch::Off),
        _ => time(word).map(Switch::For),
    }
}

fn time(word: &str) -> Option<Duration> {
    humantime::parse_duration(word).ok()
}

fn number(word: &str) -> Option<f64> {
    let n: f64 = word.parse().ok()?;
    (n.is_finite() && n >= 0.0).then_some(n)
}

fn rate(word: &str) -> Option<f64> {
    number(word).filter(|n| *n > 0.0)
}

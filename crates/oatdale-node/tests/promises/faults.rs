//! Faults of an endpoint.

use std::str::FromStr;

/// What an endpoint at fault does with a share of its requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Fault {
    /// Rejects the request.
    Shed,
    /// Sends the response a second time when the next request on the connection arrives.
    ExtraLate,
    /// Sends the response a second time together with the next response on the connection.
    ExtraWithNext,
    /// Does so from then on, and each further response comes in place of the next one.
    Shift,
    /// Sends a 503 that names no request when the next request on the connection arrives.
    Second503WithoutId,
    /// The same with a 400.
    Second400WithoutId,
    /// The same with a 421, without the statement that nothing has run.
    Second421WithoutId,
    /// Sends a 503 that names an earlier and the current request.
    RepeatedId,
    /// Rejects the request before it reads the body, and takes that for the next request.
    UnreadBody,
    /// Runs the request and resets the connection.
    ResetAfterRun,
    /// Runs the request and resets the connection within the response's body.
    Truncate,
    /// Runs the request and never answers.
    Hang,
    /// Closes the connection shortly after the response, without announcing it.
    CloseIdle,
    /// Rejects the request and runs it all the same.
    FalseRejection,
}

/// A fault and the share of requests that it concerns.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) struct Dose {
    pub(crate) fault: Fault,
    pub(crate) share: f64,
}

const NAMES: [(&str, Fault); 14] = [
    ("shed", Fault::Shed),
    ("extra-late", Fault::ExtraLate),
    ("extra-with-next", Fault::ExtraWithNext),
    ("shift", Fault::Shift),
    ("second-503", Fault::Second503WithoutId),
    ("second-400", Fault::Second400WithoutId),
    ("second-421", Fault::Second421WithoutId),
    ("repeated-id", Fault::RepeatedId),
    ("unread-body", Fault::UnreadBody),
    ("reset-after-run", Fault::ResetAfterRun),
    ("truncate", Fault::Truncate),
    ("hang", Fault::Hang),
    ("close-idle", Fault::CloseIdle),
    ("false-rejection", Fault::FalseRejection),
];

impl FromStr for Dose {
    type Err = String;

    /// Parses a dose written `NAME=SHARE`.
    fn from_str(text: &str) -> Result<Dose, String> {
        let (name, share) = text.split_once('=').ok_or("a dose is NAME=SHARE")?;
        let found = NAMES.iter().find(|(n, _)| *n == name);
        let (_, fault) = found.ok_or(format!("no such fault: {name}"))?;
        Ok(Dose {
            fault: *fault,
            share: share.parse().map_err(|_| format!("no share: {share}"))?,
        })
    }
}

/// Parses doses separated by commas.
pub(crate) fn parse(text: &str) -> Vec<Dose> {
    let doses = text.split(',').filter(|dose| !dose.is_empty());
    doses
        .map(|dose| dose.parse().expect("the doses are valid"))
        .collect()
}

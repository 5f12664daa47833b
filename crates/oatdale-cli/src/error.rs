//! What can go wrong and the exit code that says so.

use oatdale_config::{ChangeId, EditError, Revision};
use oatdale_platform::StoreError;
use snafu::Snafu;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code of a wrong command line.
pub(crate) const USAGE: u8 = 2;

/// Result of a command.
pub(crate) type Result<T, E = CliError> = std::result::Result<T, E>;

/// Why a command ended early.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    #[snafu(display("{message}"))]
    Usage { message: String },
    #[snafu(display("can't read {}: {source}", file.display()))]
    ReadFile {
        file: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("can't write {}: {source}", file.display()))]
    WriteFile {
        file: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("can't write to standard output: {source}"))]
    Output { source: std::io::Error },
    #[snafu(display("{report}"))]
    Refused { report: String },
    #[snafu(transparent)]
    Edit { source: EditError },
    #[snafu(display("{report}"))]
    Conflict { report: String },
    #[snafu(display(
        "{message}\nThe change {change} may be in force, or come into force later: look for it in \
         `oatdale history`. `oatdale apply` with `--change {change}` and the same text finds it or \
         tries it again."
    ))]
    Unknown { message: String, change: ChangeId },
    #[snafu(transparent)]
    Store { source: StoreError },
    #[snafu(display(
        "there is no configuration yet; put the first one in force by `oatdale apply`"
    ))]
    NoConfiguration,
    #[snafu(display("revision {revision} is not kept"))]
    NoRevision { revision: Revision },
    #[snafu(display("revision {revision} is accepted, but not in force everywhere: {missing}"))]
    NotEverywhere { revision: Revision, missing: String },
    #[snafu(transparent)]
    Journal {
        source: oatdale_journal::JournalError,
    },
    #[snafu(display("no node answered"))]
    NoNode,
    #[snafu(display("{message}"))]
    Other { message: String },
}

impl CliError {
    /// The codes that `--help` lists.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CliError::Usage { .. } => USAGE,
            CliError::Refused { .. } | CliError::Edit { .. } => 3,
            CliError::Conflict { .. } => 4,
            CliError::Unknown { .. } => 5,
            CliError::NotEverywhere { .. } => 6,
            _ => 1,
        })
    }
}

/// A wrong command line, with what to write instead.
pub(crate) fn usage<T>(message: impl Into<String>) -> Result<T> {
    let message = message.into();
    UsageSnafu { message }.fail()
}

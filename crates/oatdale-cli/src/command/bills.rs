//! `oatdale bills export`.

use crate::cx::{Cx, other};
use crate::error::{OutputSnafu, Result, UsageSnafu, WriteFileSnafu, usage};
use crate::flags::Export;
use oatdale_journal::{Closing, Exporter, Ledger, Outcome};
use rand::Rng;
use serde::Serialize;
use snafu::{ResultExt, ensure};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::str::FromStr;

/// What a line of the ledger looks like.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) enum Format {
    /// A JSON object on each line.
    #[default]
    Jsonl,
    /// Comma-separated values after a line with their names.
    Csv,
}

impl FromStr for Format {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "jsonl" => Ok(Format::Jsonl),
            "csv" => Ok(Format::Csv),
            _ => Err("write `jsonl` or `csv`"),
        }
    }
}

/// One bill as it is written.
#[derive(Serialize)]
struct Row<'a> {
    request: String,
    customer: &'a str,
    service: &'a str,
    version: Option<&'a str>,
    input_tokens: u64,
    output_tokens: u64,
    /// Millionths of the currency unit.
    price_micros: u64,
    outcome: &'static str,
    opened_at_ms: u64,
    closed_at_ms: u64,
    /// Came after the journal forgot the request, which may have a bill or not: for the operator
    /// to judge.
    late: bool,
}

/// Where the lines go.
enum Target {
    Stdout,
    File { path: PathBuf, file: File },
}

pub(crate) async fn export(cx: &Cx, flags: &Export) -> Result<()> {
    if flags.truncate && flags.output.is_none() {
        return usage(
            "`--truncate` removes bills from the service, so they must be safe in a file first: \
             add `--output bills.jsonl`",
        );
    }
    let format = flags.format.unwrap_or_default();
    let mut target = Target::open(flags.output.as_deref())?;
    let exporter = Exporter::new(cx.kv()?, rand::rng().next_u64()).await?;
    let mut header = format == Format::Csv && target.is_empty()?;
    for shard in exporter.shards() {
        loop {
            let ledger = exporter.read_oldest(shard).await?;
            target.write(&lines(&ledger, format, &mut header)?)?;
            if !flags.truncate {
                tell_of_rest(&ledger);
                break;
            }
            exporter.truncate(&ledger).await?;
            if !ledger.has_more {
                break;
            }
        }
    }
    Ok(())
}

fn tell_of_rest(ledger: &Ledger) {
    if ledger.has_more {
        log::warn!(
            "shard {} has more bills; they follow once these are truncated",
            ledger.shard.0
        );
    }
}

fn lines(ledger: &Ledger, format: Format, header: &mut bool) -> Result<Vec<u8>> {
    let bills = ledger.bills.iter().map(|bill| row(bill, false));
    let rows = bills.chain(ledger.late_closings.iter().map(|bill| row(bill, true)));
    match format {
        Format::Jsonl => {
            let mut lines = Vec::new();
            for row in rows {
                serde_json::to_writer(&mut lines, &row).map_err(|e| other(&e))?;
                lines.push(b'\n');
            }
            Ok(lines)
        }
        Format::Csv => {
            let mut writer = csv::WriterBuilder::new()
                .has_headers(std::mem::take(header))
                .from_writer(Vec::new());
            for row in rows {
                writer.serialize(row).map_err(|e| other(&e))?;
            }
            writer.into_inner().map_err(|e| other(&e))
        }
    }
}

fn row(bill: &Closing, late: bool) -> Row<'_> {
    Row {
        request: bill.request.to_string(),
        customer: &bill.customer,
        service: &bill.service,
        version: bill.version.as_deref(),
        input_tokens: bill.input_tokens,
        output_tokens: bill.output_tokens,
        price_micros: bill.price.0,
        outcome: match bill.outcome {
            Outcome::Complete => "complete",
            Outcome::Interrupted => "interrupted",
        },
        opened_at_ms: bill.opened_at.0,
        closed_at_ms: bill.closed_at.0,
        late,
    }
}

impl Target {
    fn open(path: Option<&Path>) -> Result<Self> {
        let Some(path) = path else {
            return Ok(Target::Stdout);
        };
        let file = OpenOptions::new().append(true).create(true).open(path);
        Ok(Target::File {
            file: file.context(WriteFileSnafu { file: path })?,
            path: path.to_owned(),
        })
    }

    fn is_empty(&self) -> Result<bool> {
        match self {
            Target::Stdout => Ok(true),
            Target::File { path, file } => {
                let meta = file.metadata().context(WriteFileSnafu { file: path })?;
                ensure!(
                    meta.is_file(),
                    UsageSnafu {
                        message: format!("{} is not a file", path.display())
                    }
                );
                Ok(meta.len() == 0)
            }
        }
    }

    /// Returns once the lines are on disk, since they may be truncated after that.
    fn write(&mut self, lines: &[u8]) -> Result<()> {
        match self {
            Target::Stdout => {
                let mut stdout = std::io::stdout().lock();
                let written = stdout.write_all(lines).and_then(|()| stdout.flush());
                written.context(OutputSnafu)
            }
            Target::File { path, file } => {
                let written = file.write_all(lines).and_then(|()| file.sync_all());
                written.context(WriteFileSnafu { file: path.clone() })
            }
        }
    }
}

//! What every command needs: where things are, how long to try, how to print.

use crate::error::{CliError, OutputSnafu, ReadFileSnafu, Result, usage};
use crate::flags::Oatdale;
use oatdale_platform::{ConfigStore, HttpKv, HttpKvConfig};
use serde::Serialize;
use snafu::ResultExt;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for one call, after which it is tried again.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// What every command needs.
pub(crate) struct Cx {
    key_value: Option<SocketAddr>,
    nodes: Vec<SocketAddr>,
    timeout: Duration,
    operator: Option<String>,
    pub(crate) json: bool,
}

impl Cx {
    /// Takes what the flags leave open from the environment.
    pub(crate) fn new(flags: &Oatdale) -> Result<Self> {
        let key_value = match flags.key_value {
            Some(addr) => Some(addr),
            None => addresses("OATDALE_KEY_VALUE")?.first().copied(),
        };
        let nodes = match flags.node.is_empty() {
            true => addresses("OATDALE_NODES")?,
            false => flags.node.clone(),
        };
        let operator = flags.operator.clone();
        Ok(Cx {
            key_value,
            nodes,
            timeout: flags.timeout.map_or(DEFAULT_TIMEOUT, Into::into),
            operator: operator
                .or_else(|| variable("OATDALE_OPERATOR").or_else(|| variable("USER"))),
            json: flags.json,
        })
    }

    pub(crate) fn kv(&self) -> Result<HttpKv> {
        let Some(addr) = self.key_value else {
            return usage(
                "where is the key-value service? Give `--key-value 10.84.9.1:2400` or set \
                 OATDALE_KEY_VALUE",
            );
        };
        Ok(HttpKv::new(HttpKvConfig {
            addresses: vec![addr],
            timeout: CALL_TIMEOUT.min(self.timeout),
        }))
    }

    pub(crate) fn store(&self) -> Result<ConfigStore<HttpKv>> {
        Ok(ConfigStore::new(self.kv()?))
    }

    pub(crate) fn nodes(&self) -> Result<&[SocketAddr]> {
        if self.nodes.is_empty() {
            return usage(
                "where are the nodes? Give `--node 10.84.1.1:8082`, the admin address of one, or \
                 set OATDALE_NODES",
            );
        }
        Ok(&self.nodes)
    }

    pub(crate) fn operator(&self) -> Result<String> {
        match &self.operator {
            Some(name) => Ok(name.clone()),
            None => usage("who are you? Give `--operator mai` or set OATDALE_OPERATOR"),
        }
    }

    pub(crate) fn deadline(&self) -> Instant {
        Instant::now() + self.timeout
    }

    /// Prints text, or with `--json` a value.
    pub(crate) fn print(&self, text: &str, value: &impl Serialize) -> Result<()> {
        match self.json {
            true => {
                let json = serde_json::to_string(value).map_err(|e| other(&e))?;
                out(&format!("{json}\n"))
            }
            false => out(text),
        }
    }
}

/// Writes to standard output; a reader that went away, such as `head`, is no failure.
pub(crate) fn out(text: &str) -> Result<()> {
    let mut stdout = std::io::stdout().lock();
    match stdout
        .write_all(text.as_bytes())
        .and_then(|()| stdout.flush())
    {
        Err(e) if e.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        result => result.context(OutputSnafu),
    }
}

/// Reads a file, or standard input for `-`.
pub(crate) fn read_text(file: &Path) -> Result<String> {
    if file != Path::new("-") {
        return std::fs::read_to_string(file).context(ReadFileSnafu { file });
    }
    let mut text = String::new();
    std::io::stdin()
        .read_to_string(&mut text)
        .context(ReadFileSnafu { file })?;
    Ok(text)
}

pub(crate) fn other(error: &impl ToString) -> CliError {
    CliError::Other {
        message: error.to_string(),
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn addresses(name: &str) -> Result<Vec<SocketAddr>> {
    let value = variable(name).unwrap_or_default();
    let words = value.split(',').map(str::trim).filter(|w| !w.is_empty());
    words
        .map(|word| match word.parse() {
            Ok(addr) => Ok(addr),
            Err(_) => usage(format!("{name}: `{word}` is not an IP number with a port")),
        })
        .collect()
}

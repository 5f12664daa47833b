//! `oatdale check`.

use crate::command::apply::warnings;
use crate::cx::{Cx, read_text};
use crate::error::{RefusedSnafu, Result, usage};
use crate::flags::Check;
use oatdale_config::{Config, Error, Problem};
use serde::Serialize;

#[derive(Serialize)]
struct FileReport {
    file: String,
    sound: bool,
    problems: Vec<ProblemReport>,
}

#[derive(Serialize)]
struct ProblemReport {
    line: u32,
    column: u32,
    category: &'static str,
    message: String,
    help: Option<String>,
}

pub(crate) fn run(cx: &Cx, flags: &Check) -> Result<()> {
    if flags.file.is_empty() {
        return usage("name a file to check, such as `oatdale check site.yaml`");
    }
    let mut reports = Vec::new();
    let mut sound = String::new();
    let mut refused = Vec::new();
    for file in &flags.file {
        let name = file.display().to_string();
        let text = read_text(file)?;
        let (summary, error) = match check(&text, flags.settings) {
            Ok(summary) => (summary, None),
            Err(e) => (String::new(), Some(e.in_file(&name))),
        };
        reports.push(report(&name, error.as_ref()));
        match error {
            Some(e) => refused.push(e.to_string()),
            None => sound.push_str(&format!("{name}: {summary}\n")),
        }
    }
    cx.print(&sound, &reports)?;
    match refused.is_empty() {
        true => Ok(()),
        false => RefusedSnafu {
            report: refused.join("\n"),
        }
        .fail(),
    }
}

fn check(text: &str, settings: bool) -> Result<String, Error> {
    match settings {
        true => oatdale_config::node_settings_from_str(text)
            .map(|node| format!("sound: node {} in {}", node.host, node.domain)),
        false => oatdale_config::from_str(text).map(|cfg| {
            let warnings = warnings(&cfg);
            format!("{}\n{warnings}", summary(&cfg))
                .trim_end()
                .to_owned()
        }),
    }
}

fn summary(cfg: &Config) -> String {
    format!(
        "sound: {} services, {} versions of {} models, {} endpoints in {} failure domains, {} \
         customers",
        cfg.services.len(),
        cfg.versions.len(),
        cfg.models.len(),
        cfg.endpoints.len(),
        cfg.domains.len(),
        cfg.customers.len()
    )
}

fn report(file: &str, error: Option<&Error>) -> FileReport {
    let problems = error.map_or(&[][..], Error::problems);
    FileReport {
        file: file.to_owned(),
        sound: error.is_none(),
        problems: problems.iter().map(problem).collect(),
    }
}

fn problem(problem: &Problem) -> ProblemReport {
    ProblemReport {
        line: problem.line,
        column: problem.column,
        category: problem.category.as_str(),
        message: problem.message.clone(),
        help: problem.help.clone(),
    }
}

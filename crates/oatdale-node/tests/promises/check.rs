//! Whether the hosts kept their promises.

use crate::record::{Attempt, End, Record, Step, What};
use std::collections::BTreeMap;
use std::fmt;

/// A broken promise.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Rule {
    /// A request was answered as not run, and runs.
    Refused,
    /// A request that must not run twice did.
    Twice,
    /// A response belongs to another request, or to none that ran.
    Mixed,
}

/// A request for which a promise was broken.
#[derive(Clone, Debug)]
pub(crate) struct Case {
    pub(crate) rule: Rule,
    pub(crate) attempt: Attempt,
    pub(crate) runs: Vec<Step>,
}

/// What a run came to.
pub(crate) struct Report {
    pub(crate) cases: Vec<Case>,
    attempts: BTreeMap<String, usize>,
    runs: BTreeMap<String, usize>,
    rejections: BTreeMap<String, usize>,
    /// Requests that ran in several attempts, since callers sent them again.
    repeated: usize,
}

impl Report {
    pub(crate) fn new(record: &Record) -> Report {
        let (steps, all) = (record.steps(), record.attempts());
        let mut runs_of: BTreeMap<&str, Vec<&Step>> = BTreeMap::new();
        let mut report = Report {
            cases: Vec::new(),
            attempts: BTreeMap::new(),
            runs: BTreeMap::new(),
            rejections: BTreeMap::new(),
            repeated: 0,
        };
        for step in &steps {
            let endpoint = step.endpoint.clone();
            match step.what {
                What::Began => {
                    runs_of.entry(&step.id).or_default().push(step);
                    *report.runs.entry(endpoint).or_default() += 1;
                }
                What::Answered(503) => *report.rejections.entry(endpoint).or_default() += 1,
                _ => {}
            }
        }
        let mut unsafe_runs: BTreeMap<u64, usize> = BTreeMap::new();
        for attempt in all {
            let runs = runs_of.get(attempt.id.as_str());
            let runs: Vec<Step> = runs.into_iter().flatten().copied().cloned().collect();
            let label = match &attempt.end {
                End::Answered { status, .. } => status.to_string(),
                end => format!("{end:?}"),
            };
            *report.attempts.entry(label).or_default() += 1;
            if attempt.is_unsafe {
                *unsafe_runs.entry(attempt.request).or_default() += runs.len();
            }
            for rule in broken(&attempt, &runs) {
                let (attempt, runs) = (attempt.clone(), runs.clone());
                report.cases.push(Case {
                    rule,
                    attempt,
                    runs,
                });
            }
        }
        report.repeated = unsafe_runs.values().filter(|runs| **runs > 1).count();
        report.cases.sort_by_key(|case| case.attempt.at);
        report
    }

    pub(crate) fn count(&self, rule: Rule) -> usize {
        self.cases.iter().filter(|case| case.rule == rule).count()
    }

    /// Number of requests that endpoints ran.
    pub(crate) fn runs(&self) -> usize {
        self.runs.values().sum()
    }

    /// REFUSED cases by connection of an endpoint.
    fn by_conn(&self) -> BTreeMap<(&str, u64), usize> {
        let mut by_conn = BTreeMap::new();
        let refused = self.cases.iter().filter(|c| c.rule == Rule::Refused);
        for run in refused.flat_map(|case| &case.runs) {
            *by_conn
                .entry((run.endpoint.as_str(), run.conn))
                .or_default() += 1;
        }
        by_conn
    }
}

fn broken(attempt: &Attempt, runs: &[Step]) -> Vec<Rule> {
    let mut rules = Vec::new();
    match &attempt.end {
        End::Answered {
            status: 408 | 421 | 429 | 503,
            ..
        } if attempt.is_unsafe && !runs.is_empty() => rules.push(Rule::Refused),
        End::Answered { status: 200, names }
            if names.as_ref() != Some(&attempt.id) || runs.is_empty() =>
        {
            rules.push(Rule::Mixed);
        }
        _ => {}
    }
    if attempt.is_unsafe && runs.len() > 1 {
        rules.push(Rule::Twice);
    }
    rules
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let by_conn = self.by_conn();
        let mut by_endpoint: BTreeMap<&str, usize> = BTreeMap::new();
        for ((endpoint, _), count) in &by_conn {
            *by_endpoint.entry(endpoint).or_default() += count;
        }
        writeln!(
            f,
            "REFUSED {} TWICE {} MIXED {}; ran in several attempts: {}",
            self.count(Rule::Refused),
            self.count(Rule::Twice),
            self.count(Rule::Mixed),
            self.repeated
        )?;
        writeln!(f, "attempts {:?}", self.attempts)?;
        writeln!(f, "runs {:?} rejections {:?}", self.runs, self.rejections)?;
        writeln!(
            f,
            "REFUSED by endpoint {by_endpoint:?}; on {} connections, at most {} on one",
            by_conn.len(),
            by_conn.values().max().unwrap_or(&0)
        )
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let a = &self.attempt;
        write!(
            f,
            "{:.3} {:?} id={} host={} end={:?} took_ms={}",
            a.at.as_secs_f64(),
            self.rule,
            a.id,
            a.host,
            a.end,
            a.took.as_millis()
        )?;
        for run in &self.runs {
            let at = run.at.as_secs_f64();
            write!(f, " ran={at:.3} at={} conn={}", run.endpoint, run.conn)?;
        }
        Ok(())
    }
}

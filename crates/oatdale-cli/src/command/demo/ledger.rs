//! The tour's last part: the bills, one for each answered request.

use crate::command::demo::expect;
use crate::command::demo::report::Report;
use crate::command::demo::site::{LIMIT, Site};
use crate::error::Result;
use oatdale_fakes::StandIns;
use oatdale_journal::{Closing, Exporter, Outcome};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Between two reads of the ledger.
const POLL: Duration = Duration::from_millis(50);

/// Millionths in a unit of the currency.
const MICROS: f64 = 1e6;

/// Exports the bills, checks them against the answers and sums them.
pub(super) async fn tour(site: &Site, report: &mut Report) -> Result<()> {
    report.section("The bills, exported")?;
    let bills = complete(&site.stand_ins, &report.answered).await?;
    report.line(&format!(
        "{:<20} {:<20} {:>8} {:>8} {:>8} {:>10}",
        "customer", "version", "requests", "in", "out", "price"
    ))?;
    for ((customer, version), sum) in sums(&bills) {
        report.line(&format!(
            "{customer:<20} {version:<20} {:>8} {:>8} {:>8} {:>10.6}",
            sum.requests,
            sum.input,
            sum.output,
            sum.price as f64 / MICROS
        ))?;
    }
    check(&site.stand_ins, report).await
}

/// Checks that each answered request has one bill, and that there are no others but those of
/// requests that somebody else sent.
pub(super) async fn check(stand_ins: &StandIns, report: &mut Report) -> Result<()> {
    let bills = complete(stand_ins, &report.answered).await?;
    let ids: BTreeSet<String> = bills.iter().map(|b| b.request.to_string()).collect();
    expect(ids.len() == bills.len(), || {
        "a request has two bills".to_owned()
    })?;
    let extra = ids.difference(&report.answered).count();
    let all = report.answered.is_subset(&ids);
    expect(all && (extra == 0 || report.others_may_call), || {
        "the bills are not those of the answered requests".to_owned()
    })?;
    let facts = report.facts();
    facts.bills = bills.len();
    facts.price_micros = bills.iter().map(|b| b.price.0).sum();
    report.line(&format!(
        "{} requests were answered, and each has exactly one bill",
        report.answered.len()
    ))
}

/// Waits until the journal has the bills of all that were answered; returns those of whole answers.
async fn complete(stand_ins: &StandIns, answered: &BTreeSet<String>) -> Result<Vec<Closing>> {
    let end = Instant::now() + LIMIT;
    loop {
        let bills = export(stand_ins).await?;
        let billed = |id: &String| bills.iter().any(|b| b.request.to_string() == *id);
        if answered.iter().all(billed) {
            return Ok(bills);
        }
        expect(Instant::now() < end, || {
            format!("{} answers, {} bills", answered.len(), bills.len())
        })?;
        sleep(POLL).await;
    }
}

async fn export(stand_ins: &StandIns) -> Result<Vec<Closing>> {
    let exporter = Exporter::new(stand_ins.kv().clone(), rand::rng().next_u64()).await?;
    let mut bills = Vec::new();
    for shard in exporter.shards() {
        bills.extend(exporter.read_oldest(shard).await?.bills);
    }
    bills.retain(|bill| bill.outcome == Outcome::Complete);
    Ok(bills)
}

#[derive(Default)]
struct Sum {
    requests: usize,
    input: u64,
    output: u64,
    price: u64,
}

fn sums(bills: &[Closing]) -> BTreeMap<(&str, &str), Sum> {
    let mut sums = BTreeMap::<_, Sum>::new();
    for bill in bills {
        let version = bill.version.as_deref().unwrap_or("(plain)");
        let sum = sums.entry((bill.customer.as_str(), version)).or_default();
        sum.requests += 1;
        sum.input += bill.input_tokens;
        sum.output += bill.output_tokens;
        sum.price += bill.price.0;
    }
    sums
}

//! The ledger is exported whole, and only what was written is removed.

use crate::site::Site;
use oatdale_journal::{
    BillRecord, Closing, MicroUnits, Millis, Outcome, Preferred, RequestId, Settings, journal, run,
};
use serde_json::Value;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

const BILLS: u128 = 50;

fn closing(n: u128) -> Closing {
    Closing {
        request: RequestId(n),
        customer: "mail-desk, night".to_owned(),
        service: "tag-mail".to_owned(),
        version: Some("orbit-mini/2026-09".to_owned()),
        input_tokens: 900,
        output_tokens: 12,
        price: MicroUnits(190),
        outcome: Outcome::Complete,
        opened_at: Millis(1_000),
        closed_at: Millis(1_400),
    }
}

/// Lets a node's journal take the bills of requests `from..from + BILLS`.
async fn bill(site: &Site, from: u128) {
    let settings = Settings {
        preferred_append_interval: Duration::from_millis(5),
        other_append_interval: Duration::from_millis(5),
        ..Settings::new(7)
    };
    let (_preferred, rx) = watch::channel(Preferred::default());
    let clock = Arc::new(|| Millis(2_000));
    let (handle, duty) = journal(site.kv.clone(), settings, clock, rx);
    let duty = tokio::spawn(run(duty));
    let bills = (from..from + BILLS).map(|n| BillRecord::Close(closing(n)));
    handle.bill(bills.collect()).await.expect("durable");
    drop(handle);
    duty.await.expect("no panic");
}

fn requests(lines: &str) -> BTreeSet<String> {
    let line = |line| serde_json::from_str::<Value>(line).expect("JSON");
    lines
        .lines()
        .map(|l| line(l)["request"].to_string())
        .collect()
}

#[tokio::test]
async fn bills_are_written_once_and_removed_when_safe() {
    let site = Site::start("bills").await;
    bill(&site, 1).await;
    let first = site.run(&["bills", "export"]).await;
    assert_eq!(first.code, 0, "{first:?}");
    assert_eq!(requests(&first.out).len(), BILLS as usize);
    let again = site.run(&["bills", "export"]).await;
    assert_eq!(
        requests(&again.out),
        requests(&first.out),
        "nothing was removed"
    );
    let file = site.path("bills.jsonl");
    let export = ["bills", "export", "--output", &file, "--truncate"];
    assert_eq!(site.run(&export).await.code, 0);
    bill(&site, 1_000).await;
    assert_eq!(site.run(&export).await.code, 0);
    assert_eq!(site.run(&export).await.code, 0);
    let written = std::fs::read_to_string(&file).expect("it was written");
    assert_eq!(written.lines().count(), 2 * BILLS as usize);
    assert_eq!(requests(&written).len(), 2 * BILLS as usize);
    assert_eq!(site.run(&["bills", "export"]).await.out, "");
}

#[tokio::test]
async fn bills_are_written_as_csv_with_one_header() {
    let site = Site::start("csv").await;
    bill(&site, 1).await;
    let file = site.path("bills.csv");
    let export = [
        "bills",
        "export",
        "--format",
        "csv",
        "--output",
        &file,
        "--truncate",
    ];
    assert_eq!(site.run(&export).await.code, 0);
    bill(&site, 1_000).await;
    assert_eq!(site.run(&export).await.code, 0);
    let mut reader = csv::Reader::from_path(&file).expect("it was written");
    assert_eq!(reader.headers().expect("names").get(0), Some("request"));
    let rows: Vec<csv::StringRecord> = reader.records().collect::<Result<_, _>>().expect("rows");
    assert_eq!(rows.len(), 2 * BILLS as usize);
    assert!(
        rows.iter()
            .all(|row| row.get(1) == Some("mail-desk, night"))
    );
}

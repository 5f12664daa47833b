//! A customer's limit over all nodes.

#[path = "support/site.rs"]
mod site;

use futures::future::join_all;
use oatdale_config::{ChangeId, Revision};
use oatdale_platform::{ConfigStore, Proposal};
use site::{LONG, Site};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const LIMIT: f64 = 30.0;

/// The customer with that limit.
const SMALL_KEY: &str = "key-of-delta";

async fn limit(site: &mut Site) {
    let mut text = site::text(&site.stand_ins, &site::usual_states(), 0.5);
    text.push_str(&format!(
        "  delta:\n    keys: [\"{}\"]\n    services: [desk]\n    \
         limits: {{ requests-per-second: {LIMIT}, concurrent: 500 }}\n",
        site::digest(SMALL_KEY)
    ));
    let proposal = Proposal {
        seen: Revision(1),
        change: ChangeId(7),
        operator: "test".to_owned(),
        time: 0,
        text,
    };
    let store = ConfigStore::new(site.stand_ins.kv().clone());
    let applied = store.apply(proposal, Instant::now() + LONG).await;
    applied.expect("the service is up");
    site.revision = 2;
    site.in_force().await;
}

/// Asks a node again and again, far above the limit; returns how often it was served.
async fn ask(site: &Site, node: usize, end: Instant) -> u32 {
    let auth = site::bearer(SMALL_KEY);
    let headers = [("authorization", auth.as_str())];
    let mut served = 0;
    while Instant::now() < end {
        let addr = site.callers(node);
        let got = site.get(addr, "/services/desk/slots/1", &headers).await;
        match got.status.is_success() {
            true => served += 1,
            false => {
                assert_eq!(got.status.as_u16(), 429, "{}", got.text());
                assert_eq!(got.run(), "not-run");
                assert!(got.headers.contains_key("retry-after"));
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
    served
}

// A customer's programs ask three nodes at once, each far above the customer's limit. If every node
// granted the whole limit the customer would get three times what it may have, and others' requests
// would wait for it.
#[tokio::test]
async fn a_limit_holds_over_all_nodes() {
    let mut site = Site::start(3).await;
    limit(&mut site).await;
    // The nodes hear of one another's demand first.
    let settled = Instant::now() + Duration::from_secs(4);
    join_all((0..3).map(|node| ask(&site, node, settled))).await;
    let begun = Instant::now();
    let end = begun + Duration::from_secs(4);
    let served = join_all((0..3).map(|node| ask(&site, node, end))).await;
    let took = begun.elapsed().as_secs_f64();
    let sum = f64::from(served.iter().sum::<u32>());
    assert!(sum > 0.0);
    let most = 1.5 * LIMIT * took;
    assert!(sum < most, "{served:?} in {took} s, above {most}");
}

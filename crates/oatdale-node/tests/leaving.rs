//! Endpoints that the platform or they themselves say are leaving.

#[path = "support/site.rs"]
mod site;

use http::StatusCode;
use oatdale_fakes::{Command, HostCommand};
use site::{LONG, Site};
use std::time::Duration;
use tokio::time::Instant;

/// New work that came to the first engine and the first desk.
fn came(site: &Site) -> (usize, usize) {
    let engine = &site.stand_ins.engines()[0];
    let desk = &site.stand_ins.plain()[0];
    (engine.calls().len(), desk.calls().len())
}

async fn ask(site: &Site, round: usize) {
    let node = round % site.nodes.len();
    let got = site.chat(node, &format!("mail {round}"), &[]).await;
    assert_eq!(got.status, StatusCode::OK, "{}", got.text());
    let path = format!("/slots/{round}/confirm");
    let got = site.desk(node, "POST", &path, &[]).await;
    assert_eq!(got.status, StatusCode::OK, "{}", got.text());
}

// The platform is about to take two hosts away and says so in its list. They themselves know
// nothing of it and would take work to the last moment, when it would be cut off.
#[tokio::test]
async fn hosts_that_are_listed_as_leaving_get_nothing_new() {
    let site = Site::start(3).await;
    let mut round = 0;
    while came(&site).0 == 0 || came(&site).1 == 0 {
        ask(&site, round).await;
        round += 1;
    }
    for host in ["engine-1", "plain-1"] {
        let leaving = HostCommand::Leaving(host.to_owned());
        site.stand_ins.run(Command::Hosts(leaving)).unwrap();
    }
    let end = Instant::now() + LONG;
    let mut quiet = 0;
    let mut last = came(&site);
    // Quiet for so many requests at each node would be a rare chance if they still were chosen.
    while quiet < 60 {
        assert!(Instant::now() < end, "they still get work");
        ask(&site, round).await;
        round += 1;
        quiet = if came(&site) == last { quiet + 1 } else { 0 };
        last = came(&site);
    }
    // From here on it must stay so, also while the list is down.
    site.stand_ins.hosts().set_outage(true);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for more in 0..60 {
        ask(&site, round + more).await;
    }
    assert_eq!(came(&site), last);
}

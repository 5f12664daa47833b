//! One bill for each request that ran, whatever becomes of the node that served it.

#[path = "support/process.rs"]
mod process;
#[path = "support/site.rs"]
mod site;

use futures::future::join_all;
use nix::sys::signal::Signal;
use oatdale_fakes::{EngineHandle, KvFaults, PlainFault};
use oatdale_journal::Outcome;
use oatdale_mesh::Intervals;
use process::Process;
use site::{Site, until};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// One version only: what a cascade keeps back to be judged has no first word to wait for.
async fn start() -> Site {
    let mut states = site::usual_states();
    states.insert("large/1", "{ state: draining");
    let mut site = Site::with(0, &states, 0.5).await;
    site.add_node_with(0, soon()).await;
    site.add_node_with(1, soon()).await;
    site
}

/// Holders take a vanished node's records over sooner than usual, so that tests need not wait.
fn soon() -> Intervals {
    Intervals {
        orphan_after: Duration::from_secs(3),
        ..Intervals::default()
    }
}

fn begun(site: &Site) -> BTreeSet<String> {
    let engines = site.stand_ins.engines().iter();
    let calls = engines.flat_map(EngineHandle::calls);
    calls.map(|call| call.request).collect()
}

async fn billed(site: &Site) -> Vec<String> {
    let bills = site.bills().await;
    bills.iter().map(|bill| bill.request.to_string()).collect()
}

async fn serving(site: &Site, node: &Process, peers: usize) {
    until("the node serves and knows the others", async || {
        let status = site.get(node.admin, "/v1/status", &[]).await.json();
        let known = status["peers"].as_array().map_or(0, |all| {
            all.iter().filter(|p| p["state"] == "serving").count()
        });
        status["state"] == "serving" && known >= peers
    })
    .await;
}

// A host loses power in the middle of its streams, with the key-value service down, so nothing of
// them is in the journal yet. Callers see their streams break. Without the other nodes' records the
// work would never be billed; with a careless take-over, finished requests would be billed twice.
#[tokio::test]
async fn a_killed_nodes_requests_are_billed_once_by_others() {
    let site = start().await;
    let seed = site.nodes[0].addresses().nodes;
    let settings = site::settings(2, Some(seed), &site.stand_ins);
    let victim = Process::start("victim", &settings);
    serving(&site, &victim, 2).await;
    let before = join_all((0..6).map(|n| {
        let prompt = format!("short {n}");
        let (site, addr) = (&site, victim.callers);
        async move { site.chat_at(addr, &prompt, true, &[]).await }
    }));
    for got in before.await {
        assert!(got.status.is_success() && got.whole, "{}", got.text());
    }
    site.stand_ins.kv().set_faults(KvFaults {
        outage: true,
        ..KvFaults::default()
    });
    for engine in site.stand_ins.engines() {
        engine.set_slow(100.0);
    }
    let callers = victim.callers;
    let under_way = join_all((0..8).map(|n| {
        let prompt = format!("long {n}");
        let site = &site;
        async move {
            let auth = site::bearer(site::KEY);
            let headers = [("authorization", auth.as_str())];
            let body = site::chat_json(&prompt, true);
            let path = "/v1/chat/completions";
            site.try_send(callers, "POST", path, &headers, body).await
        }
    }));
    let killed = async {
        until("their first words came", async || {
            let text = site.get(victim.admin, "/metrics", &[]).await.text();
            let mut lines = text.lines();
            lines.any(|line| {
                line.starts_with("oatdale_first_byte_seconds_count") && line.ends_with(" 14")
            })
        })
        .await;
        victim.signal(Signal::SIGKILL);
    };
    let (answers, ()) = futures::join!(under_way, killed);
    assert!(answers.iter().flatten().all(|got| !got.whole));
    site.stand_ins.kv().set_faults(KvFaults::default());
    let ran = begun(&site);
    assert_eq!(ran.len(), 14);
    until("all are billed", async || billed(&site).await.len() >= 14).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let billed = billed(&site).await;
    assert_eq!(billed.len(), 14, "one bill each");
    assert_eq!(billed.into_iter().collect::<BTreeSet<_>>(), ran);
    let interrupted = site.bills().await;
    let interrupted = interrupted
        .iter()
        .filter(|bill| bill.outcome == Outcome::Interrupted);
    assert_eq!(interrupted.count(), 8);
}

// What was refused before it began costs nothing, and what ran and failed is billed as interrupted.
#[tokio::test]
async fn what_did_not_run_has_no_bill() {
    let site = Site::start(2).await;
    for plain in site.stand_ins.plain() {
        plain.set_fault(Some(PlainFault::NotStarted));
    }
    for n in 0..4 {
        let got = site.desk(n % 2, "GET", "/slots/1", &[]).await;
        assert_eq!(got.run(), "not-run", "{}", got.text());
    }
    for plain in site.stand_ins.plain() {
        plain.set_fault(Some(PlainFault::LostAnswer));
    }
    let got = site.desk(0, "POST", "/slots/1/confirm", &[]).await;
    assert_eq!(got.run(), "may-have-run", "{}", got.text());
    until("what may have run is billed", async || {
        site.bills().await.len() == 1
    })
    .await;
    let bill = site.bills().await.remove(0);
    assert_eq!(bill.outcome, Outcome::Interrupted);
    assert_eq!(Some(bill.request.to_string()), got.request());
}

// The last piece of an answer is what makes it whole in the caller's eyes. Were it sent before
// others hold the bill, a host that dies right then would have given the answer away.
#[tokio::test]
async fn a_whole_answer_means_that_its_bill_survives_the_node() {
    let site = start().await;
    let seed = site.nodes[0].addresses().nodes;
    let settings = site::settings(2, Some(seed), &site.stand_ins);
    let victim = Process::start("victim", &settings);
    serving(&site, &victim, 2).await;
    site.stand_ins.kv().set_faults(KvFaults {
        outage: true,
        ..KvFaults::default()
    });
    let got = site.chat_at(victim.callers, "a note", true, &[]).await;
    // Nothing else runs between the end of the answer and this.
    victim.signal(Signal::SIGKILL);
    assert!(got.whole && got.status.is_success(), "{}", got.text());
    site.stand_ins.kv().set_faults(KvFaults::default());
    until("the bill came from a holder", async || {
        site.bills().await.len() == 1
    })
    .await;
    let bill = site.bills().await.remove(0);
    assert_eq!(bill.outcome, Outcome::Complete);
    assert_eq!(bill.output_tokens, 8, "the bill has what was used");
}

// Both holders are paused and the key-value service is down, so nobody confirms a bill. The end of
// the answer must wait for that as long as the node is ready to wait; were it sent at once, a host
// that dies right then would have given its answer away. The node counts such an answer.
#[tokio::test]
async fn the_end_of_an_answer_waits_for_its_bill() {
    let mut states = site::usual_states();
    states.insert("large/1", "{ state: draining");
    let site = Site::with(1, &states, 0.5).await;
    let seed = site.nodes[0].addresses().nodes;
    let holders: Vec<Process> = (1..3)
        .map(|index| {
            let settings = site::settings(index, Some(seed), &site.stand_ins);
            Process::start("holder", &settings)
        })
        .collect();
    for holder in &holders {
        serving(&site, holder, 2).await;
    }
    let usual = site.chat_stream(0, "a note").await;
    assert!(usual.whole && usual.status.is_success());
    site.stand_ins.kv().set_faults(KvFaults {
        outage: true,
        ..KvFaults::default()
    });
    for holder in &holders {
        holder.signal(Signal::SIGSTOP);
    }
    let asked = Instant::now();
    let got = site.chat_stream(0, "another note").await;
    let took = asked.elapsed();
    for holder in &holders {
        holder.signal(Signal::SIGCONT);
    }
    assert!(got.whole && got.status.is_success(), "{}", got.text());
    // Half a second for the opening record, and as much for the copies of the closing one.
    assert!(
        took >= Duration::from_millis(950),
        "it ended after {took:?}"
    );
    site.stand_ins.kv().set_faults(KvFaults::default());
    until("both are billed", async || site.bills().await.len() == 2).await;
}

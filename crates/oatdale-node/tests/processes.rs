//! Three nodes as separate processes before one set of endpoints.

#[path = "support/process.rs"]
mod process;
#[path = "support/site.rs"]
mod site;

use futures::future::join_all;
use http::StatusCode;
use nix::sys::signal::Signal;
use oatdale_fakes::text;
use process::Process;
use site::{Site, until};
use std::collections::HashSet;

const NODES: usize = 3;

async fn start(site: &Site) -> Vec<Process> {
    let mut nodes: Vec<Process> = Vec::new();
    for index in 0..NODES {
        let seed = nodes.first().map(|node| node.nodes);
        let settings = site::settings(index, seed, &site.stand_ins);
        nodes.push(Process::start(&format!("{index}"), &settings));
    }
    for node in &nodes {
        until("the node serves and knows the others", async || {
            let status = site.get(node.admin, "/v1/status", &[]).await.json();
            let alive = status["peers"].as_array().is_some_and(|peers| {
                peers.iter().filter(|p| p["state"] == "serving").count() == NODES - 1
            });
            status["state"] == "serving" && alive
        })
        .await;
    }
    nodes
}

#[tokio::test]
async fn every_caller_gets_the_whole_answer_to_its_own_request() {
    let site = Site::start(0).await;
    let nodes = start(&site).await;
    let answers = (0..60).map(|n| {
        let prompt = format!("log of pass {n}");
        let (site, node) = (&site, &nodes[n % NODES]);
        async move {
            let got = site.chat_at(node.callers, &prompt, n % 2 == 0, &[]).await;
            (prompt, got)
        }
    });
    let mut requests = HashSet::new();
    for (prompt, got) in join_all(answers).await {
        assert_eq!(got.status, StatusCode::OK, "{}", got.text());
        let version = got.headers["x-version"].to_str().unwrap();
        let reference = text::reference(version, &format!("user: {prompt}"));
        assert!(
            got.text().contains(&reference),
            "another's answer to {prompt}"
        );
        requests.insert(got.headers["x-request-id"].to_str().unwrap().to_owned());
    }
    let plain = (0..30).map(|n| {
        let path = format!("/slots/{n}");
        let (site, node) = (&site, &nodes[n % NODES]);
        async move {
            let got = site.desk_at(node.callers, "GET", &path, &[]).await;
            (path, got)
        }
    });
    for (path, got) in join_all(plain).await {
        assert_eq!(got.status, StatusCode::OK);
        assert!(got.text().contains(&path), "another's answer to {path}");
        requests.insert(got.headers["x-request-id"].to_str().unwrap().to_owned());
    }
    assert_eq!(requests.len(), 90);
    until("each request has its bill", async || {
        site.bills().await.len() >= requests.len()
    })
    .await;
    let billed: Vec<String> = site
        .bills()
        .await
        .iter()
        .map(|b| b.request.to_string())
        .collect();
    assert_eq!(billed.len(), requests.len());
    assert_eq!(billed.into_iter().collect::<HashSet<_>>(), requests);
}

// A host is replaced: its node gets SIGTERM while answers are being streamed, and callers that
// learned its address a moment ago still come. A caller would notice a cut answer or a closed port.
#[tokio::test]
async fn a_planned_stop_cuts_off_no_request() {
    let site = Site::start(0).await;
    let mut nodes = start(&site).await;
    let leaving = nodes.remove(0);
    let callers = leaving.callers;
    let under_way = (0..20).map(|n| {
        let prompt = format!("long draft {n}");
        let site = &site;
        async move { site.chat_at(callers, &prompt, true, &[]).await }
    });
    let (answers, ()) = futures::join!(join_all(under_way), async {
        tokio::task::yield_now().await;
        leaving.signal(Signal::SIGTERM);
    });
    for got in answers {
        assert_eq!(got.status, StatusCode::OK, "{}", got.text());
        assert!(got.text().trim_end().ends_with("data: [DONE]"));
    }
    // The address may be kept for a second, so this one is served too.
    let late = site.chat_at(callers, "late", true, &[]).await;
    assert_eq!(late.status, StatusCode::OK, "{}", late.text());
    let mut leaving = leaving;
    until("the node has ended", async || leaving.ended().is_some()).await;
    assert!(leaving.ended().unwrap().success());
    until("the others no longer name it", async || {
        let auth = site::bearer(site::KEY);
        let headers = [("authorization", auth.as_str())];
        let list = site.get(nodes[0].callers, "/v1/addresses", &headers).await;
        let text = list.text();
        list.status == StatusCode::OK && !text.contains(&callers.to_string())
    })
    .await;
    assert_eq!(site.bills().await.len(), 21);
}
